package groupmap

import (
	"cmp"
	"math"
	"slices"
)

// setBalancer improves the map of one set.
type setBalancer struct {
	expertsByRank [][]uint16
	expertLoad    []float64
	// replicas is the number of ranks that hold each expert.
	replicas []int
	// tokenTimes is as in Demand, with 1 for each rank instead of nil.
	tokenTimes []float64
	// rankTime is the time that each rank needs for its load, and balancedTime the
	// time that all of them would need if the load were balanced.
	rankTime          []float64
	balancedTime      float64
	maxExpertsPerRank int
	maxCopiesPerRank  int
	// copiesToRank is the number of experts that this plan copies to each rank.
	copiesToRank []int
	// allCopiesToRank is the same for all sets together; the balancers of a plan share
	// it. maxAllCopiesPerRank bounds it.
	allCopiesToRank     []int
	maxAllCopiesPerRank int
	// ranksByExpert lists the ranks that hold each expert.
	ranksByExpert [][]int
	// ranksByTime lists the ranks by descending rankTime, fourthPowers is the sum of the
	// fourth powers of their times divided by balancedTime, and currentObjective is the
	// objective, all as of the last move that was made.
	ranksByTime      []int
	fourthPowers     float64
	currentObjective float64
	// touched holds the ranks whose load changed since beginTouch, and touchedIn the
	// generation in which that of each rank changed last.
	touched    []touchedRank
	touchedIn  []int
	generation int
	// cachedMove is the result of bestMove. It is valid until the set changes.
	cachedMove *move
}

// touchedRank is a rank whose load has changed, and its time before.
type touchedRank struct {
	rank       int
	timeBefore float64
}

// move gives an expert to toRank. If dropped is not negative, toRank gives up
// that expert. If fromRank is not negative, that rank gives up expert;
// otherwise expert gains a replica. If toRank is negative, fromRank only gives up
// expert, which other ranks hold.
type move struct {
	expert, toRank    int
	dropped, fromRank int
	// returned is the expert that fromRank receives in exchange, or negative.
	returned int
	copies   int
	// gain is the decrease of the objective.
	gain float64
}

// gainPerCopy returns the gain for each expert copied; a move without copies counts
// as one copy.
func (m move) gainPerCopy() float64 { return m.gain / float64(max(1, m.copies)) }

func newSetBalancer(expertsByRank [][]uint16, expertLoad, tokenTimes []float64, s Shape) *setBalancer {
	if tokenTimes == nil {
		tokenTimes = slices.Repeat([]float64{1}, s.Ranks)
	}
	b := &setBalancer{
		expertsByRank:       expertsByRank,
		expertLoad:          expertLoad,
		replicas:            make([]int, s.Experts),
		tokenTimes:          tokenTimes,
		rankTime:            make([]float64, s.Ranks),
		maxExpertsPerRank:   s.MaxExpertsPerRank,
		maxCopiesPerRank:    s.MaxCopiesPerRank,
		copiesToRank:        make([]int, s.Ranks),
		maxAllCopiesPerRank: math.MaxInt,
		allCopiesToRank:     make([]int, s.Ranks),
		ranksByExpert:       make([][]int, s.Experts),
		ranksByTime:         make([]int, s.Ranks),
		touchedIn:           make([]int, s.Ranks),
	}
	for r, experts := range expertsByRank {
		for _, e := range experts {
			b.replicas[e]++
			b.ranksByExpert[e] = append(b.ranksByExpert[e], r)
		}
	}
	for r, experts := range expertsByRank {
		for _, e := range experts {
			b.addLoad(r, expertLoad[e]/float64(b.replicas[e]))
		}
	}
	var total, speed float64
	for _, l := range expertLoad {
		total += l
	}
	for _, t := range tokenTimes {
		speed += 1 / t
	}
	b.balancedTime = total / speed
	for r := range b.ranksByTime {
		b.ranksByTime[r] = r
	}
	b.noteMoved()
	return b
}

// addLoad adds a load, which may be negative, to a rank.
func (b *setBalancer) addLoad(rank int, load float64) {
	if b.touchedIn[rank] != b.generation {
		b.touchedIn[rank] = b.generation
		b.touched = append(b.touched, touchedRank{rank, b.rankTime[rank]})
	}
	b.rankTime[rank] += load * b.tokenTimes[rank]
}

// beginTouch forgets which ranks' loads have changed.
func (b *setBalancer) beginTouch() {
	b.generation++
	b.touched = b.touched[:0]
}

// noteMoved updates what is derived from rankTime.
func (b *setBalancer) noteMoved() {
	slices.SortFunc(b.ranksByTime, func(r, s int) int { return cmp.Compare(b.rankTime[s], b.rankTime[r]) })
	b.fourthPowers = 0
	for _, t := range b.rankTime {
		b.fourthPowers += b.fourthPower(t)
	}
	b.beginTouch()
	b.currentObjective = b.objective()
}

// fourthPower returns the fourth power of a time divided by balancedTime.
func (b *setBalancer) fourthPower(t float64) float64 {
	x := t / b.balancedTime
	return x * x * x * x
}

// skew returns the time of the slowest rank divided by balancedTime.
func (b *setBalancer) skew() float64 {
	if b.balancedTime == 0 {
		return 1
	}
	return slices.Max(b.rankTime) / b.balancedTime
}

