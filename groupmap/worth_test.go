package groupmap_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

var usualWorth = groupmap.Worth{Requests: 200, Lifetime: 3 * time.Second, CopyDuration: 30 * time.Millisecond, Gigabytes: 0.15}

// Guards against copies for a group without requests, for popularity that ends before
// its map is in use, and for experts that are large for what they bring.
func TestGainThatJustifiesACopy(t *testing.T) {
	least := func(change func(w *groupmap.Worth)) float64 {
		w := usualWorth
		change(&w)
		return w.MinGainPerCopy(smallShape, 1.8)
	}
	usual := least(func(*groupmap.Worth) {})
	assert.Assert(t, usual > 0 && usual < 0.05, "%v", usual)
	assert.Assert(t, least(func(w *groupmap.Worth) { w.Requests = 2 }) > 25*usual)
	assert.Assert(t, least(func(w *groupmap.Worth) { w.Lifetime /= 3 }) > 3*usual)
	assert.Assert(t, least(func(w *groupmap.Worth) { w.Gigabytes, w.CopyDuration = 3*w.Gigabytes, 3*w.CopyDuration }) > 2.9*usual)
	assert.Assert(t, math.IsInf(least(func(w *groupmap.Worth) { w.Requests = 0 }), 1))
	assert.Assert(t, math.IsInf(least(func(w *groupmap.Worth) { w.Lifetime = 50 * time.Millisecond }), 1))
}

// Guards against a switch whose copies cost more than it saves as a whole.
func TestPlanIsJustifiedAsAWhole(t *testing.T) {
	good := groupmap.PlanResult{SkewBefore: 2, SkewAfter: 1.5, Copies: 60}
	assert.Assert(t, usualWorth.Justifies(good, smallShape))
	few := usualWorth
	few.Requests = 4
	assert.Assert(t, !few.Justifies(good, smallShape))
	assert.Assert(t, !usualWorth.Justifies(groupmap.PlanResult{SkewBefore: 2, SkewAfter: 1.99, Copies: 60}, smallShape))
}

// Guards against a lifetime that counts one shift, which is seen several times, as
// several, or that expects popularity to end that has outlasted all earlier ones.
func TestLifetimeIsLearntFromShifts(t *testing.T) {
	now := time.Unix(1000, 0)
	var l groupmap.Lifetime
	l.Begin(now)
	assert.Equal(t, l.Remaining(now), 3*time.Second)
	for range 12 {
		now = now.Add(2 * time.Second)
		l.Shift(now)
		l.Shift(now.Add(150 * time.Millisecond))
		l.Shift(now.Add(300 * time.Millisecond))
	}
	assert.Equal(t, l.Remaining(now), 2*time.Second)
	assert.Equal(t, l.Remaining(now.Add(time.Second)), time.Second)
	assert.Assert(t, l.Remaining(now.Add(1900*time.Millisecond)) > 500*time.Millisecond)
	assert.Equal(t, l.Remaining(now.Add(4*time.Second)), 4*time.Second)
	assert.Equal(t, l.Remaining(now.Add(time.Hour)), 5*time.Second)
}

// Guards against a switch that all ranks wait for because a plan copies to one rank in
// every set.
func TestPlanBoundsTheCopiesOfARank(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	limits := groupmap.Limits{TargetSkew: 1.05, MaxCopies: 1000, MinGainPerCopy: 0.001, MaxCopiesPerRank: 3}
	first := groupmap.InitialMap(smallShape)
	out := groupmap.Plan(first, groupmap.Demand{Load: skewedLoad(smallShape, rng)}, smallShape, limits)
	assert.NilError(t, out.Map.Validate(smallShape))
	assert.Assert(t, out.SkewAfter < out.SkewBefore)
	for rank := range smallShape.Ranks {
		only := first.Clone()
		for set := range only.Experts {
			only.Experts[set][rank] = out.Map.Experts[set][rank]
		}
		assert.Assert(t, only.Copies(first) <= limits.MaxCopiesPerRank, "rank %d", rank)
	}
}
