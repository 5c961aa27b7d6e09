package standin

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/mapswitch"
)

// extraMapsKept is the number of maps that a rank keeps in addition to those in
// use or in a hold.
const extraMapsKept = 2

// maxWindows is the number of measurement windows that a rank keeps.
const maxWindows = 32

// RankGroupConfig configures a RankGroup.
type RankGroupConfig struct {
	Ranks, Layers, Experts, Slots int
	// StepInterval is the real time between two steps. SimulatedStepTime is the
	// duration of a step by the engine's clock, which gives the times of the
	// windows.
	StepInterval, SimulatedStepTime time.Duration
	// WindowSteps is the number of steps in a measurement window.
	WindowSteps int
	// WindowTokens is the number of tokens that all ranks together process in a
	// window.
	WindowTokens float64
	// PopularityDrift is the standard deviation of the change of the logarithm of
	// an expert's popularity from one window to the next. After every
	// TopExpertWindows windows the most popular expert of each layer swaps its
	// popularity with a random one; zero means never.
	PopularityDrift  float64
	TopExpertWindows int
	Seed             uint64
	// SkipConfirmation makes a rank switch to an armed map without waiting for
	// the other ranks, like an engine without the confirmation step.
	SkipConfirmation bool
	// OnOrder, if set, is called before a rank carries out an order: /arm,
	// /confirm or /release. The order waits until it returns.
	OnOrder func(rank int, path string)
}

// RankGroup simulates a model engine whose ranks run each step together on an
// expert map. It runs a step only when all ranks can. It is safe for concurrent
// use.
type RankGroup struct {
	cfg RankGroupConfig

	mu         sync.Mutex
	rng        *rand.Rand
	ranks      []*simulatedRank
	labelRuns  []LabelRun
	steps      uint64
	popularity [][]float64
	windows    uint64
}

// simulatedRank is the state of one rank.
type simulatedRank struct {
	register          *mapswitch.Register
	process           uint64
	maps              map[string]*expertmap.Map
	encodedMaps       map[string][]byte
	connectionProcess map[string]uint64 // Remote address to the process that the connection belongs to.
	loadOrder         []string          // Maps in the order in which they were loaded.
	windows           []rankctl.Window
	lastWindow        uint64 // Number of the last window.
	speed             float64
	stopped           bool
	loadedExperts     int // Number of experts loaded so far.
}

// LabelRun is a sequence of steps in which no rank changed its label.
type LabelRun struct {
	// FirstStep is the number of the first step, Steps the number of steps.
	FirstStep, Steps uint64
	// Labels is the label that each rank used, by rank.
	Labels []mapswitch.Label
}

// NewRankGroup returns a group of ranks without maps. It runs no step before
// Run is called.
func NewRankGroup(cfg RankGroupConfig) *RankGroup {
	g := &RankGroup{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	for range cfg.Ranks {
		r := &simulatedRank{speed: 1, connectionProcess: map[string]uint64{}}
		g.ranks = append(g.ranks, r)
		g.resetRank(r)
	}
	for range cfg.Layers {
		w := make([]float64, cfg.Experts)
		for e, place := range g.rng.Perm(cfg.Experts) {
			w[e] = math.Pow(float64(place+1), -0.8)
		}
		g.popularity = append(g.popularity, w)
	}
	return g
}

// Run runs steps until ctx ends.
func (g *RankGroup) Run(ctx context.Context) {
	t := time.NewTicker(g.cfg.StepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.runStep()
		}
	}
}

// ReplaceProcess replaces the engine process of a rank by a new one without
// maps.
func (g *RankGroup) ReplaceProcess(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetRank(g.ranks[rank])
}

// SetSpeed sets the relative speed of a rank. A rank with a speed below 1 is
// slower than the others, 1 is the normal speed.
func (g *RankGroup) SetSpeed(rank int, speed float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].speed = speed
}

// SetStopped stops a rank, and with it the group, or lets it continue.
func (g *RankGroup) SetStopped(rank int, stopped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].stopped = stopped
}

// Steps returns the number of steps that the group has run.
func (g *RankGroup) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Held reports whether a hold of a rank keeps the group from its next step.
func (g *RankGroup) Held() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.ranks, func(r *simulatedRank) bool { return r.register.Status().Held() })
}

// LoadedExperts returns the number of experts that all ranks have loaded so
// far.
func (g *RankGroup) LoadedExperts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.ranks {
		n += r.loadedExperts
	}
	return n
}

// TokenLoads returns the number of tokens that each rank computes in a window
// with the current popularity and the map in use.
func (g *RankGroup) TokenLoads() []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	labels := make([]mapswitch.Label, len(g.ranks))
	for i, r := range g.ranks {
		labels[i] = r.register.Status().InUse
	}
	return g.computeLoads(labels)
}

