package compare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAssignAgainstPermutations compares the cost of assign with the minimum
// over all permutations.
func TestAssignAgainstPermutations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "n")
		cost := make([][]float64, n)
		for i := range cost {
			for range n {
				cost[i] = append(cost[i], float64(rapid.IntRange(-5, 5).Draw(t, "cost")))
			}
		}
		got := 0.0
		seen := make([]bool, n)
		for i, j := range assign(cost) {
			assert.Assert(t, !seen[j])
			seen[j] = true
			got += cost[i][j]
		}
		assert.Equal(t, got, minTotalCost(cost, 0, make([]bool, n)))
	})
}

// minTotalCost returns the least cost of assigning the rows from row on to
// unused columns.
func minTotalCost(cost [][]float64, row int, used []bool) float64 {
	if row == len(cost) {
		return 0
	}
	best := 1e9
	for j := range used {
		if !used[j] {
			used[j] = true
			best = min(best, cost[row][j]+minTotalCost(cost, row+1, used))
			used[j] = false
		}
	}
	return best
}

// TestRunDependsOnSeedAlone checks that a run is reproducible, and that the
// planner moves far fewer bytes than the baselines that pack from scratch.
func TestRunDependsOnSeedAlone(t *testing.T) {
	for _, kind := range []Workload{Season, Loss} {
		spec := Spec{Size: DeployedSize(), Workload: kind, Seed: 3, Duration: 32 * time.Minute, Strategies: Strategies()[:5]}
		a, err := Run(spec)
		assert.NilError(t, err)
		b, err := Run(spec)
		assert.NilError(t, err)
		for i := range a {
			assert.DeepEqual(t, a[i].Series, b[i].Series)
			assert.Equal(t, a[i].Bytes, b[i].Bytes)
			assert.Assert(t, a[i].Max[0] > 0.999)
		}
		// The planner moves at most a fifth of the bytes of the re-pack, and
		// half of those of the relabelled re-pack.
		assert.Assert(t, 5*a[4].Bytes <= a[2].Bytes && 2*a[4].Bytes <= a[3].Bytes)
	}
}
