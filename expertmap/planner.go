package expertmap

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minShareGain is the smallest decrease of the imbalance, in units of the mean
// rank time, for which a layer's shares are changed when it moves no expert.
const minShareGain = 0.01

// Plan is the result of planning.
type Plan struct {
	// Map is the next map. It is PlanInput.Current itself when nothing changes.
	Map *Map
	// Moves are the experts to load before the switch to the new map, in order
	// of layers.
	Moves []Move
	// Bytes is the volume that the moves read from the weight store.
	Bytes int64
	// RepairMoves counts the moves that place lost experts: those without a replica
	// on any live rank.
	RepairMoves int
	// DeferredMoves counts the proposed moves that exceeded the move budget.
	DeferredMoves int
	// LayersChanged counts the layers in which a slot's expert or share differs
	// from the current map.
	LayersChanged int
	// SlotsChanged counts the slots whose expert or share differs. It
	// determines the size of the message that announces the map.
	SlotsChanged int
	// SkewBefore and SkewAfter are the expected skews of a step under the current
	// and the next map. For a new group, both are that of
	// the next map.
	SkewBefore, SkewAfter Skew
}

// Changed reports whether the plan has a new map to switch to.
func (p *Plan) Changed() bool { return p.LayersChanged > 0 }

// Planner plans maps. It keeps only reusable buffers between plans, so a plan
// depends on the input alone. The zero value is ready to use. A Planner is not
// safe for concurrent use.
type Planner struct {
	search     searcher
	layers     []layerPlan
	packed     layerState
	emptySlots []Slot
	moveBudget int // moves that fit in one interval
	rankTimes  []float64
	shares     []float64
	// noHysteresis disables the protection against alternating popularity and
	// estimation noise, for tests.
	noHysteresis bool
	// noRepair disables the placement of lost experts, for tests.
	noRepair bool
}

// layerPlan holds the proposed moves of one layer.
type layerPlan struct {
	layer    int
	repairs  []slotChange // placements of lost experts, made regardless of cost
	moves    []slotChange // made if they fit the budget
	value    float64      // net value of moves, see netValue
	accepted bool
}

// Plan returns the next map. A new group gets a packed map. An expert without a
// replica on a live rank is placed in any case, and empty slots are filled as
// far as the move budget allows. Other moves are made if the step time that
// they save, over the time for which the popularity is expected to be stable,
// outweighs the weight store time and the disturbance of steps, and if they fit
// the move budget of one interval. Layers with the highest value per move take
// precedence. Shares are recomputed in layers that move experts, that lost a
// replica, or in which new shares reduce the imbalance by more than both
// minShareGain and the estimation noise.
//
// Errors wrap ErrInvalidPlanInput or are ErrTooFewSlots; the current map then
// stays in use.
func (p *Planner) Plan(v PlanInput) (Plan, error) {
	if v.Current == nil {
		return p.planNewGroup(v)
	}
	if err := v.Validate(); err != nil {
		return Plan{}, err
	}
	if v.usableSlots() < v.Experts {
		return Plan{}, ErrTooFewSlots
	}
	next := v.Current.Clone()
	dropLost(&v, next)
	p.layers = p.layers[:0]
	p.moveBudget = v.moveBudget()
	for l := range v.Layers {
		p.layers = append(p.layers, p.planLayer(&v, next, l))
	}
	plan := Plan{Map: next}
	p.allocateBudget(&plan)
	for i := range p.layers {
		p.applyLayer(&v, &plan, &p.layers[i])
	}
	p.summarize(&v, &plan)
	return plan, nil
}

// planNewGroup packs a map for a group that has none.
func (p *Planner) planNewGroup(v PlanInput) (Plan, error) {
	packed, err := Pack(v)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Map: packed, LayersChanged: v.Layers, SlotsChanged: len(packed.Cells)}
	for l := range v.Layers {
		for i, c := range packed.Layer(l) {
			if c.Expert != NoExpert {
				plan.Moves = append(plan.Moves, Move{l, i / packed.Slots, i % packed.Slots, c.Expert, NoExpert})
			}
		}
	}
	plan.Bytes = int64(len(plan.Moves)) * v.Costs.BytesPerExpert
	plan.SkewAfter = p.expectedSkew(&v, packed)
	plan.SkewBefore = plan.SkewAfter
	return plan, nil
}

