package gateway

import (
	"context"
	"errors"
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
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/upstream"
)

const (
	// reuseRepeatable and reuseOnce are how long a connection to a server may
	// have been idle when it is used again. A request that may not be repeated
	// is lost when the server closes the connection at that moment.
	reuseRepeatable = time.Minute
	reuseOnce       = 500 * time.Millisecond
	// minConnections to one server are always allowed.
	minConnections = 3
	// groupRetry is how long a group that refused as broken is left out, unless
	// its ranks say before that it has opened.
	groupRetry = 900 * time.Millisecond
	// headerTimeout bounds the time for the head of a request until the
	// configuration states it.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// defaultMaxBody bounds a body until the configuration states it, in bytes.
	defaultMaxBody = 4 << 20
	// housekeeping is the time between two looks for idle connections.
	housekeeping = time.Second
)

// Bounds are the promises that the gateway keeps to.
type Bounds struct {
	// KeyProof is the greatest age of the proof that a key still holds.
	KeyProof time.Duration
	// Retries bounds the retries of all gateways.
	Retries retry.WindowConfig
	// DrainNotice is how long a stopping gateway takes new connections, until
	// the platform has noticed that it is not ready.
	DrainNotice time.Duration
	// DrainLimit is how long a stopping gateway finishes answers, from the
	// signal on.
	DrainLimit time.Duration
}

// Options configure a Gateway.
type Options struct {
	// Callers and Ready are the addresses that requests and readiness probes
	// arrive at, IP:port; ReadyPath is the path of the probes.
	Callers   string
	Ready     string
	ReadyPath string
	Bounds    Bounds
	Format    Format
	Follower  *discovery.Follower
	Directory *backends.Directory
	// Processes returns how many gateways are alive, this one included.
	Processes func() int
	Log       *log.Logger
}

// Gateway takes requests of callers. It is safe for concurrent use.
type Gateway struct {
	options   Options
	format    Format
	directory *backends.Directory
	follower  *discovery.Follower
	budget    *retry.Window
	pool      *upstream.Pool
	log       *log.Logger
	metrics   *meters
	bounds    atomic.Pointer[Bounds]
	draining  atomic.Bool
	// most is the greatest number of gateways seen alive: those that are cut
	// off still spend their share of what all may spend.
	most atomic.Int64
}

// New returns a Gateway that does not listen yet.
func New(o Options) *Gateway {
	g := &Gateway{
		options:   o,
		format:    o.Format,
		directory: o.Directory,
		follower:  o.Follower,
		budget:    retry.NewWindow(o.Bounds.Retries),
		pool:      upstream.NewPool(),
		log:       o.Log,
	}
	g.metrics = newMeters(g)
	g.bounds.Store(&o.Bounds)
	return g
}

// Reload puts changed bounds in force.
func (g *Gateway) Reload(b Bounds) {
	g.bounds.Store(&b)
	g.budget.Configure(b.Retries)
	g.log.Info().Str("event", "bounds_reloaded").Msg("")
}

// Serve takes requests until ctx ends, then drains.
func (g *Gateway) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", g.options.Callers)
	if err != nil {
		return fmt.Errorf("gateway: callers: %w", err)
	}
	ready, err := net.Listen("tcp", g.options.Ready)
	if err != nil {
		_ = callers.Close() // The other error is the cause.
		return fmt.Errorf("gateway: ready: %w", err)
	}
	server := g.callerServer()
	probes := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(callers) }()
	go func() { failed <- probes.Serve(ready) }()
	go g.keepHouse(ctx)
	g.log.Info().Str("event", "started").Str("callers", g.options.Callers).Msg("")
	select {
	case err := <-failed:
		return fmt.Errorf("gateway: %w", err)
	case <-ctx.Done():
	}
	g.drain(server)
	return probes.Close()
}

func (g *Gateway) callerServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	// Paths are looked up in the operators' routes, so echo routes none.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			g.serve(c.Response().Writer, c.Request())
			return nil
		}
	})
	idle := newIdleConnections(func() time.Duration {
		if t := g.follower.Table(); t != nil {
			return t.Limits().IdleTimeout
		}
		return 0
	})
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         idle.note,
		ErrorLog:          nil,
	}
}

func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready says whether new callers should come here.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.follower.Table() != nil && g.fresh()
}

// fresh says that the configuration is proved to be new enough to act on a key.
func (g *Gateway) fresh() bool {
	age, ok := g.follower.Age()
	return ok && age <= g.bounds.Load().KeyProof
}

// processes returns how many gateways share the bounds that all keep together.
func (g *Gateway) processes() int {
	now := int64(g.options.Processes())
	for {
		most := g.most.Load()
		if now <= most {
			return int(most)
		}
		if g.most.CompareAndSwap(most, now) {
			return int(now)
		}
	}
}

// drain stops taking connections once the platform has noticed, and lets the
// answers finish.
func (g *Gateway) drain(server *http.Server) {
	bounds := g.bounds.Load()
	began := time.Now()
	g.draining.Store(true)
	g.log.Info().Str("event", "drain_started").Msg("")
	time.Sleep(bounds.DrainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(bounds.DrainLimit))
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn().Str("event", "drain_cut").Msg("")
		err = server.Close()
	}
	if err != nil {
		g.log.Warn().Str("event", "drain_failed").Str("cause", err.Error()).Msg("")
	}
	g.log.Info().Str("event", "stopped").Dur("after", time.Since(began)).Msg("")
}

func (g *Gateway) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pool.CloseIdle(now)
		}
	}
}

// markClosing tells the caller that its connection ends here.
func (g *Gateway) markClosing(h http.Header) {
	if g.draining.Load() {
		h.Set("Connection", "close")
	}
}

const (
	// staleRetryBase and staleRetrySpread say when a caller that was refused for
	// want of a proof comes back: to another gateway, so soon.
	staleRetryBase   = 100 * time.Millisecond
	staleRetrySpread = 300 * time.Millisecond
	// refusalRetryBase and refusalRetrySpread say when a caller comes back whose
	// request servers refused.
	refusalRetryBase   = 300 * time.Millisecond
	refusalRetrySpread = 700 * time.Millisecond
)

func (g *Gateway) staleRetry() time.Duration { return spread(staleRetryBase, staleRetrySpread) }

func (g *Gateway) refusalRetry() time.Duration { return spread(refusalRetryBase, refusalRetrySpread) }

// spread draws a time, so that callers refused together come back apart.
func spread(least, width time.Duration) time.Duration {
	return least + time.Duration(rand.Int64N(int64(width)))
}
