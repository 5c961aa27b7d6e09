package groupmap

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// naiveObjective computes the objective from all ranks.
func naiveObjective(b *setBalancer) float64 {
	sum, longest := 0.0, 0.0
	for _, t := range b.rankTime {
		sum += b.fourthPower(t)
		longest = max(longest, t/b.balancedTime)
	}
	return 0.7*longest + 0.3*math.Pow(sum/float64(len(b.rankTime)), 0.25)
}

// Guards against plans that follow a wrong objective: that of a move is computed from the
// ranks that it touches only.
func TestObjectiveOfAMoveIsThatOfAllRanks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	s := Shape{Sets: 1, Ranks: 24, Experts: 48, MaxExpertsPerRank: 3, MaxCopiesPerRank: 4}
	for range 20 {
		load, times := make([]float64, s.Experts), make([]float64, s.Ranks)
		for e := range load {
			load[e] = math.Pow(rng.Float64(), 4)
		}
		for r := range times {
			times[r] = 1 + 0.5*float64(rng.IntN(2))
		}
		b := newSetBalancer(InitialMap(s).Experts[0], load, times, s)
		for range 10 {
			m := b.bestMove(1)
			if m.gain <= 0 {
				break
			}
			before := naiveObjective(b)
			b.apply(m)
			after := naiveObjective(b)
			assert.Assert(t, math.Abs(before-after-m.gain) < 1e-9, "gain %v, want %v", m.gain, before-after)
			assert.Assert(t, math.Abs(b.currentObjective-after) < 1e-9)
		}
	}
}
