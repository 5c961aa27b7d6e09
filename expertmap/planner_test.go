package expertmap

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// repackTolerance is the limit on the imbalance of a plan minus that of a
// re-pack, when moves cost nothing: repackThreshold plus the rounding of
// shares.
const repackTolerance = repackThreshold + 0.01

// drawView generates a small group with at least one live rank more than needed.
func drawView(t *rapid.T) PlanInput {
	ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	v := PlanInput{
		Layers: rapid.IntRange(1, 2).Draw(t, "layers"), Slots: slots,
		Experts:      rapid.IntRange(1, (ranks-1)*slots).Draw(t, "experts"),
		Costs:        MoveCosts{BytesPerExpert: 1 << 20, StoreBytesPerSecond: 10 << 20, StepDisturbance: time.Millisecond},
		Weights:      ObjectiveWeights{Skew: 1, Cost: 0},
		PlanInterval: time.Hour,
	}
	for r := range ranks {
		v.Ranks = append(v.Ranks, Rank{Host: r / 2, Slots: slots, Speed: 1, Alive: true})
	}
	v.Popularity = drawPopularity(t, v)
	return v
}

// drawPopularity generates exactly known popularities that are stable for 600
// seconds.
func drawPopularity(t *rapid.T, v PlanInput) []LayerPopularity {
	out := make([]LayerPopularity, v.Layers)
	for l := range out {
		for range v.Experts {
			share := float32(math.Exp(rapid.Float64Range(-3, 1.5).Draw(t, "log share")))
			out[l].Share = append(out[l].Share, share)
			out[l].StdErr = append(out[l].StdErr, 0)
			out[l].Peak = append(out[l].Peak, share)
			out[l].StableSeconds = append(out[l].StableSeconds, 600)
		}
	}
	return out
}

func mustPlan(t assert.TestingT, p *Planner, v PlanInput) Plan {
	plan, err := p.Plan(v)
	assert.NilError(t, err)
	assert.NilError(t, plan.Map.Validate())
	return plan
}

// TestPlanKeepsMapValid plans repeatedly while popularity, speeds and live
// ranks change. Each plan must place all experts on live ranks, leave the
// current map unmodified, stay within the move budget apart from repairs, and
// equal the plan of a new planner.
func TestPlanKeepsMapValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		p := NewTestPlanner()
		v.Current = mustPlan(t, p, v).Map
		for range 4 {
			v.Popularity = drawPopularity(t, v)
			v.PlanInterval = time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second
			for r := range v.Ranks {
				v.Ranks[r].Speed = rapid.SampledFrom([]float64{1, 1, 0.5}).Draw(t, "speed")
				v.Ranks[r].Alive = true
			}
			v.Ranks[rapid.IntRange(0, len(v.Ranks)-1).Draw(t, "lost")].Alive = rapid.Bool().Draw(t, "alive")
			before := v.Current.Digest()
			plan := mustPlan(t, p, v)
			assert.Equal(t, v.Current.Digest(), before)
			for i, c := range plan.Map.Cells {
				rank := i / v.Slots % len(v.Ranks)
				assert.Assert(t, v.Ranks[rank].Alive || c.Expert == NoExpert)
			}
			again := mustPlan(t, NewTestPlanner(), v)
			assert.Equal(t, again.Map.Digest(), plan.Map.Digest())
			assert.Equal(t, plan.Bytes, int64(len(plan.Moves))*v.Costs.BytesPerExpert)
			budget := int(v.PlanInterval.Seconds() * 10)
			assert.Assert(t, len(plan.Moves)-plan.RepairMoves <= budget)
			assert.Equal(t, plan.Changed(), plan.Map != v.Current)
			v.Current = plan.Map
		}
	})
}

// TestPlanAgainstRepack checks that, when moves cost nothing, repeated plans
// reach an imbalance close to that of a re-pack, and that neither is below the
// lower bound.
func TestPlanAgainstRepack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		v.Current = mustPlan(t, &Planner{}, v).Map
		v.Popularity = drawPopularity(t, v)
		plan := mustPlan(t, &Planner{}, v)
		for range 3 {
			v.Current = plan.Map
			plan = mustPlan(t, &Planner{}, v)
		}
		repack, err := Pack(v)
		assert.NilError(t, err)
		for l := range v.Layers {
			planned, repacked := skewOf(plan.Map, v, l), skewOf(repack, v, l)
			assert.Assert(t, imbalanceOf(planned) <= imbalanceOf(repacked)+repackTolerance, "%v against %v", planned, repacked)
			bound := LowerBound(shares(v, l), v.Ranks)
			assert.Assert(t, planned.MaxOverMean >= bound-1e-3 && repacked.MaxOverMean >= bound-1e-3)
		}
	})
}

// imbalanceOf returns layerState.imbalance computed from a skew.
func imbalanceOf(s Skew) float64 {
	return s.MaxOverMean - 1 + fastestWeight*(1-(s.MaxOverMean-s.SpreadOverMean))
}

func shares(v PlanInput, layer int) []float64 {
	var out []float64
	for _, s := range v.Popularity[layer].Share {
		out = append(out, float64(s))
	}
	return out
}

func skewOf(m *Map, v PlanInput, l int) Skew { return LayerSkew(m, l, shares(v, l), v.Ranks) }

