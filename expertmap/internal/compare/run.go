package compare

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"bluebellwind.example/expertmap"
)

// Parameters that are the same for all strategies.
const (
	// PlanInterval is the time between plans.
	PlanInterval = 30 * time.Second
	// SampleInterval is the time between samples of the skew.
	SampleInterval = 10 * time.Second
	// simulationStep is the time step of the simulation.
	simulationStep = 5 * time.Second
	// bytesPerExpert and disturbance are the costs of a move, see
	// expertmap.MoveCosts.
	bytesPerExpert = 44 << 20
	disturbance    = 20 * time.Millisecond
	// oracleStableSeconds is the time for which strategies that know the ground
	// truth expect the popularity to be stable.
	oracleStableSeconds = 600
)

// The planner weights of the two deployments.
var (
	// SkewWeights are those of the Hraunvik deployment, which favours a low
	// skew.
	SkewWeights = expertmap.ObjectiveWeights{Skew: 30, Cost: 1}
	// CostWeights are those of the Cooperative's deployment, which favours few
	// moves.
	CostWeights = expertmap.ObjectiveWeights{Skew: 1, Cost: 3}
)

// Names of the strategies as they appear in the report tables.
const (
	Static      = "static"
	SharesOnly  = "static placement, shares tuned"
	Repack      = "re-pack"
	Relabelled  = "re-pack, relabelled"
	PlannerSkew = "planner, skew weights"
	PlannerCost = "planner, cost weights"
	// RepackOracle and PlannerOracle know the current popularity and speeds
	// exactly.
	RepackOracle  = "re-pack, knowing the truth"
	PlannerOracle = "planner, skew weights, knowing the truth"
)

// Strategies returns the names of all strategies in the order of the report
// tables.
func Strategies() []string {
	return []string{Static, SharesOnly, Repack, Relabelled, PlannerSkew, PlannerCost, RepackOracle, PlannerOracle}
}

// newStrategy returns the strategy with the given name, by default a
// staticStrategy.
func newStrategy(name string, planner *expertmap.Planner) strategy {
	switch name {
	case SharesOnly:
		return &plannerStrategy{planner: planner, weights: SkewWeights, sharesOnly: true}
	case Repack, RepackOracle:
		return repackStrategy{}
	case Relabelled:
		return repackStrategy{relabel: true}
	case PlannerSkew, PlannerOracle:
		return &plannerStrategy{planner: planner, weights: SkewWeights}
	case PlannerCost:
		return &plannerStrategy{planner: planner, weights: CostWeights}
	default:
		return staticStrategy{}
	}
}

// Spec specifies a run.
type Spec struct {
	Size       Size
	Workload   Workload
	Seed       uint64
	Duration   time.Duration
	Strategies []string
	// NewPlanner creates the planners of the run. If it is nil, zero planners
	// are used.
	NewPlanner func() *expertmap.Planner
}

// Result holds the measurements of one strategy in a run.
type Result struct {
	Strategy string
	// Max and Spread hold the MaxOverMean and SpreadOverMean of all sampled
	// layers, in ascending order.
	Max, Spread []float64
	// StepMax and StepSpread hold the same for all sampled steps, in ascending
	// order.
	StepMax, StepSpread []float64
	// OverBound holds the samples of Max divided by the lower bound, in
	// ascending order.
	OverBound []float64
	// Series holds the samples of StepMax in order of time.
	Series []float64
	// Bytes and Moves are the totals of the moves of all plans.
	Bytes int64
	Moves int
	// Plans counts the intervals that resulted in a new map.
	Plans int
	// SlotsChanged counts the slots whose expert or share changed, over all
	// plans.
	SlotsChanged int
	// Intervals counts the plan intervals, including those in which the
	// strategy did not plan because a map was still being loaded.
	Intervals int
	PlanTimes []time.Duration // in ascending order
	// AllocsPerPlan and AllocBytesPerPlan are the mean number and volume of
	// memory allocations per plan.
	AllocsPerPlan, AllocBytesPerPlan uint64
}