// planLayer proposes the moves of one layer. It does not change the map.
func (p *Planner) planLayer(v *PlanInput, next *Map, layer int) layerPlan {
	s := &p.search
	popularity := &v.Popularity[layer]
	if s.layerState == nil {
		s.layerState = &layerState{}
	}
	s.popularity = popularity
	s.reset(v, next.Layer(layer), popularity.Share)
	plan := layerPlan{layer: layer}
	if !p.noRepair {
		plan.repairs = s.placeLostExperts()
	}
	s.balance()
	s.setPeakLoads(v)
	if popularity.Alternates && !p.noHysteresis {
		s.usePeakLoads()
	}
	limit := min(maxMovesPerLayer, p.moveBudget)
	fillMoves := s.fillEmptySlots(limit)
	if len(fillMoves) > 0 {
		s.balance()
	}
	limit -= len(fillMoves)
	if limit < 1 || !p.worthSearching(v) {
		plan.moves = fillMoves
		return plan
	}
	moves, steps := s.findMoves(limit)
	n, value := p.bestPrefix(v, steps, limit)
	plan.moves = append(fillMoves, moves[:n]...)
	plan.value = value
	if len(plan.repairs) == 0 && s.imbalance() > repackThreshold {
		p.considerRepack(v, next.Layer(layer), steps[0].imbalance, &plan)
	}
	return plan
}

// considerRepack replaces a layer's moves by those of packing the layer from
// scratch if these have the higher net value. The same limits on noise and cost
// apply.
func (p *Planner) considerRepack(v *PlanInput, cells []Slot, imbalanceBefore float64, plan *layerPlan) {
	changes, imbalanceAfter := p.repackLayer(v, cells, p.search.popularity.Share)
	if imbalanceBefore-imbalanceAfter <= p.estimationNoise() || len(changes) > p.moveBudget {
		return
	}
	stableSeconds := math.Inf(1)
	for _, c := range changes {
		stableSeconds = min(stableSeconds, p.search.stableSeconds(c.expert))
	}
	if value := p.netValue(v, imbalanceBefore-imbalanceAfter, stableSeconds, len(changes)); value > plan.value {
		plan.moves, plan.value = changes, value
	}
}

// setPeakLoads computes the load of each expert at its recent popularity peak,
// in the same scale as expertLoads.
func (s *searcher) setPeakLoads(v *PlanInput) {
	s.peakLoads = resize(s.peakLoads, v.Experts)
	copy(s.peakLoads, s.expertLoads)
	for e := range s.popularity.Share {
		if s.popularity.Share[e] > 0 {
			s.peakLoads[e] = s.expertLoads[e] * float64(s.popularity.Peak[e]/s.popularity.Share[e])
		}
	}
}

// usePeakLoads replaces the expert loads by the recent peaks, scaled to the
// same total. When the popularity alternates between patterns, the peaks remain
// constant. The placement therefore converges to one with enough replicas for
// each pattern, and only the shares follow the alternation.
func (s *searcher) usePeakLoads() {
	var loads, peaks float64
	for e := range s.expertLoads {
		loads += s.expertLoads[e]
		peaks += s.peakLoads[e]
	}
	for e := range s.expertLoads {
		s.expertLoads[e] = s.peakLoads[e] * loads / peaks
	}
	copy(s.peakLoads, s.expertLoads)
	s.balance()
}

// worthSearching reports whether removing the whole imbalance of the layer would
// outweigh the cost of a single move. If not, the search is skipped.
func (p *Planner) worthSearching(v *PlanInput) bool {
	s := &p.search
	imbalance := s.imbalance()
	if len(s.popularity.Share) == 0 || imbalance <= targetImbalance {
		return false
	}
	if imbalance <= p.estimationNoise() {
		return false
	}
	stableSeconds := 0.0
	for _, seconds := range s.popularity.StableSeconds {
		stableSeconds = max(stableSeconds, float64(seconds))
	}
	return p.netValue(v, imbalance, stableSeconds, 1) > 0
}

// netValue returns the net value of a number of moves in weighted seconds of
// group time: the step time saved by decreasing the imbalance of one layer by
// gain for stableSeconds, minus the cost of loading the experts.
func (p *Planner) netValue(v *PlanInput, gain, stableSeconds float64, moves int) float64 {
	storeSeconds := float64(v.Costs.BytesPerExpert) / float64(v.Costs.StoreBytesPerSecond)
	cost := float64(moves) * (storeSeconds + v.Costs.StepDisturbance.Seconds())
	return v.Weights.Skew*gain/float64(v.Layers)*stableSeconds - v.Weights.Cost*cost
}

// bestPrefix returns the number of moves, at most limit, after which the net
// value is greatest, and that value. Gains within the estimation noise are
// ignored. If no value is positive, it returns zeros.
func (p *Planner) bestPrefix(v *PlanInput, steps []searchStep, limit int) (moves int, value float64) {
	noise := p.estimationNoise()
	for _, step := range steps[1:] {
		gain := steps[0].imbalance - step.imbalance
		if gain <= noise || step.moves > limit {
			continue
		}
		if net := p.netValue(v, gain, step.stableSeconds, step.moves); net > value {
			moves, value = step.moves, net
		}
	}
	return moves, value
}

