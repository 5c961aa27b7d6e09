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

// start is when the tests of leaders begin.
var start = time.Unix(1000, 0)

// groupOfLeader returns the leader of a rank of a group whose agents have all reported
// state at start.
func groupOfLeader(t *testing.T, rank, size int, state groupmap.RankState) *leader {
	t.Helper()
	a := newFakeAgent("s", map[string]*fakeEngine{"s": newFakeEngine(rank, size, state)})
	l := &a.leader
	for _, r := range append([]int{rank}, ranksOf(size)...) {
		group := backends.Group{Name: "g", Epoch: state.Epoch, Rank: r, Size: size}
		if r == rank {
			a.report.Group = group
			l.observe(group, "", "s", state, 1, start)
			continue
		}
		assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(r), Incarnation: 5}, r, false))
		l.observe(group, agentID(r), "s", state, 1, start)
	}
	return l
}

func agentID(rank int) string { return "agent-" + string(rune('a'+rank)) }

func ranksOf(size int) []int {
	out := make([]int, size)
	for r := range out {
		out[r] = r
	}
	return out
}

var preparedState = groupmap.RankState{Epoch: 1, Open: true, Step: 10, PreparedVersion: 7}

// status returns a status of the agent of a rank.
func status(rank int, sequence uint64) *meshpb.RankStatus {
	return &meshpb.RankStatus{Server: "s", Up: true, Group: "g", Epoch: 1, Rank: uint32(rank), Size: 4, Open: true, Step: 10, Sequence: sequence}
}

// An agent was back 0.54 s after its stop, but its statuses, which it numbers from 1
// again, were taken for delayed ones until 0.7 s after its last one.
func TestStatusOfARestartedAgentCountsAtOnce(t *testing.T) {
	l := groupOfLeader(t, 0, 4, preparedState)
	l.sequences[2], l.heardAt[2] = 500, time.Now()
	s := status(2, 1)
	s.Prepared, s.ArmedVersion, s.ArmedStep = 7, 7, 12
	l.agent.handleStatus(mesh.Peer{ID: agentID(2), Incarnation: 6}, s)
	assert.Equal(t, l.sequences[2], uint64(1))
	l.agent.handleStatus(mesh.Peer{ID: agentID(2), Incarnation: 5}, status(2, 501))
	assert.Equal(t, l.sequences[2], uint64(1), "a status of the process before")
}

// The rank of an agent that leaves gets its orders directly from then on, until the agent
// has started again.
func TestRankOfALeavingAgentIsOrderedDirectly(t *testing.T) {
	l := groupOfLeader(t, 0, 4, preparedState)
	arm := groupmap.Order{Rank: 2, Kind: groupmap.Arm, Version: 7, Step: 12, Epoch: 1}
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, !l.goesDirectly(arm, now))
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(2), Incarnation: 5}, 2, true))
	assert.Assert(t, l.goesDirectly(arm, now))
	assert.Equal(t, len(l.silentRanksToRead(now)), 1)
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(2), Incarnation: 5}, 2, false))
	assert.Assert(t, l.goesDirectly(arm, now), "a status of the same process came late")
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(2), Incarnation: 6}, 2, false))
	assert.Assert(t, !l.goesDirectly(arm, now))
}

// The leader that leaves is replaced at once.
func TestNextCandidateReplacesALeavingLeader(t *testing.T) {
	l := groupOfLeader(t, 1, 4, preparedState)
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, !l.isActive(now))
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(0), Incarnation: 5}, 0, true))
	assert.Assert(t, l.isActive(now))
}

// A hold stops every stream of the group, so it waits until each rank can be armed at
// once.
func TestNoHoldWhileARankCannotBeArmedAtOnce(t *testing.T) {
	l := groupOfLeader(t, 0, 4, preparedState)
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, l.mayHold(now))
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(2), Incarnation: 5}, 2, true))
	assert.Assert(t, !l.mayHold(now), "an agent has left")
	report := Report{Group: backends.Group{Name: "g", Epoch: 1, Rank: 2, Size: 4}, State: groupmap.RankState{Epoch: 1, Open: true, Step: 9}}
	l.observeRemote(2, report, now, now)
	assert.Assert(t, l.mayHold(now), "its rank was reached directly")
	assert.Assert(t, !l.mayHold(now.Add(reachedSpan)))
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(2), Incarnation: 6}, 2, false))
	assert.Assert(t, l.mayHold(now.Add(reachedSpan/10)))
	assert.Assert(t, !l.mayHold(start.Add(400*time.Millisecond)), "no status for two periods: the agents may have been killed")
}

