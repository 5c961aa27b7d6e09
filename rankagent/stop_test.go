package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// heldGroup returns the servers of a group of two ranks that is held before pass 12. Rank
// 0 is armed, rank 1 only prepared.
func heldGroup() map[string]*fakeEngine {
	held := groupmap.RankState{Epoch: 1, Open: true, Step: 11, PreparedVersion: 7, ArmedVersion: 7, ArmedStep: 12, HeldStep: 12}
	prepared := groupmap.RankState{Epoch: 1, Open: true, Step: 11, PreparedVersion: 7}
	return map[string]*fakeEngine{"s0": newFakeEngine(0, 2, held), "s1": newFakeEngine(1, 2, prepared)}
}

func assertEnds(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the agent still runs")
	}
}

// An agent was told to stop and ended at once, with its group held for a switch. All
// streams of the group stood still until it was back. It must stay, carry out the orders
// that come, and leave once the group goes on.
func TestStoppingAgentStaysWhileItsGroupIsHeld(t *testing.T) {
	engines := heldGroup()
	a := newFakeAgent("s0", engines)
	gateway, stop, ended := runAgent(t, a)
	stop()
	select {
	case <-ended:
		t.Fatal("the agent has left a group that is held")
	case <-time.After(300 * time.Millisecond):
	}
	a.Handle(mesh.Peer{ID: "x"}, &meshpb.Packet{Order: &meshpb.RankOrder{Kind: uint32(groupmap.Release), Epoch: 1, Step: 12}})
	released := time.Now()
	assertEnds(t, ended)
	assert.Assert(t, time.Since(released) < defaultStopTimeout/2, "the agent stays although its group goes on")
	assert.Equal(t, engines["s0"].received(groupmap.Release), 1)
	assert.Equal(t, gateway.lastStatus().Held, uint64(0), "the gateways have the last status")
}

// An agent that its group does not need leaves at once, and says so.
func TestAgentSaysThatItLeaves(t *testing.T) {
	idle := groupmap.RankState{Epoch: 1, Open: true, Step: 11}
	a := newFakeAgent("s0", map[string]*fakeEngine{"s0": newFakeEngine(0, 2, idle)})
	gateway, stop, ended := runAgent(t, a)
	stop()
	assertEnds(t, ended)
	assert.Assert(t, gateway.lastStatus().Leaving)
}

// A group that stays held although its agent stays must not keep the agent longer than
// its time to stop.
func TestStoppingAgentLeavesInTheEnd(t *testing.T) {
	a := newFakeAgent("s0", heldGroup())
	a.options.StopTimeout = 200 * time.Millisecond
	_, stop, ended := runAgent(t, a)
	began := time.Now()
	stop()
	assertEnds(t, ended)
	assert.Assert(t, time.Since(began) >= 200*time.Millisecond)
}

// A stopping agent finishes its own switch if it gets to the hold soon, and starts none.
func TestStoppingLeaderFinishesItsSwitch(t *testing.T) {
	l := groupOfLeader(t, initiatorRank, 2, groupmap.RankState{Epoch: 1, Open: true, Step: 10})
	next := groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: 2, Experts: 4})
	next.Version = 7
	assert.Assert(t, l.mapSwitch.Start(next, start))
	const timeout = 4 * time.Second
	assert.Assert(t, l.needsAgent(0, timeout))
	assert.Assert(t, !l.needsAgent(ownSwitchPatience, timeout), "no hold was sent in time")
	assert.Assert(t, l.mapSwitch.Ready(), "the switch is given up")
}

// A stopping leader starts no switch, not even of a plan that was under way.
func TestStoppingLeaderStartsNoSwitch(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		l := groupOfLeader(t, initiatorRank, 2, groupmap.RankState{Epoch: 1, Open: true, Step: 10})
		l.agent.stopping = stopping
		l.agent.mu.Lock()
		l.plan(t.Context(), start.Add(10*time.Millisecond))
		planned := l.readingShape // Which comes before the first plan.
		l.agent.mu.Unlock()
		assert.Equal(t, planned, !stopping)
		l = groupOfLeader(t, initiatorRank, 2, groupmap.RankState{Epoch: 1, Open: true, Step: 10})
		l.agent.stopping = stopping
		l.shape = groupmap.Shape{Sets: 1, Ranks: 2, Experts: 4, MaxExpertsPerRank: 4, MaxCopiesPerRank: 2}
		l.engineConfig = &ingress.Engine{Slots: 1}
		l.computePlan(planInput{
			current: groupmap.InitialMap(l.shape), epoch: 1, shape: l.shape,
			present: [][]float64{{100, 1, 100, 1}},
			demand:  groupmap.Demand{Load: [][]float64{{100, 1, 100, 1}}},
			experts: ingress.Experts{Sets: 1, PerSet: 4, Places: 4, Spare: 2, MegabytesEach: 150, LinkMbps: 40000},
			worth:   groupmap.Worth{Requests: 2, Lifetime: 3 * time.Second, CopyDuration: 30 * time.Millisecond, Gigabytes: 0.15},
		})
		assert.Equal(t, l.mapSwitch.Unfinished(), !stopping)
	}
}
