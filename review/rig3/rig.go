package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// rig is a small deployment: a store, backend servers and gateways on loopback addresses.
type rig struct {
	// trouble is false if the disruption is to be left out.
	trouble  bool
	folder   string // A temporary folder for settings and logs.
	root     string // The root of the repository.
	store    *store
	address  string // Of the store.
	gateways []*gateway
	ledger   *ledger
	started  time.Time
	// lastStart is when all gateways were last started, deadlySent the number of deadly
	// requests.
	lastStart  time.Time
	deadlySent int
	// servers is the number of servers.
	servers int

	mu  sync.Mutex
	out io.Writer
}

func newRig(out io.Writer) (*rig, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", folder: folder, root: root, store: newStore(), out: out, started: time.Now()}
	r.ledger = newLedger(r)
	if r.address, err = r.store.listen(); err != nil {
		return nil, err
	}
	r.record("disruption: %v", r.trouble)
	return r, nil
}

// findRoot returns the closest folder above the working directory with a deploy file.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", fmt.Errorf("no deploy file above the working directory")
}

// close ends all processes that the rig has started and removes its folder. The logs are kept
// if KEEP is set.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", r.folder)
		return
	}
	_ = os.RemoveAll(r.folder)
}

// record adds a line to record.txt, with the seconds since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// startGateways starts n gateways and waits until all are ready.
func (r *rig) startGateways(n int) {
	ports := newPorts(n)
	for i := range n {
		r.gateways = append(r.gateways, r.newGateway(i, ports))
	}
	for _, g := range r.gateways {
		g.start()
	}
	r.lastStart = time.Now()
	r.awaitReady()
}

// killAll kills all gateways but the given number at the same moment and starts them again after
// the pause.
func (r *rig) killAll(pause time.Duration, spare int) {
	victims := r.gateways[spare:]
	r.record("%d of %d gateways are killed", len(victims), len(r.gateways))
	for _, g := range victims {
		g.kill()
	}
	time.Sleep(pause)
	for _, g := range victims {
		g.start()
	}
	r.lastStart = time.Now()
	r.record("they are started again")
	r.awaitReady()
}

func (r *rig) awaitReady() {
	for _, g := range r.gateways {
		if !g.awaitReady(15 * time.Second) {
			panic(g.name + " does not become ready")
		}
	}
	r.record("%d gateways are ready", len(r.gateways))
}

// ports are the ports that all gateways share, each on its own loopback address.
type ports struct {
	address                       []string
	mesh, callers, ready, metrics int
}

// newPorts finds loopback addresses and ports that are free on all of them.
func newPorts(n int) ports {
	p := ports{}
	for i := range n {
		p.address = append(p.address, loopback(i+1))
	}
	for _, port := range []*int{&p.mesh, &p.callers, &p.ready, &p.metrics} {
		*port = freePort(p.address, p.mesh, p.callers, p.ready)
	}
	return p
}

// loopback returns a loopback address of this process. Addresses of servers and gateways are their
// own, so that no connection takes the port of a server that has crashed.
func loopback(host int) string { return fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+10, host) }

// freePort returns a port that is free on all addresses and is none of taken.
func freePort(addresses []string, taken ...int) int {
next:
	for range 1000 {
		l, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		for _, t := range taken {
			if t == port {
				continue next
			}
		}
		for _, a := range addresses {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return port
	}
	panic("no free port")
}

// quoted returns the addresses as a YAML list of seeds.
func (p ports) quoted() string {
	seeds := make([]string, 0, 3)
	for _, a := range p.address[:min(3, len(p.address))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", a, p.mesh)))
	}
	return "[" + strings.Join(seeds, ",") + "]"
}
