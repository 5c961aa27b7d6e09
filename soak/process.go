package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"bluebellwind.example/internal/config"
)

// process is one daemon. It is started anew after each end. It is safe for
// concurrent use.
type process struct {
	daemon, role, dir string
	settings          config.Node

	mu  sync.Mutex
	cmd *exec.Cmd
	// lives counts the starts.
	lives  int
	exited chan struct{}
}

func newProcess(daemon, role, dir string, settings config.Node) (*process, error) {
	p := &process{daemon: daemon, role: role, dir: dir, settings: settings}
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.file(".yaml"), text, 0o600)
}

func (p *process) file(suffix string) string { return filepath.Join(p.dir, p.settings.Name+suffix) }

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.daemon, p.role, "-c", p.file(".yaml"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", p.settings.Name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.lives++
	go p.await(cmd, p.exited)
	return nil
}

func (p *process) await(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // Most ends are by a signal.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	close(exited)
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // It may be ending by itself.
	}
}

// life returns which start of the process runs; zero if it does not.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.lives
}

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.gone()
}

// terminate asks the process to end, and kills it when the grace is over.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.gone():
	case <-time.After(p.settings.Bounds.Grace()):
		p.kill()
	}
}

// gone returns what is closed once the process has ended.
func (p *process) gone() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return p.exited
}
