// Package node assembles the processes that integrate with an external platform:
// a gateway in front of the backend servers, and the agent of a rank.
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
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/platform"
	"bluebellwind.example/routing/retry"
)

const (
	// revocationMargin is subtracted from the bound on the use of revoked keys.
	// It covers the greatest time that a request takes from the last check that
	// its key is still valid, see gateway.Limits.MaxProofAge, until it reaches the
	// backend server.
	revocationMargin = 500 * time.Millisecond
	// evacuationMargin is subtracted from the bound on requests to evacuated zones, for the
	// time from the last check until a request reaches the server.
	evacuationMargin = 500 * time.Millisecond
	// retryBudgetReserve is the share of the retry budget that stays unused, in
	// [0, 1).
	retryBudgetReserve = 0.2
	// retryWindowFactor is the factor by which the window of the retry budget is
	// lengthened, because retries are counted in discrete parts of the window.
	retryWindowFactor = 1.1
	// unreadyDetectionTime is how long the platform needs to detect that a
	// gateway is not ready: two probes one second apart, and a probe that is in
	// flight.
	unreadyDetectionTime = 2500 * time.Millisecond
	// maxShutdownReserve is the part of the grace period, which the settings allow
	// between the stop signal and the end of the process, that is reserved for
	// ending the process after the drain. Of a short grace period it is
	// shutdownReserveShare.
	maxShutdownReserve   = 700 * time.Millisecond
	shutdownReserveShare = 0.125
	// dropReportInterval is the time between two checks for dropped log lines.
	dropReportInterval = 5 * time.Second
)

// RunGateway runs a gateway with the settings in file until SIGTERM or SIGINT. It
// then drains the gateway, within the limits of the settings, and returns.
func RunGateway(file string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // Before anything else, as the signal ends a process that does not expect it.
	settings, err := config.LoadNode(file)
	if err != nil {
		return err
	}
	if err := settings.CheckGateway(file); err != nil {
		return err
	}
	logger := newLogger(settings)
	defer closeLogger(logger)
	limitMemory(settings.MemoryMB)
	limitThreads(settings.MaxProcs)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// backgroundCtx ends when this function returns, so background work continues
	// during the drain.
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()

	// incarnation differs between successive processes of the same name.
	incarnation := uint64(time.Now().UnixNano())
	directory := backends.NewDirectory(settings.Zone, seedFromName(settings.Name)^incarnation)
	directory.SetSelf(settings.Name)
	directory.SetRegions(settings.Zones)
	if bound := coldBound(settings); bound != nil {
		directory.EnableColdStart(*bound, time.Now())
	}
	statuses := newStatusFeed(settings.Name, settings.Zone, directory, logger)
	suspicions, limits := &suspicionExchange{}, &limitExchange{directory: directory}
	demand := &demandExchange{directory: directory}
	others := &gossip{topics: []topic{suspicions, limits, demand}, onPanic: logPanic(logger)}
	meshNode, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: settings.Name, Address: settings.Mesh, Role: mesh.Gateway, Zone: settings.Zone, Incarnation: incarnation,
		},
		Seeds:   settings.MeshSeeds(),
		Handler: packetHandler(directory, statuses, others, logger),

		LinkBytesPerSecond: settings.LinkMbps * bytesPerMegabit,
		MaxPeers:           settings.MeshPeers,
		OnPeerChange:       peerChangeHandler(directory, others, logger),
		OnError:            logMeshError(logger),
		OnPanic:            logPanic(logger),
	})
	if err != nil {
		return err
	}
	source := platform.NewSource(platform.NewStoreClient(settings.Store), logger.Logger)
	follower := discovery.NewFollower(source, directory, peerAddresses(meshNode, settings), logger.Logger)
	peerListener, err := net.Listen("tcp", settings.Mesh)
	if err != nil {
		return fmt.Errorf("node: listen for peers: %w", err)
	}
	gw := gateway.New(gateway.Options{
		CallerAddress:    settings.Callers,
		ReadinessAddress: settings.Ready,
		ReadinessPath:    platform.ReadinessPath,
		Limits:           gatewayLimits(settings),
		HeaderCodec:      platform.HeaderCodec{},
		Follower:         follower,
		Directory:        directory,
		GatewayCount:     func() int { return meshNode.Count(mesh.Gateway) },
		OnLeaving:        tellGateways(meshNode),
		OnSuspicions:     suspicions.tellAll,
		OnLimits:         limits.tellAll,
		CrashMemoryStart: crashMemoryStart(settings),
		Seed:             seedFromName(settings.Name) ^ incarnation,
		Log:              logger.Logger,
	})
	peerGuard := connguard.New(connguard.Options{Connections: settings.Connections.Control, Lifetime: peerCallTime})
	peerGuard.Register(gw.Metrics(), "peers")
	suspicions.mesh, suspicions.gateway = meshNode, gw
	limits.mesh, others.mesh, demand.mesh = meshNode, meshNode, meshNode
	statuses.register(gw.Metrics())
	registerTraffic(gw.Metrics(), meshNode)
	go statuses.run(backgroundCtx, meshNode)
	go meshNode.Run(backgroundCtx)
	go others.run(backgroundCtx)
	go demand.run(backgroundCtx)
	go func() {
		if err := follower.ServePeers(backgroundCtx, peerGuard.Listener(peerListener)); err != nil && backgroundCtx.Err() == nil {
			logger.Error().Str("event", "peers_unserved").Str("cause", err.Error()).Msg("")
		}
	}()
	go follower.Run(backgroundCtx)
	go reportDroppedLines(backgroundCtx, logger)
	go reloadOnSIGHUP(backgroundCtx, hangup, file, logger, gw, directory)
	if closeMetrics, err := serveMetrics(settings, gw.Metrics()); err != nil {
		logger.Warn().Str("event", "metrics_unavailable").Str("cause", err.Error()).Msg("")
	} else {
		defer closeMetrics()
	}
	return gw.Serve(ctx)
}

