package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery"
	"bluebellwind.example/internal/callerconn"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/quarantine"
	"bluebellwind.example/ratelimit"
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/upstream"
)

const (
	// maxIdleRepeatable and maxIdleNonRepeatable are how long a reused connection to a
	// server may have been idle, for requests that may and may not be repeated. A
	// request that may not be repeated is lost if the server closes the idle
	// connection at that moment.
	maxIdleRepeatable    = time.Minute
	maxIdleNonRepeatable = 500 * time.Millisecond
	// minConnectionsPerServer is the least number of connections that this gateway
	// may open to a server, however small its share of the service's limit is.
	minConnectionsPerServer = 3
	// brokenGroupExclusion is how long a group is excluded after one of its servers
	// refused a request because the group is broken, unless its ranks report earlier
	// that it has reopened.
	brokenGroupExclusion = 900 * time.Millisecond
	// readHeaderTimeout limits the time for reading a request's header. The timeout
	// stated in the configuration is not applied.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of a request's header, in bytes, that a configuration
	// can allow, and defaultMaxHeaderBytes that while the configuration states none.
	maxHeaderBytes        = 1 << 20
	defaultMaxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes is the maximum size of a request's body, in bytes,
	// while the configuration states none.
	defaultMaxBodyBytes = 4 << 20
	// lastAnswersTime is the time for sending the refusals of requests that are still
	// open at the end of a drain.
	lastAnswersTime = 100 * time.Millisecond
	// probeIdleTimeout is how long a connection of probes may be idle. The platform probes each
	// second.
	probeIdleTimeout = 30 * time.Second
	// idleCheckInterval is the time between two checks for idle connections to
	// servers.
	idleCheckInterval = time.Second
)

// Limits are the limits that the gateway guarantees to observe.
type Limits struct {
	// MaxProofAge is the maximum age of the proof that the configuration, and
	// with it a key, is still valid.
	MaxProofAge time.Duration
	// MaxZonesAge is the maximum age of the proof that the evacuated zones are known, for
	// all requests; zero for no limit. While the source cannot be reached, the last known
	// zones stay in effect whatever their age.
	MaxZonesAge time.Duration
	// RetryWindow limits the retries of all gateways together.
	RetryWindow retry.WindowConfig
	// Cold bounds the requests that reach cold servers; nil if servers are never cold.
	Cold *backends.ColdBound
	// DrainDelay is how long a stopping gateway still accepts connections, until
	// the platform has noticed that it is not ready.
	DrainDelay time.Duration
	// DrainTimeout is the maximum time from the stop signal to the end of the last
	// response; requests still open then are refused, and all connections are closed
	// lastAnswersTime later.
	DrainTimeout time.Duration
	// Memory bounds what is held for callers and servers; zero fields have defaults.
	Memory MemoryLimits
	// Connections bounds the connections of callers, ControlConnections those at the address of
	// readiness probes; zero for the defaults.
	Connections, ControlConnections int
}

// Defaults of Limits.
const (
	defaultConnections        = 4096
	defaultControlConnections = 64
)

// Options configures a Gateway.
type Options struct {
	// CallerAddress and ReadinessAddress are the addresses to listen on for
	// requests and for readiness probes, as IP:port; ReadinessPath is the path of
	// the probes.
	CallerAddress    string
	ReadinessAddress string
	ReadinessPath    string
	Limits           Limits
	HeaderCodec      HeaderCodec
	Follower         *discovery.Follower
	Directory        *backends.Directory
	// GatewayCount returns the number of live gateways, including this one.
	GatewayCount func() int
	// OnLeaving is called once for each server that says to this gateway that it
	// leaves, by the goroutine of the request; it may be nil.
	OnLeaving func(backends.Server)
	// OnSuspicions is called with what the other gateways should be told of requests
	// under which servers crashed; it may be nil.
	OnSuspicions func([]quarantine.Suspicion)
	// OnLimits is called with what the other gateways should be told of servers that limit
	// their requests; it may be nil.
	OnLimits func([]ratelimit.Statement)
	// CrashMemoryStart is the time from which on the gateway hears of crashes of servers; zero
	// if there were none before.
	CrashMemoryStart time.Time
	// Seed must differ between gateways.
	Seed uint64
	Log  *log.Logger
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	options     Options
	headerCodec HeaderCodec
	directory   *backends.Directory
	follower    *discovery.Follower
	retryBudget *retry.Window
	pool        *upstream.Pool
	log         *log.Logger
	metrics     *gatewayMetrics
	malformed   malformedLog
	// malformedCold is apart from malformed, because each is logged once for a server.
	malformedCold malformedLog
	quarantine    *quarantine.Registry
	attempts      attemptSet
	limits        atomic.Pointer[Limits]
	callerConns   *callerconn.Set
	// callerGuard and probeGuard bound what the connections of callers and probes hold.
	callerGuard, probeGuard *connguard.Guard
	headerMemory            *connguard.Budget
	draining                atomic.Bool
	// drainEnd is when requests are ended; nil until no more connections are accepted.
	drainEnd atomic.Pointer[time.Time]
	// ending is canceled when the requests that are still open must be answered at
	// once, by endRequests.
	ending      context.Context
	endRequests context.CancelFunc
	memory      *memory
	responses   openResponses
	// maxUnread is how long a response may stay unread because of its caller.
	maxUnread time.Duration
	// noReadAhead switches reading ahead off; set by tests only.
	noReadAhead bool
	// maxSilence is how long a server may send nothing of use where the request has no
	// deadline.
	maxSilence time.Duration
	// maxBodyTime bounds the time for reading the body of a request that has no deadline.
	maxBodyTime time.Duration
	// peakGatewayCount is the highest number of live gateways seen. Limits
	// shared by all gateways are divided by it, because gateways that are cut
	// off from this one still use their share.
	peakGatewayCount atomic.Int64
}

