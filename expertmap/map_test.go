package expertmap

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMapEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mustPlan(t, &Planner{}, drawView(t)).Map
		b, err := m.AppendBinary(nil)
		assert.NilError(t, err)
		got, err := ParseMap(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
		assert.Equal(t, got.Label(), m.Label())
		c := m.Clone()
		c.Cells[0].Share ^= 1
		assert.Assert(t, c.Digest() != m.Digest())
		length := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		_, err = ParseMap(b[:length])
		assert.ErrorIs(t, err, ErrInvalidMap)
	})
}

func TestMapValidate(t *testing.T) {
	for name, corrupt := range map[string]func(m *Map){
		"missing expert": func(m *Map) { m.Cells[0] = Slot{Expert: NoExpert} },
		"unknown expert": func(m *Map) { m.Cells[0].Expert = 9 },
		"twice a rank":   func(m *Map) { m.Cells[1] = Slot{Expert: m.Cells[0].Expert} },
		"shares":         func(m *Map) { m.Cells[0].Share-- },
		"empty share":    func(m *Map) { m.Cells[3] = Slot{NoExpert, 1} },
		"short":          func(m *Map) { m.Cells = m.Cells[1:] },
		"no layer":       func(m *Map) { m.Layers = 0 },
		"huge":           func(m *Map) { m.Layers = MaxLayers + 1 },
	} {
		m := NewMap(1, 3, 2, 2)
		m.Cells = []Slot{{0, ShareUnit}, {1, ShareUnit}, {2, ShareUnit}, {NoExpert, 0}}
		assert.NilError(t, m.Validate())
		corrupt(m)
		assert.ErrorIs(t, m.Validate(), ErrInvalidMap, name)
	}
}

func TestViewValidate(t *testing.T) {
	for name, corrupt := range map[string]func(v *PlanInput){
		"layers":     func(v *PlanInput) { v.Layers++ },
		"shares":     func(v *PlanInput) { v.Popularity[0].Share = v.Popularity[0].Share[1:] },
		"negative":   func(v *PlanInput) { v.Popularity[0].Share[0] = -1 },
		"speed":      func(v *PlanInput) { v.Ranks[0].Speed = 0 },
		"slots":      func(v *PlanInput) { v.Ranks[0].Slots = v.Slots + 1 },
		"store rate": func(v *PlanInput) { v.Costs.StoreBytesPerSecond = 0 },
		"map":        func(v *PlanInput) { v.Current = NewMap(1, 1, 1, 1) },
	} {
		v := zipfView(4, 8, 3, 1)
		corrupt(&v)
		_, err := new(Planner).Plan(v)
		assert.ErrorIs(t, err, ErrInvalidPlanInput, name)
	}
}

// TestEstimatorIgnoresOrder checks that reports that arrive out of order give
// the same estimate as reports in order, and that a trend is extrapolated.
func TestEstimatorIgnoresOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	inOrder, outOfOrder := NewEstimator(1, 2), NewEstimator(1, 2)
	var reports []TokenReport
	for i := range 24 {
		end := start.Add(time.Duration(i) * 5 * time.Second)
		reports = append(reports, TokenReport{Start: end.Add(-5 * time.Second), End: end, Tokens: []uint32{uint32(100 + 10*i), 500}})
	}
	for i := range reports {
		assert.NilError(t, inOrder.Observe(reports[i]))
		assert.NilError(t, outOfOrder.Observe(reports[i^5]))
	}
	at := start.Add(2 * time.Minute)
	a, b := inOrder.Estimate(at)[0], outOfOrder.Estimate(at)[0]
	for e := range a.Share {
		assert.Assert(t, max(a.Share[e]-b.Share[e], b.Share[e]-a.Share[e]) < 1e-5)
	}
	assert.Assert(t, a.Share[0] > 0.38 && a.Share[0] < 0.43, "%v, extrapolating the trend gives 0.405", a.Share[0])
	assert.ErrorIs(t, outOfOrder.Observe(TokenReport{Layer: 1}), ErrInvalidReport)
	assert.ErrorIs(t, outOfOrder.Observe(TokenReport{Tokens: []uint32{0, 0}, End: at}), ErrInvalidReport)
}

func TestSpeedEstimator(t *testing.T) {
	s := NewSpeedEstimator(4)
	for i := range 60 {
		for r, seconds := range []float64{1, 1.02, 2, 0.99} {
			if i >= 30 {
				seconds = 1
			}
			assert.NilError(t, s.Observe(r, 1, seconds))
		}
		if i == 29 {
			assert.Assert(t, s.Speeds(nil)[2] < 0.53)
		}
	}
	assert.DeepEqual(t, s.Speeds(nil), []float64{1, 1, 1, 1})
	assert.ErrorIs(t, s.Observe(0, 1, 0), ErrInvalidReport)
}
