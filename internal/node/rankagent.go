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

// RunRankAgent runs the agent of a rank until it is told to stop.
func RunRankAgent(file string) error {
	settings, err := config.LoadNode(file)
	if err != nil {
		return err
	}
	if err := settings.CheckAgent(file); err != nil {
		return err
	}
	logger := newLog(settings)
	defer closeLog(logger)
	limitMemory(settings.MemoryMB)
	signal.Ignore(syscall.SIGHUP) // Addresses are all that its settings hold.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	source := platform.NewSource(platform.NewStore(settings.Store), logger.Logger)
	agent := rankagent.New(rankagent.Options{
		Server:  settings.Server,
		Service: settings.Service,
		Dial:    func(address string) rankagent.Engine { return platform.NewRank(address) },
		Config:  source.Config,
		Log:     logger.Logger,
		Uptime:  clock.Boot,
	})
	peers, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: settings.Name, Address: settings.Mesh, Role: mesh.RankAgent, Zone: settings.Zone,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:   settings.MeshSeeds(),
		Handler: agent.Handle,
		OnError: logMeshError(logger),
	})
	if err != nil {
		return err
	}
	if closeMetrics, err := serveMetrics(settings.Metrics, agent.Metrics()); err != nil {
		logger.Warn().Str("event", "metrics_unavailable").Str("cause", err.Error()).Msg("")
	} else {
		defer closeMetrics()
	}
	go reportDrops(ctx, logger)
	agent.Run(ctx, peers)
	return nil
}
