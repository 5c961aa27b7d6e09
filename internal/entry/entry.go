// Package entry implements the entry role: it accepts callers' HTTP requests,
// applies the rules and limits, and forwards each request to the agent of a
// backend server.
//
// The rules send each request to a target: a model group, or a plain service,
// which is a set of backend servers that serve no model group. Sending a
// request once to a server is an attempt. Its verdict says whether the request
// ran there: not run, may have run, or ran. A call that may not be repeated
// carries a ticket, which names the only server that may run it. An
// incarnation is one start of an instance; a later start has a higher number.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"bluebellwind.example/internal/admin"
	"bluebellwind.example/internal/callerconn"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/internal/crash"
	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/peering"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/limits/limitspb"
	"bluebellwind.example/membership"
	"bluebellwind.example/once"
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// Limits of the HTTP server for callers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Entry is one process in the entry role. It is safe for concurrent use.
type Entry struct {
	settings     *config.Settings
	log          *log.Logger
	clock        clock.Clock
	peerKeys     *keys.Store // For mutual TLS with other instances.
	callerKeys   *keys.Store // For TLS with callers.
	ticketSigner *once.Signer
	agentPool    *rpc.Pool // Connections to agents.
	peerPool     *rpc.Pool // Connections to entries and agents.
	directory    *fleet.Directory
	picker       *picker
	retryBudget  *retry.Budget
	runner       *attemptRunner
	crashes      *crashTracker
	rulesState   rulesState
	// appliedDigest is the digest of the rules in force. Only watchRules uses it.
	appliedDigest uint64
	incarnation   uint64
	bodies        bodyReader
	// callerGuard bounds what the connections of callers hold.
	callerGuard *connguard.Guard
	// peering and quota are set by setUpPeering, once the address of this entry
	// is known.
	peering *peering.Peering
	quota   *quota
	operatorAccess

	// drainEnd is when the drain ends; nil until no more connections are accepted. ending is
	// canceled by endRequests shortly before, when requests must be answered at once.
	drainEnd    atomic.Pointer[time.Time]
	ending      context.Context
	endRequests context.CancelFunc

	mu             sync.Mutex // Guards the fields below.
	draining       bool
	activeRequests int
}

// New returns an entry that is not yet listening.
func New(settings *config.Settings, logger *log.Logger) (*Entry, error) {
	files := settings.Keys
	peerKeys, err := keys.Open(keys.Files{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key})
	if err != nil {
		return nil, err
	}
	callerKeys, err := keys.Open(keys.Files{Certificate: files.CallersCertificate, Key: files.CallersKey})
	if err != nil {
		return nil, err
	}
	secret, err := keys.ReadSecret(files.Ticket)
	if err != nil {
		return nil, err
	}
	directory := fleet.NewDirectory()
	agentPool := rpc.NewPool(peerKeys, keys.Agent)
	incarnation := uint64(time.Now().UnixNano())
	crashes, err := newCrashTracker(secret, logger, directory, agentPool)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:       settings,
		log:            logger,
		clock:          clock.New(),
		peerKeys:       peerKeys,
		callerKeys:     callerKeys,
		ticketSigner:   once.NewSigner(secret),
		agentPool:      agentPool,
		peerPool:       rpc.NewPool(peerKeys, keys.Entry, keys.Agent),
		directory:      directory,
		retryBudget:    retry.NewBudget(retry.Config{}),
		incarnation:    incarnation,
		crashes:        crashes,
		runner:         &attemptRunner{pool: agentPool, directory: directory, crashes: crashes},
		operatorAccess: newOperatorAccess(),
	}
	e.bodies = bodyReader{limit: settings.Entry.MaxBodyBytes, held: connguard.NewBudget(settings.Entry.HeldBytes)}
	e.callerGuard = connguard.New(connguard.Options{
		Connections: settings.Connections.Callers, HeaderBytes: func() int { return maxHeaderBytes },
		Headers: connguard.NewBudget(settings.Entry.HeaderBytes),
		OnHandshakeError: func(from net.Addr, err error) {
			logger.Debug().Str("event", "handshake_failed").Str("from", from.String()).Str("cause", err.Error()).Msg("")
		},
	})
	e.ending, e.endRequests = context.WithCancel(context.Background())
	e.picker = newPicker(directory, settings.Zone, incarnation, e)
	return e, nil
}

