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

// Size is the size of a run. RanksPerGroup is the number of ranks of each
// group.
type Size struct {
	Gateways, Groups, RanksPerGroup, PlainServers int
	// Callers is the number of callers, each of which sends one request at a
	// time.
	Callers int
	// Faults is the number of faults. They are injected during FaultPeriod, which
	// is followed by RecoveryPeriod without faults.
	Faults int
	// ColdServers says that the plain servers may be cold.
	ColdServers                 bool
	FaultPeriod, RecoveryPeriod time.Duration
	// MemoryMB is the memory limit of each process, in megabytes; zero if it has none.
	MemoryMB int
	// MaxFDs is the number of descriptors that each process may open; zero for the limit of the
	// system.
	MaxFDs int
	// MaxHeaderBytes is the limit on the header of a request in the configuration; zero if it
	// states none.
	MaxHeaderBytes int
	// Metrics says that the processes serve metrics.
	Metrics bool
}

// DefaultSize returns the size of most runs, a few dozen processes and
// simulated servers.
func DefaultSize() Size {
	return Size{
		Gateways: 4, Groups: 2, RanksPerGroup: 4, PlainServers: 3, Callers: 24, Faults: 12, FaultPeriod: 8 * time.Second, RecoveryPeriod: 7 * time.Second,
	}
}

// LargeSize returns the size of runs at the limits of one machine, some 150
// processes.
func LargeSize() Size {
	return Size{
		Gateways: 20, Groups: 4, RanksPerGroup: 32, PlainServers: 6, Callers: 60, Faults: 30, FaultPeriod: 15 * time.Second, RecoveryPeriod: 10 * time.Second,
	}
}

// Services, routes and API keys of the configuration.
const (
	modelService = "pool"
	appService   = "app"
	host         = "soak.example"
	streamPath   = "/draft/"
	unsafePath   = "/pay/"
	safePath     = "/look/"
	canaryPath   = "/canary/"
	permanentOrg = "steady"
	permanentKey = "key-steady"
	sharedKey    = "key-shared"
	revocableOrg = "changing"
	rankPrefix   = "rank-"
	// canaryServiceCount is the number of services that the canary route leads to
	// in turn, one for each configuration.
	canaryServiceCount = 3
)

// Timeouts and target latencies of the routes, and properties of plain servers.
const (
	plainRouteTimeout   = 2 * time.Second
	plainTargetLatency  = 200 * time.Millisecond
	streamRouteTimeout  = 6 * time.Second
	streamTargetLatency = 400 * time.Millisecond
	plainServiceTime    = 10 * time.Millisecond
	plainSlots          = 6
)

// bounds are the bounds in the settings of all daemons. The fault that revokes
// an API key while the store is faulty lasts longer than the revocation bound.
var bounds = config.Bounds{RevokeMS: 2500, RetryRatio: 0.2, RetryFree: 30, RetryWindowS: 10, GraceS: 5}

// groupShape is the shape of all groups. Its number of ranks is that of the size
// of the run.
var groupShape = platformtest.GroupShape{
	LayerSets: 2, ExpertsPerSet: 8, ExpertsPerRank: 5, Slots: 6, MeanEvents: 10,
	PassTime: 12 * time.Millisecond, PrepareTime: 30 * time.Millisecond, GroupFormationTime: 300 * time.Millisecond, AbortDelay: 400 * time.Millisecond,
}

// testbed holds the processes, simulated servers and recorded history of one
// run.
type testbed struct {
	size         Size
	history      *history
	store        *platformtest.Store
	gateways     []*gatewayProcess
	agents       []*process
	groups       []*platformtest.Group
	plainServers []*plainServer
	ranks        []*rankServer
	addresses    addressAllocator
	operator     operator
	cleanups     []func()

	mu       sync.Mutex
	failures []error
}

// gatewayProcess is a gateway with the proxy on its link to the store.
type gatewayProcess struct {
	*process
	callersAddress, readyAddress string
	storeLink                    *proxy
}