// New returns a Gateway that is not listening yet.
func New(o Options) *Gateway {
	g := &Gateway{
		options:     o,
		headerCodec: o.HeaderCodec,
		directory:   o.Directory,
		follower:    o.Follower,
		retryBudget: retry.NewWindow(o.Limits.RetryWindow),
		pool:        upstream.NewPool(),
		quarantine:  quarantine.NewRegistry(o.Seed),
		log:         o.Log,
		memory:      newMemory(o.Limits.Memory),
		maxUnread:   defaultMaxUnread,
		maxSilence:  defaultMaxSilence,
		maxBodyTime: defaultMaxBodyTime,
	}
	g.quarantine.SetStart(o.CrashMemoryStart)
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.callerConns = callerconn.NewSet(func() time.Duration {
		if t := g.follower.Table(); t != nil {
			return t.Limits().IdleTimeout
		}
		return 0
	})
	g.newGuards(o.Limits)
	g.metrics = newGatewayMetrics(g)
	g.limits.Store(&o.Limits)
	return g
}

// Reload applies changed limits.
func (g *Gateway) Reload(limits Limits) {
	g.limits.Store(&limits)
	g.retryBudget.Configure(limits.RetryWindow)
	if limits.Cold != nil {
		g.directory.SetColdBound(*limits.Cold)
	}
	g.memory.configure(limits.Memory)
	g.headerMemory.SetLimit(limits.Memory.withDefaults().Headers)
	g.callerGuard.SetConnections(cmp.Or(limits.Connections, defaultConnections))
	g.log.Info().Str("event", "bounds_reloaded").Msg("")
}

// Serve accepts requests until ctx ends, then drains the gateway.
func (g *Gateway) Serve(ctx context.Context) error {
	callerListener, err := callerconn.Listen(g.options.CallerAddress)
	if err != nil {
		return fmt.Errorf("gateway: listen for callers: %w", err)
	}
	probeListener, err := net.Listen("tcp", g.options.ReadinessAddress)
	if err != nil {
		_ = callerListener.Close() // The listen error is reported instead.
		return fmt.Errorf("gateway: listen for readiness probes: %w", err)
	}
	callerServer := g.newCallerServer()
	probeServer := &http.Server{
		Handler: g.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, WriteTimeout: readHeaderTimeout,
		IdleTimeout: probeIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.probeGuard.TrackState,
	}
	callersErr, probesErr := make(chan error, 1), make(chan error, 1)
	go func() { callersErr <- callerServer.Serve(g.callerGuard.Listener(callerListener)) }()
	go func() { probesErr <- probeServer.Serve(g.probeGuard.Listener(probeListener)) }()
	go g.closeIdleServerConnections(ctx)
	g.log.Info().Str("event", "started").Str("callers", g.options.CallerAddress).Msg("")
	select {
	case err := <-callersErr:
		return fmt.Errorf("gateway: serve callers: %w", err)
	case err := <-probesErr:
		return fmt.Errorf("gateway: serve readiness probes: %w", err)
	case <-ctx.Done():
	}
	g.drain(callerServer, func() {
		_ = callerconn.CloseListener(callerListener) // Serve reports the end of the listener.
		<-callersErr
	})
	return probeServer.Close()
}