// estimationNoise returns the distance of the greatest rank time from the mean
// that errors of the popularity estimate alone are expected to cause. It takes
// the standard error of the slowest rank's time and multiplies it by the
// approximate expected maximum of one standard normal variable per rank.
func (p *Planner) estimationNoise() float64 {
	s := &p.search
	if p.noHysteresis || len(s.popularity.Share) == 0 {
		return 0
	}
	rank, _ := s.slowestRank()
	var variance float64
	for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
		e := s.slotExperts[i]
		if e == NoExpert || s.popularity.Share[e] <= 0 {
			continue
		}
		err := s.slotLoads[i] * float64(s.popularity.StdErr[e]/s.popularity.Share[e])
		variance += err * err
	}
	maxZ := math.Sqrt(2 * math.Log(float64(len(s.ranks)+1)))
	return maxZ * math.Sqrt(variance) / s.ranks[rank].Speed
}

// allocateBudget goes through the layers in descending order of value per move
// and accepts all moves of a layer if they fit the rest of the move budget, or
// defers all of them. Placements of lost experts are deducted first and may
// exceed the budget.
func (p *Planner) allocateBudget(plan *Plan) {
	budget := p.moveBudget
	order := make([]int, 0, len(p.layers))
	for i := range p.layers {
		budget -= len(p.layers[i].repairs)
		plan.RepairMoves += len(p.layers[i].repairs)
		if len(p.layers[i].moves) > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.layers[b].valuePerMove(), p.layers[a].valuePerMove())
	})
	for _, i := range order {
		n := len(p.layers[i].moves)
		if n > budget {
			plan.DeferredMoves += n
			continue
		}
		budget -= n
		p.layers[i].accepted = true
	}
}

func (l *layerPlan) valuePerMove() float64 { return l.value / float64(len(l.moves)) }

// applyLayer applies the accepted moves of a layer to the planned map and
// updates its shares.
func (p *Planner) applyLayer(v *PlanInput, plan *Plan, proposal *layerPlan) {
	s := &p.search
	cells := plan.Map.Layer(proposal.layer)
	s.reset(v, cells, v.Popularity[proposal.layer].Share)
	moves := proposal.repairs
	if proposal.accepted {
		moves = append(moves, proposal.moves...)
	}
	for _, c := range moves {
		old := s.replaceExpert(c.slot, c.expert)
		plan.Moves = append(plan.Moves, Move{proposal.layer, int(c.slot) / v.Slots, int(c.slot) % v.Slots, c.expert, old})
	}
	s.popularity = &v.Popularity[proposal.layer]
	before := s.imbalance()
	s.balance()
	gain := before - s.imbalance()
	known := len(s.popularity.Share) > 0
	if len(moves) > 0 || (known && gain > max(minShareGain, p.estimationNoise())) || sharesIncomplete(v, cells, s.replicaSlots) {
		s.writeSlots(cells)
	}
}

// sharesIncomplete reports whether the shares of an expert no longer sum to
// ShareUnit, because a replica was lost with its rank.
func sharesIncomplete(v *PlanInput, cells []Slot, replicaSlots [][]int32) bool {
	for _, slots := range replicaSlots[:v.Experts] {
		sum := 0
		for _, slot := range slots {
			sum += int(cells[slot].Share)
		}
		if sum != ShareUnit {
			return true
		}
	}
	return false
}

// summarize sets the counts and skews of a plan, and the ID of its map if it
// changed.
func (p *Planner) summarize(v *PlanInput, plan *Plan) {
	for l := range v.Layers {
		changed := 0
		for i, c := range plan.Map.Layer(l) {
			if c != v.Current.Layer(l)[i] {
				changed++
			}
		}
		plan.SlotsChanged += changed
		if changed > 0 {
			plan.LayersChanged++
		}
	}
	plan.Bytes = int64(len(plan.Moves)) * v.Costs.BytesPerExpert
	plan.SkewBefore = p.expectedSkew(v, v.Current)
	if plan.LayersChanged == 0 {
		plan.Map, plan.SkewAfter = v.Current, plan.SkewBefore
		return
	}
	plan.Map.ID = v.Current.ID + 1
	plan.SkewAfter = p.expectedSkew(v, plan.Map)
}

// expectedSkew returns the skew of a step with map m under the popularity in
// the input. Unknown popularity is taken as uniform.
func (p *Planner) expectedSkew(v *PlanInput, m *Map) Skew {
	p.rankTimes = resize(p.rankTimes, len(v.Ranks))
	p.shares = resize(p.shares, v.Experts)
	layers := make([]Skew, v.Layers)
	for l := range v.Layers {
		for e := range p.shares {
			p.shares[e] = 1
			if share := v.Popularity[l].Share; len(share) > 0 {
				p.shares[e] = float64(share[e])
			}
		}
		layers[l] = layerSkew(m, l, p.shares, v.Ranks, p.rankTimes)
	}
	return StepSkew(layers)
}

// LoadTime returns the time that loading the plan's moves from the weight store
// takes.
func (p *Plan) LoadTime(c MoveCosts) time.Duration {
	return time.Duration(float64(p.Bytes) / float64(c.StoreBytesPerSecond) * float64(time.Second))
}
