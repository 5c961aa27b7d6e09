package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
)

// Guards against a failure in the scenario leader-agents-die: the agent of rank
// 0 froze right after it had sent a hold. No other agent read rank 0, so none
// knew of the hold, and the group stood still until the frozen agent resumed.
func TestHoldOfAFrozenAgentIsFound(t *testing.T) {
	a := &Agent{}
	l := &leader{agent: a}
	start := time.Unix(1000, 0)
	const size = 4
	groupOf := func(rank int) backends.Group { return backends.Group{Name: "g", Epoch: 1, Rank: rank, Size: size} }
	state := groupmap.RankState{Epoch: 1, Open: true, Step: 10, PreparedVersion: 7}
	l.observe(groupOf(1), "", "r1:1", state, 1, start)
	for rank := range size {
		if rank != 1 {
			l.observe(groupOf(rank), "agent", "r:1", state, 1, start)
		}
	}
	now := start.Add(minSilenceTimeout + time.Millisecond)
	for _, rank := range []int{1, 2, 3} {
		l.observe(groupOf(rank), map[bool]string{false: "agent"}[rank == 1], "r:1", state, 2, now)
	}
	assert.Assert(t, l.isActive(now), "the first agent that is not silent must be the active leader")
	silent := l.silentRanksToRead(now)
	_, found := silent[initiatorRank]
	assert.Assert(t, found, "the initiator's rank is not read although a map is prepared")

	settled := state
	settled.PreparedVersion = 0
	for rank := range size {
		l.mapSwitch.Observe(rank, settled)
	}
	assert.Equal(t, len(l.silentRanksToRead(now.Add(remoteReadPeriod))), 0, "remote reads have a cost and are not needed once the switch has settled")
}
