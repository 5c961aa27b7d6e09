// Package agent implements the process that runs beside one backend server
// instance and through which all requests to that backend server pass.
//
// An entry sends a request to the agent as an attempt, which waits for one of the
// backend server's slots. The verdict of a refused attempt says whether it ran:
// not run, may have run, or ran. A request that must not run twice carries a
// ticket. The incarnation of an agent is one start of its process; a later start
// has a higher number.
//
// If the backend server hosts ranks of a model group, the agent also controls
// them. The expert map says which rank computes which experts. A switch replaces
// the map on all ranks of the group at the same step. The agent that leads an
// attempt to switch the map sends orders to the agents of all ranks; an order may
// put a rank under a hold, which stops it before a step until it is confirmed.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"bluebellwind.example/internal/admin"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/peering"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/membership"
	"bluebellwind.example/once"
	"bluebellwind.example/routing/admission"
	"bluebellwind.example/rules"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// Agent forwards requests to one backend server and publishes its load. Its drpc
// methods are safe for concurrent use.
type Agent struct {
	settings     *config.Settings
	log          *log.Logger
	clock        clock.Clock
	incarnation  uint64
	keys         *keys.Store
	signer       *once.Signer  // Verifies tickets.
	journal      *once.Journal // Records the runs of requests with tickets.
	attempts     *attemptTable
	gate         *admission.Gate
	serviceTimes serviceTimes
	peerPool     *rpc.Pool
	// peering is set by newRPCServer, which needs the listen address.
	peering *peering.Peering
	backend *backend
	// crashMonitor is set by newRPCServer.
	crashMonitor *crashMonitor
	operatorAccess
	// rankManager is nil unless the backend server hosts ranks of a group.
	rankManager *rankManager

	mu          sync.Mutex
	draining    bool
	activeCalls int
	// idle is closed when activeCalls becomes 0. It is nil unless a drain waits.
	idle chan struct{}
}

// New returns an agent that is not yet listening. Its incarnation is the current
// Unix time in nanoseconds.
func New(settings *config.Settings, logger *log.Logger) (*Agent, error) {
	keyStore, err := keys.Open(keys.Files{
		Authority:   settings.Keys.Authority,
		Certificate: settings.Keys.Certificate,
		Key:         settings.Keys.Key,
	})
	if err != nil {
		return nil, err
	}
	secret, err := keys.ReadSecret(settings.Keys.Ticket)
	if err != nil {
		return nil, err
	}
	agentSettings := settings.Agent
	incarnation := uint64(time.Now().UnixNano())
	a := &Agent{
		settings:    settings,
		log:         logger,
		clock:       clock.New(),
		incarnation: incarnation,
		keys:        keyStore,
		signer:      once.NewSigner(secret),
		journal: once.NewJournal(settings.Name, incarnation, once.Settings{
			Retention: agentSettings.JournalWindow.Std(),
			MaxBytes:  agentSettings.JournalMaxBytes,
		}),
		attempts:       newAttemptTable(incarnation),
		gate:           admission.NewGate(admission.Config{Slots: agentSettings.Slots, MaxQueued: agentSettings.Queue, MaxWait: agentSettings.MaxWait.Std()}),
		peerPool:       rpc.NewPool(keyStore, keys.Entry, keys.Agent),
		backend:        newBackend(agentSettings.Backend, agentSettings.Slots, agentSettings.Group != ""),
		operatorAccess: newOperatorAccess(),
	}
	a.rankManager = newRankManager(settings, logger, a.peerPool, a.isDraining)
	return a, nil
}

// Serve runs the agent until ctx ends or an operator requests a drain, then
// drains it.
func (a *Agent) Serve(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", a.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("agent: listen.peers: %w", err)
	}
	adminServer, err := admin.Listen(a.settings.Listen.Admin, admin.LimitsOf(a.settings.Connections), a.newAdminMux())
	if err != nil {
		return fmt.Errorf("agent: listen.admin: %w", err)
	}
	ctx, a.requestDrain = context.WithCancel(ctx)
	defer a.requestDrain()
	server, err := a.newRPCServer(peerListener.Addr().String())
	if err != nil {
		return err
	}
	a.log.Info().Str("event", "listening").
		Str("peers", peerListener.Addr().String()).
		Str("admin", adminServer.Address()).
		Uint64("incarnation", a.incarnation).Msg("")

	serveCtx, cancelServe := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelServe()
	defer a.registerMetrics()()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(serveCtx, peerListener) }()
	a.peering.Run(serveCtx)
	go a.runAttemptTicker(serveCtx)
	go a.publishLoads(serveCtx)
	a.rankManager.run(serveCtx)

	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	a.drain()
	_ = peerListener.Close()
	cancelServe()
	server.Close()
	a.peerPool.Close()
	return adminServer.Close()
}

