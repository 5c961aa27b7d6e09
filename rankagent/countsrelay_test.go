package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// largeGroupAgent returns the agent of a rank of a group of 96 ranks in three zones, which
// has heard all others at now.
func largeGroupAgent(t *testing.T, rank int, now time.Time) *Agent {
	t.Helper()
	const size = 96
	zone := func(r int) string { return []string{"a", "b", "c"}[r*3/size] }
	state := groupmap.RankState{Epoch: 1, Open: true, Step: 10}
	a := newFakeAgent("s", map[string]*fakeEngine{"s": newFakeEngine(rank, size, state)})
	a.options.LinkBytesPerSecond = 750_000
	node, err := mesh.Listen(mesh.Options{Self: mesh.Peer{ID: agentID(rank), Address: "127.0.0.1:0", Zone: zone(rank)}, OnError: func(error) {}})
	assert.NilError(t, err)
	a.mesh = node
	a.report.Group = backends.Group{Name: "g", Epoch: 1, Rank: rank, Size: size}
	a.leader.observe(a.report.Group, "", "s", state, 1, now)
	for r := range size {
		if r == rank {
			continue
		}
		assert.Assert(t, a.leader.noteAgent(mesh.Peer{ID: agentID(r), Zone: zone(r), Incarnation: 1}, r, false))
		a.leader.observe(backends.Group{Name: "g", Epoch: 1, Rank: r, Size: size}, agentID(r), "s", state, 1, now)
		a.leader.presence.noteSumsCounts(r, isCandidate(r, size))
	}
	return a
}

// Guards against maps for a demand that the planner knows from one rank in twelve, as rarely
// as once in 2.1 s: at 96 ranks the counts of all ranks reach it several times a second,
// within the share of the links that they may take.
func TestCountsOfALargeGroupArriveThroughRelays(t *testing.T) {
	const bytes, size = 3300, 96
	now := time.Unix(1000, 0)
	perRelay := make(map[string]float64)
	longest := time.Duration(0)
	atInitiator := 0.0
	for rank := range size {
		a := largeGroupAgent(t, rank, now)
		route := a.countsRoute(a.report.Group, bytes, now)
		longest = max(longest, route.period)
		switch {
		case rank == initiatorRank:
			assert.Assert(t, route.local)
		case isCandidate(rank, size):
			assert.Equal(t, route.to.ID, agentID(initiatorRank))
			atInitiator += 2 * bytes / route.period.Seconds()
		default:
			assert.Equal(t, route.to.Zone, a.mesh.Zone(), "counts of rank %d leave their zone", rank)
			perRelay[route.to.ID] += bytes / route.period.Seconds()
		}
	}
	assert.Assert(t, longest <= 500*time.Millisecond, "%v", longest)
	assert.Assert(t, atInitiator <= 1.01*relayedCountsLinkShare*750_000, "%.0f bytes a second at the initiator", atInitiator)
	for relay, rate := range perRelay {
		assert.Assert(t, rate <= 1.01*relayedCountsLinkShare*750_000, "%.0f bytes a second at %s", rate, relay)
	}
}

// Guards against counts that nobody gets: a relay that is silent, or of a build that does
// not sum counts, gets none.
func TestCountsAvoidSilentAndOlderRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	a := largeGroupAgent(t, 13, now)
	assert.Equal(t, a.countsRoute(a.report.Group, 3300, now).to.Zone, "a")
	for rank := range 32 {
		a.leader.presence.left[rank] = true
	}
	assert.Assert(t, a.countsRoute(a.report.Group, 3300, now).to.Zone != "a")
	for rank := range 96 {
		a.leader.presence.noteSumsCounts(rank, false)
	}
	route := a.countsRoute(a.report.Group, 3300, now)
	assert.Equal(t, route.to.ID, agentID(initiatorRank))
	assert.Equal(t, route.period, a.countsSendPeriod(96, 3300))
}

// Guards against choices that are lost or counted twice on the way through a relay, and
// against the sums of an earlier epoch.
func TestRelayPassesSumsOn(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, initiator := largeGroupAgent(t, 12, now), largeGroupAgent(t, 0, now)
	counts := func(rank uint32, epoch uint64, values ...uint32) *meshpb.Popularity {
		return &meshpb.Popularity{Group: "g", Epoch: epoch, Rank: rank, Counts: values, Unit: 2, Map: 4, Held: []uint32{1, rank}, Sets: 1}
	}
	relay.handlePopularity(counts(13, 1, 50, 0, 3))
	relay.handlePopularity(counts(14, 1, 1, 7, 0))
	relay.handlePopularity(counts(15, 0, 100, 100, 100))
	relay.handlePopularity(counts(15, 1, 100, 100))
	relay.handlePopularity(counts(96, 1, 100, 100, 100)) // No such rank.
	sum := relay.countsRelay.addTo(counts(12, 1, 1, 1, 1))
	assert.DeepEqual(t, sum.Counts, []uint32{104, 16, 8})
	assert.Equal(t, sum.Unit, uint32(1))
	assert.Equal(t, len(sum.Others), 2)
	again := relay.countsRelay.addTo(counts(12, 1, 1, 1, 1))
	assert.DeepEqual(t, again.Counts, []uint32{1, 1, 1})

	initiator.handlePopularity(sum)
	assert.DeepEqual(t, initiator.leader.popularity.load, []float64{104, 16, 8})
	for _, rank := range []int{12, 13, 14} {
		assert.Equal(t, initiator.leader.popularity.mapVersions[rank], uint64(4))
		assert.DeepEqual(t, initiator.leader.popularity.heldExperts[rank], [][]uint16{{uint16(rank)}})
	}
	relay.handlePopularity(counts(13, 1, 50, 0, 3))
	assert.DeepEqual(t, relay.countsRelay.addTo(counts(12, 2, 1, 1, 1)).Counts, []uint32{1, 1, 1})
}