// LabelRuns returns the labels that the ranks have used, in the order of the
// steps.
func (g *RankGroup) LabelRuns() []LabelRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.labelRuns)
}

// CheckLabels returns an error that names the first step in which two ranks
// used different labels.
func (g *RankGroup) CheckLabels() error {
	for _, run := range g.LabelRuns() {
		for rank, l := range run.Labels {
			if l != run.Labels[0] {
				return fmt.Errorf("standin: step %d: rank 0 uses %v, rank %d uses %v", run.FirstStep, run.Labels[0], rank, l)
			}
		}
	}
	return nil
}

func (g *RankGroup) resetRank(r *simulatedRank) {
	r.process = g.rng.Uint64() | 1
	r.register = mapswitch.NewRegister(r.process)
	r.maps = map[string]*expertmap.Map{}
	r.encodedMaps = map[string][]byte{}
	r.loadOrder = nil
	r.windows = nil
	r.lastWindow = 0
}

func (g *RankGroup) runStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.ranks[0].register.Status().Step
	for _, r := range g.ranks {
		if s := r.register.Status(); r.stopped || s.Held() || s.Step != first {
			return
		}
	}
	labels := make([]mapswitch.Label, len(g.ranks))
	for i, r := range g.ranks {
		labels[i] = r.register.Advance()
	}
	g.recordLabels(first, labels)
	g.steps++
	if g.steps%uint64(g.cfg.WindowSteps) == 0 {
		g.closeWindow(labels)
	}
}

func (g *RankGroup) recordLabels(step uint64, labels []mapswitch.Label) {
	if n := len(g.labelRuns); n > 0 && slices.Equal(g.labelRuns[n-1].Labels, labels) {
		g.labelRuns[n-1].Steps++
		return
	}
	g.labelRuns = append(g.labelRuns, LabelRun{FirstStep: step, Steps: 1, Labels: labels})
}

// closeWindow adds a window to each rank and changes the popularity of the
// experts.
func (g *RankGroup) closeWindow(labels []mapswitch.Label) {
	g.windows++
	length := time.Duration(g.cfg.WindowSteps) * g.cfg.SimulatedStepTime
	end := time.Unix(0, 0).Add(time.Duration(g.windows) * length)
	loads := g.computeLoads(labels)
	for i, r := range g.ranks {
		r.lastWindow++
		w := rankctl.Window{
			Number:  r.lastWindow,
			StartMs: end.Add(-length).UnixMilli(),
			EndMs:   end.UnixMilli(),
			Load:    loads[i],
			Seconds: loads[i] / r.speed / g.cfg.WindowTokens,
			Tokens:  g.drawTokenCounts(),
		}
		r.windows = append(r.windows, w)
		r.windows = r.windows[max(0, len(r.windows)-maxWindows):]
	}
	g.changePopularity()
}

// drawTokenCounts draws the number of tokens that the requests of one rank
// route to each expert, by layer.
func (g *RankGroup) drawTokenCounts() [][]uint32 {
	out := make([][]uint32, 0, g.cfg.Layers)
	for _, weights := range g.popularity {
		total := sum(weights)
		layer := make([]uint32, len(weights))
		for e, w := range weights {
			mean := w / total * g.cfg.WindowTokens / float64(g.cfg.Ranks)
			layer[e] = uint32(max(0, mean+math.Sqrt(mean)*g.rng.NormFloat64()))
		}
		out = append(out, layer)
	}
	return out
}

// computeLoads returns the number of tokens that the experts of each rank
// compute in a window.
func (g *RankGroup) computeLoads(labels []mapswitch.Label) []float64 {
	loads := make([]float64, len(g.ranks))
	m := g.ranks[0].maps[string(labels[0].Map)]
	if m == nil {
		return loads
	}
	for l, weights := range g.popularity {
		total := sum(weights)
		for i, c := range m.Layer(l) {
			if c.Expert != expertmap.NoExpert {
				share := float64(c.Share) / expertmap.ShareUnit
				loads[i/m.Slots] += weights[c.Expert] / total * share * g.cfg.WindowTokens
			}
		}
	}
	return loads
}

func (g *RankGroup) changePopularity() {
	changeTop := g.cfg.TopExpertWindows > 0 && g.windows%uint64(g.cfg.TopExpertWindows) == 0
	for _, w := range g.popularity {
		for e := range w {
			w[e] *= math.Exp(g.cfg.PopularityDrift * g.rng.NormFloat64())
		}
		if changeTop {
			top := slices.Index(w, slices.Max(w))
			next := g.rng.IntN(len(w))
			w[top], w[next] = w[next], w[top]
		}
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
