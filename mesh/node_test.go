package mesh_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// member is one process of a test's mesh.
type member struct {
	node *mesh.Node
	stop context.CancelFunc

	mu  sync.Mutex
	got []uint64
}

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func join(t *testing.T, name, address string, role mesh.Role, seeds ...string) *member {
	t.Helper()
	m := &member{}
	node, err := mesh.Listen(mesh.Options{
		Self:  mesh.Peer{ID: name, Address: address, Role: role, Zone: "z", Incarnation: 1},
		Seeds: seeds,
		Handler: func(_ mesh.Peer, p *meshpb.Packet) {
			if p.Status == nil {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.got = append(m.got, p.Status.Step)
		},
		OnError: func(error) {},
	})
	assert.NilError(t, err)
	m.node = node
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	t.Cleanup(stop)
	go node.Run(ctx)
	return m
}

func TestProcessesFindEachOtherFromOneSeed(t *testing.T) {
	seed := freeAddress(t)
	var all []*member
	for i := range 8 {
		address, role := freeAddress(t), mesh.RankAgent
		if i == 0 {
			address, role = seed, mesh.Gateway
		}
		all = append(all, join(t, fmt.Sprintf("p%d", i), address, role, seed))
	}
	for _, m := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if m.node.Count(mesh.RankAgent) == 7 && m.node.Count(mesh.Gateway) == 1 {
				return poll.Success()
			}
			return poll.Continue("knows %d agents", m.node.Count(mesh.RankAgent))
		}, poll.WithTimeout(10*time.Second))
	}
	all[3].node.Send(&meshpb.Packet{Status: &meshpb.RankStatus{Step: 42}}, all[3].node.Peers(mesh.Gateway)...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		all[0].mu.Lock()
		defer all[0].mu.Unlock()
		if len(all[0].got) == 1 && all[0].got[0] == 42 {
			return poll.Success()
		}
		return poll.Continue("no status yet")
	})
}

func TestPeersAreForgottenAndOldNewsIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := mesh.NewPeers(mesh.Peer{ID: "self", Role: mesh.Gateway}, 8*time.Second)
	assert.Assert(t, p.Learn(mesh.Peer{ID: "a", Role: mesh.Gateway, Incarnation: 2, Address: "new", Heard: now}, now))
	assert.Assert(t, !p.Learn(mesh.Peer{ID: "a", Role: mesh.Gateway, Incarnation: 1, Address: "old", Heard: now.Add(time.Second)}, now))
	assert.Assert(t, !p.Learn(mesh.Peer{ID: "self", Heard: now}, now))
	assert.Assert(t, !p.Learn(mesh.Peer{ID: "b", Heard: now.Add(-9 * time.Second)}, now), "too old to be alive")
	assert.Equal(t, p.Of(mesh.Gateway)[0].Address, "new")
	assert.Equal(t, p.Count(mesh.Gateway), 2)
	gone := p.Expire(now.Add(9 * time.Second))
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, p.Count(mesh.Gateway), 1)
}

func TestBadDatagramsAreReported(t *testing.T) {
	address := freeAddress(t)
	errors := make(chan error, 1)
	node, err := mesh.Listen(mesh.Options{
		Self:    mesh.Peer{ID: "p", Address: address, Role: mesh.Gateway},
		Handler: func(mesh.Peer, *meshpb.Packet) { t.Error("a bad datagram was taken") },
		OnError: func(err error) { errors <- err },
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go node.Run(ctx)
	c, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("\xff\xff nonsense"))
	assert.NilError(t, err)
	select {
	case <-errors:
	case <-time.After(2 * time.Second):
		t.Fatal("nothing was reported")
	}
}
