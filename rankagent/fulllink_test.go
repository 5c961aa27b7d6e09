package rankagent

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// narrowLink is the link of one instance: the peers of the instance have its address. It
// loses the datagrams for which its queue has no room.
type narrowLink struct {
	socket         *net.UDPConn
	bytesPerSecond float64
	queueBytes     float64

	mu       sync.Mutex
	queued   float64
	queuedAt time.Time
	// forwarded holds the ranks whose orders passed the link.
	forwarded    map[uint32]bool
	passed, lost int
}

// queueDuration is how long the last datagram in the queue of a narrowLink waits.
const queueDuration = 20 * time.Millisecond

func newNarrowLink(t *testing.T, bytesPerSecond float64) *narrowLink {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	assert.NilError(t, socket.SetReadBuffer(1<<20))
	t.Cleanup(func() { _ = socket.Close() })
	l := &narrowLink{socket: socket, bytesPerSecond: bytesPerSecond, queueBytes: bytesPerSecond * queueDuration.Seconds(), forwarded: make(map[uint32]bool)}
	go l.run()
	return l
}

func (l *narrowLink) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := l.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		l.pass(buffer[:n], time.Now())
	}
}

func (l *narrowLink) pass(datagram []byte, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = max(0, l.queued-now.Sub(l.queuedAt).Seconds()*l.bytesPerSecond)
	l.queuedAt = now
	if l.queued+float64(len(datagram)) > l.queueBytes {
		l.lost++
		return
	}
	l.queued += float64(len(datagram))
	l.passed++
	var packet meshpb.Packet
	if proto.Unmarshal(datagram, &packet) == nil && packet.Order != nil {
		l.forwarded[packet.Order.Rank] = true
	}
}

// startRelay starts the agent of a candidate of a large group behind a narrow link. It
// knows the agents of all ranks.
func startRelay(t *testing.T, rank, size int, link *narrowLink) *Agent {
	t.Helper()
	state := groupmap.RankState{Epoch: 1, Open: true, Step: 10}
	agent := newFakeAgent("s", map[string]*fakeEngine{"s": newFakeEngine(rank, size, state)})
	rate := link.bytesPerSecond
	if os.Getenv("BBW_WITHOUT") == "pacing" {
		rate = 0
	}
	node, err := mesh.Listen(mesh.Options{
		Self:    mesh.Peer{ID: agentID(rank), Address: "127.0.0.1:0", Role: mesh.RankAgent, Incarnation: 1},
		Handler: agent.Handle, OnError: func(error) {}, LinkBytesPerSecond: rate,
	})
	assert.NilError(t, err)
	agent.mesh = node
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go node.Run(ctx)
	agent.reportStatus(ctx, false)
	address := link.socket.LocalAddr().String()
	agent.mu.Lock()
	for r := range size {
		if r == rank {
			continue
		}
		peer := mesh.Peer{ID: fmt.Sprintf("agent-%d", r), Address: address, Incarnation: 1}
		agent.leader.noteAgent(peer, r, false)
		agent.leader.observe(backends.Group{Name: "g", Epoch: 1, Rank: r, Size: size}, peer.ID, "s", state, 1, time.Now())
		status := &meshpb.RankStatus{
			Server: fmt.Sprintf("10.0.0.%d:8000", r), Up: true, Group: "g", Epoch: 1, Rank: uint32(r), Size: uint32(size),
			Open: true, Step: 10, Running: 3, PassUs: 80_000, PaceMilli: paceUnit, ReadMs: 1000,
		}
		agent.noteRelayed(peer, status, time.Now())
	}
	agent.mu.Unlock()
	for g := range subscribedGateways {
		agent.Handle(mesh.Peer{ID: fmt.Sprintf("gateway-%d", g), Address: address, Role: mesh.Gateway}, &meshpb.Packet{
			StatusSubscription: &meshpb.StatusSubscription{Group: "g"},
		})
	}
	return agent
}

// subscribedGateways is how many of 98 gateways get digests from one of 8 candidates.
const subscribedGateways = 13

// Guards against orders to prepare a map that are lost on the full link of the agent that
// passes them on: at 96 ranks a few to a quarter of them were, and the whole group went on
// with the old map until they were repeated more than a second later.
func TestOrdersPassedOnAreNotLostOnAFullLink(t *testing.T) {
	const rank, size, differenceBytes = 12, 96, 2000
	link := newNarrowLink(t, 750_000)
	agent := startRelay(t, rank, size, link)
	order := &meshpb.RankOrder{
		Kind: uint32(groupmap.Prepare), Group: "g", Epoch: 1, Version: 7, Rank: rank, Map: (&groupmap.Map{}).AppendBinary(nil),
		Difference: make([]byte, differenceBytes),
	}
	for r := uint32(13); r < 25; r++ {
		order.Forward = append(order.Forward, r)
	}
	agent.Handle(mesh.Peer{ID: "agent-0"}, &meshpb.Packet{Order: order})
	agent.sendDigests(time.Now())
	time.Sleep(300 * time.Millisecond)
	link.mu.Lock()
	defer link.mu.Unlock()
	for _, r := range order.Forward {
		assert.Check(t, link.forwarded[r], "the order of rank %d was lost", r)
	}
	assert.Equal(t, link.lost, 0, "of %d datagrams", link.lost+link.passed)
}