// crashMemoryStart returns the time from which on a gateway that starts now hears of crashes
// of servers; zero if there were none before.
func crashMemoryStart(settings *config.Node) time.Time {
	if settings.FirstStart {
		return time.Time{}
	}
	return time.Now()
}

// peerAddresses returns functions for the addresses at which a gateway queries
// other gateways, as far as the mesh knows them: all gateways, and the readers
// of its zone, which read the store on its behalf.
func peerAddresses(meshNode *mesh.Node, settings *config.Node) discovery.PeerAddresses {
	all := func() []string {
		peers := meshNode.Peers(mesh.Gateway)
		addresses := make([]string, 0, len(peers))
		for _, p := range peers {
			addresses = append(addresses, p.Address)
		}
		return addresses
	}
	readers := func() []string {
		var zonePeers []discovery.Gateway
		for _, p := range meshNode.Peers(mesh.Gateway) {
			if p.Zone == settings.Zone {
				zonePeers = append(zonePeers, discovery.Gateway{ID: p.ID, Address: p.Address})
			}
		}
		return discovery.SelectReaders(settings.Name, zonePeers)
	}
	return discovery.PeerAddresses{All: all, Readers: readers}
}

// gatewayLimits derives the time limits and the retry budget of a gateway from
// its settings.
func gatewayLimits(settings *config.Node) gateway.Limits {
	return gateway.Limits{
		MaxProofAge: settings.Bounds.RevokeBound() - revocationMargin,
		MaxZonesAge: max(0, settings.Bounds.EvacuateBound()-evacuationMargin),
		RetryWindow: retry.WindowConfig{
			Span:        time.Duration(retryWindowFactor * float64(settings.Bounds.RetryWindow())),
			Ratio:       settings.Bounds.RetryRatio,
			FreeRetries: settings.Bounds.RetryFree,
			Reserve:     retryBudgetReserve,
		},
		Cold:         coldBound(settings),
		DrainDelay:   min(unreadyDetectionTime, settings.Bounds.Grace()/2),
		DrainTimeout: settings.Bounds.Grace() - shutdownReserve(settings.Bounds.Grace()),
		Memory: gateway.MemoryLimits{
			ReadAhead: settings.Memory.ConnectionBytes, Total: settings.HeldBytes(), Headers: settings.HeaderBytes(),
		},
		Connections:        settings.CallerConnections(descriptorLimit()),
		ControlConnections: settings.Connections.Control,
	}
}

