package rankagent

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
)

// mapModel is a model of one group without a network: passes whose duration follows
// from the skew of the map in use, requests whose topics decide which experts are in
// demand, counts that reach the planner late, and switches that take time.
type mapModel struct {
	// The random numbers of shifts do not depend on the planner.
	rng, shiftRng *rand.Rand
	engine        ingress.Experts
	shape         groupmap.Shape
	running       float64 // Running requests of a rank, on average.
	shift         time.Duration
	topics        [][]float64 // Share of each expert, by topic; the sets follow one another.
	mixture       []float64
	// requests holds the topic of each running request, by rank.
	requests [][]int
	current  *groupmap.Map
	load     [][]float64 // Actual demand, by set and expert.
	skew     float64
	planner  modelPlanner
	result   modelResult
}

// modelPlanner is the planner under test.
type modelPlanner interface {
	add(c rankCounts, ranks int, now time.Time, period time.Duration)
	plan(m *mapModel, requests int, pass time.Duration, now time.Time) *groupmap.Map
}

type modelResult struct {
	late, streams, skew, copies float64 // Shares; mean; copies a second.
	switches, passes            int
}

const (
	modelStride = 6
	modelTopics = 9
	modelSlots  = 10
	// modelChoices is the number of experts of a set that each token chooses.
	modelChoices    = 4
	modelPassLimit  = 120 * time.Millisecond
	modelStreamPass = 23
	modelShiftShare = 0.65
	// modelCommonShare is the part of a topic's choices that is common to all topics.
	modelCommonShare = 0.2
	// Popularity falls with these powers of the place of an expert and of a topic.
	modelExpertPower = 1.2
	modelTopicPower  = 2.0
	// modelLinkBytes is the rate of the link of the agent that plans.
	modelLinkBytes = 1e6
)

func newMapModel(seed uint64, e ingress.Experts, ranks int, running float64, shift time.Duration) *mapModel {
	m := &mapModel{rng: rand.New(rand.NewPCG(seed, 5)), shiftRng: rand.New(rand.NewPCG(seed, 6)), engine: e, shape: shapeOf(e, ranks), running: running, shift: shift}
	m.current = groupmap.InitialMap(m.shape)
	common := m.randomShares()
	for range modelTopics {
		own := m.randomShares()
		for i := range own {
			own[i] = modelCommonShare*common[i] + (1-modelCommonShare)*own[i]
		}
		m.topics = append(m.topics, own)
	}
	m.mixture = m.randomMixture()
	whole := int(running)
	for range ranks {
		n := whole
		if m.rng.Float64() < running-float64(whole) {
			n++
		}
		topics := make([]int, n)
		for i := range topics {
			topics[i] = m.drawTopic()
		}
		m.requests = append(m.requests, topics)
	}
	m.updateLoad()
	return m
}

// randomShares returns shares of experts that fall with their place in a random order, in
// each set.
func (m *mapModel) randomShares() []float64 {
	var out []float64
	for range m.shape.Sets {
		shares := make([]float64, m.shape.Experts)
		total := 0.0
		for i, e := range m.rng.Perm(m.shape.Experts) {
			shares[e] = math.Pow(float64(i+1), -modelExpertPower)
			total += shares[e]
		}
		for e := range shares {
			out = append(out, shares[e]/total)
		}
	}
	return out
}

func (m *mapModel) randomMixture() []float64 {
	out := make([]float64, modelTopics)
	total := 0.0
	for i, topic := range m.shiftRng.Perm(modelTopics) {
		out[topic] = math.Pow(float64(i+1), -modelTopicPower)
		total += out[topic]
	}
	for t := range out {
		out[t] /= total
	}
	return out
}

func (m *mapModel) drawTopic() int {
	x := m.rng.Float64()
	for t, share := range m.mixture {
		if x -= share; x < 0 {
			return t
		}
	}
	return modelTopics - 1
}

// shiftDemand moves a part of the mixture, and of the running requests, to other topics.
func (m *mapModel) shiftDemand() {
	next := m.randomMixture()
	for t := range m.mixture {
		m.mixture[t] = (1-modelShiftShare)*m.mixture[t] + modelShiftShare*next[t]
	}
	for _, topics := range m.requests {
		for i := range topics {
			if m.rng.Float64() < modelShiftShare {
				topics[i] = m.drawTopic()
			}
		}
	}
	m.updateLoad()
}

