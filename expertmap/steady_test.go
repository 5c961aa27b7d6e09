package expertmap_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/expertmap/internal/compare"
)

// plannedMoves returns the number of moves that the planner makes in a workload.
func plannedMoves(t *testing.T, kind compare.Workload, duration time.Duration) int {
	results, err := compare.Run(compare.Spec{
		Size: compare.DeployedSize(), Workload: kind, Seed: 5, Duration: duration,
		Strategies: []string{compare.PlannerSkew}, NewPlanner: expertmap.NewTestPlanner,
	})
	assert.NilError(t, err)
	return results[0].Moves
}

// TestNoiseMovesNothing runs 29 minutes in which the popularity is constant and
// only the noise of the reports varies. Moves would be reactions to noise.
func TestNoiseMovesNothing(t *testing.T) {
	assert.Equal(t, plannedMoves(t, compare.Flash, 29*time.Minute), 0)
}

// TestAlternationDoesNotSwing runs three hours in which the most popular
// experts alternate 17 times. The total number of moves must stay below the
// number of slots of one map; a planner that follows each alternation exceeds
// it.
func TestAlternationDoesNotSwing(t *testing.T) {
	z := compare.DeployedSize()
	moves := plannedMoves(t, compare.Alternate, 3*time.Hour)
	assert.Assert(t, moves < z.Layers*z.Ranks*z.Slots, "%d moves", moves)
}
