package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership/membershippb"
	"gotest.tools/v3/assert"
)

// network transfers encoded messages between nodes in memory. It simulates
// partitions, delay, loss and duplication.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[Address]*Node
	zones map[Address]string
	// blocked reports whether a partition separates two addresses; nil means
	// no partition.
	blocked func(from, to Address) bool
	delay   time.Duration
	// lossRate and duplicateRate are the probabilities that a message is lost,
	// or a request delivered twice.
	lossRate            float64
	duplicateRate       float64
	messageCount        int
	largestRequestBytes int
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[Address]*Node{},
		zones: map[Address]string{}, delay: time.Millisecond,
	}
}

// nodeExchanger is the Exchanger of one node.
type nodeExchanger struct {
	net  *network
	self Address
}

var errUnreachable = errors.New("destination unreachable")

func (x nodeExchanger) Exchange(ctx context.Context, peer Address, m *membershippb.Message) (*membershippb.Message, error) {
	request, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	for range x.net.copies(x.self, peer, len(request)) {
		m = &membershippb.Message{}
		if err := proto.Unmarshal(request, m); err != nil {
			return nil, err
		}
		time.Sleep(x.net.delay)
		node := x.net.nodeAt(peer)
		if node == nil {
			return nil, errUnreachable
		}
		reply, err := node.HandleExchange(ctx, m)
		if err != nil || x.net.copies(peer, x.self, 0) == 0 {
			return nil, errUnreachable
		}
		m = reply
	}
	if len(request) == 0 || m.GetFrom() == string(x.self) {
		return nil, errUnreachable
	}
	time.Sleep(x.net.delay)
	return m, nil
}

// copies returns how many times a message arrives: 0 if it is lost or blocked, 2
// if it is duplicated. The size is 0 for replies, which are never duplicated.
func (n *network) copies(from, to Address, size int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messageCount++
	n.largestRequestBytes = max(n.largestRequestBytes, size)
	if n.blocked != nil && n.blocked(from, to) || n.rng.Float64() < n.lossRate {
		return 0
	}
	if size > 0 && n.rng.Float64() < n.duplicateRate {
		return 2
	}
	return 1
}

func (n *network) nodeAt(a Address) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a]
}

// partition separates the zones for which inFirstPart returns true from the
// others. A nil function ends the partition.
func (n *network) partition(inFirstPart func(zone string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = nil
	if inFirstPart != nil {
		n.blocked = func(a, b Address) bool { return inFirstPart(n.zones[a]) != inFirstPart(n.zones[b]) }
	}
}

// testFleet is a set of nodes on a network. Tests run it inside synctest.
type testFleet struct {
	t             *testing.T
	net           *network
	nodes         []*Node
	cancels       []context.CancelFunc
	seeds         []Instance
	source        ConfigSource
	modifyOptions func(*Options)
}

// without reports whether the environment variable BBW_WITHOUT names the
// mechanism, which is then disabled. The tests that cover it must then fail.
func without(mechanism string) bool { return os.Getenv("BBW_WITHOUT") == mechanism }

func rejectInvalid(text []byte) error {
	if string(text) == "invalid" {
		return errors.New("line 1: not a rule")
	}
	return nil
}

// newTestFleet returns a fleet whose entries and agents are distributed over the
// zones in turn. Its start method starts the nodes.
func newTestFleet(t *testing.T, zones, entries, agents int) *testFleet {
	f := &testFleet{t: t, net: newNetwork(7)}
	t.Cleanup(f.close)
	for i := range entries + agents {
		role, name := Entry, fmt.Sprintf("entry-%d", i)
		if i >= entries {
			role, name = Agent, fmt.Sprintf("agent-%d", i-entries)
		}
		f.seeds = append(f.seeds, Instance{ID: name, Addr: Address(name), Zone: fmt.Sprintf("z%d", i%zones), Role: role})
	}
	return f
}

func (f *testFleet) start() {
	for i := range f.seeds {
		f.startNode(i, uint64(time.Now().UnixMilli()))
	}
}

// startNode creates and runs a node for the i-th instance.
func (f *testFleet) startNode(i int, incarnation uint64) *Node {
	self := f.seeds[i]
	self.Incarnation = incarnation
	opts := Options{
		Self: self, Seeds: f.seeds, Store: NewStore(rejectInvalid), RandomSeed: uint64(i) + 1,
		Exchanger:           nodeExchanger{net: f.net, self: self.Addr},
		withoutIncarnations: without("incarnations"),
		withoutJoin:         without("join"),
		withoutUrgent:       without("urgent"),
		withoutTextRepeat:   without("text-repeat"),
		withoutPauseCheck:   without("pausecheck"),
	}
	opts.Store.acceptOlderRevisions = without("order")
	if f.modifyOptions != nil {
		f.modifyOptions(&opts)
	}
	n, err := New(opts)
	assert.NilError(f.t, err)
	f.net.mu.Lock()
	f.net.nodes[self.Addr], f.net.zones[self.Addr] = n, self.Zone
	f.net.mu.Unlock()
	for len(f.nodes) <= i {
		f.nodes, f.cancels = append(f.nodes, nil), append(f.cancels, func() {})
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	f.nodes[i], f.cancels[i] = n, cancel
	go func() { _ = n.Run(ctx) }()
	if f.source != nil {
		go func() { _ = n.RunReader(ctx, f.source) }()
	}
	return n
}

// kill stops the node of the i-th instance without a leaving mark and removes it
// from the network.
func (f *testFleet) kill(i int) {
	f.cancels[i]()
	f.net.mu.Lock()
	delete(f.net.nodes, f.seeds[i].Addr)
	f.net.mu.Unlock()
}

func (f *testFleet) close() {
	for _, cancel := range f.cancels {
		cancel()
	}
	time.Sleep(time.Minute)
}

// revisionNumbers returns the number of the current revision of each node.
func (f *testFleet) revisionNumbers() []int64 {
	var out []int64
	for _, n := range f.nodes {
		out = append(out, n.store.Current().Number)
	}
	return out
}

func allEqual[T comparable](values []T, want T) bool {
	for _, v := range values {
		if v != want {
			return false
		}
	}
	return true
}
