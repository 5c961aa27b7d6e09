package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh/meshpb"
)

// directOrderDelay is how long the agent of a rank has to carry out an order that the
// group waits for. After that the rank gets the order directly: while it is held, the
// group stands still.
const directOrderDelay = 100 * time.Millisecond

// wholeMapDelay is how long an order to prepare a map may go without effect before the whole
// map is sent: repetitions are mostly of lost datagrams, but the agent may lack the map to
// which the difference applies.
const wholeMapDelay = 300 * time.Millisecond

// orderSenders returns functions that send the orders. In a large group the agents of
// candidates pass maps on to the others; agents that lack the map in use get the whole new
// one apart from those that need only the difference.
func (l *leader) orderSenders(ctx context.Context, orders []groupmap.Order, now time.Time) []func() {
	var sends []func()
	var forKnowing, forLacking []groupmap.Order
	for _, o := range orders {
		switch {
		case l.goesDirectly(o, now):
			sends = append(sends, l.directSender(ctx, o))
		case l.knowsBase(o):
			forKnowing = append(forKnowing, o)
		default:
			forLacking = append(forLacking, o)
		}
	}
	relays := l.relays(now)
	for _, r := range append(assignRelays(forKnowing, relays), assignRelays(forLacking, relays)...) {
		sends = append(sends, l.agent.orderPacketSender(l.orderMessage(r), l.peers[r.order.Rank]))
	}
	return sends
}

// relays returns the ranks whose agents can pass orders on: the candidates of a large
// group, which know the agents of all ranks, unless they are silent.
func (l *leader) relays(now time.Time) []int {
	if l.group.Size <= maxSmallGroup {
		return nil
	}
	var out []int
	for rank := range l.group.Size {
		_, known := l.peers[rank]
		if known && isCandidate(rank, l.group.Size) && !l.silent(rank, now) {
			out = append(out, rank)
		}
	}
	return out
}

// goesDirectly reports whether an order goes to the server of its rank without its
// agent: the rank is the local one, its agent is unknown, silent or has not carried out
// the order in time. A prepare takes its time at any rank.
func (l *leader) goesDirectly(o groupmap.Order, now time.Time) bool {
	_, known := l.peers[o.Rank]
	late := o.Kind != groupmap.Prepare && o.Unconfirmed >= directOrderDelay
	return o.Rank == l.group.Rank || !known || l.silent(o.Rank, now) || late
}

// directSender returns a function that sends an order to the server of its rank.
func (l *leader) directSender(ctx context.Context, o groupmap.Order) func() {
	a := l.agent
	engine := a.engine
	if o.Rank != l.group.Rank {
		engine = a.options.Dial(l.servers[o.Rank])
	}
	return func() { go a.executeOrder(ctx, engine, o) }
}

// confirm records the answer of another rank to an order. Reports of servers to other
// machines are late, and the group may be held meanwhile.
func (a *Agent) confirm(o groupmap.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader.mapSwitch == nil {
		return
	}
	now := time.Now()
	a.leader.presence.reachedAt[o.Rank] = now
	if o.Kind == groupmap.Prepare {
		a.leader.mapSwitch.NoteReceipt(o.Rank, o.Epoch, o.Version)
	}
	if o.Kind != groupmap.Prepare { // That has only begun.
		a.leader.presence.knownAt[o.Rank] = now
		a.leader.mapSwitch.Confirm(o)
	}
	a.wakeLeader()
}

// orderMessage returns the message that carries an order to the agent of its rank, and
// through it to the forward ranks. The map in it is the difference from the map in use,
// or whole if the agents lack that, if the order has had no effect for wholeMapDelay or if
// the difference is empty or longer.
func (l *leader) orderMessage(r relayedOrder) *meshpb.RankOrder {
	o := r.order
	message := &meshpb.RankOrder{
		Kind: uint32(o.Kind), Group: l.group.Name, Epoch: o.Epoch, Version: o.Version, Step: o.Step, Rank: uint32(o.Rank),
		Forward: r.forward,
	}
	if o.Map == nil {
		return message
	}
	encoded := o.Map.AppendBinary(nil)
	if l.knowsBase(o) && o.Unconfirmed < wholeMapDelay {
		message.Difference = o.Map.AppendDifference(nil, l.currentMap)
		message.Base = l.currentMap.Version
	}
	if len(message.Difference) == 0 || len(message.Difference) > len(encoded) {
		message.Difference, message.Map = nil, encoded
	}
	return message
}

// knowsBase reports whether the agent of the rank of an order knows the map in use, to
// which a difference applies. An agent that has said that it knows an earlier map of the
// epoch has got the map in use since, with the order to prepare it.
func (l *leader) knowsBase(o groupmap.Order) bool {
	known, found := l.presence.knownMaps[o.Rank]
	return found && l.currentMap != nil && known.epoch == o.Epoch
}