func (m *mapModel) addShares(out []float64, requests []int) {
	var n [modelTopics]float64
	for _, t := range requests {
		n[t]++
	}
	for t, count := range n {
		if count > 0 {
			for i, share := range m.topics[t] {
				out[i] += count * share
			}
		}
	}
}

func (m *mapModel) updateLoad() {
	flat := make([]float64, m.shape.Sets*m.shape.Experts)
	for _, topics := range m.requests {
		m.addShares(flat, topics)
	}
	m.load = nil
	for set := range m.shape.Sets {
		m.load = append(m.load, flat[set*m.shape.Experts:(set+1)*m.shape.Experts])
	}
	m.skew = groupmap.Skew(m.current, groupmap.Demand{Load: m.load}, m.shape)
}

func (m *mapModel) requestCount() int {
	n := 0
	for _, topics := range m.requests {
		n += len(topics)
	}
	return n
}

// counts returns the noisy counts of a rank after the given number of passes.
func (m *mapModel) counts(rank int, passes float64, now time.Time) rankCounts {
	shares := make([]float64, m.shape.Sets*m.shape.Experts)
	m.addShares(shares, m.requests[rank])
	out := make([]uint32, len(shares))
	for i, s := range shares {
		mean := s * modelStride * passes * modelChoices
		if mean == 0 {
			continue
		}
		out[i] = m.poisson(mean)
	}
	scaled, unit := scaleCounts(out)
	held := make([][]uint16, m.shape.Sets)
	for set := range held {
		held[set] = m.current.Experts[set][rank]
	}
	return rankCounts{epoch: 1, rank: rank, counts: scaled, unit: unit, mapVersion: m.current.Version, heldExperts: held}
}

