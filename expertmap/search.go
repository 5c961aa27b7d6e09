package expertmap

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the search in one layer.
const (
	// maxMovesPerLayer is the maximum number of moves of one layer in one plan.
	maxMovesPerLayer = 24
	// maxTargetRanks is the number of fastest ranks that are first tried as
	// targets. It also limits the number of slowest ranks tried as sources.
	maxTargetRanks = 32
	// targetImbalance is the imbalance at which the search stops. Load is moved
	// only between ranks whose times differ by more than this.
	targetImbalance = 0.01
	// hostPenalty is added to a candidate's score, in units of the potential,
	// for each replica on the same host as another replica of that expert.
	hostPenalty = 0.01
	// maxCandidates is the number of best-scored candidates of one kind that are
	// evaluated with full balancing.
	maxCandidates = 3
	// minPotentialGain is the smallest decrease of the potential that counts as
	// an improvement.
	minPotentialGain = 1e-6
	// maxPeakPerReplica is the greatest load per remaining replica, at the
	// recent peak of the expert and in units of the mean rank time, with which
	// a guarded overwrite may evict a replica. Guarded overwrites keep enough
	// replicas for recent peaks; they are tried before the other candidates.
	maxPeakPerReplica = 1.1
)

// Move loads the weights of an expert into a slot, where they replace those of
// the previous expert.
type Move struct {
	Layer, Rank, Slot int
	// Expert is loaded. Replaced is the previous expert, or NoExpert if the
	// slot was empty.
	Expert, Replaced uint16
}

// slotChange is a move in a layerState: the slot gets the expert.
type slotChange struct {
	slot   int32
	expert uint16
}

// candidate is a possible step of the search: an overwrite of one slot, or of
// two slots for a swap of experts between two ranks.
type candidate struct {
	changes     [2]slotChange
	changeCount int
	score       float64 // potential after the changes plus host penalties, lower is better
}

// searcher searches for moves that reduce the imbalance of one layer.
type searcher struct {
	*layerState
	popularity  *LayerPopularity
	peakLoads   []float64 // load of each expert at its recent peak, scaled like expertLoads
	ranksByTime []int     // live ranks in ascending order of rank time
	// candidates holds the best candidates of one kind in ascending order of
	// score. savedLoads holds the slot loads before a candidate was applied.
	candidates []candidate
	savedLoads []float64
}

// searchStep describes a layer after a number of moves.
type searchStep struct {
	// imbalance of the layer, see layerState.imbalance.
	imbalance float64
	// stableSeconds is the shortest time for which the popularity of a moved
	// expert is expected to be stable.
	stableSeconds float64
	// moves is the number of slots changed so far.
	moves int
}

// findMoves runs a greedy search and returns the moves, and the layer after
// each applied candidate; steps[0] describes the layer before any move. The
// layer must be balanced. The search stops at limit moves, which the last swap
// can exceed by one.
func (s *searcher) findMoves(limit int) (moves []slotChange, steps []searchStep) {
	stableSeconds := math.Inf(1)
	steps = append(steps, searchStep{imbalance: s.imbalance(), stableSeconds: stableSeconds})
	for len(moves) < limit && s.imbalance() > targetImbalance {
		applied, ok := s.applyImprovement()
		if !ok {
			break
		}
		for _, c := range applied.changes[:applied.changeCount] {
			moves = append(moves, c)
			stableSeconds = min(stableSeconds, s.stableSeconds(c.expert))
		}
		steps = append(steps, searchStep{s.imbalance(), stableSeconds, len(moves)})
	}
	return moves, steps
}

// stableSeconds returns the time for which the popularity of an expert is
// expected to be stable, or 0 if it is unknown.
func (s *searcher) stableSeconds(expert uint16) float64 {
	if len(s.popularity.StableSeconds) == 0 {
		return 0
	}
	return float64(s.popularity.StableSeconds[expert])
}

// applyImprovement applies the first candidate that improves the layer. If the
// fastest rank is further from the mean than the slowest, it first tries to
// move load to the fastest rank from the slowest ones. Otherwise, or without
// success, it tries to move load from the slowest rank, first to the fastest
// ranks and then to any rank.
func (s *searcher) applyImprovement() (candidate, bool) {
	s.sortRanksByTime()
	n := len(s.ranksByTime)
	slowest, fastest := s.ranksByTime[n-1], s.ranksByTime[0]
	sources, targets := []int{slowest}, s.ranksByTime[:min(maxTargetRanks, n)]
	if 1-s.rankTime(fastest) > s.rankTime(slowest)-1 {
		if applied, ok := s.shiftLoad(s.ranksByTime[max(0, n-maxTargetRanks):], s.ranksByTime[:1]); ok {
			return applied, true
		}
	}
	if applied, ok := s.shiftLoad(sources, targets); ok {
		return applied, true
	}
	return s.shiftLoad(sources, s.ranksByTime)
}

