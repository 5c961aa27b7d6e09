// Package node puts the parts together for processes that meet an outside
// platform: a gateway before the backend servers, and the agent of a rank.
package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery"
	"bluebellwind.example/gateway"
	"bluebellwind.example/internal/admin"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/platform"
	"bluebellwind.example/routing/retry"
)

const (
	// proofMargin is taken off the bound on revoked keys: a request needs that
	// long at most from the last look at the proof to the server.
	proofMargin = 500 * time.Millisecond
	// retryReserve is the share of the retry budget that stays unused.
	retryReserve = 0.2
	// windowSlack lengthens the window of the retry budget, which is counted in
	// parts.
	windowSlack = 1.1
	// drainNotice is how long the platform needs to notice that a gateway is not
	// ready: two probes a second apart, and one on its way.
	drainNotice = 2500 * time.Millisecond
	// drainReserve is the part of the grace in which the process ends.
	drainReserve = 700 * time.Millisecond
	// dropReport is the time between two looks for dropped log lines.
	dropReport = 5 * time.Second
)

// RunGateway runs a gateway until it is told to stop.
func RunGateway(file string) error {
	settings, err := config.LoadNode(file)
	if err != nil {
		return err
	}
	if err := settings.CheckGateway(file); err != nil {
		return err
	}
	logger := newLog(settings)
	defer closeLog(logger)
	limitMemory(settings.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	background, end := context.WithCancel(context.Background())
	defer end()

	incarnation := uint64(time.Now().UnixNano())
	directory := backends.NewDirectory(settings.Zone, seedOf(settings.Name)^incarnation)
	peers, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: settings.Name, Address: settings.Mesh, Role: mesh.Gateway, Zone: settings.Zone, Incarnation: incarnation,
		},
		Seeds:        settings.MeshSeeds(),
		Handler:      takeStatus(directory, logger),
		OnPeerChange: logPeer(logger),
		OnError:      logMeshError(logger),
	})
	if err != nil {
		return err
	}
	source := platform.NewSource(platform.NewStore(settings.Store), logger.Logger)
	follower := discovery.NewFollower(source, directory, gatewayPeers(peers, settings), logger.Logger)
	forPeers, err := net.Listen("tcp", settings.Mesh)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	g := gateway.New(gateway.Options{
		Callers:   settings.Callers,
		Ready:     settings.Ready,
		ReadyPath: platform.PathReady,
		Bounds:    boundsOf(settings),
		Format:    platform.Headers{},
		Follower:  follower,
		Directory: directory,
		Processes: func() int { return peers.Count(mesh.Gateway) },
		Log:       logger.Logger,
	})
	go peers.Run(background)
	go func() {
		if err := follower.ServePeers(background, forPeers); err != nil && background.Err() == nil {
			logger.Error().Str("event", "peers_unserved").Str("cause", err.Error()).Msg("")
		}
	}()
	go follower.Run(background)
	go reportDrops(background, logger)
	go reloadOnHangup(background, file, logger, g)
	if closeMetrics, err := serveMetrics(settings.Metrics, g.Metrics()); err != nil {
		logger.Warn().Str("event", "metrics_unavailable").Str("cause", err.Error()).Msg("")
	} else {
		defer closeMetrics()
	}
	return g.Serve(ctx)
}

// gatewayPeers returns where other gateways are asked for what is published.
func gatewayPeers(node *mesh.Node, settings *config.Node) discovery.Peers {
	all := func() []string {
		peers := node.Peers(mesh.Gateway)
		out := make([]string, 0, len(peers))
		for _, p := range peers {
			out = append(out, p.Address)
		}
		return out
	}
	readers := func() []string {
		var zone []discovery.Gateway
		for _, p := range node.Peers(mesh.Gateway) {
			if p.Zone == settings.Zone {
				zone = append(zone, discovery.Gateway{ID: p.ID, Address: p.Address})
			}
		}
		return discovery.SelectReaders(settings.Name, zone)
	}
	return discovery.Peers{All: all, Readers: readers}
}

func boundsOf(s *config.Node) gateway.Bounds {
	return gateway.Bounds{
		KeyProof: s.Bounds.RevokeBound() - proofMargin,
		Retries: retry.WindowConfig{
			Span:    time.Duration(windowSlack * float64(s.Bounds.RetryWindow())),
			Ratio:   s.Bounds.RetryRatio,
			Free:    s.Bounds.RetryFree,
			Reserve: retryReserve,
		},
		DrainNotice: min(drainNotice, s.Bounds.Grace()/2),
		DrainLimit:  max(0, s.Bounds.Grace()-drainReserve),
	}
}

// takeStatus passes the status of model servers on to the directory.
func takeStatus(directory *backends.Directory, logger *logging.Bounded) mesh.Handler {
	return func(_ mesh.Peer, packet *meshpb.Packet) {
		s := packet.GetStatus()
		if s == nil {
			return
		}
		changed := directory.Report(s.Server, backends.Status{
			Up:      s.Up,
			Group:   backends.Group{Name: s.Group, Epoch: s.Epoch, Rank: int(s.Rank), Size: int(s.Size)},
			Open:    s.Open,
			Running: int(s.Running),
			Waiting: int(s.Waiting),
			Step:    s.Step,
			Pass:    time.Duration(s.PassUs) * time.Microsecond,
			Pace:    float64(s.PaceMilli) / 1000,
			At:      time.Now(),
		})
		if changed {
			logger.Info().Str("event", "rank").Str("server", s.Server).Str("group", s.Group).
				Uint64("epoch", s.Epoch).Bool("up", s.Up).Bool("open", s.Open).Msg("")
		}
	}
}

func logPeer(logger *logging.Bounded) func(mesh.Peer, bool) {
	return func(p mesh.Peer, alive bool) {
		logger.Info().Str("event", "peer").Str("peer", p.ID).Bool("alive", alive).Msg("")
	}
}

func logMeshError(logger *logging.Bounded) func(error) {
	return func(err error) { logger.Debug().Str("event", "mesh_error").Str("cause", err.Error()).Msg("") }
}

// reloadOnHangup reads the settings again when the platform says that they
// changed. Addresses stay until the next start.
func reloadOnHangup(ctx context.Context, file string, logger *logging.Bounded, g *gateway.Gateway) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		settings, err := config.LoadNode(file)
		if err != nil {
			logger.Error().Str("event", "reload_refused").Str("cause", err.Error()).Msg("")
			continue
		}
		g.Reload(boundsOf(settings))
	}
}

// reportDrops logs now and then how many lines were dropped.
func reportDrops(ctx context.Context, logger *logging.Bounded) {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if dropped := logger.Dropped(); dropped > reported {
			logger.Warn().Str("event", "log_dropped").Int64("lines", dropped-reported).Msg("")
			reported = dropped
		}
	}
}

func serveMetrics(address string, set *metrics.Set) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server, err := admin.Listen(address, mux)
	if err != nil {
		return nil, fmt.Errorf("node: metrics: %w", err)
	}
	return func() { _ = server.Close() }, nil // The process ends anyway.
}

// seedOf makes a seed of a name.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // A hash takes every byte.
	return h.Sum64()
}