func (m *mapModel) poisson(mean float64) uint32 {
	if mean > 20 {
		return uint32(max(0, math.Round(mean+math.Sqrt(mean)*m.rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), uint32(0)
	for p := m.rng.Float64(); p > limit; p *= m.rng.Float64() {
		n++
	}
	return n
}

// run lets the model run for the given time, of which the first warmUp is not counted.
func (m *mapModel) run(duration time.Duration) modelResult {
	const warmUp = 4 * time.Second
	const tick = 10 * time.Millisecond
	ranks := m.shape.Ranks
	period := max(countsPeriod, time.Duration(float64(ranks*(m.shape.Sets*m.shape.Experts+300))/(countsLinkShare*modelLinkBytes)*float64(time.Second)))
	start := time.Unix(1000, 0)
	now := start
	nextShift := now.Add(m.nextShift())
	nextPass, pass := now, time.Duration(0)
	var plannedAt, switchAt, copiesUntil time.Time
	var next *groupmap.Map
	sentAt := make([]time.Time, ranks)
	for r := range sentAt {
		sentAt[r] = now.Add(-period * time.Duration(r) / time.Duration(ranks))
	}
	var late []bool
	copyEach := 0.0
	if m.engine.LinkMbps > 0 {
		copyEach = m.engine.MegabytesEach * 8 / m.engine.LinkMbps
	}
	for ; now.Sub(start) < duration; now = now.Add(tick) {
		if m.shift > 0 && !now.Before(nextShift) {
			m.shiftDemand()
			nextShift = now.Add(m.nextShift())
		}
		if next != nil && !now.Before(switchAt) {
			m.current, next = next, nil
			m.updateLoad()
			plannedAt = now.Add(settlePeriod - planPeriod)
		}
		measured := now.Sub(start) > warmUp
		if !now.Before(nextPass) {
			step := 5.85 + 0.43*min(modelSlots, m.running)
			ms := modelStride * step * (0.15 + 0.85*m.skew)
			if now.Before(copiesUntil) {
				ms *= 1.15
			}
			pass = time.Duration(ms * float64(time.Millisecond))
			nextPass = nextPass.Add(pass)
			if measured {
				late = append(late, pass > modelPassLimit)
				m.result.skew += m.skew * pass.Seconds()
				if pass > modelPassLimit {
					m.result.late += pass.Seconds()
				}
			}
			// Each request ends after its passes, and another one begins.
			for _, topics := range m.requests {
				for i := range topics {
					if m.rng.IntN(modelStreamPass) == 0 {
						topics[i] = m.drawTopic()
					}
				}
			}
			m.updateLoad()
		}
		for r := range ranks {
			if now.Sub(sentAt[r]) >= period {
				sentAt[r] = now
				m.planner.add(m.counts(r, countsPeriod.Seconds()/pass.Seconds(), now), ranks, now, period)
			}
		}
		if next == nil && now.Sub(plannedAt) >= planPeriod && now.Sub(start) > period {
			plannedAt = now
			if planned := m.planner.plan(m, m.requestCount(), pass, now); planned != nil {
				next = planned
				next.Version = m.current.Version + 1
				most := 0
				for r := range ranks {
					n := 0
					for set := range m.shape.Sets {
						for _, e := range next.Experts[set][r] {
							if !slices.Contains(m.current.Experts[set][r], e) {
								n++
							}
						}
					}
					most = max(most, n)
				}
				copying := time.Duration(float64(most) * copyEach * float64(time.Second))
				switchAt = now.Add(100*time.Millisecond + max(100*time.Millisecond, copying))
				copiesUntil = now.Add(copying)
				if measured {
					m.result.copies += float64(next.Copies(m.current))
					m.result.switches++
				}
			}
		}
	}
	seconds := (duration - warmUp).Seconds()
	m.result.late /= seconds
	m.result.skew /= seconds
	m.result.copies /= seconds
	m.result.passes = len(late)
	for i := range late {
		if slices.Contains(late[i:min(len(late), i+modelStreamPass)], true) {
			m.result.streams++
		}
	}
	m.result.streams /= float64(len(late))
	return m.result
}

// nextShift returns the time to the next shift, which varies by a third of the mean.
func (m *mapModel) nextShift() time.Duration {
	return time.Duration((0.67 + 0.66*m.shiftRng.Float64()) * float64(m.shift))
}

// modelEngine returns the experts of a model of a group of the given size.
func modelEngine(ranks int) ingress.Experts {
	switch ranks {
	case 8:
		return ingress.Experts{Sets: 6, PerSet: 64, Places: 11, Spare: 4, MegabytesEach: 150, LinkMbps: 40000}
	case 96:
		return ingress.Experts{Sets: 16, PerSet: 192, Places: 3, Spare: 1, MegabytesEach: 150, LinkMbps: 40000}
	default:
		return ingress.Experts{Sets: 12, PerSet: 128, Places: 5, Spare: 2, MegabytesEach: 150, LinkMbps: 40000}
	}
}

// fixedGainPlanner is the planner that the figures are compared with: it demands a gain for
// each copy that depends on the busy share and the number of ranks, bounds what ranks
// copy on average only, and knows no lifetime.
type fixedGainPlanner struct{ p popularity }

func (o *fixedGainPlanner) add(c rankCounts, ranks int, now time.Time, period time.Duration) {
	o.p.period = period
	o.p.add(c, ranks, now)
}

func (o *fixedGainPlanner) plan(m *mapModel, requests int, _ time.Duration, now time.Time) *groupmap.Map {
	load := o.p.loadBySet(m.current, m.shape, now)
	if load == nil {
		return nil
	}
	return fixedGainPlan(m, cloneLoad(load), requests)
}

// fixedGainPlan plans for the given load with the fixed gain.
func fixedGainPlan(m *mapModel, load [][]float64, requests int) *groupmap.Map {
	ranks := m.shape.Ranks
	busyShare := float64(requests) / float64(modelSlots*ranks)
	gainFactor := min(maxGainFactor, max(minGainFactor, math.Pow(referenceBusyShare/max(busyShare, 0.01), 2)))
	limits := groupmap.Limits{
		TargetSkew: targetSkew, MaxCopies: ranks * max(1, int(0.2/copySeconds(m.engine))),
		MinGainPerCopy: gainFactor * minGainPerGigabyte * m.engine.MegabytesEach / 1000 * referenceRanks / float64(ranks),
	}
	out := groupmap.Plan(m.current, groupmap.Demand{Load: load}, m.shape, limits)
	if out.SkewBefore-out.SkewAfter < minSkewGain {
		return nil
	}
	return out.Map
}

// agentPlanner decides as the agent does.
type agentPlanner struct {
	p popularity
	// presentOnly makes it plan for the present demand only.
	presentOnly bool
}

func (o *agentPlanner) add(c rankCounts, ranks int, now time.Time, period time.Duration) {
	o.p.period = period
	o.p.add(c, ranks, now)
}

func (o *agentPlanner) plan(m *mapModel, requests int, _ time.Duration, now time.Time) *groupmap.Map {
	load := o.p.loadBySet(m.current, m.shape, now)
	if load == nil {
		return nil
	}
	demand := cloneLoad(load)
	if !o.presentOnly {
		demand = o.p.demand(load, m.engine, now)
	}
	l := &leader{engineConfig: &ingress.Engine{Experts: m.engine, Slots: modelSlots}, requestsByRank: map[int]int{0: requests}}
	l.group.Size = m.shape.Ranks
	l.popularity.lifetime = o.p.lifetime
	in := planInput{current: m.current, shape: m.shape, demand: groupmap.Demand{Load: demand}, experts: m.engine, busyShare: l.busyShare(), worth: l.worth(now)}
	out, result := in.improve()
	if result != planStarted {
		return nil
	}
	return out.Map
}

// oraclePlanner knows the demand.
type oraclePlanner struct{}

func (oraclePlanner) add(rankCounts, int, time.Time, time.Duration) {}
func (oraclePlanner) plan(m *mapModel, requests int, _ time.Duration, _ time.Time) *groupmap.Map {
	return fixedGainPlan(m, cloneLoad(m.load), requests)
}

var modelPlanners = map[string]func() modelPlanner{
	"before":  func() modelPlanner { return &fixedGainPlanner{} },
	"after":   func() modelPlanner { return &agentPlanner{} },
	"present": func() modelPlanner { return &agentPlanner{presentOnly: true} },
	"oracle":  func() modelPlanner { return oraclePlanner{} },
}

// modelRun returns the mean result of a planner over several runs of the model.
func modelRun(planner string, ranks int, running float64, shift, duration time.Duration, firstSeed, seeds int) modelResult {
	var out modelResult
	for seed := range seeds {
		m := newMapModel(uint64(firstSeed+seed), modelEngine(ranks), ranks, running, shift)
		m.planner = modelPlanners[planner]()
		r := m.run(duration)
		out.late += r.late / float64(seeds)
		out.streams += r.streams / float64(seeds)
		out.skew += r.skew / float64(seeds)
		out.copies += r.copies / float64(seeds)
		out.switches += r.switches
	}
	return out
}

// Guards against copies that nobody benefits from, and against busy groups whose passes
// become longer because their plans save copies.
func TestPlansAreWorthTheirCopies(t *testing.T) {
	const shift, duration, seeds = 3 * time.Second, 22 * time.Second, 4
	compare := func(running float64) (before, after modelResult) {
		var wg sync.WaitGroup
		wg.Go(func() { before = modelRun("before", 32, running, shift, duration, 0, seeds) })
		wg.Go(func() { after = modelRun("after", 32, running, shift, duration, 0, seeds) })
		wg.Wait()
		t.Logf("%v requests a rank, before: %+v", running, before)
		t.Logf("%v requests a rank, after: %+v", running, after)
		return before, after
	}
	before, after := compare(9)
	assert.Assert(t, after.late <= before.late && after.streams <= before.streams)
	assert.Assert(t, after.copies < 0.75*before.copies)
	before, after = compare(0.1)
	assert.Assert(t, after.copies < 0.25*before.copies)
}

// TestMapFigures prints the figures of docs/design/map-cost.md if BBW_MAP_MODEL lists
// planners, with numbers of ranks, running requests of a rank and seconds between
// shifts, such as "before,after 8,32 0.1,3,9 2,6,30,0". The seconds and the number of runs
// and the first seed may follow, in place of "16 2 0".
func TestMapFigures(t *testing.T) {
	fields := strings.Fields(os.Getenv("BBW_MAP_MODEL"))
	if len(fields) < 4 {
		t.Skip("BBW_MAP_MODEL is not set")
	}
	fields = append(fields, []string{"16", "2", "0"}[min(3, len(fields)-4):]...)
	numbers := func(list string) (out []float64) {
		for s := range strings.SplitSeq(list, ",") {
			x, err := strconv.ParseFloat(s, 64)
			assert.NilError(t, err)
			out = append(out, x)
		}
		return out
	}
	seconds, runs, firstSeed := numbers(fields[4])[0], int(numbers(fields[5])[0]), int(numbers(fields[6])[0])
	for _, ranks := range numbers(fields[1]) {
		for _, running := range numbers(fields[2]) {
			for _, shift := range numbers(fields[3]) {
				names := strings.Split(fields[0], ",")
				results := make([]modelResult, len(names))
				var wg sync.WaitGroup
				for i, name := range names {
					wg.Go(func() {
						results[i] = modelRun(name, int(ranks), running, time.Duration(shift*float64(time.Second)), time.Duration(seconds)*time.Second, firstSeed, runs)
					})
				}
				wg.Wait()
				for i, r := range results {
					t.Logf("| %v | %v | %v | %s | %.3f | %.3f | %.2f | %.1f |", ranks, running, shift, names[i], r.late, r.streams, r.skew, r.copies)
				}
			}
		}
	}
}
