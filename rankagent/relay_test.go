package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
)

// A map of a group of 96 ranks takes some 6 KB. Sent by the leader to each rank, it
// filled the link of a small instance for more than a second.
func TestMapsLeaveTheLeaderOnceForEachRelay(t *testing.T) {
	const ranks = 96
	var relays []int
	var orders []groupmap.Order
	for rank := range ranks {
		if rank > 0 && isCandidate(rank, ranks) {
			relays = append(relays, rank)
		}
		orders = append(orders, groupmap.Order{Rank: rank, Kind: groupmap.Prepare, Version: 4})
	}
	assigned := assignRelays(orders, relays)
	assert.Equal(t, len(assigned), len(relays))
	seen := make(map[int]int)
	for _, r := range assigned {
		seen[r.order.Rank]++
		assert.Assert(t, len(r.forward) <= ranks/len(relays)+1, "rank %d passes on to %d", r.order.Rank, len(r.forward))
		for _, rank := range r.forward {
			seen[int(rank)]++
		}
	}
	for rank := range ranks {
		assert.Equal(t, seen[rank], 1, "rank %d", rank)
	}
}

// A relay may be dead or cut off. What had no effect goes out directly, and so do the
// orders on which the safety of a switch depends.
func TestOrdersGoDirectlyWhereARelayMayBeAtFault(t *testing.T) {
	orders := []groupmap.Order{
		{Rank: 12, Kind: groupmap.Prepare},
		{Rank: 1, Kind: groupmap.Prepare, Resent: true},
		{Rank: 2, Kind: groupmap.Arm},
		{Rank: 3, Kind: groupmap.Prepare},
	}
	for _, r := range assignRelays(orders, []int{12}) {
		assert.Assert(t, r.order.Rank != 1 || len(r.forward) == 0)
		if r.order.Rank == 12 {
			assert.DeepEqual(t, r.forward, []uint32{3})
		}
	}
	assert.Equal(t, len(assignRelays(orders, []int{12})), 3)
	assert.Equal(t, len(assignRelays(orders, nil)), 4)
	assert.Equal(t, len(assignRelays(orders[1:], []int{12})), 3, "a relay that does not need the map does not get it")
}

func TestFewAgentsOfALargeGroupAreCandidates(t *testing.T) {
	count := func(size int) int {
		n := 0
		for rank := range size {
			if isCandidate(rank, size) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(8), 8)
	assert.Equal(t, count(maxSmallGroup), maxSmallGroup)
	for _, size := range []int{24, 32, 96, 256} {
		assert.Equal(t, count(size), largeGroupCandidates)
		assert.Assert(t, isCandidate(initiatorRank, size))
	}
}

// The counts of all ranks go to one agent. At 96 ranks of 3 KB each 180 ms they were
// twice what its link bears.
func TestCountsLeaveRoomOnTheLinkOfTheInitiator(t *testing.T) {
	const linkBytesPerSecond = 750_000
	a := &Agent{options: Options{LinkBytesPerSecond: linkBytesPerSecond}}
	for ranks, bytes := range map[int]int{8: 400, 12: 400, 32: 1700, 96: 3300, 256: 15000} {
		period := a.countsSendPeriod(ranks, bytes)
		rate := float64(ranks*bytes) / period.Seconds()
		assert.Assert(t, rate <= countsLinkShare*linkBytesPerSecond*1.01, "%d ranks send %.0f bytes a second", ranks, rate)
	}
	assert.Equal(t, a.countsSendPeriod(12, 400), countsPeriod)
	a.options.LinkBytesPerSecond = 0
	assert.Equal(t, a.countsSendPeriod(96, 3300), countsPeriod)
}

// A rank without requests takes part in the passes of its group.
func TestPassesAreTimedAtAnIdleRankOfABusyGroup(t *testing.T) {
	var p passTimer
	now := time.Unix(1000, 0)
	for i := range uint64(12) {
		p.observe(Report{Running: 0, State: groupmap.RankState{Epoch: 1, Step: 10 + 3*i}}, now)
		now = now.Add(300 * time.Millisecond)
	}
	assert.Equal(t, p.meanDuration, 100*time.Millisecond)
}

// All agents start within a moment. Messages that all came at once, each period, would
// fill the link for a while and leave the initiator without news for the rest.
func TestCountsAreSpreadOverThePeriod(t *testing.T) {
	const ranks, period = 96, 2 * time.Second
	start := time.Unix(1000, 0)
	var perTenth [10]int
	for rank := range ranks {
		origin := nextCountsOrigin(start, time.Time{}, period, backends.Group{Rank: rank, Size: ranks})
		next := origin.Add(period).Sub(start)
		assert.Assert(t, next >= 0 && next < period, "%v", next)
		perTenth[next*10/period]++
		assert.Equal(t, nextCountsOrigin(start, origin, period, backends.Group{Rank: rank, Size: ranks}), start)
	}
	for i, n := range perTenth {
		assert.Assert(t, n >= 9 && n <= 10, "tenth %d: %d", i, n)
	}
}
