package groupmap

import (
	"math"
	"slices"
)

// Limits bound one plan.
type Limits struct {
	// TargetSkew is the skew of a set, see Skew, at or below which it needs no
	// further move.
	TargetSkew float64
	// MaxCopies is the greatest number of experts that a plan may copy.
	MaxCopies int
	// MinGainPerCopy is the least gain that justifies copying one expert. A gain
	// is the decrease of the skew of one set, as measured by the objective of the
	// search; it is not divided by the number of sets.
	MinGainPerCopy float64
}

// PlanResult is a new map and its expected effect.
type PlanResult struct {
	Map *Map
	// SkewBefore and SkewAfter are the skew of the old and the new map, see Skew.
	SkewBefore, SkewAfter float64
	Copies                int
}

// Skew returns the load of the busiest rank divided by the mean load of the
// ranks, averaged over the sets. It is 1 if the load is balanced or zero. load
// holds the load of each expert in any unit, indexed by set and expert.
func Skew(m *Map, load [][]float64, s Shape) float64 {
	sum := 0.0
	for i := range s.Sets {
		sum += newSetBalancer(m.Experts[i], load[i], s).skew() / float64(s.Sets)
	}
	return sum
}

// Plan returns an improved map for the given load, see Skew. current must be
// valid for s; the version of the new map is that of current. Plan is a greedy
// search: each step makes the move that lowers the objective of its set most for
// each expert copied.
func Plan(current *Map, load [][]float64, s Shape, l Limits) PlanResult {
	out := PlanResult{Map: current.Clone()}
	balancers := make([]*setBalancer, s.Sets)
	for i := range balancers {
		balancers[i] = newSetBalancer(out.Map.Experts[i], load[i], s)
		out.SkewBefore += balancers[i].skew() / float64(s.Sets)
	}
	for copies := 0; copies < l.MaxCopies; {
		best, bestSet := move{}, -1
		for i, b := range balancers {
			if m := b.bestMove(l.TargetSkew); m.copies > 0 && m.gainPerCopy() > best.gainPerCopy() {
				best, bestSet = m, i
			}
		}
		if bestSet < 0 || best.gainPerCopy() < l.MinGainPerCopy || copies+best.copies > l.MaxCopies {
			break
		}
		balancers[bestSet].apply(best)
		copies += best.copies
	}
	for i, b := range balancers {
		out.Map.Experts[i] = b.expertsByRank
		out.SkewAfter += b.skew() / float64(s.Sets)
	}
	out.Copies = out.Map.Copies(current)
	return out
}

// setBalancer improves the map of one set.
type setBalancer struct {
	expertsByRank [][]uint16
	expertLoad    []float64
	// replicas is the number of ranks that hold each expert.
	replicas          []int
	rankLoad          []float64
	meanRankLoad      float64
	maxExpertsPerRank int
	maxCopiesPerRank  int
	// copiesToRank is the number of experts that this plan copies to each rank.
	copiesToRank []int
	// ranksByExpert lists the ranks that hold each expert.
	ranksByExpert [][]int
	// savedRankLoad is a buffer in which evaluateMove keeps rankLoad.
	savedRankLoad []float64
	// cachedMove is the result of bestMove. It is valid until the set changes.
	cachedMove *move
}

// move gives an expert to toRank. If dropped is not negative, toRank gives up
// that expert. If fromRank is not negative, that rank gives up expert;
// otherwise expert gains a replica.
type move struct {
	expert, toRank    int
	dropped, fromRank int
	// returned is the expert that fromRank receives in exchange, or negative.
	returned int
	copies   int
	// gain is the decrease of the objective.
	gain float64
}

// gainPerCopy returns the gain for each expert copied.
func (m move) gainPerCopy() float64 {
	if m.copies == 0 {
		return 0
	}
	return m.gain / float64(m.copies)
}

func newSetBalancer(expertsByRank [][]uint16, expertLoad []float64, s Shape) *setBalancer {
	b := &setBalancer{
		expertsByRank:     expertsByRank,
		expertLoad:        expertLoad,
		replicas:          make([]int, s.Experts),
		rankLoad:          make([]float64, s.Ranks),
		maxExpertsPerRank: s.MaxExpertsPerRank,
		maxCopiesPerRank:  s.MaxCopiesPerRank,
		copiesToRank:      make([]int, s.Ranks),
		ranksByExpert:     make([][]int, s.Experts),
		savedRankLoad:     make([]float64, s.Ranks),
	}
	for r, experts := range expertsByRank {
		for _, e := range experts {
			b.replicas[e]++
			b.ranksByExpert[e] = append(b.ranksByExpert[e], r)
		}
	}
	for r, experts := range expertsByRank {
		for _, e := range experts {
			b.rankLoad[r] += expertLoad[e] / float64(b.replicas[e])
		}
	}
	for _, l := range b.rankLoad {
		b.meanRankLoad += l / float64(s.Ranks)
	}
	return b
}

// skew returns the load of the busiest rank divided by the mean load.
func (b *setBalancer) skew() float64 {
	if b.meanRankLoad == 0 {
		return 1
	}
	return slices.Max(b.rankLoad) / b.meanRankLoad
}

// bestMove returns the move with the greatest gain per copy. If no move has a
// gain, the returned move has no copies.
func (b *setBalancer) bestMove(targetSkew float64) move {
	if b.cachedMove != nil {
		return *b.cachedMove
	}
	var best move
	b.cachedMove = &best
	if b.skew() <= targetSkew {
		return best
	}
	fromRank := busiestRank(b.rankLoad)
	for _, e := range b.expertsByRank[fromRank] {
		for toRank := range b.rankLoad {
			if toRank == fromRank || b.copiesToRank[toRank] >= b.maxCopiesPerRank || slices.Contains(b.expertsByRank[toRank], e) {
				continue
			}
			b.evaluateMoves(&best, fromRank, int(e), toRank)
		}
	}
	return best
}

