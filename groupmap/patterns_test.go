package groupmap_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

// Guards against maps that are planned for the present demand alone, under which the
// demand of before is late again when it returns, and against maps that are worse for
// the present demand because of one that was seen once.
func TestPlansConsiderRememberedPopularity(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	now := time.Unix(1000, 0)
	var p groupmap.Patterns
	var seen [][][]float64
	for range 4 {
		load := skewedLoad(smallShape, rng)
		seen = append(seen, load)
		now = now.Add(2 * time.Second)
		p.Remember(load, 100*time.Millisecond, now) // Not settled: has no effect.
		p.Remember(load, time.Second, now)
	}
	limits := groupmap.Limits{TargetSkew: 1.05, MaxCopies: 400, MinGainPerCopy: 0.001}
	present := seen[3]
	skews := func(load [][]float64) (now, returned float64) {
		m := groupmap.InitialMap(smallShape)
		for range 3 {
			m = groupmap.Plan(m, groupmap.Demand{Load: load}, smallShape, limits).Map
		}
		for _, earlier := range seen[:3] {
			returned += groupmap.Skew(m, groupmap.Demand{Load: earlier}, smallShape) / 3
		}
		return groupmap.Skew(m, groupmap.Demand{Load: present}, smallShape), returned
	}
	nowAlone, returnedAlone := skews(present)
	nowBoth, returnedBoth := skews(p.Anticipate(present))
	t.Logf("skew now %.2f, of returning demand %.2f; with memory %.2f, %.2f", nowAlone, returnedAlone, nowBoth, returnedBoth)
	assert.Assert(t, returnedBoth < returnedAlone && nowBoth < nowAlone+0.2)
}

// Guards against a memory that grows without bound, and against one that is used for a
// group of other dimensions.
func TestPatternsAreBoundedAndOfOneShape(t *testing.T) {
	rng := rand.New(rand.NewPCG(13, 14))
	now := time.Unix(1000, 0)
	var p groupmap.Patterns
	for range 50 {
		now = now.Add(time.Second)
		p.Remember(skewedLoad(smallShape, rng), time.Second, now)
	}
	assert.Equal(t, p.Len(), 16)
	other := smallShape
	other.Experts *= 2
	load := skewedLoad(other, rng)
	out := p.Anticipate(load)
	assert.Equal(t, len(out[0]), other.Experts)
	assert.Assert(t, out[0][0]*load[0][1]-out[0][1]*load[0][0] < 1e-9, "only the present load counts")
	p.Remember(load, time.Second, now.Add(time.Second))
	assert.Equal(t, p.Len(), 1)
	for range 5 {
		now = now.Add(time.Second)
		p.Remember(load, time.Second, now)
	}
	assert.Equal(t, p.Len(), 1, "the same popularity must be remembered once")
}