// A rank that keeps a hold waiting is read directly, and the hold goes on at once.
func TestRankThatKeepsAHoldWaitingIsRead(t *testing.T) {
	l := groupOfLeader(t, 0, 4, groupmap.RankState{Epoch: 1, Open: true, Step: 10})
	next := groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: 4, Experts: 4})
	next.Version = 7
	assert.Assert(t, l.mapSwitch.Start(next, start))
	late := start.Add(400 * time.Millisecond)
	assert.Equal(t, len(l.silentRanksToRead(late)), 0, "the ranks copy experts")
	for rank := range 4 {
		l.mapSwitch.Observe(rank, preparedState)
	}
	assert.Equal(t, len(l.silentRanksToRead(late)), 3)
}

// An agent that was killed sends nothing. Its rank is ordered directly once the agent
// has not carried out an order in time.
func TestUnconfirmedArmGoesDirectly(t *testing.T) {
	l := groupOfLeader(t, 0, 4, preparedState)
	arm := groupmap.Order{Rank: 2, Kind: groupmap.Arm, Version: 7, Step: 12, Epoch: 1, Unconfirmed: 60 * time.Millisecond}
	assert.Assert(t, !l.goesDirectly(arm, start))
	arm.Unconfirmed = directOrderDelay
	assert.Assert(t, l.goesDirectly(arm, start))
	arm.Kind = groupmap.Prepare
	assert.Assert(t, !l.goesDirectly(arm, start), "copies take their time")
}

// If the leader is killed while the group is held, the next candidate need not wait until
// it counts as silent.
func TestNextCandidateHelpsAHeldGroup(t *testing.T) {
	l := groupOfLeader(t, 1, 4, preparedState)
	held := preparedState
	held.HeldStep = 12
	l.mapSwitch.Observe(0, held)
	l.noteHeld(start)
	assert.Assert(t, !l.isActive(start.Add(helpDelay-time.Millisecond)))
	assert.Assert(t, l.isActive(start.Add(helpDelay)))
	l.mapSwitch.Observe(0, preparedState)
	l.noteHeld(start.Add(helpDelay))
	assert.Assert(t, !l.isActive(start.Add(helpDelay)))
}

// The answer of a rank to a direct order counts at once: what it reports to another
// machine is hundreds of milliseconds old.
func TestAnswerToADirectOrderCounts(t *testing.T) {
	l := groupOfLeader(t, 0, 4, preparedState)
	held := preparedState
	held.HeldStep = 12
	l.mapSwitch.Observe(0, held)
	arms := l.mapSwitch.Tick(start, 1)
	assert.Equal(t, len(arms), 4)
	remote := newFakeEngine(2, 4, held)
	for _, o := range arms {
		l.agent.executeOrder(t.Context(), remote, o)
	}
	assert.Assert(t, l.mayHold(time.Now()), "the ranks were reached")
	release := l.mapSwitch.Tick(start, 1)
	assert.Equal(t, len(release), 1)
	assert.Equal(t, release[0].Kind, groupmap.Release)
}

// A report to another machine is late. It must not undo what a status has told since.
func TestLateReportDoesNotReplaceAStatus(t *testing.T) {
	open := groupmap.RankState{Epoch: 1, Open: true, Step: 10}
	l := groupOfLeader(t, 0, 4, open)
	now := start.Add(time.Second)
	group := backends.Group{Name: "g", Epoch: 1, Rank: 2, Size: 4}
	l.observe(group, agentID(2), "s", preparedState, 2, now)
	l.observeRemote(2, Report{Group: group, State: open}, now.Add(maxReportLag/2), now.Add(maxReportLag/2))
	assert.Assert(t, !l.mapSwitch.Settled(), "the rank has prepared a map since")
	l.observeRemote(2, Report{Group: group, State: open}, now.Add(maxReportLag), now.Add(maxReportLag))
	assert.Assert(t, l.mapSwitch.Settled())
}
