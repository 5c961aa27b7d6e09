package rankagent

import (
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// relayedCountsLinkShare is the share of the link of a relay, and of the initiator, that
	// the counts of a large group may take.
	relayedCountsLinkShare = 0.3
	// unevenRelays is how many times the mean number of ranks may send to one relay: zones
	// differ in how many ranks have how many relays.
	unevenRelays = 2
	// sumsSizeFactor is the size of the sums of a relay, with the experts that each rank
	// holds, relative to the counts of one rank.
	sumsSizeFactor = 2
)

// countsRoute is the way that the counts of a rank take to the initiator, and how often they
// are sent.
type countsRoute struct {
	// to is the next agent; its ID is empty if none is known. local is set if that is the
	// initiator itself.
	to    mesh.Peer
	local bool
	// period is the time between two messages of this agent, and rankPeriod that between
	// two messages of any rank.
	period, rankPeriod time.Duration
}

// countsRoute returns the route of the counts of the local rank, whose messages have the
// given size. In a large group they go through a candidate, which sums those of several
// ranks, so that the initiator knows the choices of all ranks within a fraction of a second.
// While no candidate is known that does so, each rank sends its own to the initiator, as
// seldom as its link requires. The caller holds a.mu.
func (a *Agent) countsRoute(g backends.Group, messageBytes int, now time.Time) countsRoute {
	initiator, isInitiator := a.leader.initiatorAgent()
	direct := a.countsSendPeriod(g.Size, messageBytes)
	route := countsRoute{to: initiator, local: isInitiator, period: direct, rankPeriod: direct}
	relays, nearest := a.leader.countsRelays(now)
	if len(relays) == 0 {
		return route
	}
	ranksOfRelay := (g.Size + len(relays) - 1) / len(relays)
	route.rankPeriod = min(direct, a.relayedCountsPeriod(unevenRelays*ranksOfRelay, messageBytes))
	route.period = route.rankPeriod
	switch {
	case isInitiator:
	case isCandidate(g.Rank, g.Size):
		senders := len(relays) + 1 // The other relays and this one.
		route.period = min(direct, a.relayedCountsPeriod(senders, sumsSizeFactor*messageBytes))
	default:
		route.to = nearest[g.Rank%len(nearest)]
	}
	return route
}

// relayedCountsPeriod returns the time between two messages of the given size of each of
// several senders to one agent.
func (a *Agent) relayedCountsPeriod(senders, messageBytes int) time.Duration {
	if a.options.LinkBytesPerSecond == 0 {
		return countsPeriod
	}
	seconds := float64(senders*messageBytes) / (relayedCountsLinkShare * a.options.LinkBytesPerSecond)
	return max(countsPeriod, time.Duration(seconds*float64(time.Second)))
}

// countsRelays returns the agents that sum counts, which are candidates other than the
// initiator that are not silent. nearest are those of the availability zone of this agent,
// or all if there are none. It returns none in a small group.
func (l *leader) countsRelays(now time.Time) (all, nearest []mesh.Peer) {
	if l.group.Size <= maxSmallGroup || l.agent.mesh == nil {
		return nil, nil
	}
	zone := l.agent.mesh.Zone()
	for rank := range l.group.Size {
		peer, known := l.peers[rank]
		if rank == initiatorRank || !known || !isCandidate(rank, l.group.Size) || !l.presence.sumsCounts[rank] || l.silent(rank, now) {
			continue
		}
		all = append(all, peer)
		if peer.Zone == zone {
			nearest = append(nearest, peer)
		}
	}
	if len(nearest) == 0 {
		nearest = all
	}
	return all, nearest
}

// countsRelay sums the counts that other ranks have sent to this agent since it last sent
// its own. It is guarded by the mutex of the agent.
type countsRelay struct {
	epoch uint64
	// sums are in single choices, set by set.
	sums []uint64
	// others holds the ranks in the sums.
	others map[uint32]*meshpb.RankExperts
}

// add adds the counts of a rank. Those of an earlier epoch, or with other dimensions, are
// dropped.
func (r *countsRelay) add(p *meshpb.Popularity) {
	if p.Epoch < r.epoch || p.Epoch == r.epoch && len(r.sums) != 0 && len(p.Counts) != len(r.sums) {
		return
	}
	if p.Epoch > r.epoch || len(r.sums) == 0 {
		*r = countsRelay{epoch: p.Epoch, sums: make([]uint64, len(p.Counts)), others: make(map[uint32]*meshpb.RankExperts)}
	}
	for i, c := range p.Counts {
		r.sums[i] += uint64(c) * uint64(p.Unit)
	}
	r.others[p.Rank] = &meshpb.RankExperts{Rank: p.Rank, Map: p.Map, Held: p.Held}
}

// addTo returns the counts of the local rank with the sums added, and forgets these.
func (r *countsRelay) addTo(own *meshpb.Popularity) *meshpb.Popularity {
	defer func() { *r = countsRelay{} }()
	if len(r.sums) != len(own.Counts) || r.epoch != own.Epoch {
		return own
	}
	sums := make([]uint32, len(r.sums))
	for i, s := range r.sums {
		sums[i] = uint32(s) + own.Counts[i]*own.Unit
	}
	own.Counts, own.Unit = scaleCounts(sums)
	for _, other := range r.others {
		own.Others = append(own.Others, other)
	}
	return own
}

// handlePopularity takes in counts: the initiator for its plans, another candidate to pass
// them on.
func (a *Agent) handlePopularity(p *meshpb.Popularity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.report.Group
	if p.Group != g.Name || int(p.Rank) >= g.Size || p.Sets == 0 || len(p.Counts)%int(p.Sets) != 0 {
		return
	}
	if g.Rank != initiatorRank && RelaysStatuses(g.Size) {
		a.countsRelay.add(p)
		return
	}
	now := time.Now()
	a.leader.popularity.add(rankCounts{
		epoch: p.Epoch, rank: int(p.Rank), counts: p.Counts, unit: p.Unit, mapVersion: p.Map, heldExperts: unpackExperts(p.Held, int(p.Sets)),
	}, g.Size, now)
	for _, other := range p.Others {
		a.leader.popularity.setHeld(p.Epoch, int(other.Rank), other.Map, unpackExperts(other.Held, int(p.Sets)))
	}
}