// entryCount returns the number of live entries, including this one. It is at
// least 1, also before quota has read the membership for the first time.
func (e *Entry) entryCount() int { return max(1, e.quota.entryCount()) }

// loadReportPeriods implements peerInfo.
func (e *Entry) loadReportPeriods() (own, other time.Duration) { return e.peering.Node.LoadPeriods() }

// Serve runs the entry until ctx ends or an operator requests a drain, then
// drains it.
func (e *Entry) Serve(ctx context.Context) error {
	callerListener, err := callerconn.Listen(e.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("entry: listen.callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", e.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("entry: listen.peers: %w", err)
	}
	ctx, e.requestDrain = context.WithCancel(ctx)
	defer e.requestDrain()
	peerServer, err := e.setUpPeering(peerListener.Addr().String())
	if err != nil {
		return err
	}
	adminServer, err := admin.Listen(e.settings.Listen.Admin, admin.LimitsOf(e.settings.Connections), e.adminMux())
	if err != nil {
		return fmt.Errorf("entry: listen.admin: %w", err)
	}
	conns := callerconn.NewSet(func() time.Duration { return 0 }) // The server has an idle timeout of its own.
	server := &http.Server{
		Handler:     e.handler(),
		ConnContext: connguard.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			e.callerGuard.TrackState(c, state)
			conns.TrackState(c, state)
		},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.httpErrorLog(),
	}
	e.log.Info().Str("event", "listening").
		Str("callers", callerListener.Addr().String()).
		Str("peers", peerListener.Addr().String()).
		Str("admin", adminServer.Address()).Msg("")

	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer e.registerMetrics()()
	e.startBackground(runCtx)
	peersErr, callersErr := make(chan error, 1), make(chan error, 1)
	go func() { peersErr <- peerServer.Serve(runCtx, peerListener) }()
	// The guard sees what is decrypted, so it stands outside of TLS; callers speak HTTP/1.1.
	secureListener := tls.NewListener(callerListener, e.callerKeys.Server())
	go func() { callersErr <- server.Serve(e.callerGuard.Listener(secureListener)) }()

	select {
	case err := <-peersErr:
		return fmt.Errorf("entry: %w", err)
	case err := <-callersErr:
		return fmt.Errorf("entry: %w", err)
	case <-ctx.Done():
	}
	e.drain(server, conns, func() {
		_ = callerconn.CloseListener(callerListener) // Serve reports the end of the listener.
		<-callersErr
	})
	_ = peerListener.Close()
	stop()
	peerServer.Close()
	e.agentPool.Close()
	e.peerPool.Close()
	return adminServer.Close()
}

// setUpPeering creates the parts that need address, at which other instances
// reach this one, and returns the server for their calls.
func (e *Entry) setUpPeering(address string) (*rpc.Server, error) {
	var err error
	e.peering, err = peering.New(peering.Options{
		Settings:       e.settings,
		Role:           membership.Entry,
		Address:        address,
		Incarnation:    e.incarnation,
		Pool:           e.peerPool,
		Validate:       validateRules,
		OnInstanceList: e.updateInstances,
		OnError:        e.logSourceError,
	})
	if err != nil {
		return nil, err
	}
	e.quota = newQuota(e.settings.Name, e.peering.Node, e.peerPool)
	e.crashes.setDistributor(&crash.ReportDistributor{
		Self: e.settings.Name, Zone: e.settings.Zone, Node: e.peering.Node, Pool: e.peerPool, Log: e.log,
	})
	operatorHandler, err := e.operatorHandler()
	if err != nil {
		return nil, err
	}
	agentMux, entryMux := drpcmux.New(), drpcmux.New()
	err = errors.Join(
		e.peering.Register(agentMux),
		e.peering.Register(entryMux),
		limitspb.DRPCRegisterCoordinator(entryMux, e.quota),
		wire.DRPCRegisterSuspects(agentMux, suspectsService{e.crashes}),
		wire.DRPCRegisterSuspects(entryMux, e.crashes.reportStore),
	)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	handlers := map[keys.Role]drpc.Handler{keys.Agent: agentMux, keys.Entry: entryMux, keys.Operator: operatorHandler}
	return rpc.NewServer(e.peerKeys, e.settings.Connections.Control, handlers, func(from net.Addr, err error) {
		e.log.Warn().Str("event", "peer_refused").Str("from", from.String()).Str("cause", err.Error()).Msg("")
	}), nil
}

