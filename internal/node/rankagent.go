package node

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/mesh"
	"bluebellwind.example/platform"
	"bluebellwind.example/rankagent"
)

// bytesPerMegabit converts a rate in Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// agentStopShare is the share of the grace period during which a rank agent that was
// told to stop may go on for its group.
const agentStopShare = 0.5

// RunRankAgent runs the agent of a rank with the settings in file until SIGTERM
// or SIGINT, and then until the group of the rank does not need it.
func RunRankAgent(file string) error {
	signal.Ignore(syscall.SIGHUP) // The settings of an agent hold only addresses, which cannot be reloaded.
	settings, err := config.LoadNode(file)
	if err != nil {
		return err
	}
	if err := settings.CheckAgent(file); err != nil {
		return err
	}
	logger := newLogger(settings)
	defer closeLogger(logger)
	limitMemory(settings.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	source := platform.NewSource(platform.NewStoreClient(settings.Store), logger.Logger)
	agent := rankagent.New(rankagent.Options{
		Server:  settings.Server,
		Service: settings.Service,
		Dial:    func(address string) rankagent.Engine { return platform.NewRankClient(address) },
		Config:  source.ReadConfig,
		Log:     logger.Logger,
		Uptime:  clock.SinceBoot,

		LinkBytesPerSecond: settings.LinkMbps * bytesPerMegabit,
		StopTimeout:        time.Duration(agentStopShare * float64(settings.Bounds.Grace())),
	})
	meshNode, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: settings.Name, Address: settings.Mesh, Role: mesh.RankAgent, Zone: settings.Zone,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:   settings.MeshSeeds(),
		Handler: agent.Handle,

		LinkBytesPerSecond: settings.LinkMbps * bytesPerMegabit,
		MaxPeers:           settings.MeshPeers,
		OnError:            logMeshError(logger),
		OnPanic:            logPanic(logger),
	})
	if err != nil {
		return err
	}
	registerTraffic(agent.Metrics(), meshNode)
	if closeMetrics, err := serveMetrics(settings, agent.Metrics()); err != nil {
		logger.Warn().Str("event", "metrics_unavailable").Str("cause", err.Error()).Msg("")
	} else {
		defer closeMetrics()
	}
	go reportDroppedLines(ctx, logger)
	agent.Run(ctx, meshNode)
	return nil
}