func (g *Gateway) newCallerServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	// The configuration's routes decide on the path, so echo has no routes.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			g.serve(c.Response().Writer, c.Request())
			return nil
		}
	})
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       connguard.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			g.callerGuard.TrackState(c, state)
			g.callerConns.TrackState(c, state)
		},
		ErrorLog: nil,
	}
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.options.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready reports whether the gateway should receive new connections.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && !g.directory.Joining(time.Now()) && g.follower.Table() != nil && g.configFresh()
}

// configFresh reports whether the proof that the configuration is current is
// recent enough to accept a key.
func (g *Gateway) configFresh() bool {
	age, ok := g.follower.ProofAge()
	return ok && age <= g.limits.Load().MaxProofAge
}

// zonesFresh reports whether the evacuated zones are known well enough to send to a
// server. A process that was suspended may have missed an evacuation.
func (g *Gateway) zonesFresh() bool {
	limit := g.limits.Load().MaxZonesAge
	if limit == 0 || g.follower.SourceLost() {
		return true
	}
	age, ok := g.follower.ProofAge()
	return ok && age <= limit
}

// gatewayCount returns the number of gateways among which shared limits are
// divided.
func (g *Gateway) gatewayCount() int {
	alive := int64(g.options.GatewayCount())
	for {
		peak := g.peakGatewayCount.Load()
		if alive <= peak {
			return int(peak)
		}
		if g.peakGatewayCount.CompareAndSwap(peak, alive) {
			return int(alive)
		}
	}
}

// drain reports not ready, stops accepting connections after DrainDelay, and
// lets pending responses finish until DrainTimeout. Requests that have no response by
// then are refused, as are, from DrainDelay on, new ones that may last longer. stopAccepting closes the listener and
// returns once each accepted connection is known to callerConns.
func (g *Gateway) drain(server *http.Server, stopAccepting func()) {
	limits := g.limits.Load()
	started := time.Now()
	g.draining.Store(true)
	g.log.Info().Str("event", "drain_started").Msg("")
	time.Sleep(limits.DrainDelay)
	end := started.Add(limits.DrainTimeout)
	g.drainEnd.Store(&end)
	stopAccepting()
	g.callerConns.Stop()
	if !g.callerConns.AwaitEmpty(time.Until(end)) {
		g.log.Warn().Str("event", "drain_cut").Int64("requests", g.metrics.activeRequests.Load()).Msg("")
		g.endRequests()
		g.callerConns.AwaitEmpty(lastAnswersTime)
	}
	if err := server.Close(); err != nil {
		g.log.Warn().Str("event", "drain_failed").Str("cause", err.Error()).Msg("")
	}
	g.log.Info().Str("event", "stopped").Dur("after", time.Since(started)).Msg("")
}

// closeIdleServerConnections closes idle connections to servers until ctx ends.
func (g *Gateway) closeIdleServerConnections(ctx context.Context) {
	clock.Every(ctx, idleCheckInterval, g.pool.CloseIdle)
}

// setConnectionClose tells the caller, while the gateway drains, that its
// connection is closed after this response.
func (g *Gateway) setConnectionClose(h http.Header) {
	if g.draining.Load() {
		h.Set("Connection", "close")
	}
}

const (
	// A caller that is refused because the proof that the configuration is current
	// is missing or too old is told to retry after minStaleDelay plus a random delay
	// below staleJitter. The delay is short, as the retry goes to another gateway.
	minStaleDelay = 100 * time.Millisecond
	staleJitter   = 300 * time.Millisecond
	// minRefusalDelay and refusalJitter are the same delays for a caller whose
	// request failed at the servers.
	minRefusalDelay = 300 * time.Millisecond
	refusalJitter   = 700 * time.Millisecond
)

// staleDelay returns the retry delay of a refusal because of a stale configuration.
func (g *Gateway) staleDelay() time.Duration { return withJitter(minStaleDelay, staleJitter) }

// refusalDelay returns the retry delay of a refusal after failed attempts.
func (g *Gateway) refusalDelay() time.Duration { return withJitter(minRefusalDelay, refusalJitter) }

// withJitter returns minimum plus a random part of jitter, so that callers
// refused at the same time do not all retry at the same time.
func withJitter(minimum, jitter time.Duration) time.Duration {
	return minimum + time.Duration(rand.Int64N(int64(jitter)))
}
