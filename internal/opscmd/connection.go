// Package opscmd implements the commands of the operators' client that call
// running instances. They change no state that instances share.
package opscmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/operatorpb"
	"bluebellwind.example/internal/rpc"
)

// Commands are the commands that call running instances.
type Commands struct {
	Rollout Rollout `cmd:"" help:"Show the revision of the rules in force at each instance, and who lags and why."`
	Status  Status  `cmd:"" help:"Show instances, zones, servers and limits."`
	Drain   Drain   `cmd:"" help:"Ask one instance to leave and drain."`
	Trace   Trace   `cmd:"" help:"Show what happened to one request."`
}

// Connection holds the flags for the instances that a command calls and for its
// certificates.
type Connection struct {
	Entry       []string      `env:"BLUEBELLWIND_ENTRIES" placeholder:"ADDRESS" help:"Peers address of an instance to ask, as IP:port; repeat it for more. One that answers is enough."`
	Authority   string        `env:"BLUEBELLWIND_AUTHORITY" placeholder:"FILE" help:"Certificate of the authority, PEM."`
	Certificate string        `env:"BLUEBELLWIND_CERTIFICATE" placeholder:"FILE" help:"Your certificate, in the operator role, PEM."`
	Key         string        `env:"BLUEBELLWIND_KEY" placeholder:"FILE" help:"Its private key, PEM."`
	Config      string        `short:"c" env:"BLUEBELLWIND_CONFIG" placeholder:"FILE" help:"YAML file with entries, authority, certificate and key; flags go before it."`
	Timeout     time.Duration `default:"5s" help:"How long to wait for one instance."`
}

// clientFile is the content of the file Connection.Config.
type clientFile struct {
	Entries     []string `yaml:"entries"`
	Authority   string   `yaml:"authority"`
	Certificate string   `yaml:"certificate"`
	Key         string   `yaml:"key"`
}

// applyFile sets the options that were not given as flags from the file.
func (c *Connection) applyFile() error {
	if c.Config == "" {
		return nil
	}
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return fmt.Errorf("client file: %w", err)
	}
	var f clientFile
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&f); err != nil {
		return fmt.Errorf("client file %s: %s", c.Config, yaml.FormatError(err, false, false))
	}
	if len(c.Entry) == 0 {
		c.Entry = f.Entries
	}
	for _, option := range []struct {
		flag *string
		file string
	}{{&c.Authority, f.Authority}, {&c.Certificate, f.Certificate}, {&c.Key, f.Key}} {
		if *option.flag == "" {
			*option.flag = option.file
		}
	}
	return nil
}

// newClient returns a client. It returns an error if required options are missing
// or if a file is invalid.
func (c *Connection) newClient() (*client, error) {
	if err := c.applyFile(); err != nil {
		return nil, cli.Failure(err)
	}
	if len(c.Entry) == 0 {
		return nil, cli.Failure(errors.New("no instance to ask: give --entry ADDRESS, or a client file with -c"))
	}
	if c.Authority == "" || c.Certificate == "" || c.Key == "" {
		return nil, cli.Failure(errors.New("no keys: give --authority, --certificate and --key, or a client file with -c"))
	}
	store, err := keys.Open(keys.Files{Authority: c.Authority, Certificate: c.Certificate, Key: c.Key})
	if err != nil {
		return nil, cli.Failure(err)
	}
	return &client{
		addresses: c.Entry,
		timeout:   c.Timeout,
		pool:      rpc.NewPool(store, keys.Entry, keys.Agent),
	}, nil
}

// client calls the Operator service of instances. It is safe for concurrent use.
type client struct {
	addresses []string
	timeout   time.Duration
	pool      *rpc.Pool
}

// close closes the connections. It must be called after all calls have returned.
func (c *client) close() { c.pool.Close() }

// operatorAt returns the Operator service of the instance at address and a context
// with the timeout of one call.
func (c *client) operatorAt(address string) (operatorpb.DRPCOperatorClient, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	return operatorpb.NewDRPCOperatorClient(c.pool.Get(ctx, address)), ctx, cancel
}