// bestMove returns the move with the greatest gain per copy. If no move has a
// gain, the returned move has none either.
func (b *setBalancer) bestMove(targetSkew float64) move {
	if b.cachedMove != nil {
		return *b.cachedMove
	}
	var best move
	b.cachedMove = &best
	if b.skew() <= targetSkew {
		return best
	}
	fromRank := busiestRank(b.rankTime)
	for _, e := range b.expertsByRank[fromRank] {
		if b.replicas[e] > 1 && b.tokenTimes[fromRank] > 1 {
			b.evaluateMove(&best, move{expert: int(e), toRank: -1, dropped: -1, fromRank: fromRank, returned: -1})
		}
		for toRank := range b.rankTime {
			if toRank == fromRank || !b.mayCopyTo(toRank) || slices.Contains(b.expertsByRank[toRank], e) {
				continue
			}
			b.evaluateMoves(&best, fromRank, int(e), toRank)
		}
	}
	return best
}

// mayCopyTo reports whether the limits let this plan copy another expert to a rank.
func (b *setBalancer) mayCopyTo(rank int) bool {
	return b.copiesToRank[rank] < b.maxCopiesPerRank && b.allCopiesToRank[rank] < b.maxAllCopiesPerRank
}

// dropCachedMoveIfBarred discards the cached move if a move of another set has used up
// what may be copied to its ranks.
func (b *setBalancer) dropCachedMoveIfBarred() {
	m := b.cachedMove
	if m == nil || m.copies == 0 {
		return
	}
	if !b.mayCopyTo(m.toRank) || m.returned >= 0 && !b.mayCopyTo(m.fromRank) {
		b.cachedMove = nil
	}
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
		case b.mayCopyTo(fromRank) && !slices.Contains(b.expertsByRank[fromRank], d):
			b.evaluateMove(best, move{expert: e, toRank: toRank, dropped: int(d), fromRank: fromRank, returned: int(d), copies: 2})
		}
	}
}

// evaluateMove replaces best by m if m has the greater gain per copy. The gain
// is measured on the objective rather than on the skew, so that a move also
// gains if it relieves the busiest rank and leaves another rank as busy.
func (b *setBalancer) evaluateMove(best *move, m move) {
	b.beginTouch()
	savedReplicas := [2]int{b.replicas[m.expert], 0}
	if m.dropped >= 0 {
		savedReplicas[1] = b.replicas[m.dropped]
	}
	b.shiftLoad(m)
	m.gain = b.currentObjective - b.objective()
	for _, t := range b.touched {
		b.rankTime[t.rank] = t.timeBefore
	}
	b.replicas[m.expert] = savedReplicas[0]
	if m.dropped >= 0 {
		b.replicas[m.dropped] = savedReplicas[1]
	}
	if m.gainPerCopy() > best.gainPerCopy() {
		*best = m
	}
}

// objective returns the value that the search minimises: a weighted sum of the
// greatest time of a rank and the fourth root of the mean fourth power of the times
// of the ranks, both divided by balancedTime. It looks only at the touched ranks and the
// busiest of the others: a plan for 96 ranks evaluates a hundred thousand moves, on a small
// share of a core.
func (b *setBalancer) objective() float64 {
	sum, longest := b.fourthPowers, 0.0
	for _, t := range b.touched {
		now := b.rankTime[t.rank]
		sum += b.fourthPower(now) - b.fourthPower(t.timeBefore)
		longest = max(longest, now)
	}
	for _, r := range b.ranksByTime {
		if b.touchedIn[r] != b.generation {
			longest = max(longest, b.rankTime[r])
			break
		}
	}
	const longestWeight = 0.7
	norm := math.Sqrt(math.Sqrt(max(0, sum) / float64(len(b.rankTime))))
	return longestWeight*longest/b.balancedTime + (1-longestWeight)*norm
}

// shiftLoad updates rankTime and replicas for m.
func (b *setBalancer) shiftLoad(m move) {
	if m.toRank < 0 {
		b.changeReplicas(m.expert, -1, m.fromRank, -1)
		return
	}
	if m.dropped >= 0 {
		if m.returned >= 0 {
			b.addLoad(m.toRank, -b.expertLoad[m.dropped])
			b.addLoad(m.fromRank, b.expertLoad[m.dropped])
		} else {
			b.changeReplicas(m.dropped, -1, m.toRank, -1)
		}
	}
	if m.fromRank >= 0 {
		share := b.expertLoad[m.expert] / float64(b.replicas[m.expert])
		b.addLoad(m.fromRank, -share)
		b.addLoad(m.toRank, share)
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
			b.addLoad(r, -loadBefore)
			continue
		}
		b.addLoad(r, loadAfter-loadBefore)
	}
	if addedRank >= 0 {
		b.addLoad(addedRank, loadAfter)
	}
}

// apply makes the move m.
func (b *setBalancer) apply(m move) {
	b.shiftLoad(m)
	b.noteMoved()
	b.cachedMove = nil
	if m.toRank < 0 {
		b.removeExpert(m.expert, m.fromRank)
		return
	}
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
}

// addExpert adds an expert to a rank.
func (b *setBalancer) addExpert(e, rank int) {
	b.expertsByRank[rank] = append(b.expertsByRank[rank], uint16(e))
	b.ranksByExpert[e] = append(b.ranksByExpert[e], rank)
	b.copiesToRank[rank]++
	b.allCopiesToRank[rank]++
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

func busiestRank(times []float64) int {
	busiest := 0
	for r, t := range times {
		if t > times[busiest] {
			busiest = r
		}
	}
	return busiest
}
