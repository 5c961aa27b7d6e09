// Command bluebellwindd is the daemon. It runs as an entry or as the agent of a
// backend server; on an external platform, as a gateway or as the agent of a rank.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"bluebellwind.example/internal/agent"
	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/entry"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/internal/node"
)

// commands is the kong grammar of the command line.
type commands struct {
	Entry roleCommand `cmd:"" help:"Run an entry: it takes callers' requests."`
	Agent roleCommand `cmd:"" help:"Run the agent of one backend server."`

	Gateway   nodeCommand `cmd:"" help:"Run a gateway: it takes callers' requests on an outside platform."`
	RankAgent nodeCommand `cmd:"" name:"rank-agent" help:"Run the agent beside one model server of an outside platform."`
}

// nodeCommand holds the flags of the roles on an external platform.
type nodeCommand struct {
	Config string `short:"c" required:"" type:"existingfile" env:"BLUEBELLWIND_SETTINGS" placeholder:"FILE" help:"Settings, in YAML."`
}

// roleCommand holds the flags of the other roles.
type roleCommand struct {
	Config string `short:"c" required:"" type:"existingfile" placeholder:"FILE" help:"Settings, in YAML."`
}

// server is implemented by *entry.Entry and *agent.Agent.
type server interface {
	Serve(ctx context.Context) error
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("bluebellwindd"), kong.Description("The daemon of bluebellwind."))
	if err := runCommand(k.Command(), &c); err != nil {
		fmt.Fprintln(os.Stderr, "bluebellwindd:", err)
		os.Exit(1)
	}
}

// runCommand runs the process in the role that the command line selects.
func runCommand(command string, c *commands) error {
	switch command {
	case "gateway":
		return node.RunGateway(c.Gateway.Config)
	case "rank-agent":
		return node.RunRankAgent(c.RankAgent.Config)
	}
	role := config.Role(command)
	file := c.Entry.Config
	if role == config.RoleAgent {
		file = c.Agent.Config
	}
	return runRole(role, file)
}

// runRole runs an entry or an agent until SIGTERM or SIGINT.
func runRole(role config.Role, file string) error {
	settings, err := config.Load(file, role)
	if err != nil {
		return err
	}
	logger := logging.New(os.Stderr, settings.Log.Level)
	logger.Context = log.NewContext(nil).Str("instance", settings.Name).Str("zone", settings.Zone).Value()
	s, err := newServer(role, settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Serve(ctx)
}

func newServer(role config.Role, settings *config.Settings, logger *log.Logger) (server, error) {
	if role == config.RoleAgent {
		return agent.New(settings, logger)
	}
	return entry.New(settings, logger)
}
