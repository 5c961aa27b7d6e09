package groupmap_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

var smallShape = groupmap.Shape{Sets: 6, Ranks: 8, Experts: 64, MaxExpertsPerRank: 11, MaxCopiesPerRank: 4}

// skewedLoad returns random loads in which a few experts take most of the
// tokens: the load falls with the inverse of an expert's place in a random
// order.
func skewedLoad(s groupmap.Shape, rng *rand.Rand) [][]float64 {
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
		"8 ranks":  smallShape,
		"32 ranks": {Sets: 12, Ranks: 32, Experts: 128, MaxExpertsPerRank: 5, MaxCopiesPerRank: 1},
	}
	for name, s := range shapes {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			m := groupmap.InitialMap(s)
			limits := groupmap.Limits{TargetSkew: 1.05, MaxCopies: 400, MinGainPerCopy: 0.001}
			var last groupmap.PlanResult
			for range 20 {
				load := skewedLoad(s, rng)
				for range 4 {
					last = groupmap.Plan(m, groupmap.Demand{Load: load}, s, limits)
					assert.NilError(t, last.Map.Validate(s))
					assert.Equal(t, last.Copies, last.Map.Copies(m))
					assert.Assert(t, last.SkewAfter <= last.SkewBefore+1e-9)
					m = last.Map
				}
			}
			assert.Assert(t, last.SkewAfter < 1.35, "%v", last.SkewAfter)
		})
	}
}

func TestPlanKeepsToItsLimits(t *testing.T) {
	load := skewedLoad(smallShape, rand.New(rand.NewPCG(3, 4)))
	out := groupmap.Plan(groupmap.InitialMap(smallShape), groupmap.Demand{Load: load}, smallShape, groupmap.Limits{TargetSkew: 1.05, MaxCopies: 7, MinGainPerCopy: 0.001})
	assert.Assert(t, out.Copies <= 7)
	assert.Assert(t, out.SkewAfter < out.SkewBefore)
	unchanged := groupmap.Plan(out.Map, groupmap.Demand{Load: load}, smallShape, groupmap.Limits{TargetSkew: 1.05, MaxCopies: 7, MinGainPerCopy: 100})
	assert.Equal(t, unchanged.Copies, 0)
}

func TestMapsSurviveEncoding(t *testing.T) {
	m := groupmap.InitialMap(smallShape)
	decoded, err := groupmap.ParseMap(m.AppendBinary(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, m)
	_, err = groupmap.ParseMap(m.AppendBinary(nil)[:20])
	assert.Assert(t, err != nil)
}

func TestDifferencesLeadToTheSameMap(t *testing.T) {
	first := groupmap.InitialMap(smallShape)
	load := skewedLoad(smallShape, rand.New(rand.NewPCG(5, 6)))
	next := groupmap.Plan(first, groupmap.Demand{Load: load}, smallShape, groupmap.Limits{TargetSkew: 1.05, MaxCopies: 30, MinGainPerCopy: 0.001}).Map
	difference := next.AppendDifference(nil, first)
	decoded, err := groupmap.ApplyDifference(first, difference)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, next)
	assert.Assert(t, len(difference) < len(next.AppendBinary(nil)))
	_, err = groupmap.ApplyDifference(first, difference[:len(difference)-1])
	assert.Assert(t, err != nil)
}

func BenchmarkPlan(b *testing.B) {
	s := groupmap.Shape{Sets: 12, Ranks: 32, Experts: 128, MaxExpertsPerRank: 5, MaxCopiesPerRank: 1}
	load := skewedLoad(s, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		groupmap.Plan(groupmap.InitialMap(s), groupmap.Demand{Load: load}, s, groupmap.Limits{TargetSkew: 1.1, MaxCopies: 200, MinGainPerCopy: 0.001})
	}
}

// One rank is twelve times slower than the others, and its part makes every pass of the
// group long. Few plans must leave it hardly any work, within the limits of each.
func TestPlanRelievesASlowRank(t *testing.T) {
	s := groupmap.Shape{Sets: 3, Ranks: 12, Experts: 96, MaxExpertsPerRank: 11, MaxCopiesPerRank: 4}
	d := groupmap.Demand{Load: skewedLoad(s, rand.New(rand.NewPCG(5, 6))), TokenTimes: make([]float64, s.Ranks)}
	for r := range d.TokenTimes {
		d.TokenTimes[r] = 1
	}
	d.TokenTimes[7] = 12
	limits := groupmap.Limits{TargetSkew: 1.05, MaxCopies: 48, MinGainPerCopy: 0.001}
	m := groupmap.InitialMap(s)
	before := groupmap.Skew(m, d, s)
	var out groupmap.PlanResult
	for range 3 {
		out = groupmap.Plan(m, d, s, limits)
		assert.NilError(t, out.Map.Validate(s))
		assert.Assert(t, out.Copies <= limits.MaxCopies)
		m = out.Map
	}
	assert.Assert(t, before > 4 && out.SkewAfter < 1.3, "skew %.2f before, %.2f after", before, out.SkewAfter)
}
