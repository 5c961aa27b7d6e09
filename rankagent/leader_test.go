package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
)

// Seen on the day leader-agents-die: rank 0's agent froze right after its hold,
// nobody else knew of it, and the group was held until it woke.
func TestHoldOfAFrozenAgentIsFound(t *testing.T) {
	a := &Agent{}
	l := &leader{agent: a}
	start := time.Unix(1000, 0)
	const size = 4
	group := func(rank int) backends.Group { return backends.Group{Name: "g", Epoch: 1, Rank: rank, Size: size} }
	state := groupmap.RankState{Epoch: 1, Open: true, Step: 10, Prepared: 7}
	l.observe(group(1), "", "r1:1", state, 1, start)
	for rank := range size {
		if rank != 1 {
			l.observe(group(rank), "agent", "r:1", state, 1, start)
		}
	}
	now := start.Add(silentAfter + time.Millisecond)
	for _, rank := range []int{1, 2, 3} {
		l.observe(group(rank), map[bool]string{false: "agent"}[rank == 1], "r:1", state, 2, now)
	}
	assert.Assert(t, l.leads(now), "the first agent that is not silent leads")
	silent := l.silentRanks(now)
	_, found := silent[holderRank]
	assert.Assert(t, found, "the holder is not read although a map is prepared")

	idle := state
	idle.Prepared = 0
	for rank := range size {
		l.machine.Observe(rank, idle)
	}
	assert.Equal(t, len(l.silentRanks(now.Add(farPeriod))), 0, "reads from afar are priced")
}