// coldBound returns the bound on the requests that reach cold servers, or nil if the settings
// state none because servers are never cold.
func coldBound(settings *config.Node) *backends.ColdBound {
	if settings.Bounds.ColdOvershoot == 0 {
		return nil
	}
	return &backends.ColdBound{Overshoot: settings.Bounds.ColdOvershoot, Slack: settings.Bounds.ColdSlack}
}

// shutdownReserve returns the part of a grace period that is reserved for ending the
// process.
func shutdownReserve(grace time.Duration) time.Duration {
	return min(maxShutdownReserve, time.Duration(shutdownReserveShare*float64(grace)))
}

// tellGateways returns a function that tells the other gateways that a server leaves. A
// gateway that has been told sends the server nothing more, so it hears nothing itself
// and does not tell the others again.
func tellGateways(meshNode *mesh.Node) func(backends.Server) {
	return func(s backends.Server) {
		packet := &meshpb.Packet{Leaving: &meshpb.LeavingServer{Id: s.ID, Started: s.Started}}
		meshNode.Send(packet, meshNode.Peers(mesh.Gateway)...)
	}
}

// packetHandler returns a handler that reports to the directory the status of model
// servers, and which servers leave, and passes on what other gateways know.
func packetHandler(directory *backends.Directory, statuses *statusFeed, others *gossip, logger *logging.Bounded) mesh.Handler {
	return func(from mesh.Peer, packet *meshpb.Packet) {
		statuses.handle(from, packet, time.Now())
		others.handle(from, packet)
		leaving := packet.GetLeaving()
		if leaving != nil && directory.MarkLeavingIncarnation(leaving.Id, leaving.Started, time.Now()) {
			logger.Info().Str("event", "server").Str("server", leaving.Id).Str("change", "leaves, says "+from.ID).Msg("")
		}
	}
}

func peerChangeHandler(directory *backends.Directory, others *gossip, logger *logging.Bounded) func(mesh.Peer, bool) {
	return func(p mesh.Peer, alive bool) {
		if p.Role == mesh.Gateway {
			directory.SetGatewayAlive(p.ID, p.Zone, alive, time.Now())
		}
		others.handlePeerChange(p, alive)
		logger.Info().Str("event", "peer").Str("peer", p.ID).Bool("alive", alive).Msg("")
	}
}

func logMeshError(logger *logging.Bounded) func(error) {
	return func(err error) { logger.Debug().Str("event", "mesh_error").Str("cause", err.Error()).Msg("") }
}

// logPanic returns a function that logs a panic that became an error.
func logPanic(logger *logging.Bounded) func(error) {
	return func(err error) { logger.Error().Str("event", "panic").Str("cause", err.Error()).Msg("") }
}

// reloadOnSIGHUP reloads the settings on SIGHUP, which the platform sends when
// they have changed. Only the limits and the regions of zones take effect; changed
// addresses do so at the next start.
func reloadOnSIGHUP(
	ctx context.Context, hangup <-chan os.Signal, file string, logger *logging.Bounded, gw *gateway.Gateway, directory *backends.Directory,
) {
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
		gw.Reload(gatewayLimits(settings))
		directory.SetRegions(settings.Zones)
	}
}

// reportDroppedLines periodically logs how many log lines were dropped since the
// last report, until ctx ends.
func reportDroppedLines(ctx context.Context, logger *logging.Bounded) {
	var reportedDrops int64
	clock.Every(ctx, dropReportInterval, func(time.Time) {
		if dropped := logger.Dropped(); dropped > reportedDrops {
			logger.Warn().Str("event", "log_dropped").Int64("lines", dropped-reportedDrops).Msg("")
			reportedDrops = dropped
		}
	})
}

// serveMetrics serves the metrics of set and of the process at the address in the settings, and
// returns a function that closes the server. Without an address it does nothing.
func serveMetrics(settings *config.Node, set *metrics.Set) (func(), error) {
	if settings.Metrics == "" {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server, err := admin.Listen(settings.Metrics, controlLimits(settings), mux)
	if err != nil {
		return nil, fmt.Errorf("node: serve metrics: %w", err)
	}
	return func() { _ = server.Close() }, nil // The process is about to end.
}

// seedFromName derives the seed of a random number generator from a name.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Write of a hash never fails.
	return h.Sum64()
}
