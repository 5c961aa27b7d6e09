package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership/membershippb"
)

// Run calls Step every Timing.TickPeriod until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := time.NewTicker(n.timing.TickPeriod)
	defer ticker.Stop()
	for {
		n.Step()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step performs the periodic work that is due. Run calls it; tests and benchmarks
// may call it directly with a simulated clock. Calls must not overlap.
func (n *Node) Step() {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.superseded {
		return
	}
	n.detectPause(now)
	n.lastStep = now
	if !n.joined {
		n.advanceJoin(now)
	}
	if !n.opts.withoutTextRepeat {
		n.repeatTextRequest(now)
	}
	if !now.Before(n.nextGossip) {
		n.nextGossip = now.Add(n.gossipPeriod(now))
		n.gossip(now)
	}
	if n.self.Role == Agent && !now.Before(n.nextLoadReport) {
		n.sendLoadReport(now)
	}
	n.publishStatus(now)
}

// gossipPeriod returns the time between two gossip exchanges. It grows with the
// number of live instances because digests do too. The caller holds n.mu.
func (n *Node) gossipPeriod(now time.Time) time.Duration {
	period := n.timing.GossipPeriodPerInstance * time.Duration(len(n.alive(now)))
	return max(n.timing.GossipPeriod, min(period, n.timing.GossipPeriodMax))
}

// gossip removes expired records, publishes the facts of this instance again
// after half of incarnationRetention, increments its heartbeat, and starts a
// digest exchange with one peer. The caller holds n.mu.
func (n *Node) gossip(now time.Time) {
	n.table.expire(now)
	if now.Sub(n.table.origins[n.self.ID].latest[KindFacts].PublishedAt) > incarnationRetention/2 {
		n.publishFacts(now)
	}
	own := n.table.origins[n.self.ID]
	own.heartbeat++
	own.lastHeard = now
	n.gossipRound++
	peer, ok := n.chooseGossipPeer(now)
	if !ok {
		return
	}
	n.startExchange(peer.Addr, n.digestMessage(now), nil)
}

// chooseGossipPeer returns the peer of this gossip round, usually an entry of
// this zone. In every second round a relay chooses a relay of another zone. One
// round in listedPeerOdds, and every round without a live entry, goes to a listed
// instance that is not known to be alive, if there is one, so that zones find
// each other again after a network partition. The caller holds n.mu.
func (n *Node) chooseGossipPeer(now time.Time) (Instance, bool) {
	alive := n.alive(now)
	entries := filter(alive, func(i Instance) bool { return i.Role == Entry && i.ID != n.self.ID })
	if len(entries) == 0 || n.rng.IntN(listedPeerOdds) == 0 {
		if notAlive := n.listedNotAlive(alive); len(notAlive) > 0 {
			return notAlive[n.rng.IntN(len(notAlive))], true
		}
	}
	if len(entries) == 0 {
		return Instance{}, false
	}
	if n.gossipRound%2 == 0 && n.isRelay(entries) {
		if peer, ok := n.chooseRemoteRelay(entries); ok {
			return peer, true
		}
	}
	sameZone := filter(entries, func(i Instance) bool { return i.Zone == n.self.Zone })
	if len(sameZone) == 0 {
		sameZone = entries
	}
	return sameZone[n.rng.IntN(len(sameZone))], true
}

// listedNotAlive returns the listed instances, except agents, whose address is
// not among those of the live instances, sorted by key.
func (n *Node) listedNotAlive(alive []Instance) []Instance {
	aliveAddrs := make(map[Address]bool, len(alive))
	for _, i := range alive {
		aliveAddrs[i.Addr] = true
	}
	var out []Instance
	for _, i := range n.listedByKey {
		if i.Role != Agent && !aliveAddrs[i.Addr] {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.key(), b.key()) })
	return out
}

// isRelay reports whether this node is one of the relays of its zone, given the
// other entries it knows. Instances that see different sets of entries may
// choose more or fewer relays, which is harmless.
func (n *Node) isRelay(others []Instance) bool {
	if n.self.Role != Entry {
		return false
	}
	zone := filter(others, func(i Instance) bool { return i.Zone == n.self.Zone })
	return rankOf(n.self, rendezvousOrder("relay", append(zone, n.self))) < relaysPerZone
}

// rankOf returns the index of self in order, or -1 if it is missing.
func rankOf(self Instance, order []Instance) int {
	return slices.IndexFunc(order, func(i Instance) bool { return i.key() == self.key() })
}

// chooseRemoteRelay returns a random relay of a random other zone. The result is
// false if there is no other zone. The caller holds n.mu.
func (n *Node) chooseRemoteRelay(entries []Instance) (Instance, bool) {
	zones := slices.DeleteFunc(zonesOf(entries), func(z string) bool { return z == n.self.Zone })
	if len(zones) == 0 {
		return Instance{}, false
	}
	zone := zones[n.rng.IntN(len(zones))]
	relays := rendezvousOrder("relay", filter(entries, func(i Instance) bool { return i.Zone == zone }))
	return relays[n.rng.IntN(min(relaysPerZone, len(relays)))], true
}

// zonesOf returns the distinct zones of the instances, sorted.
func zonesOf(instances []Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.Zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// sendLoadReport sends this agent's load report, if it has an unexpired one, to
// every entry of its zone. Without one it sends messages without records: the
// replies tell the agent which revision the entries hold. The caller holds n.mu.
func (n *Node) sendLoadReport(now time.Time) {
	entries := filter(n.assumedAlive(now), func(i Instance) bool {
		return i.Role == Entry && i.Zone == n.self.Zone
	})
	n.nextLoadReport = now.Add(n.timing.directLoadPeriod(len(entries)))
	m := n.newMessage()
	r := n.table.origins[n.self.ID].latest[KindLoad]
	if r != nil && !r.expired(now) {
		p := r.toProto(now)
		p.Origin, p.Incarnation, p.Direct = "", 0, true
		m.Records = []*membershippb.Record{p}
	}
	for _, peer := range entries {
		n.startExchange(peer.Addr, m, nil)
	}
}

// publishStatus publishes the status record of this instance when StatusPeriod
// has passed or the reported problems have changed. A new revision number alone
// waits for the period. The caller holds n.mu.
func (n *Node) publishStatus(now time.Time) {
	s := n.statusPayload()
	problemsChanged := n.lastStatus != nil && !sameProblems(s, n.lastStatus)
	if !problemsChanged && now.Before(n.nextStatus) {
		return
	}
	payload, err := proto.Marshal(s)
	if err != nil {
		return
	}
	n.lastStatus = s
	n.nextStatus = now.Add(n.timing.StatusPeriod)
	n.putOwnRecord(KindStatus, payload, 3*n.timing.StatusPeriod, false, now)
}