func (a *Agent) newRPCServer(address string) (*rpc.Server, error) {
	var err error
	a.peering, err = peering.New(peering.Options{
		Settings:    a.settings,
		Role:        membership.Agent,
		Address:     address,
		Incarnation: a.incarnation,
		Pool:        a.peerPool,
		Validate:    validateRules,
		OnInstanceList: func(list platform.InstanceList) {
			a.setInstanceList(list)
			a.rankManager.setInstanceList(list)
		},
		OnError: func(source string, err error) {
			a.log.Warn().Str("event", "platform_unread").Str("source", source).Str("cause", err.Error()).Msg("")
		},
	})
	if err != nil {
		return nil, err
	}
	a.crashMonitor = newCrashMonitor(a)
	operatorHandler, err := a.newOperatorHandler()
	if err != nil {
		return nil, err
	}
	agentMux, entryMux := drpcmux.New(), drpcmux.New()
	err = errors.Join(
		a.peering.Register(agentMux),
		a.peering.Register(entryMux),
		wire.DRPCRegisterAgent(entryMux, a),
		wire.DRPCRegisterSuspects(entryMux, reportService{a.crashMonitor.reports}),
		a.rankManager.register(agentMux, a.peering),
	)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	handlers := map[keys.Role]drpc.Handler{keys.Agent: agentMux, keys.Entry: entryMux, keys.Operator: operatorHandler}
	return rpc.NewServer(a.keys, a.settings.Connections.Control, handlers, func(from net.Addr, err error) {
		a.log.Warn().Str("event", "peer_refused").Str("from", from.String()).Str("cause", err.Error()).Msg("")
	}), nil
}

func (a *Agent) newAdminMux() *http.ServeMux {
	mux := admin.NewMux(func() bool { return !a.isDraining() })
	a.rankManager.serveAdmin(mux)
	return mux
}

func (a *Agent) runAttemptTicker(ctx context.Context) {
	clock.Every(ctx, awakeTickInterval, func(time.Time) { a.attempts.tick(a.clock.Now()) })
}

// beginCall counts a call as active, so that a drain waits for it. Each call
// needs one endCall.
func (a *Agent) beginCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls++
}

// rejectIfDraining refuses new work once the agent drains, or once a process with
// a higher incarnation runs under its name.
func (a *Agent) rejectIfDraining() error {
	if a.isDraining() || a.peering.Node.Superseded() {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the server is leaving")
	}
	return nil
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls--
	if a.activeCalls == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// drain refuses new work and waits for active calls, for at most the configured
// drain timeout.
func (a *Agent) drain() {
	idle := a.beginDrain()
	a.log.Info().Str("event", "drain_started").Msg("")
	if idle == nil {
		a.log.Info().Str("event", "drained").Msg("")
		return
	}
	select {
	case <-idle:
		a.log.Info().Str("event", "drained").Msg("")
	case <-time.After(a.settings.DrainTimeout.Std()):
		a.log.Warn().Str("event", "drain_cut").Int("active", a.activeCallCount()).Msg("")
	}
}

// beginDrain marks the agent as draining and announces this to its peers. It
// returns a channel that is closed when no call is active, or nil if none is
// active now.
func (a *Agent) beginDrain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	_ = a.peering.Node.Leave() // It fails only if the instance is already marked as leaving.
	if a.activeCalls == 0 {
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	return a.idle
}

func (a *Agent) activeCallCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.activeCalls
}

// validateRules rejects rules that do not parse, so that the agent does not
// spread rules that no entry can use.
func validateRules(text []byte) error {
	ruleSet, problems := rules.Parse("rules", text)
	if ruleSet == nil {
		return errors.New(problems[0].String())
	}
	return nil
}
