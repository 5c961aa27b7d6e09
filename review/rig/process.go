package rig

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one program under review. It runs until Stop, and is started again a short
// while after it has ended by itself, as the platform does.
type Process struct {
	Name string
	// Restart says that the process is started again after it has ended by itself.
	Restart bool

	args   []string
	log    string
	record *Record

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	ownExits int
	stopping bool
}

// restartDelay is the time until a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// Root returns the root of the repository, the working directory of the programs.
func Root() string {
	if root := os.Getenv("BBW_ROOT"); root != "" {
		return root
	}
	return "."
}

// StartProcess starts target/bluebellwindd in a role with the given settings, which it
// writes to dir.
func StartProcess(r *Record, dir, role, name, settings string, restart bool) (*Process, error) {
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	p := &Process{
		Name: name, Restart: restart, record: r, log: filepath.Join(dir, name+".log"),
		args: []string{role, "-c", file},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.start()
}

// start starts the process. The caller holds the lock.
func (p *Process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/bluebellwindd", p.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = Root(), log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	p.record.Logf("%s started, process %d", p.Name, cmd.Process.Pid)
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		log.Close()
		close(ended)
		p.noteEnd(err)
	}()
	return nil
}

func (p *Process) noteEnd(err error) {
	p.mu.Lock()
	stopping := p.stopping
	if !stopping {
		p.ownExits++
		p.record.Logf("%s ENDED BY ITSELF: %v", p.Name, err)
	} else {
		p.record.Logf("%s ended after it was told to: %v", p.Name, err)
	}
	p.mu.Unlock()
	if stopping || !p.Restart {
		return
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		if err := p.start(); err != nil {
			p.record.Logf("%s cannot be started again: %v", p.Name, err)
		}
	}
}

// OwnExits returns how often the process has ended by itself.
func (p *Process) OwnExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownExits
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	p.record.Logf("%s gets signal %v", p.Name, s)
	_ = p.cmd.Process.Signal(s) // It fails only if the process has ended.
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// LogTail returns the lines of the process's log that contain text, n at most.
func (p *Process) LogTail(text string, n int) []string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) && len(out) < n {
			out = append(out, line)
		}
	}
	return out
}

// FreePort returns a port that is free for TCP and UDP on 127.0.0.1.
func FreePort() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		return port, nil
	}
	return 0, fmt.Errorf("rig: no free port")
}

// WaitReady waits until a process accepts TCP connections at an address and answers a probe
// of its readiness with 200.
func WaitReady(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if status, _ := Get(address, "/bluebellwind/readiness"); status == 200 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("rig: %s is not ready", address)
}