// strategyRun is the state of one strategy in a run: its map in use, the map
// being loaded, if any, and the measurements.
type strategyRun struct {
	strategy   strategy
	current    *expertmap.Map
	loading    *expertmap.Map
	readyAt    time.Time
	result     Result
	allocs     uint64
	allocBytes uint64
}

// Run runs all strategies of the specification on the same workload, which
// depends only on the specification with its seed.
func Run(s Spec) ([]Result, error) {
	truth := newGroundTruth(s.Size, s.Workload, s.Seed)
	feed := newReportFeed(s.Seed)
	popularity := expertmap.NewEstimator(s.Size.Layers, s.Size.Experts)
	speeds := expertmap.NewSpeedEstimator(s.Size.Ranks)
	start := time.Unix(0, 0)
	initial, err := expertmap.Pack(initialInput(truth))
	if err != nil {
		return nil, err
	}
	var runs []*strategyRun
	if s.NewPlanner == nil {
		s.NewPlanner = func() *expertmap.Planner { return &expertmap.Planner{} }
	}
	for _, name := range s.Strategies {
		runs = append(runs, &strategyRun{strategy: newStrategy(name, s.NewPlanner()), current: initial, result: Result{Strategy: name}})
	}
	for at := time.Duration(0); at < s.Duration; at += simulationStep {
		now := start.Add(at)
		truth.advance(at, simulationStep)
		feed.publish(truth, now)
		if err := feed.deliver(now, popularity, speeds); err != nil {
			return nil, err
		}
		for _, run := range runs {
			run.install(now)
		}
		if at%PlanInterval == 0 && at > 0 {
			if err := planAll(runs, truth, now, popularity.Estimate(now.Add(PlanInterval/2)), speeds); err != nil {
				return nil, err
			}
		}
		if at%SampleInterval == 0 {
			sampleAll(runs, truth)
		}
	}
	var out []Result
	for _, run := range runs {
		out = append(out, run.finalResult())
	}
	return out, nil
}

// initialInput returns an input with the exact initial popularity, so that every
// strategy starts from a well-balanced map.
func initialInput(truth *groundTruth) expertmap.PlanInput {
	return buildInput(truth, exactPopularity(truth), truth.speed, nil)
}

// exactPopularity returns the actual popularity as an estimate with zero
// standard error.
func exactPopularity(truth *groundTruth) []expertmap.LayerPopularity {
	popularity := make([]expertmap.LayerPopularity, truth.size.Layers)
	for l := range popularity {
		n := truth.size.Experts
		popularity[l] = expertmap.LayerPopularity{Share: make([]float32, n), StdErr: make([]float32, n), Peak: make([]float32, n), StableSeconds: make([]float32, n)}
		for e, share := range truth.layers[l].share {
			popularity[l].Share[e] = float32(share)
			popularity[l].Peak[e] = float32(share)
			popularity[l].StableSeconds[e] = oracleStableSeconds
		}
	}
	return popularity
}

// buildInput returns the input of the planner for the given estimates.
func buildInput(truth *groundTruth, popularity []expertmap.LayerPopularity, speeds []float64, current *expertmap.Map) expertmap.PlanInput {
	size := truth.size
	v := expertmap.PlanInput{
		Layers: size.Layers, Experts: size.Experts, Slots: size.Slots,
		Popularity: popularity, Current: current, Weights: SkewWeights, PlanInterval: PlanInterval,
		Costs: expertmap.MoveCosts{
			BytesPerExpert:      bytesPerExpert,
			StoreBytesPerSecond: size.StoreBytesPerSecond,
			StepDisturbance:     disturbance,
		},
	}
	for r := range size.Ranks {
		v.Ranks = append(v.Ranks, expertmap.Rank{
			Host: r * size.Hosts / size.Ranks, Slots: size.Slots, Speed: speeds[r], Alive: truth.alive[r],
		})
	}
	return v
}

