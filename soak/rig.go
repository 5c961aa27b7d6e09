package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/platform/platformtest"
)

// Size says how large a run is.
type Size struct {
	Gateways, Groups, Ranks, Plain int
	// Callers send requests one after the other.
	Callers int
	// Faults strike within Trouble; Calm follows, in which everything recovers.
	Faults        int
	Trouble, Calm time.Duration
}

// Usual is the size of most runs, a few dozen processes and stand-ins.
func Usual() Size {
	return Size{
		Gateways: 4, Groups: 2, Ranks: 4, Plain: 3, Callers: 24, Faults: 12, Trouble: 8 * time.Second, Calm: 7 * time.Second,
	}
}

// Large returns the size of runs at the limits of one machine, some 150 processes.
func Large() Size {
	return Size{
		Gateways: 20, Groups: 4, Ranks: 32, Plain: 6, Callers: 60, Faults: 30, Trouble: 15 * time.Second, Calm: 10 * time.Second,
	}
}

// The services, and what is asked of them.
const (
	poolService = "pool"
	appService  = "app"
	host        = "soak.example"
	draftPath   = "/draft/"
	payPath     = "/pay/"
	lookPath    = "/look/"
	canaryPath  = "/canary/"
	steadyOrg   = "steady"
	steadyKey   = "key-steady"
	changingOrg = "changing"
	// canaries is how many services the canary route moves through, one for each
	// configuration.
	canaries = 3
)

// Bounds of the requests.
const (
	plainTimeout    = 2 * time.Second
	plainObjective  = 200 * time.Millisecond
	streamTimeout   = 6 * time.Second
	streamObjective = 400 * time.Millisecond
	plainWork       = 10 * time.Millisecond
	plainSlots      = 6
)

// bounds are the promises that the gateways are told. Stores are away for longer
// than keys may be revoked without effect.
var bounds = config.Bounds{RevokeMS: 2500, RetryRatio: 0.2, RetryFree: 30, RetryWindowS: 10, GraceS: 5}

var shape = platformtest.GroupShape{
	LayerSets: 2, ExpertsPerSet: 8, ExpertsPerRank: 5, Slots: 6, MeanEvents: 10,
	PassTime: 12 * time.Millisecond, PrepareTime: 30 * time.Millisecond, GroupFormationTime: 300 * time.Millisecond, AbortDelay: 400 * time.Millisecond,
}

// rig is everything that one run consists of.
type rig struct {
	size     Size
	ledger   *ledger
	store    *platformtest.Store
	gateways []*gatewayProcess
	agents   []*process
	groups   []*platformtest.Group
	plain    []*plainServer
	ranks    []*rankServer
	net      network
	operator operator
	stop     []func()

	mu       sync.Mutex
	failures []error
}

// gatewayProcess is a gateway with its link to the store.
type gatewayProcess struct {
	*process
	callers, ready string
	storeLink      *proxy
}

// plainServer is a plain server with the link before it.
type plainServer struct {
	*platformtest.PlainServer
	entry platformtest.ServerEntry
	link  *proxy
}

// rankServer is a rank with the link before it.
type rankServer struct {
	*platformtest.Rank
	address string
	link    *proxy
}

// network deals out addresses on loopback. All processes use one port for their
// peers, each on an address of its own.
type network struct {
	run, next int
	port      int
}

func newNetwork(run int) (network, error) {
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return network{}, err
	}
	return network{run: run, port: l.Addr().(*net.TCPAddr).Port}, l.Close()
}

func (n *network) ip() string {
	n.next++
	return fmt.Sprintf("127.%d.%d.%d", 64+n.run%128, n.next/200, 1+n.next%200)
}