// shiftLoad applies the first candidate that moves load from a source to a
// target rank and improves the layer. It tries overwrites that keep enough
// replicas for recent peaks first, then swaps, which evict no replica, then all
// overwrites.
func (s *searcher) shiftLoad(sources, targets []int) (candidate, bool) {
	for _, generate := range []func(sources, targets int){s.tryGuardedOverwrites, s.trySwaps, s.tryAllOverwrites} {
		s.candidates = s.candidates[:0]
		for _, target := range targets {
			for _, source := range sources {
				if s.rankTime(target) < s.rankTime(source)-targetImbalance {
					generate(source, target)
				}
			}
		}
		for _, c := range s.candidates {
			if s.applyIfBetter(c) {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// applyIfBetter applies a candidate and balances the layer. It reverts both
// unless the potential falls by more than minPotentialGain or the imbalance by
// more than targetImbalance. The score of a candidate is only good enough to
// rank candidates: it moves the load of an evicted replica to the other
// replicas of the same expert only, while full balancing also shifts the load
// of other experts away from their ranks.
func (s *searcher) applyIfBetter(proposed candidate) bool {
	potentialBefore, imbalanceBefore := s.potential, s.imbalance()
	s.savedLoads = append(s.savedLoads[:0], s.slotLoads...)
	var old [2]uint16
	s.fillClock++
	for i, c := range proposed.changes[:proposed.changeCount] {
		old[i] = s.replaceExpert(c.slot, c.expert)
	}
	for i, c := range proposed.changes[:proposed.changeCount] {
		s.waterFill(c.expert)
		if old[i] != NoExpert && len(s.replicaSlots[old[i]]) > 0 {
			s.waterFill(old[i])
		}
	}
	s.rebalanceStale()
	if s.potential < potentialBefore-minPotentialGain || s.imbalance() < imbalanceBefore-targetImbalance {
		return true
	}
	for i := proposed.changeCount - 1; i >= 0; i-- {
		s.restoreExpert(proposed.changes[i].slot, old[i])
	}
	copy(s.slotLoads, s.savedLoads)
	s.sumRankLoads()
	return false
}

// keepBest adds a candidate to the list if it is among the maxCandidates best.
func (s *searcher) keepBest(c candidate) {
	i := len(s.candidates)
	for i > 0 && s.candidates[i-1].score > c.score {
		i--
	}
	if i >= maxCandidates {
		return
	}
	s.candidates = slices.Insert(s.candidates, i, c)
	s.candidates = s.candidates[:min(maxCandidates, len(s.candidates))]
}

// sortRanksByTime sets ranksByTime to the live ranks that have slots, in
// ascending order of rank time.
func (s *searcher) sortRanksByTime() {
	s.ranksByTime = s.ranksByTime[:0]
	for r := range s.ranks {
		if s.ranks[r].Alive && s.ranks[r].Slots > 0 {
			s.ranksByTime = append(s.ranksByTime, r)
		}
	}
	slices.SortFunc(s.ranksByTime, func(a, b int) int {
		if c := cmp.Compare(s.rankTime(a), s.rankTime(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// tryGuardedOverwrites scores the overwrites that keep enough replicas for
// recent peaks.
func (s *searcher) tryGuardedOverwrites(source, target int) { s.tryOverwrites(source, target, true) }

// tryAllOverwrites scores all overwrites.
func (s *searcher) tryAllOverwrites(source, target int) { s.tryOverwrites(source, target, false) }

// tryOverwrites scores candidates that load an expert of the source rank into a
// slot of the target rank.
func (s *searcher) tryOverwrites(source, target int, keepPeakCapacity bool) {
	for to := target * s.slots; to < (target+1)*s.slots; to++ {
		if !s.usableSlot(to) || !s.mayEvict(s.slotExperts[to], keepPeakCapacity) {
			continue
		}
		for from := source * s.slots; from < (source+1)*s.slots; from++ {
			e := s.slotExperts[from]
			if e != NoExpert && !s.holds(target, e) {
				s.scoreCandidate(slotChange{int32(to), e})
			}
		}
	}
}

// mayEvict reports whether a replica of the expert can be evicted, so that at
// least one remains. With keepPeakCapacity the remaining replicas must also be
// able to serve its recent peak. An empty slot can always be overwritten.
func (s *searcher) mayEvict(expert uint16, keepPeakCapacity bool) bool {
	if expert == NoExpert {
		return true
	}
	remaining := len(s.replicaSlots[expert]) - 1
	if remaining < 1 {
		return false
	}
	return !keepPeakCapacity || s.peakLoads[expert] <= maxPeakPerReplica*float64(remaining)
}

// trySwaps scores candidates that swap an expert of the source rank with one of
// the target rank.
func (s *searcher) trySwaps(source, target int) {
	for to := target * s.slots; to < (target+1)*s.slots; to++ {
		other := s.slotExperts[to]
		if other == NoExpert || s.holds(source, other) {
			continue
		}
		for from := source * s.slots; from < (source+1)*s.slots; from++ {
			e := s.slotExperts[from]
			if e != NoExpert && !s.holds(target, e) {
				s.scoreCandidate(slotChange{int32(to), e}, slotChange{int32(from), other})
			}
		}
	}
}

// scoreCandidate applies changes, scores them, adds them to the candidates and
// reverts them.
func (s *searcher) scoreCandidate(changes ...slotChange) {
	mark := len(s.undoLog)
	var old [2]uint16
	penalty := 0.0
	for i, c := range changes {
		old[i] = s.replaceExpert(c.slot, c.expert)
	}
	for i, c := range changes {
		if s.hostHasReplica(int(c.slot)/s.slots, c.expert) {
			penalty += hostPenalty
		}
		if old[i] != NoExpert && len(s.replicaSlots[old[i]]) > 0 {
			s.waterFill(old[i])
		}
	}
	for _, c := range changes {
		s.waterFill(c.expert)
	}
	scored := candidate{score: s.potential + penalty}
	scored.changeCount = copy(scored.changes[:], changes)
	s.keepBest(scored)
	for i := len(changes) - 1; i >= 0; i-- {
		s.restoreExpert(changes[i].slot, old[i])
	}
	s.rollback(mark)
}

// restoreExpert puts the previous expert back into a slot after replaceExpert.
// The loads are restored separately.
func (s *searcher) restoreExpert(slot int32, expert uint16) {
	placed := s.slotExperts[slot]
	s.replicaSlots[placed] = removeSlot(s.replicaSlots[placed], slot)
	if expert != NoExpert {
		s.replicaSlots[expert] = append(s.replicaSlots[expert], slot)
	}
	s.slotExperts[slot] = expert
}
