package expertmap

import (
	"cmp"
	"slices"
)

// Pack plans a map from scratch. It assigns spare slots to the experts with the
// highest load per replica, places the replicas in descending order of load,
// each on the least loaded rank, and balances the shares. The placement in the
// current map is ignored. Pack is used for a new group and as the baseline that
// the planner is compared with. It returns ErrTooFewSlots or an error that
// wraps ErrInvalidPlanInput.
func Pack(v PlanInput) (*Map, error) {
	if err := v.Validate(); err != nil {
		return nil, err
	}
	if v.usableSlots() < v.Experts {
		return nil, ErrTooFewSlots
	}
	m := NewMap(v.Layers, v.Experts, len(v.Ranks), v.Slots)
	m.ID = 1
	if v.Current != nil {
		m.ID = v.Current.ID + 1
	}
	var s layerState
	for l := range v.Layers {
		s.reset(&v, m.Layer(l), v.Popularity[l].Share)
		s.pack(v.usableSlots())
		s.balance()
		s.writeSlots(m.Layer(l))
	}
	return m, nil
}

// pendingReplica is a replica that pack has yet to place, with its expected
// load.
type pendingReplica struct {
	expert uint16
	load   float64
}

// pack places replicas of all experts in a state without any.
func (s *layerState) pack(usableSlots int) {
	counts := s.replicaCounts(usableSlots)
	var pending []pendingReplica
	for e, n := range counts {
		for range n {
			pending = append(pending, pendingReplica{uint16(e), s.expertLoads[e] / float64(n)})
		}
	}
	slices.SortStableFunc(pending, func(a, b pendingReplica) int { return cmp.Compare(b.load, a.load) })
	for _, replica := range pending {
		slot := s.leastLoadedSlot(replica)
		if slot < 0 {
			slot = s.vacateSlot(replica.expert)
		}
		if slot >= 0 {
			s.replaceExpert(slot, replica.expert)
			s.setSlotLoad(slot, replica.load)
		}
	}
	s.undoLog = s.undoLog[:0]
}

// replicaCounts returns the number of replicas of each expert. Each expert gets
// one; each spare slot goes to the expert with the highest load per replica at
// that point. An expert gets at most one replica per usable rank.
func (s *layerState) replicaCounts(usableSlots int) []int {
	usableRanks := 0
	for _, r := range s.ranks {
		if r.Alive && r.Slots > 0 {
			usableRanks++
		}
	}
	counts := make([]int, len(s.expertLoads))
	for e := range counts {
		counts[e] = 1
	}
	for range usableSlots - len(counts) {
		best, highestLoad := -1, -1.0
		for e, n := range counts {
			if load := s.expertLoads[e] / float64(n); n < usableRanks && load > highestLoad {
				best, highestLoad = e, load
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// leastLoadedSlot returns a free slot on the rank that would finish first with
// the replica added, or -1 if every rank with a free slot already holds the
// expert.
func (s *layerState) leastLoadedSlot(replica pendingReplica) int32 {
	best, leastTime := int32(-1), 0.0
	for r := range s.ranks {
		slot := s.freeSlot(r)
		if slot < 0 || s.holds(r, replica.expert) {
			continue
		}
		finishTime := (s.rankLoads[r] + replica.load) / s.ranks[r].Speed
		if best < 0 || finishTime < leastTime {
			best, leastTime = slot, finishTime
		}
	}
	return best
}

// freeSlot returns the first usable slot of a rank without an expert, or -1.
func (s *layerState) freeSlot(rank int) int32 {
	for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
		if s.slotExperts[i] == NoExpert && s.usableSlot(i) {
			return int32(i)
		}
	}
	return -1
}

// vacateSlot frees a slot on a rank that does not hold the expert, when all
// ranks with a free slot hold it already. It moves a replica of another expert
// from there to a free slot. It returns -1 if no replica can move; a slot then
// stays empty.
func (s *layerState) vacateSlot(expert uint16) int32 {
	for r := range s.ranks {
		free := s.freeSlot(r)
		if free < 0 {
			continue
		}
		for i, other := range s.slotExperts {
			if other == NoExpert || s.holds(i/s.slots, expert) || s.holds(r, other) {
				continue
			}
			load := s.slotLoads[i]
			s.replaceExpert(int32(i), NoExpert)
			s.replaceExpert(free, other)
			s.setSlotLoad(free, load)
			return int32(i)
		}
	}
	return -1
}
