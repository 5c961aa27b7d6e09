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

// process is one daemon, which can be started again after it has exited. It is
// safe for concurrent use.
type process struct {
	daemon, role, dir string
	settings          config.Node

	mu  sync.Mutex
	cmd *exec.Cmd
	// startCount is the number of times that the process was started.
	startCount int
	exited     chan struct{}
}

func newProcess(daemon, role, dir string, settings config.Node) *process {
	return &process{daemon: daemon, role: role, dir: dir, settings: settings}
}

// writeSettings writes the settings file. Like the platform, it tells a process that starts
// again that the system ran before.
func (p *process) writeSettings() error {
	settings := p.settings
	settings.FirstStart = p.startCount == 0
	text, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(".yaml"), text, 0o600)
}

func (p *process) path(suffix string) string { return filepath.Join(p.dir, p.settings.Name+suffix) }

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.daemon, p.role, "-c", p.path(".yaml"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", p.settings.Name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.startCount++
	go p.waitForExit(cmd, p.exited)
	return nil
}

func (p *process) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // An error is expected: most processes are ended by a signal.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	close(exited)
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // An error means that the process has just exited.
	}
}

// startNumber returns the number of the start whose process is running, zero if
// none is.
func (p *process) startNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.startCount
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// terminate asks the process to exit, and kills it after the grace period of
// its settings.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done():
	case <-time.After(p.settings.Bounds.Grace()):
		p.kill()
	}
}

// done returns a channel that is closed once the process has exited.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return p.exited
}
