package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
)

// The leader asks before each hold whether it may.
func TestLeaderHoldsOnceAllRanksCanBeArmed(t *testing.T) {
	open := groupmap.RankState{Epoch: 1, Open: true, Step: 10}
	l := groupOfLeader(t, initiatorRank, 2, open)
	a, engine := l.agent, l.agent.engine.(*fakeEngine)
	address := freeAddress(t)
	a.mesh = listen(t, mesh.Peer{ID: "own", Address: address, Role: mesh.RankAgent}, address, nil).node
	a.up = true
	next := groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: 2, Experts: 4})
	next.Version = 7
	assert.Assert(t, l.mapSwitch.Start(next, time.Now()))
	for rank := range 2 {
		l.mapSwitch.Observe(rank, preparedState)
	}
	l.heardAt[1] = time.Now()
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(1), Incarnation: 5}, 1, true))
	l.tick(t.Context())
	time.Sleep(30 * time.Millisecond) // Orders are sent in the background.
	assert.Equal(t, engine.received(groupmap.Hold), 0, "an agent has left")

	a.mu.Lock()
	l.heardAt[1] = time.Now()
	assert.Assert(t, l.noteAgent(mesh.Peer{ID: agentID(1), Incarnation: 6}, 1, false))
	a.mu.Unlock()
	l.tick(t.Context())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if engine.received(groupmap.Hold) == 1 {
			return poll.Success()
		}
		return poll.Continue("no hold")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Each agent watches for how long its group is held.
func TestAgentsWatchHowLongTheirGroupIsHeld(t *testing.T) {
	l := groupOfLeader(t, 1, 2, preparedState)
	address := freeAddress(t)
	l.agent.mesh = listen(t, mesh.Peer{ID: "own", Address: address, Role: mesh.RankAgent}, address, nil).node
	held := preparedState
	held.HeldStep = 12
	l.mapSwitch.Observe(0, held)
	l.tick(t.Context())
	assert.Assert(t, l.heldFor(time.Now().Add(helpDelay)) >= helpDelay)
}