// plainServer is a plain server with the proxy in front of it.
type plainServer struct {
	*platformtest.PlainServer
	entry platformtest.ServerEntry
	link  *proxy
}

// rankServer is a rank with the proxy in front of it.
type rankServer struct {
	*platformtest.Rank
	address string
	link    *proxy
}

// addressAllocator allocates loopback addresses. All processes use the same
// port for their peers, each at its own IP address.
type addressAllocator struct {
	runIndex, allocated int
	peerPort            int
}

func newAddressAllocator(runIndex int) (addressAllocator, error) {
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return addressAllocator{}, err
	}
	return addressAllocator{runIndex: runIndex, peerPort: l.Addr().(*net.TCPAddr).Port}, l.Close()
}

func (a *addressAllocator) nextIP() string {
	a.allocated++
	return fmt.Sprintf("127.%d.%d.%d", 64+a.runIndex%128, a.allocated/200, 1+a.allocated%200)
}

// newTestbed starts the processes and simulated servers of a run. runIndex
// distinguishes runs that take place at the same time.
func newTestbed(ctx context.Context, daemon, dir string, runIndex int, size Size) (*testbed, error) {
	addresses, err := newAddressAllocator(runIndex)
	if err != nil {
		return nil, err
	}
	r := &testbed{size: size, history: newHistory(), store: platformtest.NewStore(), addresses: addresses}
	steps := []func() error{
		func() error { return r.addPlainServers() },
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

// close ends everything that the run started.
func (r *testbed) close() {
	var ends sync.WaitGroup
	for _, p := range r.processes() {
		ends.Go(p.kill)
	}
	ends.Wait()
	for _, stop := range r.cleanups {
		stop()
	}
}

func (r *testbed) processes() []*process {
	out := append([]*process(nil), r.agents...)
	for _, g := range r.gateways {
		out = append(out, g.process)
	}
	return out
}

// serve serves a handler on loopback and returns its address.
func (r *testbed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: discardLog}
	go func() { _ = server.Serve(l) }() // Serve returns an error when close closes the server.
	r.cleanups = append(r.cleanups, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// serveBehindProxy serves a handler behind a proxy that has its own IP address.
func (r *testbed) serveBehindProxy(h http.Handler) (*proxy, error) {
	target, err := r.serve(h)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(r.addresses.nextIP()+":0", target)
	if err != nil {
		return nil, err
	}
	r.cleanups = append(r.cleanups, p.close)
	return p, nil
}

func (r *testbed) addPlainServers() error {
	for i := range r.size.PlainServers {
		if _, err := r.addPlainServer(fmt.Sprintf("app-%d", i), appService); err != nil {
			return err
		}
	}
	for i := range canaryServiceCount {
		if _, err := r.addPlainServer(fmt.Sprintf("canary-%d", i), canaryService(i)); err != nil {
			return err
		}
	}
	return nil
}

func canaryService(i int) string { return fmt.Sprintf("canary%d", i%canaryServiceCount) }

func (r *testbed) addPlainServer(id, service string) (*plainServer, error) {
	p := platformtest.NewPlainServer(id, service, plainSlots, plainServiceTime, r.history)
	link, err := r.serveBehindProxy(p)
	if err != nil {
		return nil, err
	}
	s := &plainServer{PlainServer: p, link: link, entry: platformtest.ServerEntry{
		ID: id, Service: service, Address: link.address(), Zone: zone(len(r.plainServers)), Slots: plainSlots,
	}}
	r.store.PutServer(s.entry)
	if service == appService {
		r.plainServers = append(r.plainServers, s)
	}
	return s, nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%2) }

func (r *testbed) addGroups(ctx context.Context) error {
	for i := range r.size.Groups {
		var ids []string
		for k := range r.size.RanksPerGroup {
			ids = append(ids, fmt.Sprintf("%s%d-%d", rankPrefix, i, k))
		}
		shape := groupShape
		shape.Ranks = r.size.RanksPerGroup
		g := platformtest.NewGroup(fmt.Sprintf("g%d", i), modelService, ids, shape, r.history, r.publishRank)
		for _, rank := range g.Ranks() {
			link, err := r.serveBehindProxy(rank)
			if err != nil {
				return err
			}
			r.ranks = append(r.ranks, &rankServer{Rank: rank, address: link.address(), link: link})
		}
		r.groups = append(r.groups, g)
		for _, rank := range g.Ranks() {
			membership, _ := rank.Membership()
			r.publishRank(rank, membership)
		}
		go g.Run(ctx)
	}
	return nil
}

// publishRank writes the entry of a rank to the store.
func (r *testbed) publishRank(rank *platformtest.Rank, membership platformtest.GroupMembership) {
	for i, s := range r.ranks {
		if s.Rank == rank {
			r.store.PutServer(platformtest.ServerEntry{
				ID: rank.ID, Service: modelService, Address: s.address, Zone: zone(i), Slots: groupShape.Slots, Group: &membership,
			})
		}
	}
}

// seedAddresses returns the peer addresses of the first gateways, by which
// processes join.
func (r *testbed) seedAddresses() []string {
	var out []string
	for _, g := range r.gateways[:min(2, len(r.gateways))] {
		out = append(out, g.settings.Mesh)
	}
	return out
}

func (r *testbed) addGateways(daemon, dir string) error {
	for i := range r.size.Gateways {
		name := fmt.Sprintf("gateway-%d", i)
		target, err := r.serve(r.store.Handler(name))
		if err != nil {
			return err
		}
		link, err := newProxy(r.addresses.nextIP()+":0", target)
		if err != nil {
			return err
		}
		r.cleanups = append(r.cleanups, link.close)
		settings, err := r.settings(name, i)
		if err != nil {
			return err
		}
		settings.Store = link.address()
		settings.Seeds = r.seedAddresses()
		p := newProcess(daemon, "gateway", dir, settings)
		r.gateways = append(r.gateways, &gatewayProcess{process: p, callersAddress: settings.Callers, readyAddress: settings.Ready, storeLink: link})
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

func (r *testbed) settings(name string, i int) (config.Node, error) {
	ip := r.addresses.nextIP()
	callers, err := freeAddress(ip)
	if err != nil {
		return config.Node{}, err
	}
	ready, err := freeAddress(ip)
	if err != nil {
		return config.Node{}, err
	}
	bounds := bounds
	if r.size.ColdServers {
		bounds.ColdOvershoot, bounds.ColdSlack = coldOvershoot, coldSlack
	}
	metrics, err := r.metricsAddress(ip)
	if err != nil {
		return config.Node{}, err
	}
	return config.Node{
		Name: name, Zone: zone(i), Mesh: fmt.Sprintf("%s:%d", ip, r.addresses.peerPort), Callers: callers, Ready: ready, Metrics: metrics,
		MemoryMB: r.size.MemoryMB, MaxFDs: r.size.MaxFDs, Bounds: bounds, Log: config.Log{Level: config.DefaultLogLevel},
	}, nil
}

// metricsAddress returns a free address of ip for metrics; empty if the processes serve none.
func (r *testbed) metricsAddress(ip string) (string, error) {
	if !r.size.Metrics {
		return "", nil
	}
	return freeAddress(ip)
}

// freeAddress returns an address of ip on which nothing listens.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (r *testbed) addAgents(daemon, dir string) error {
	for i, rank := range r.ranks {
		ip := r.addresses.nextIP()
		metrics, err := r.metricsAddress(ip)
		if err != nil {
			return err
		}
		settings := config.Node{
			Name: "agent-" + rank.ID, Zone: zone(i), Mesh: fmt.Sprintf("%s:%d", ip, r.addresses.peerPort), Seeds: r.seedAddresses(),
			Store: r.gateways[0].settings.Store, Server: rank.address, Service: modelService, Metrics: metrics,
			MemoryMB: r.size.MemoryMB, MaxFDs: r.size.MaxFDs, Bounds: bounds, Log: config.Log{Level: config.DefaultLogLevel},
		}
		r.agents = append(r.agents, newProcess(daemon, "rank-agent", dir, settings))
	}
	return startAll(r.agents)
}
