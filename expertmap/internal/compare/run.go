package compare

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"bluebellwind.example/expertmap"
)

// What a run has in common for all strategies.
const (
	// Interval between plans.
	Interval = 30 * time.Second
	// SampleEvery is the time between samples of the skew.
	SampleEvery    = 10 * time.Second
	tick           = 5 * time.Second
	bytesPerExpert = 44 << 20
	disturbance    = 20 * time.Millisecond
	// holdKnowing, in seconds, is the hold given to those who know the truth.
	holdKnowing = 600
)

// The weights of the two deployments.
var (
	// SkewWeights are Hraunvik's.
	SkewWeights = expertmap.Weights{Skew: 30, Cost: 1}
	// CostWeights are the Cooperative's.
	CostWeights = expertmap.Weights{Skew: 1, Cost: 3}
)

// Names of the strategies, as in the tables.
const (
	Static      = "static"
	SharesOnly  = "static placement, shares tuned"
	Repack      = "re-pack"
	Relabelled  = "re-pack, relabelled"
	PlannerSkew = "planner, skew weights"
	PlannerCost = "planner, cost weights"
	// The last two know the popularity and speed of the moment exactly.
	RepackKnowing  = "re-pack, knowing the truth"
	PlannerKnowing = "planner, skew weights, knowing the truth"
)

// Strategies returns all names in the order of the tables.
func Strategies() []string {
	return []string{Static, SharesOnly, Repack, Relabelled, PlannerSkew, PlannerCost, RepackKnowing, PlannerKnowing}
}

func newStrategy(name string, planner *expertmap.Planner) strategy {
	switch name {
	case SharesOnly:
		return &planned{planner: planner, weights: SkewWeights, sharesOnly: true}
	case Repack, RepackKnowing:
		return repack{}
	case Relabelled:
		return repack{relabel: true}
	case PlannerSkew, PlannerKnowing:
		return &planned{planner: planner, weights: SkewWeights}
	case PlannerCost:
		return &planned{planner: planner, weights: CostWeights}
	default:
		return static{}
	}
}

// Spec asks for a run.
type Spec struct {
	Size       Size
	Kind       Kind
	Seed       uint64
	Length     time.Duration
	Strategies []string
	// NewPlanner makes the planners of the run; nil means plain ones.
	NewPlanner func() *expertmap.Planner
}

// Result is what one strategy did in a run.
type Result struct {
	Strategy string
	// Max and Spread are the skews of all sampled layers, sorted.
	Max, Spread []float64
	// StepMax and StepSpread are those of all sampled steps, sorted.
	StepMax, StepSpread []float64
	// OverBound are the samples of Max over the lower bound, sorted.
	OverBound []float64
	// Series holds the step's max over mean in order of time, one a sample.
	Series []float64
	Bytes  int64
	Moves  int
	// Plans counts the intervals in which a new map was made.
	Plans int
	// SlotsChanged counts slots whose expert or share changed.
	SlotsChanged int
	Intervals    int
	PlanTimes    []time.Duration // sorted
	// AllocsPerPlan and AllocBytesPerPlan are means.
	AllocsPerPlan, AllocBytesPerPlan uint64
}

// contestant is a strategy with its map in force and the one being loaded.
type contestant struct {
	strategy strategy
	current  *expertmap.Map
	loading  *expertmap.Map
	readyAt  time.Time
	result   Result
	allocs   uint64
	bytes    uint64
}

// Run runs all strategies on one workload, which depends only on the seed.
func Run(s Spec) ([]Result, error) {
	t := newTruth(s.Size, s.Kind, s.Seed)
	f := newFeed(s.Seed)
	pop := expertmap.NewEstimator(s.Size.Layers, s.Size.Experts)
	speeds := expertmap.NewSpeedEstimator(s.Size.Ranks)
	start := time.Unix(0, 0)
	first, err := expertmap.Pack(initialView(t))
	if err != nil {
		return nil, err
	}
	var all []*contestant
	if s.NewPlanner == nil {
		s.NewPlanner = func() *expertmap.Planner { return &expertmap.Planner{} }
	}
	for _, name := range s.Strategies {
		all = append(all, &contestant{strategy: newStrategy(name, s.NewPlanner()), current: first, result: Result{Strategy: name}})
	}
	for at := time.Duration(0); at < s.Length; at += tick {
		now := start.Add(at)
		t.advance(at, tick)
		f.publish(t, now)
		if err := f.deliver(now, pop, speeds); err != nil {
			return nil, err
		}
		for _, c := range all {
			c.install(now)
		}
		if at%Interval == 0 && at > 0 {
			if err := planAll(all, t, now, pop.Estimate(now.Add(Interval/2)), speeds); err != nil {
				return nil, err
			}
		}
		if at%SampleEvery == 0 {
			sampleAll(all, t)
		}
	}
	var out []Result
	for _, c := range all {
		out = append(out, c.finish())
	}
	return out, nil
}

