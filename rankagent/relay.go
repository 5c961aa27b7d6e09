package rankagent

import (
	"slices"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// relayedOrder is an order that the agent of its rank passes on to the agents of other
// ranks.
type relayedOrder struct {
	order   groupmap.Order
	forward []uint32
}

// assignRelays spreads the orders that carry the same map over the relays, so that the
// map leaves the leader once for each of them instead of once for each rank. Orders
// that had no effect before, which may be a relay's fault, and all other kinds are not
// relayed. Only relays that get the order themselves pass it on.
func assignRelays(orders []groupmap.Order, relays []int) []relayedOrder {
	var out []relayedOrder
	var relaying []int // Indexes in out.
	for _, o := range orders {
		if relayable(o) && slices.Contains(relays, o.Rank) {
			relaying = append(relaying, len(out))
			out = append(out, relayedOrder{order: o})
		}
	}
	next := 0
	for _, o := range orders {
		switch {
		case relayable(o) && slices.Contains(relays, o.Rank):
		case relayable(o) && len(relaying) > 0:
			relay := &out[relaying[next%len(relaying)]]
			relay.forward = append(relay.forward, uint32(o.Rank))
			next++
		default:
			out = append(out, relayedOrder{order: o})
		}
	}
	return out
}

func relayable(o groupmap.Order) bool { return o.Kind == groupmap.Prepare && !o.Resent }

// forwardOrder passes an order on to the agents of the ranks that it names, as far as
// they are known.
func (a *Agent) forwardOrder(o *meshpb.RankOrder) {
	var sends []func()
	a.mu.Lock()
	for _, rank := range o.Forward {
		peer, known := a.leader.peers[int(rank)]
		if !known || o.Group != a.leader.group.Name {
			continue
		}
		message := &meshpb.RankOrder{
			Kind: o.Kind, Group: o.Group, Epoch: o.Epoch, Version: o.Version, Step: o.Step, Rank: rank,
			Map: o.Map, Difference: o.Difference, Base: o.Base,
		}
		sends = append(sends, a.orderPacketSender(message, peer))
	}
	a.mu.Unlock()
	a.metrics.ordersForwarded.Add(len(sends))
	a.metrics.ordersUnforwarded.Add(len(o.Forward) - len(sends))
	for _, send := range sends {
		send()
	}
	a.log.Info().Str("event", "orders_forwarded").Str("group", o.Group).Uint64("version", o.Version).Int("ranks", len(sends)).
		Int("unknown", len(o.Forward)-len(sends)).Int("bytes_each", len(o.Map)+len(o.Difference)).Msg("")
}

// orderPacketSender returns a function that sends an order to an agent.
func (a *Agent) orderPacketSender(message *meshpb.RankOrder, to mesh.Peer) func() {
	return func() { a.mesh.Send(&meshpb.Packet{Order: message}, to) }
}