// startBackground starts the goroutines that keep the entry up to date until
// ctx ends.
func (e *Entry) startBackground(ctx context.Context) {
	e.peering.Run(ctx)
	go e.watchRules(ctx)
	go e.watchAgentReports(ctx)
	go e.picker.refresh(ctx)
	go e.crashes.distributor.FetchPeriodically(ctx, e.crashes.reportStore)
	go e.crashes.distributor.FetchFromAgents(ctx, e.agentPool, e.crashes.reportStore)
	go e.quota.run(ctx, e.settings.Name)
}

// updateInstances applies a new instance list of the platform.
func (e *Entry) updateInstances(list platform.InstanceList) {
	e.directory.SetInstances(list, time.Now())
	e.operatorServer.SetInstanceList(list)
	entries := 0
	for _, in := range list.Instances {
		if in.Role == platform.RoleEntry {
			entries++
		}
	}
	e.quota.setListedEntries(entries)
}

// logSourceError logs a failure to read from one of the platform's sources.
func (e *Entry) logSourceError(source string, err error) {
	e.log.Warn().Str("event", "platform_unread").Str("source", source).Str("cause", err.Error()).Msg("")
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// lastAnswersTime is how long before the end of a drain the requests that are still open are
// ended, so that their callers get an answer.
const lastAnswersTime = 300 * time.Millisecond

// drain fails the readiness check, waits for the drain delay of the settings,
// stops accepting connections, and lets requests in progress finish. From then on it refuses
// requests that may last longer than the drain. It answers the requests that are open shortly
// before the end, and closes the connections that remain after the drain timeout of the settings.
func (e *Entry) drain(server *http.Server, conns *callerconn.Set, stopAccepting func()) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	_ = e.peering.Node.Leave() // Without this mark, peers learn of the departure only when they no longer hear from the entry.
	e.log.Info().Str("event", "drain_started").Int("active", e.activeCount()).Msg("")
	time.Sleep(e.settings.Entry.DrainDelay.Std()) // The platform's load balancer sends requests here until it sees the failed readiness check.
	end := time.Now().Add(e.settings.DrainTimeout.Std())
	e.drainEnd.Store(&end)
	defer time.AfterFunc(time.Until(end)-lastAnswersTime, e.endRequests).Stop()
	stopAccepting()
	conns.Stop()
	conns.AwaitEmpty(time.Until(end)) // Shutdown would drop requests that have just been read.
	e.shutDown(server, end)
}

// shutDown ends the connections that are left, and waits for the requests of those that have one
// until end.
func (e *Entry) shutDown(server *http.Server, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.log.Warn().Str("event", "drain_cut").Int("active", e.activeCount()).Msg("")
		_ = server.Close()
		return
	}
	e.log.Info().Str("event", "drained").Msg("")
}

// checkDrain returns a refusal if the entry drains and a request with this deadline, which no
// server has got, may last longer: it would be cut at the end.
func (e *Entry) checkDrain(deadline time.Time) error {
	end := e.drainEnd.Load()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the entry stops").WithRetryAfter(stoppingRetryAfter)
}

// stoppingRetryAfter is when a caller that is refused by a stopping entry may come back: the
// platform's load balancer leads it to another one.
const stoppingRetryAfter = 100 * time.Millisecond

// requestContext returns a context that ends with parent, at the deadline, and when the
// requests that are open have to end because the entry stops.
func (e *Entry) requestContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, deadline)
	detach := context.AfterFunc(e.ending, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// beginRequest counts a request as active. It returns false while the entry
// drains: the request is still served, but its connection is closed afterwards.
func (e *Entry) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests++
	return !e.draining
}

func (e *Entry) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
}

func (e *Entry) activeCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeRequests
}

// ready reports whether the platform's load balancer should send requests to
// this entry.
func (e *Entry) ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && e.rulesState.load() != nil && e.peering.Node.Ready() && !e.peering.Node.Superseded()
}

func (e *Entry) adminMux() *http.ServeMux { return admin.NewMux(e.ready) }