// initialView knows the truth, so that every strategy starts from a good map.
func initialView(t *truth) expertmap.View {
	return view(t, exactly(t), t.speed, nil)
}

// exactly returns the true popularity as an estimate without error.
func exactly(t *truth) []expertmap.LayerPopularity {
	pop := make([]expertmap.LayerPopularity, t.size.Layers)
	for l := range pop {
		n := t.size.Experts
		pop[l] = expertmap.LayerPopularity{Share: make([]float32, n), StdErr: make([]float32, n), Peak: make([]float32, n), StableSeconds: make([]float32, n)}
		for e, share := range t.layers[l].share {
			pop[l].Share[e] = float32(share)
			pop[l].Peak[e] = float32(share)
			pop[l].StableSeconds[e] = holdKnowing
		}
	}
	return pop
}

func view(t *truth, pop []expertmap.LayerPopularity, speeds []float64, current *expertmap.Map) expertmap.View {
	z := t.size
	v := expertmap.View{
		Layers: z.Layers, Experts: z.Experts, Slots: z.Slots,
		Popularity: pop, Current: current, Weights: SkewWeights, Interval: Interval,
		Costs: expertmap.Costs{
			BytesPerExpert:      bytesPerExpert,
			StoreBytesPerSecond: z.StoreBytesPerSecond,
			Disturbance:         disturbance,
		},
	}
	for r := range z.Ranks {
		v.Ranks = append(v.Ranks, expertmap.Rank{
			Host: r * z.Hosts / z.Ranks, Slots: z.Slots, Speed: speeds[r], Alive: t.alive[r],
		})
	}
	return v
}

func planAll(all []*contestant, t *truth, now time.Time, pop []expertmap.LayerPopularity, speeds *expertmap.SpeedEstimator) error {
	known := speeds.Speeds(nil)
	for _, c := range all {
		c.result.Intervals++
		if c.loading != nil {
			continue
		}
		v := view(t, pop, known, c.current)
		if c.result.Strategy == RepackKnowing || c.result.Strategy == PlannerKnowing {
			v = view(t, exactly(t), t.speed, c.current)
		}
		if err := c.plan(v, now); err != nil {
			return fmt.Errorf("%s: %w", c.result.Strategy, err)
		}
	}
	return nil
}

func (c *contestant) plan(v expertmap.View, now time.Time) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	out, err := c.strategy.next(v)
	c.result.PlanTimes = append(c.result.PlanTimes, time.Since(began))
	runtime.ReadMemStats(&after)
	if err != nil {
		return err
	}
	c.allocs += after.Mallocs - before.Mallocs
	c.bytes += after.TotalAlloc - before.TotalAlloc
	if out.m == v.Current {
		return nil
	}
	c.result.Plans++
	c.result.Bytes += out.bytes
	c.result.Moves += out.moves
	c.result.SlotsChanged += out.slots
	c.loading, c.readyAt = out.m, now
	if !out.instant {
		load := float64(out.bytes) / float64(v.Costs.StoreBytesPerSecond)
		c.readyAt = now.Add(time.Duration(load * float64(time.Second)))
	}
	c.install(now)
	return nil
}

// install puts a map in force once its weights are loaded.
func (c *contestant) install(now time.Time) {
	if c.loading != nil && !c.readyAt.After(now) {
		c.current, c.loading = c.loading, nil
	}
}

func sampleAll(all []*contestant, t *truth) {
	ranks := view(t, nil, t.speed, nil).Ranks
	bounds := make([]float64, t.size.Layers)
	for l := range bounds {
		bounds[l] = expertmap.LowerBound(t.layers[l].share, ranks)
	}
	for _, c := range all {
		layers := make([]expertmap.Skew, t.size.Layers)
		for l := range layers {
			layers[l] = expertmap.LayerSkew(c.current, l, t.layers[l].share, ranks)
			c.result.Max = append(c.result.Max, layers[l].MaxOverMean)
			c.result.Spread = append(c.result.Spread, layers[l].SpreadOverMean)
			c.result.OverBound = append(c.result.OverBound, layers[l].MaxOverMean/bounds[l])
		}
		step := expertmap.StepSkew(layers)
		c.result.StepMax = append(c.result.StepMax, step.MaxOverMean)
		c.result.StepSpread = append(c.result.StepSpread, step.SpreadOverMean)
		c.result.Series = append(c.result.Series, step.MaxOverMean)
	}
}

func (c *contestant) finish() Result {
	r := c.result
	for _, s := range [][]float64{r.Max, r.Spread, r.StepMax, r.StepSpread, r.OverBound} {
		slices.Sort(s)
	}
	slices.Sort(r.PlanTimes)
	if n := uint64(len(r.PlanTimes)); n > 0 {
		r.AllocsPerPlan, r.AllocBytesPerPlan = c.allocs/n, c.bytes/n
	}
	return r
}

// Quantile returns the value at q in [0, 1] of a sorted slice.
func Quantile[T any](sorted []T, q float64) T {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