// newRig starts a system; run tells runs apart that go on at the same time.
func newRig(ctx context.Context, daemon, dir string, run int, size Size) (*rig, error) {
	addresses, err := newNetwork(run)
	if err != nil {
		return nil, err
	}
	r := &rig{size: size, ledger: newLedger(), store: platformtest.NewStore(), net: addresses}
	steps := []func() error{
		func() error { return r.addPlain() },
		func() error { return r.addGroups(ctx) },
		func() error { return r.addGateways(daemon, dir) },
		func() error { return r.addAgents(daemon, dir) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// close ends all that the run started.
func (r *rig) close() {
	var ends sync.WaitGroup
	for _, p := range r.processes() {
		ends.Go(p.kill)
	}
	ends.Wait()
	for _, stop := range r.stop {
		stop()
	}
}

func (r *rig) processes() []*process {
	out := append([]*process(nil), r.agents...)
	for _, g := range r.gateways {
		out = append(out, g.process)
	}
	return out
}

// serve serves a stand-in on loopback and returns its address.
func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: quiet}
	go func() { _ = server.Serve(l) }() // It ends when the run does.
	r.stop = append(r.stop, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// link serves a stand-in behind a proxy on an address of its own.
func (r *rig) link(h http.Handler) (*proxy, error) {
	target, err := r.serve(h)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(r.net.ip()+":0", target)
	if err != nil {
		return nil, err
	}
	r.stop = append(r.stop, p.close)
	return p, nil
}

func (r *rig) addPlain() error {
	for i := range r.size.Plain {
		if _, err := r.newPlain(fmt.Sprintf("app-%d", i), appService); err != nil {
			return err
		}
	}
	for i := range canaries {
		if _, err := r.newPlain(fmt.Sprintf("canary-%d", i), canaryService(i)); err != nil {
			return err
		}
	}
	return nil
}

func canaryService(i int) string { return fmt.Sprintf("canary%d", i%canaries) }

func (r *rig) newPlain(id, service string) (*plainServer, error) {
	p := platformtest.NewPlainServer(id, service, plainSlots, plainWork, r.ledger)
	link, err := r.link(p)
	if err != nil {
		return nil, err
	}
	s := &plainServer{PlainServer: p, link: link, entry: platformtest.ServerEntry{
		ID: id, Service: service, Address: link.address(), Zone: zone(len(r.plain)), Slots: plainSlots,
	}}
	r.store.PutServer(s.entry)
	if service == appService {
		r.plain = append(r.plain, s)
	}
	return s, nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%2) }

func (r *rig) addGroups(ctx context.Context) error {
	for i := range r.size.Groups {
		var ids []string
		for k := range r.size.Ranks {
			ids = append(ids, fmt.Sprintf("rank-%d-%d", i, k))
		}
		ranked := shape
		ranked.Ranks = r.size.Ranks
		g := platformtest.NewGroup(fmt.Sprintf("g%d", i), poolService, ids, ranked, r.ledger, r.publishRank)
		for _, rank := range g.Ranks() {
			link, err := r.link(rank)
			if err != nil {
				return err
			}
			r.ranks = append(r.ranks, &rankServer{Rank: rank, address: link.address(), link: link})
		}
		r.groups = append(r.groups, g)
		for _, rank := range g.Ranks() {
			place, _ := rank.Membership()
			r.publishRank(rank, place)
		}
		go g.Run(ctx)
	}
	return nil
}

// publishRank writes the entry of a rank into the store.
func (r *rig) publishRank(rank *platformtest.Rank, place platformtest.GroupMembership) {
	for i, s := range r.ranks {
		if s.Rank == rank {
			r.store.PutServer(platformtest.ServerEntry{
				ID: rank.ID, Service: poolService, Address: s.address, Zone: zone(i), Slots: shape.Slots, Group: &place,
			})
		}
	}
}

// seeds are the addresses of the first gateways.
func (r *rig) seeds() []string {
	var out []string
	for _, g := range r.gateways[:min(2, len(r.gateways))] {
		out = append(out, g.settings.Mesh)
	}
	return out
}

func (r *rig) addGateways(daemon, dir string) error {
	for i := range r.size.Gateways {
		name := fmt.Sprintf("gateway-%d", i)
		target, err := r.serve(r.store.Handler(name))
		if err != nil {
			return err
		}
		link, err := newProxy(r.net.ip()+":0", target)
		if err != nil {
			return err
		}
		r.stop = append(r.stop, link.close)
		settings, err := r.settings(name, i)
		if err != nil {
			return err
		}
		settings.Store = link.address()
		settings.Seeds = r.seeds()
		p, err := newProcess(daemon, "gateway", dir, settings)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, &gatewayProcess{process: p, callers: settings.Callers, ready: settings.Ready, storeLink: link})
	}
	return startAll(r.processes())
}

func startAll(processes []*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) settings(name string, i int) (config.Node, error) {
	ip := r.net.ip()
	callers, err := freeAddress(ip)
	if err != nil {
		return config.Node{}, err
	}
	ready, err := freeAddress(ip)
	if err != nil {
		return config.Node{}, err
	}
	return config.Node{
		Name: name, Zone: zone(i), Mesh: fmt.Sprintf("%s:%d", ip, r.net.port), Callers: callers, Ready: ready,
		Bounds: bounds, Log: config.Log{Level: config.DefaultLogLevel},
	}, nil
}

// freeAddress returns an address of ip that nothing listens on.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (r *rig) addAgents(daemon, dir string) error {
	for i, rank := range r.ranks {
		settings := config.Node{
			Name: "agent-" + rank.ID, Zone: zone(i), Mesh: fmt.Sprintf("%s:%d", r.net.ip(), r.net.port), Seeds: r.seeds(),
			Store: r.gateways[0].settings.Store, Server: rank.address, Service: poolService, Bounds: bounds,
			Log: config.Log{Level: config.DefaultLogLevel},
		}
		p, err := newProcess(daemon, "rank-agent", dir, settings)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, p)
	}
	return startAll(r.agents)
}