// TestBalanceAgainstSubsets compares the balanced split with the exact optimum:
// the maximum over all sets of experts of their load divided by the total speed
// of the ranks that hold at least one of them.
func TestBalanceAgainstSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		if v.Experts > 10 {
			t.Skip("too many subsets")
		}
		for r := range v.Ranks {
			v.Ranks[r].Speed = rapid.SampledFrom([]float64{1, 0.7, 0.4}).Draw(t, "speed")
		}
		m := mustPlan(t, &Planner{}, v).Map
		v.Popularity = drawPopularity(t, v)
		var s layerState
		s.reset(&v, m.Layer(0), v.Popularity[0].Share)
		s.balance()
		_, slowest := s.slowestRank()
		optimum := 0.0
		for set := 1; set < 1<<v.Experts; set++ {
			load, speed := 0.0, 0.0
			for e := range v.Experts {
				if set>>e&1 == 1 {
					load += s.expertLoads[e]
				}
			}
			for r := range v.Ranks {
				for e := range v.Experts {
					if set>>e&1 == 1 && s.holds(r, uint16(e)) {
						speed += v.Ranks[r].Speed
						break
					}
				}
			}
			optimum = max(optimum, load/speed)
		}
		assert.Assert(t, math.Abs(slowest-optimum) < 0.01*optimum, "%v, optimum %v", slowest, optimum)
	})
}

// TestLostRankIsRepairedAtOnce checks that the experts of a failed host are
// placed even with no move budget, that a rank which rejoins gets experts, and
// that planning fails if the slots of the live ranks do not suffice.
func TestLostRankIsRepairedAtOnce(t *testing.T) {
	v := zipfView(16, 64, 5, 4)
	v.Current = mustPlan(t, NewTestPlanner(), v).Map
	v.PlanInterval = 0
	v.Ranks[4].Alive, v.Ranks[5].Alive = false, false
	plan := mustPlan(t, NewTestPlanner(), v)
	assert.Assert(t, plan.RepairMoves > 0)
	v.Ranks[4].Alive, v.PlanInterval, v.Current = true, time.Minute, plan.Map
	plan = mustPlan(t, NewTestPlanner(), v)
	assert.Assert(t, plan.Map.Layer(0)[4*v.Slots].Expert != NoExpert)
	for r := range v.Ranks {
		v.Ranks[r].Alive = r < 12
	}
	_, err := NewTestPlanner().Plan(v)
	assert.ErrorIs(t, err, ErrTooFewSlots)
}

// TestSmallBudgetIsUsed plans repeatedly for a popularity shift that needs many
// more moves than the budget of one plan. Each plan must use its budget, so
// that the plans together remove the skew. A planner that makes the moves of a
// layer only all at once would make none.
func TestSmallBudgetIsUsed(t *testing.T) {
	v := zipfView(16, 64, 5, 1)
	v.Current = mustPlan(t, &Planner{}, v).Map
	p := &v.Popularity[0]
	for e := range 4 {
		p.Share[e], p.Share[60+e] = p.Share[60+e], p.Share[e]
		p.Peak[e], p.Peak[60+e] = p.Peak[60+e], p.Peak[e]
	}
	v.Costs.BytesPerExpert = v.Costs.StoreBytesPerSecond * 30 / 3
	v.Weights.Cost = 0
	before := skewOf(v.Current, v, 0).MaxOverMean
	for range 12 {
		v.Current = mustPlan(t, &Planner{}, v).Map
	}
	after := skewOf(v.Current, v, 0).MaxOverMean
	assert.Assert(t, before > 2.5 && after < 1.2, "%v, %v", before, after)
}

// TestStragglerGetsLess checks that the load of a rank that slows down is
// reduced in proportion to its speed.
func TestStragglerGetsLess(t *testing.T) {
	v := zipfView(16, 64, 5, 1)
	v.Current = mustPlan(t, &Planner{}, v).Map
	v.Ranks[3].Speed = 0.5
	before := skewOf(v.Current, v, 0)
	after := skewOf(mustPlan(t, &Planner{}, v).Map, v, 0)
	assert.Assert(t, before.MaxOverMean > 1.8 && after.MaxOverMean < 1.05, "%v, %v", before, after)
}

// zipfView returns a group with the same Zipf-distributed popularity in all
// layers.
func zipfView(ranks, experts, slots, layers int) PlanInput {
	v := PlanInput{
		Layers: layers, Experts: experts, Slots: slots, PlanInterval: 30 * time.Second,
		Costs:   MoveCosts{BytesPerExpert: 44 << 20, StoreBytesPerSecond: 2 << 30, StepDisturbance: 20 * time.Millisecond},
		Weights: ObjectiveWeights{Skew: 30, Cost: 1},
	}
	for r := range ranks {
		v.Ranks = append(v.Ranks, Rank{Host: r / 2, Slots: slots, Speed: 1, Alive: true})
	}
	for range layers {
		var p LayerPopularity
		for e := range experts {
			share := float32(math.Pow(float64(e+1), -0.8))
			p.Share = append(p.Share, share)
			p.StdErr = append(p.StdErr, 0.005*share)
			p.Peak = append(p.Peak, share)
			p.StableSeconds = append(p.StableSeconds, 600)
		}
		v.Popularity = append(v.Popularity, p)
	}
	return v
}

// BenchmarkPlan plans all 58 layers of a group of 256 ranks after a small shift
// of popularity.
func BenchmarkPlan(b *testing.B) {
	v := zipfView(256, 256, 2, 58)
	var p Planner
	v.Current = mustPlan(b, &p, v).Map
	for l := range v.Popularity {
		for e := range v.Experts {
			f := float32(1 + 0.1*math.Sin(float64(7*e+l)))
			v.Popularity[l].Share[e] *= f
			v.Popularity[l].Peak[e] *= f
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		mustPlan(b, &p, v)
	}
}
