package rankagent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// meshMember is a process of a mesh on the loopback interface. It records statuses.
type meshMember struct {
	node *mesh.Node

	mu       sync.Mutex
	statuses []*meshpb.RankStatus
}

func (m *meshMember) lastStatus() *meshpb.RankStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.statuses) == 0 {
		return nil
	}
	return m.statuses[len(m.statuses)-1]
}

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// listen returns a node with a handler that may be nil, and records what it gets.
func listen(t *testing.T, self mesh.Peer, seed string, handler mesh.Handler) *meshMember {
	t.Helper()
	m := &meshMember{}
	node, err := mesh.Listen(mesh.Options{Self: self, Seeds: []string{seed}, OnError: func(error) {}, Handler: func(from mesh.Peer, p *meshpb.Packet) {
		if p.Status != nil {
			m.mu.Lock()
			m.statuses = append(m.statuses, p.Status)
			m.mu.Unlock()
		}
		if handler != nil {
			handler(from, p)
		}
	}})
	assert.NilError(t, err)
	m.node = node
	return m
}

// runAgent runs an agent in a mesh with one gateway, which it returns once it has got a
// status. ended is closed when Run returns.
func runAgent(t *testing.T, a *Agent) (gateway *meshMember, stop context.CancelFunc, ended chan struct{}) {
	t.Helper()
	seed := freeAddress(t)
	gateway = listen(t, mesh.Peer{ID: "gw", Address: seed, Role: mesh.Gateway, Incarnation: 1}, seed, nil)
	own := listen(t, mesh.Peer{ID: "agent", Address: freeAddress(t), Role: mesh.RankAgent, Incarnation: 1}, seed, a.Handle)
	gatewayCtx, stopGateway := context.WithCancel(context.Background())
	t.Cleanup(stopGateway)
	go gateway.node.Run(gatewayCtx)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	ended = make(chan struct{})
	go func() {
		a.Run(ctx, own.node)
		close(ended)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := gateway.lastStatus(); s != nil && s.Up {
			return poll.Success()
		}
		return poll.Continue("the gateway has no status yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return gateway, stop, ended
}

// received reports how many orders of a kind the server got.
func (e *fakeEngine) received(kind groupmap.OrderKind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}
