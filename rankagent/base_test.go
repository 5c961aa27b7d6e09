package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
)

// An agent that had just started could not read the difference that it got, and needed
// the order a second time.
func TestAgentThatLacksTheMapInUseGetsTheWholeNewOne(t *testing.T) {
	shape := groupmap.Shape{Sets: 1, Ranks: 4, Experts: 16}
	l := groupOfLeader(t, 0, 4, groupmap.RankState{Epoch: 1, Open: true, Step: 10, MapVersion: 3})
	l.currentMap = groupmap.InitialMap(shape)
	l.currentMap.Version = 3
	next := l.currentMap.Clone()
	next.Version, next.Experts[0][1] = 7, append(next.Experts[0][1], 2)
	prepare := relayedOrder{order: groupmap.Order{Rank: 2, Kind: groupmap.Prepare, Version: 7, Epoch: 1, Map: next}}

	s := status(2, 2)
	s.Map, s.MapKnown = 3, true
	l.agent.handleStatus(mesh.Peer{ID: agentID(2), Incarnation: 5}, s)
	message := l.orderMessage(prepare)
	assert.Assert(t, len(message.Difference) > 0 && len(message.Map) == 0 && message.Base == 3)

	l.currentMap.Version = 5 // A switch is over of which no status has told yet.
	message = l.orderMessage(prepare)
	assert.Assert(t, len(message.Difference) > 0 && message.Base == 5, "the whole map was sent after each switch")
	l.currentMap.Version = 3

	s = status(2, 1)
	s.Map = 3
	l.agent.handleStatus(mesh.Peer{ID: agentID(2), Incarnation: 6}, s)
	message = l.orderMessage(prepare)
	assert.Assert(t, len(message.Difference) == 0)

	agent := newFakeAgent("s", map[string]*fakeEngine{"s": newFakeEngine(2, 4, groupmap.RankState{Epoch: 1})})
	decoded, err := agent.decodeMap(message)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, next)
}

// An agent says that it knows the map in use once it has read it in an order, and knows
// the first map of a group by its dimensions.
func TestAgentSaysWhichMapItKnows(t *testing.T) {
	a := newFakeAgent("s", map[string]*fakeEngine{"s": newFakeEngine(2, 4, groupmap.RankState{Epoch: 1})})
	a.report.Group.Size, a.report.State = 4, groupmap.RankState{Epoch: 1, MapVersion: 3}
	assert.Assert(t, !a.statusMessage().MapKnown)
	a.recentMaps[mapKey{1, 3}] = &groupmap.Map{}
	assert.Assert(t, a.statusMessage().MapKnown)
	a.report.State.MapVersion = 0
	assert.Assert(t, !a.statusMessage().MapKnown)
	a.heldExperts.Experts, a.lastCounts.Chosen = [][]uint16{{1}}, make([]uint64, 16)
	assert.Assert(t, a.statusMessage().MapKnown)
}

// Ranks whose agents need the whole map get it apart from those that need the difference.
func TestRelaysPassOnWhatTheReceiversCanRead(t *testing.T) {
	const ranks = 32
	l := groupOfLeader(t, 0, ranks, groupmap.RankState{Epoch: 1, Open: true, Step: 10, MapVersion: 3})
	l.currentMap = groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: ranks, Experts: ranks})
	l.currentMap.Version = 3
	next := l.currentMap.Clone()
	next.Version = 7
	var orders []groupmap.Order
	for rank := range ranks {
		l.noteMap(rank, mapKey{1, 3}, rank != 5)
		orders = append(orders, groupmap.Order{Rank: rank, Kind: groupmap.Prepare, Version: 7, Epoch: 1, Map: next})
	}
	sends := l.orderSenders(t.Context(), orders, start.Add(time.Millisecond))
	// The leader's own rank, the rank that lacks the map, and the relays.
	assert.Equal(t, len(sends), 2+largeGroupCandidates-1)
}