// planAll lets each strategy plan, except those whose last map is still being
// loaded.
func planAll(runs []*strategyRun, truth *groundTruth, now time.Time, popularity []expertmap.LayerPopularity, speeds *expertmap.SpeedEstimator) error {
	knownSpeeds := speeds.Speeds(nil)
	for _, run := range runs {
		run.result.Intervals++
		if run.loading != nil {
			continue
		}
		v := buildInput(truth, popularity, knownSpeeds, run.current)
		if run.result.Strategy == RepackOracle || run.result.Strategy == PlannerOracle {
			v = buildInput(truth, exactPopularity(truth), truth.speed, run.current)
		}
		if err := run.plan(v, now); err != nil {
			return fmt.Errorf("%s: %w", run.result.Strategy, err)
		}
	}
	return nil
}

// plan calls the strategy and measures its time and memory allocations. A new
// map takes effect once its weights are loaded.
func (run *strategyRun) plan(v expertmap.PlanInput, now time.Time) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	out, err := run.strategy.nextMap(v)
	run.result.PlanTimes = append(run.result.PlanTimes, time.Since(began))
	runtime.ReadMemStats(&after)
	if err != nil {
		return err
	}
	run.allocs += after.Mallocs - before.Mallocs
	run.allocBytes += after.TotalAlloc - before.TotalAlloc
	if out.newMap == v.Current {
		return nil
	}
	run.result.Plans++
	run.result.Bytes += out.bytes
	run.result.Moves += out.moves
	run.result.SlotsChanged += out.slotsChanged
	run.loading, run.readyAt = out.newMap, now
	if !out.instant {
		loadSeconds := float64(out.bytes) / float64(v.Costs.StoreBytesPerSecond)
		run.readyAt = now.Add(time.Duration(loadSeconds * float64(time.Second)))
	}
	run.install(now)
	return nil
}

// install switches to the map being loaded once its weights are complete.
func (run *strategyRun) install(now time.Time) {
	if run.loading != nil && !run.readyAt.After(now) {
		run.current, run.loading = run.loading, nil
	}
}

// sampleAll records the actual skew of each strategy's map in use.
func sampleAll(runs []*strategyRun, truth *groundTruth) {
	ranks := buildInput(truth, nil, truth.speed, nil).Ranks
	bounds := make([]float64, truth.size.Layers)
	for l := range bounds {
		bounds[l] = expertmap.LowerBound(truth.layers[l].share, ranks)
	}
	for _, run := range runs {
		layers := make([]expertmap.Skew, truth.size.Layers)
		for l := range layers {
			layers[l] = expertmap.LayerSkew(run.current, l, truth.layers[l].share, ranks)
			run.result.Max = append(run.result.Max, layers[l].MaxOverMean)
			run.result.Spread = append(run.result.Spread, layers[l].SpreadOverMean)
			run.result.OverBound = append(run.result.OverBound, layers[l].MaxOverMean/bounds[l])
		}
		step := expertmap.StepSkew(layers)
		run.result.StepMax = append(run.result.StepMax, step.MaxOverMean)
		run.result.StepSpread = append(run.result.StepSpread, step.SpreadOverMean)
		run.result.Series = append(run.result.Series, step.MaxOverMean)
	}
}

// finalResult sorts the samples and computes the means.
func (run *strategyRun) finalResult() Result {
	result := run.result
	for _, s := range [][]float64{result.Max, result.Spread, result.StepMax, result.StepSpread, result.OverBound} {
		slices.Sort(s)
	}
	slices.Sort(result.PlanTimes)
	if n := uint64(len(result.PlanTimes)); n > 0 {
		result.AllocsPerPlan, result.AllocBytesPerPlan = run.allocs/n, run.allocBytes/n
	}
	return result
}

// Quantile returns the q-quantile of a sorted slice, for q in [0, 1].
func Quantile[T any](sorted []T, q float64) T {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
