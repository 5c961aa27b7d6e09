// Command standin runs the simulated platform and backend servers of the demo,
// and sends requests to the entries. It is not part of a release.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/keys/keytest"
	"bluebellwind.example/internal/standin"
)

type commands struct {
	Keys     keysCommand     `cmd:"" help:"Write an authority, a ticket secret and certificates."`
	Platform platformCommand `cmd:"" help:"Run the configuration service and the instance list."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service that makes records."`
	Put      putCommand      `cmd:"" help:"Publish a file as an operator would."`
	Load     loadCommand     `cmd:"" help:"Send pledges, drafts and streams and check every answer."`
}

type keysCommand struct {
	Dir   string   `arg:"" type:"existingdir" help:"Where to write."`
	Names []string `arg:"" help:"NAME:ROLE of each certificate."`
}

// Run writes the files.
func (c *keysCommand) Run() error {
	authority, err := keytest.NewAuthority()
	if err != nil {
		return err
	}
	if _, err := authority.WriteCA(c.Dir); err != nil {
		return err
	}
	if _, err := keytest.WriteSecret(c.Dir); err != nil {
		return err
	}
	for _, pair := range c.Names {
		name, role, _ := strings.Cut(pair, ":")
		if _, err := authority.Issue(c.Dir, name, keys.Role(role)); err != nil {
			return err
		}
	}
	return nil
}

type platformCommand struct{}

// Run serves until the process is ended.
func (*platformCommand) Run() error { return serve(standin.NewPlatform().Handler()) }

type engineCommand struct {
	FirstToken time.Duration `default:"30ms" help:"Time to the first token."`
	Token      time.Duration `default:"5ms" help:"Time between tokens."`
}

// Run serves until the process is ended.
func (c *engineCommand) Run() error {
	return serve(standin.NewEngine(c.FirstToken, c.Token).Handler())
}

type serviceCommand struct {
	Delay time.Duration `default:"5ms" help:"Time that a call takes."`
}

// Run serves until the process is ended.
func (c *serviceCommand) Run() error { return serve(standin.NewService(c.Delay).Handler()) }

type putCommand struct {
	URL  string `arg:"" help:"Where to put it."`
	File string `arg:"" type:"existingfile" help:"What to put."`
}

// Run sends the file.
func (c *putCommand) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	req, err := http.NewRequest(http.MethodPut, c.URL, f)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// serve listens on a free port, prints its address and serves h.
func serve(h http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Printf("listening http://%s\n", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(l)
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Simulated platform and backend servers for the demo of bluebellwind."))
	k.FatalIfErrorf(k.Run())
}
