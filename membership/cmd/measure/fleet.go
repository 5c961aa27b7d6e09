package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership"
	"bluebellwind.example/membership/membershippb"
)

const (
	// messageOverheadBytes is the assumed overhead of transport, encryption and
	// framing for each message.
	messageOverheadBytes = 90
	// tickPeriod is the step of the simulated clock.
	tickPeriod       = 250 * time.Millisecond
	loadPayloadBytes = 24
	zoneCount        = 7
	// rulesBytes is the size of a generated rules file.
	rulesBytes = 100 << 10
)

// simNode is a simulated instance.
type simNode struct {
	node     *membership.Node
	store    *membership.Store
	instance membership.Instance
	// trafficBytes counts the bytes sent and received.
	trafficBytes int
}

// simulation runs the nodes of a fleet on a simulated clock. It encodes and
// decodes every message, so that message sizes and CPU time are realistic.
type simulation struct {
	now    time.Time
	nodes  []*simNode
	byAddr map[membership.Address]*simNode
	// queue holds the exchanges that nodes have started and that have not run
	// yet.
	queue []func()
	// partitioned reports whether a network partition separates two instances;
	// nil means no partition.
	partitioned         func(a, b membership.Instance) bool
	messageCount        int
	largestMessageBytes int
	seeds               []membership.Instance
}

// newSimulation starts the entries and agents, distributed over the zones in
// turn.
func newSimulation(entries, agents int) (*simulation, error) {
	s := &simulation{now: time.Unix(1_000_000, 0), byAddr: map[membership.Address]*simNode{}}
	for i := range entries + agents {
		role, name := membership.Entry, fmt.Sprintf("e-%d", i)
		if i >= entries {
			role, name = membership.Agent, fmt.Sprintf("a-%d", i-entries)
		}
		addr := membership.Address(fmt.Sprintf("10.%d.%d.%d:7000", i%zoneCount, i/250, i%250))
		s.seeds = append(s.seeds, membership.Instance{ID: name, Addr: addr, Zone: fmt.Sprintf("zone-%d", i%zoneCount), Role: role})
	}
	for i := range s.seeds {
		if err := s.startNode(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// startNode creates the node of the i-th instance.
func (s *simulation) startNode(i int) error {
	n := &simNode{instance: s.seeds[i], store: membership.NewStore(func([]byte) error { return nil })}
	n.instance.Incarnation = uint64(s.now.UnixMilli())
	node, err := membership.New(membership.Options{
		Self: n.instance, Seeds: s.seeds, Exchanger: nodeExchanger{s, n}, Store: n.store,
		Now: func() time.Time { return s.now }, RandomSeed: uint64(i) + 1,
		Spawn: func(run func()) { s.queue = append(s.queue, run) },
	})
	if err != nil {
		return err
	}
	n.node = node
	s.nodes = append(s.nodes, n)
	s.byAddr[n.instance.Addr] = n
	return nil
}

// nodeExchanger is the Exchanger of one simulated instance.
type nodeExchanger struct {
	simulation *simulation
	self       *simNode
}

// Exchange implements membership.Exchanger.
func (x nodeExchanger) Exchange(ctx context.Context, peer membership.Address, m *membershippb.Message) (*membershippb.Message, error) {
	s, to := x.simulation, x.simulation.byAddr[peer]
	var request membershippb.Message
	if err := s.transfer(x.self, to, m, &request); err != nil {
		return nil, err
	}
	if s.partitioned != nil && s.partitioned(x.self.instance, to.instance) {
		return nil, errors.New("network partition between the instances")
	}
	reply, err := to.node.HandleExchange(ctx, &request)
	if err != nil {
		return nil, err
	}
	var answer membershippb.Message
	return &answer, s.transfer(to, x.self, reply, &answer)
}

// transfer encodes m, counts its bytes at both ends and decodes it into decoded.
func (s *simulation) transfer(from, to *simNode, m, decoded *membershippb.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	size := len(encoded) + messageOverheadBytes
	from.trafficBytes += size
	to.trafficBytes += size
	s.messageCount++
	s.largestMessageBytes = max(s.largestMessageBytes, size)
	return proto.Unmarshal(encoded, decoded)
}

// advance advances the clock by d, or less if until returns true earlier, and
// returns the simulated time that passed. Agents publish a new load report
// every second.
func (s *simulation) advance(d time.Duration, until func() bool) time.Duration {
	start := s.now
	for s.now.Sub(start) < d {
		s.now = s.now.Add(tickPeriod)
		for i, n := range s.nodes {
			if n.instance.Role == membership.Agent && s.now.UnixMilli()%1000 == 0 {
				payload := make([]byte, loadPayloadBytes)
				payload[0], payload[1] = byte(s.now.Unix()), byte(i)
				_ = n.node.Publish(membership.KindLoad, payload, 10*time.Second)
			}
			n.node.Step()
			s.runQueued()
		}
		if until != nil && until() {
			break
		}
	}
	return s.now.Sub(start)
}

// runQueued runs the queued exchanges, including those that they start, until the
// queue is empty.
func (s *simulation) runQueued() {
	for len(s.queue) > 0 {
		queue := s.queue
		s.queue = nil
		for _, run := range queue {
			run()
		}
	}
}

// byteRate is the traffic of the instances of one role in bytes per second, both
// directions together: the mean and that of the busiest instance.
type byteRate struct{ mean, busiest float64 }

// byteRateOf returns the traffic of a role, counted over the given seconds.
func (s *simulation) byteRateOf(role membership.Role, seconds float64) byteRate {
	var rate byteRate
	count := 0.0
	for _, n := range s.nodes {
		if n.instance.Role != role {
			continue
		}
		count++
		rate.mean += float64(n.trafficBytes) / seconds
		rate.busiest = max(rate.busiest, float64(n.trafficBytes)/seconds)
	}
	rate.mean /= max(1, count)
	return rate
}

// resetTraffic sets the traffic counters to zero. The largest message size is
// kept.
func (s *simulation) resetTraffic() {
	for _, n := range s.nodes {
		n.trafficBytes = 0
	}
	s.messageCount = 0
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
