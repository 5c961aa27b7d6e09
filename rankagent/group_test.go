package rankagent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
)

// reportingEngine is a model server whose group is set by the test.
type reportingEngine struct {
	*fakeEngine
	group backends.Group
}

func (e *reportingEngine) Report(context.Context) (Report, error) {
	return Report{Group: e.group, Running: 1, State: groupmap.RankState{Epoch: e.group.Epoch, Open: e.group.Name != ""}}, nil
}

// The agent beside a server that had started again ended with a panic: until the platform had
// formed its group, the server reported none, and the agent planned a map for no ranks.
func TestServerWithoutAGroupDoesNotEndItsAgent(t *testing.T) {
	group := backends.Group{Name: "g", Epoch: 1, Rank: 0, Size: 1}
	shape, load := groupmap.Shape{Sets: 1, Ranks: 1, Experts: 1, MaxExpertsPerRank: 1, MaxCopiesPerRank: 1}, [][]float64{{1}}
	for name, none := range map[string]backends.Group{
		"no group":             {},
		"no size":              {Name: "g", Epoch: 1},
		"no name":              {Rank: 0, Size: 8},
		"rank beyond the size": {Name: "g", Rank: 8, Size: 8},
		"negative rank":        {Name: "g", Rank: -1, Size: 8},
		"negative size":        {Name: "g", Size: -8},
		"impossible size":      {Name: "g", Size: 1 << 40},
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeAgent("r0:1", nil)
			engine := &reportingEngine{fakeEngine: newFakeEngine(0, 1, groupmap.RankState{})}
			address := freeAddress(t)
			a.engine = engine
			a.mesh = listen(t, mesh.Peer{ID: "agent", Address: address, Role: mesh.RankAgent, Incarnation: 1}, address, nil).node
			for _, reported := range []backends.Group{none, group, none, none, group} {
				engine.group = reported
				a.reportStatus(t.Context(), true)
				a.mu.Lock()
				a.leader.plannedAt = time.Time{}
				a.mu.Unlock()
				a.leader.tick(t.Context())
				a.leader.computePlan(planInput{
					current: groupmap.InitialMap(shape), shape: shape, present: load,
					demand: groupmap.Demand{Load: load, TokenTimes: []float64{1}},
				}) // A plan that began while the server was in its group.
				a.mu.Lock()
				joined := a.leader.mapSwitch != nil
				a.mu.Unlock()
				assert.Equal(t, joined, reported == group)
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			assert.Equal(t, a.leader.requestsByRank[0], 1)
		})
	}
}
