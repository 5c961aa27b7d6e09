package node

import (
	"context"
	"math/rand/v2"
	"time"

	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/panics"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// gossipInterval is the time between two rounds in which a gateway tells gossipFanout
	// others, drawn at random, what it knows: single datagrams are lost.
	gossipInterval = time.Second
	gossipFanout   = 2
)

// topic is something that gateways tell each other.
type topic interface {
	// tellActive tells other gateways again what they may have missed.
	tellActive(to ...mesh.Peer)
	// tellStarted tells a gateway that has started what this one knows.
	tellStarted(to mesh.Peer)
	// handle merges what another gateway tells.
	handle(from mesh.Peer, packet *meshpb.Packet)
}

// gossip tells other gateways what they may have missed: periodically, and at once when one
// has started. It is safe for concurrent use once its fields are set.
type gossip struct {
	mesh   *mesh.Node
	topics []topic
	// onPanic is called with a *panics.Error.
	onPanic func(error)
}

// run tells some other gateways periodically until ctx ends.
func (g *gossip) run(ctx context.Context) {
	clock.Every(ctx, gossipInterval, func(time.Time) {
		peers := g.mesh.Peers(mesh.Gateway)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		if err := panics.Do("telling other gateways", func() { g.tellActive(peers[:min(len(peers), gossipFanout)]...) }); err != nil {
			g.onPanic(err)
		}
	})
}

// handlePeerChange tells a gateway that has started what this one knows.
func (g *gossip) handlePeerChange(p mesh.Peer, alive bool) {
	if !alive || p.Role != mesh.Gateway {
		return
	}
	for _, t := range g.topics {
		t.tellStarted(p)
	}
}

func (g *gossip) tellActive(to ...mesh.Peer) {
	for _, t := range g.topics {
		t.tellActive(to...)
	}
}

// handle merges what another gateway tells.
func (g *gossip) handle(from mesh.Peer, packet *meshpb.Packet) {
	for _, t := range g.topics {
		t.handle(from, packet)
	}
}