// evaluateMoves evaluates every way to give expert e, which fromRank holds, to
// toRank.
func (b *setBalancer) evaluateMoves(best *move, fromRank, e, toRank int) {
	if len(b.expertsByRank[toRank]) < b.maxExpertsPerRank {
		b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: -1, fromRank: -1, returned: -1, copies: 1})
		if b.replicas[e] == 1 {
			b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: -1, fromRank: fromRank, returned: -1, copies: 1})
		}
		return
	}
	for _, d := range b.expertsByRank[toRank] {
		switch {
		case b.replicas[d] > 1:
			b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: int(d), fromRank: -1, returned: -1, copies: 1})
			b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: int(d), fromRank: fromRank, returned: -1, copies: 1})
		case b.copiesToRank[fromRank] < b.maxCopiesPerRank && !slices.Contains(b.expertsByRank[fromRank], d):
			b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: int(d), fromRank: fromRank, returned: int(d), copies: 2})
		}
	}
}

// evaluateMove replaces best by m if m has the greater gain per copy. The gain
// is measured on the objective rather than on the skew, so that a move also
// gains if it relieves the busiest rank and leaves another rank as busy.
func (b *setBalancer) evaluateMove(best *move, m move) {
	before := b.objective()
	copy(b.savedRankLoad, b.rankLoad)
	savedReplicas := [2]int{b.replicas[m.expert], 0}
	if m.dropped >= 0 {
		savedReplicas[1] = b.replicas[m.dropped]
	}
	b.shiftLoad(m)
	m.gain = before - b.objective()
	copy(b.rankLoad, b.savedRankLoad)
	b.replicas[m.expert] = savedReplicas[0]
	if m.dropped >= 0 {
		b.replicas[m.dropped] = savedReplicas[1]
	}
	if m.gainPerCopy() > best.gainPerCopy() {
		*best = m
	}
}

// objective returns the value that the search minimises: a weighted sum of the
// greatest rank load and the fourth root of the mean fourth power of the rank
// loads, both divided by the mean load.
func (b *setBalancer) objective() float64 {
	var sum, maxLoad float64
	for _, l := range b.rankLoad {
		x := l / b.meanRankLoad
		sum += x * x * x * x
		maxLoad = max(maxLoad, x)
	}
	const maxLoadWeight = 0.7
	return maxLoadWeight*maxLoad + (1-maxLoadWeight)*math.Sqrt(math.Sqrt(sum/float64(len(b.rankLoad))))
}

// shiftLoad updates rankLoad and replicas for m.
func (b *setBalancer) shiftLoad(m move) {
	if m.dropped >= 0 {
		if m.returned >= 0 {
			b.rankLoad[m.toRank] -= b.expertLoad[m.dropped]
			b.rankLoad[m.fromRank] += b.expertLoad[m.dropped]
		} else {
			b.changeReplicas(m.dropped, -1, m.toRank, -1)
		}
	}
	if m.fromRank >= 0 {
		share := b.expertLoad[m.expert] / float64(b.replicas[m.expert])
		b.rankLoad[m.fromRank] -= share
		b.rankLoad[m.toRank] += share
		return
	}
	b.changeReplicas(m.expert, m.toRank, -1, 1)
}

// changeReplicas adds delta to the number of replicas of expert e and updates
// the load of its ranks. addedRank gains a replica and removedRank loses one; a
// negative rank means none.
func (b *setBalancer) changeReplicas(e, addedRank, removedRank, delta int) {
	loadBefore := b.expertLoad[e] / float64(b.replicas[e])
	b.replicas[e] += delta
	loadAfter := b.expertLoad[e] / float64(b.replicas[e])
	for _, r := range b.ranksByExpert[e] {
		if r == removedRank {
			b.rankLoad[r] -= loadBefore
			continue
		}
		b.rankLoad[r] += loadAfter - loadBefore
	}
	if addedRank >= 0 {
		b.rankLoad[addedRank] += loadAfter
	}
}

// apply makes the move m.
func (b *setBalancer) apply(m move) {
	b.shiftLoad(m)
	if m.dropped >= 0 {
		b.removeExpert(m.dropped, m.toRank)
	}
	if m.fromRank >= 0 {
		b.removeExpert(m.expert, m.fromRank)
	}
	if m.returned >= 0 {
		b.addExpert(m.returned, m.fromRank)
	}
	b.addExpert(m.expert, m.toRank)
	b.cachedMove = nil
}

// addExpert adds an expert to a rank.
func (b *setBalancer) addExpert(e, rank int) {
	b.expertsByRank[rank] = append(b.expertsByRank[rank], uint16(e))
	b.ranksByExpert[e] = append(b.ranksByExpert[e], rank)
	b.copiesToRank[rank]++
}

// removeExpert removes an expert from a rank.
func (b *setBalancer) removeExpert(e, rank int) {
	if i := slices.Index(b.expertsByRank[rank], uint16(e)); i >= 0 {
		b.expertsByRank[rank] = slices.Delete(b.expertsByRank[rank], i, i+1)
	}
	if i := slices.Index(b.ranksByExpert[e], rank); i >= 0 {
		b.ranksByExpert[e] = slices.Delete(b.ranksByExpert[e], i, i+1)
	}
}

func busiestRank(load []float64) int {
	busiest := 0
	for r, l := range load {
		if l > load[busiest] {
			busiest = r
		}
	}
	return busiest
}
