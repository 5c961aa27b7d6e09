package groupmap_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

var small = groupmap.Shape{Sets: 6, Ranks: 8, Experts: 64, Places: 11, Spare: 4}

// skewed draws loads in which a few experts take most.
func skewed(s groupmap.Shape, rng *rand.Rand) [][]float64 {
	load := make([][]float64, s.Sets)
	for set := range load {
		load[set] = make([]float64, s.Experts)
		for i, e := range rng.Perm(s.Experts) {
			load[set][e] = 1000 / float64(i+1)
		}
	}
	return load
}

func TestPlanKeepsMapsValidAndBalances(t *testing.T) {
	shapes := map[string]groupmap.Shape{
		"8 ranks":  small,
		"32 ranks": {Sets: 12, Ranks: 32, Experts: 128, Places: 5, Spare: 1},
	}
	for name, s := range shapes {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			m := groupmap.First(s)
			limits := groupmap.Limits{Target: 1.05, Copies: 400, GainPerCopy: 0.001}
			var last groupmap.Outcome
			for range 20 {
				load := skewed(s, rng)
				for range 4 {
					last = groupmap.Plan(m, load, s, limits)
					assert.NilError(t, last.Map.Validate(s))
					assert.Equal(t, last.Copies, last.Map.Copies(m))
					assert.Assert(t, last.After <= last.Before+1e-9)
					m = last.Map
				}
			}
			assert.Assert(t, last.After < 1.35, "%v", last.After)
		})
	}
}

func TestPlanKeepsToItsLimits(t *testing.T) {
	load := skewed(small, rand.New(rand.NewPCG(3, 4)))
	out := groupmap.Plan(groupmap.First(small), load, small, groupmap.Limits{Target: 1.05, Copies: 7, GainPerCopy: 0.001})
	assert.Assert(t, out.Copies <= 7)
	assert.Assert(t, out.After < out.Before)
	same := groupmap.Plan(out.Map, load, small, groupmap.Limits{Target: 1.05, Copies: 7, GainPerCopy: 100})
	assert.Equal(t, same.Copies, 0)
}

func TestMapsSurviveEncoding(t *testing.T) {
	m := groupmap.First(small)
	back, err := groupmap.ParseMap(m.AppendBinary(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, back, m)
	_, err = groupmap.ParseMap(m.AppendBinary(nil)[:20])
	assert.Assert(t, err != nil)
}

func TestDifferencesLeadToTheSameMap(t *testing.T) {
	first := groupmap.First(small)
	load := skewed(small, rand.New(rand.NewPCG(5, 6)))
	next := groupmap.Plan(first, load, small, groupmap.Limits{Target: 1.05, Copies: 30, GainPerCopy: 0.001}).Map
	difference := next.AppendDifference(nil, first)
	back, err := groupmap.ApplyDifference(first, difference)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, next)
	assert.Assert(t, len(difference) < len(next.AppendBinary(nil)))
	_, err = groupmap.ApplyDifference(first, difference[:len(difference)-1])
	assert.Assert(t, err != nil)
}

func BenchmarkPlan(b *testing.B) {
	s := groupmap.Shape{Sets: 12, Ranks: 32, Experts: 128, Places: 5, Spare: 1}
	load := skewed(s, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		groupmap.Plan(groupmap.First(s), load, s, groupmap.Limits{Target: 1.1, Copies: 200, GainPerCopy: 0.001})
	}
}
