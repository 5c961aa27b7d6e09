package mesh_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// member is one process of a mesh under test.
type member struct {
	node *mesh.Node
	stop context.CancelFunc

	mu sync.Mutex
	// statusSteps holds the steps of the received statuses.
	statusSteps []uint64
}

// freeAddress returns a local UDP address at which no socket is open.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func startMember(t *testing.T, name, address string, role mesh.Role, seeds ...string) *member {
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
			m.statusSteps = append(m.statusSteps, p.Status.Step)
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
	var members []*member
	for i := range 8 {
		address, role := freeAddress(t), mesh.RankAgent
		if i == 0 {
			address, role = seed, mesh.Gateway
		}
		members = append(members, startMember(t, fmt.Sprintf("p%d", i), address, role, seed))
	}
	for _, m := range members {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if m.node.Count(mesh.RankAgent) == 7 && m.node.Count(mesh.Gateway) == 1 {
				return poll.Success()
			}
			return poll.Continue("%d rank agents are known", m.node.Count(mesh.RankAgent))
		}, poll.WithTimeout(10*time.Second))
	}
	members[3].node.Send(&meshpb.Packet{Status: &meshpb.RankStatus{Step: 42}}, members[3].node.Peers(mesh.Gateway)...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		members[0].mu.Lock()
		defer members[0].mu.Unlock()
		if len(members[0].statusSteps) == 1 && members[0].statusSteps[0] == 42 {
			return poll.Success()
		}
		return poll.Continue("the status has not arrived yet")
	})
}

func TestPeersAreForgottenAndOldNewsIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := mesh.NewPeerSet(mesh.Peer{ID: "self", Role: mesh.Gateway}, 8*time.Second, 100)
	assert.Assert(t, p.Update(mesh.Peer{ID: "a", Role: mesh.Gateway, Incarnation: 2, Address: "new", LastSeen: now}, now))
	assert.Assert(t, !p.Update(mesh.Peer{ID: "a", Role: mesh.Gateway, Incarnation: 1, Address: "old", LastSeen: now.Add(time.Second)}, now))
	assert.Assert(t, !p.Update(mesh.Peer{ID: "self", LastSeen: now}, now))
	assert.Assert(t, !p.Update(mesh.Peer{ID: "b", LastSeen: now.Add(-9 * time.Second)}, now), "a peer was added after its lifetime")
	assert.Equal(t, p.WithRole(mesh.Gateway)[0].Address, "new")
	assert.Equal(t, p.Count(mesh.Gateway), 2)
	expired := p.Expire(now.Add(9 * time.Second))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, p.Count(mesh.Gateway), 1)
}

func TestBadDatagramsAreReported(t *testing.T) {
	address := freeAddress(t)
	reported := make(chan error, 1)
	node, err := mesh.Listen(mesh.Options{
		Self:    mesh.Peer{ID: "p", Address: address, Role: mesh.Gateway},
		Handler: func(mesh.Peer, *meshpb.Packet) { t.Error("an invalid datagram reached the handler") },
		OnError: func(err error) { reported <- err },
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
	case <-reported:
	case <-time.After(2 * time.Second):
		t.Fatal("the invalid datagram was not reported to OnError")
	}
}

// Guards against a process that exits while its last messages, which say that it leaves, still
// wait for the link.
func TestFlushLetsTheLastMessagesLeave(t *testing.T) {
	const linkBytesPerSecond, datagrams = 200_000, 100
	address := freeAddress(t)
	receiver := startMember(t, "receiver", address, mesh.Gateway)
	sender, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{ID: "sender", Address: freeAddress(t), Role: mesh.RankAgent}, Handler: func(mesh.Peer, *meshpb.Packet) {},
		OnError: func(error) {}, LinkBytesPerSecond: linkBytesPerSecond,
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	go sender.Run(ctx)
	to := mesh.Peer{ID: "receiver", Address: address}
	for i := range uint64(datagrams) {
		sender.Send(&meshpb.Packet{Status: &meshpb.RankStatus{Step: i + 1}}, to)
	}
	sender.Flush(5 * time.Second)
	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		if len(receiver.statusSteps) == datagrams {
			return poll.Success()
		}
		return poll.Continue("%d of %d messages arrived", len(receiver.statusSteps), datagrams)
	}, poll.WithTimeout(5*time.Second))
}

// Datagrams that name ever new peers made a process keep all of them for their lifetime. Known
// peers must stay known, and be replaced once they are gone.
func TestPeersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := func(id string, seen time.Time) mesh.Peer {
		return mesh.Peer{ID: id, Role: mesh.Gateway, Incarnation: 1, LastSeen: seen}
	}
	p := mesh.NewPeerSet(mesh.Peer{ID: "self", Role: mesh.Gateway}, 8*time.Second, 2)
	assert.Assert(t, p.Update(peer("a", now), now))
	assert.Assert(t, p.Update(peer("b", now), now))
	assert.Assert(t, !p.Update(peer("c", now), now), "a peer over the limit was added")
	assert.Assert(t, !p.Update(peer(strings.Repeat("x", 300), now), now), "a peer with an endless ID was added")
	later := now.Add(5 * time.Second)
	assert.Assert(t, !p.Update(peer("a", later), later))
	p.Expire(now.Add(9 * time.Second))
	assert.Equal(t, p.Count(mesh.Gateway), 2)
	assert.Assert(t, p.Update(peer("c", now.Add(9*time.Second)), now.Add(9*time.Second)))
}
