package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
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

// A status that names a rank beyond the group must change nothing.
func TestStatusOfAnImpossibleRankIsIgnored(t *testing.T) {
	a := &Agent{}
	a.leader.agent = a
	group := backends.Group{Name: "g", Epoch: 1, Rank: 1, Size: 4}
	a.report.Group = group
	a.leader.observe(group, "", "r1:1", groupmap.RankState{Epoch: 1}, 1, time.Unix(1000, 0))
	a.handleStatus(mesh.Peer{ID: "x"}, &meshpb.RankStatus{Up: true, Group: "g", Epoch: 1, Rank: 9, Running: 7})
	assert.Equal(t, len(a.leader.requestsByRank), 0)
	assert.Equal(t, len(a.leader.peers), 0)
	a.handleStatus(mesh.Peer{ID: "y"}, &meshpb.RankStatus{Up: true, Group: "g", Epoch: 1, Rank: 2, Running: 7})
	assert.Equal(t, a.leader.requestsByRank[2], 7)
}

// The dimensions of the maps follow from the size of the group.
func TestDimensionsAreReadAgainWhenTheGroupChangesSize(t *testing.T) {
	l := &leader{agent: &Agent{}}
	l.joinGroup(backends.Group{Name: "g", Epoch: 1, Size: 8})
	l.shape = groupmap.Shape{Sets: 6, Ranks: 8}
	l.joinGroup(backends.Group{Name: "g", Epoch: 2, Size: 12})
	assert.Equal(t, l.shape, groupmap.Shape{})
}

func TestPlanLimitsBearAnyConfiguration(t *testing.T) {
	for _, e := range []ingress.Experts{{}, {MegabytesEach: 1e-12, LinkMbps: 1e12}, {MegabytesEach: 1e12, LinkMbps: 1e-12}} {
		limits := planLimits(e, 8, 0, groupmap.Worth{Requests: 1, Lifetime: time.Second}, 2)
		assert.Assert(t, limits.MaxCopies >= 8, "%+v", limits)
	}
}
