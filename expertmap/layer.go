package expertmap

import "math"

// fastestWeight is the weight in imbalance of the fastest rank's distance from
// the mean, relative to that of the slowest rank.
const fastestWeight = 0.2

// layerState is the working representation of one layer for balancing and
// search. Loads are scaled so that the mean rank time is 1. The memory is
// reused: reset initializes it for another layer.
type layerState struct {
	slots        int
	ranks        []Rank
	slotExperts  []uint16           // expert in each slot, or NoExpert
	slotLoads    []float64          // load of each slot
	expertLoads  []float64          // load of each expert
	rankLoads    []float64          // load of each rank
	replicaSlots [][]int32          // slots that hold each expert
	undoLog      []undoEntry        // previous slot loads, newest last
	potential    float64            // sum of rankPotential over the live ranks
	fillScratch  []waterFillReplica // buffer of waterFill
	fillClock    uint32             // logical clock of changedAt and filledAt
	changedAt    []uint32           // fillClock at the last change of each rank's load
	filledAt     []uint32           // fillClock at the last water-fill of each expert
}

// undoEntry records the load of a slot before a change.
type undoEntry struct {
	slot int32
	load float64
}

// reset initializes the state from a layer's slots and the expected popularity.
func (s *layerState) reset(v *PlanInput, cells []Slot, share []float32) {
	s.slots, s.ranks = v.Slots, v.Ranks
	s.slotExperts = resize(s.slotExperts, len(cells))
	s.slotLoads = resize(s.slotLoads, len(cells))
	s.expertLoads = resize(s.expertLoads, v.Experts)
	s.rankLoads = resize(s.rankLoads, len(v.Ranks))
	s.changedAt = resize(s.changedAt, len(v.Ranks))
	s.filledAt = resize(s.filledAt, v.Experts)
	if len(s.replicaSlots) != v.Experts {
		s.replicaSlots = make([][]int32, v.Experts)
	}
	for e := range s.replicaSlots {
		s.replicaSlots[e] = s.replicaSlots[e][:0]
	}
	for i, c := range cells {
		s.slotExperts[i] = c.Expert
		if c.Expert != NoExpert {
			s.replicaSlots[c.Expert] = append(s.replicaSlots[c.Expert], int32(i))
		}
	}
	s.setExpertLoads(share)
	for i, c := range cells {
		s.slotLoads[i] = 0
		if c.Expert != NoExpert {
			s.slotLoads[i] = s.expertLoads[c.Expert] * float64(c.Share) / ShareUnit
		}
	}
	s.sumRankLoads()
}

// setExpertLoads sets the expert loads to the popularity shares, scaled so that
// the mean rank time is 1. If the popularity is unknown, it takes the load of
// an expert as proportional to its number of replicas, on the assumption that
// the map was planned for the actual popularity.
func (s *layerState) setExpertLoads(share []float32) {
	var totalSpeed, totalLoad float64
	for _, r := range s.ranks {
		if r.Alive {
			totalSpeed += r.Speed
		}
	}
	for e := range s.expertLoads {
		s.expertLoads[e] = float64(max(1, len(s.replicaSlots[e])))
		if len(share) > 0 {
			s.expertLoads[e] = float64(share[e])
		}
		totalLoad += s.expertLoads[e]
	}
	for e := range s.expertLoads {
		s.expertLoads[e] *= totalSpeed / totalLoad
	}
}

// sumRankLoads recomputes the rank loads and the potential from the slot loads,
// which removes rounding errors accumulated by incremental updates.
func (s *layerState) sumRankLoads() {
	clear(s.rankLoads)
	for i, load := range s.slotLoads {
		s.rankLoads[i/s.slots] += load
	}
	s.potential = 0
	for r, load := range s.rankLoads {
		if s.ranks[r].Alive {
			s.potential += rankPotential(load, s.ranks[r].Speed)
		}
	}
}

// rankPotential returns the contribution of a rank to the potential that the
// search minimizes. The fourth power of the rank time gives the slowest ranks
// most weight.
func rankPotential(load, speed float64) float64 {
	t := load / speed
	t *= t
	return speed * t * t
}

// usableSlot reports whether a slot is on a live rank and within the number of
// slots of that rank.
func (s *layerState) usableSlot(slot int) bool {
	r := s.ranks[slot/s.slots]
	return r.Alive && slot%s.slots < r.Slots
}

// rankTime returns the load of a rank over its speed; the mean over the group
// is 1.
func (s *layerState) rankTime(rank int) float64 { return s.rankLoads[rank] / s.ranks[rank].Speed }

// slowestRank returns the live rank with the greatest rank time, and that time.
// Of equal ranks it returns the one with the lowest number.
func (s *layerState) slowestRank() (rank int, maxTime float64) {
	for r := range s.ranks {
		if s.ranks[r].Alive && s.rankTime(r) > maxTime {
			rank, maxTime = r, s.rankTime(r)
		}
	}
	return rank, maxTime
}

// imbalance returns the distance of the slowest rank above the mean rank time,
// plus fastestWeight times the distance of the fastest rank below it. Every
// step waits for the slowest rank; a rank below the mean has idle capacity.
func (s *layerState) imbalance() float64 {
	fastest, slowest := math.Inf(1), 0.0
	for r := range s.ranks {
		if s.ranks[r].Alive && s.ranks[r].Slots > 0 {
			fastest = min(fastest, s.rankTime(r))
			slowest = max(slowest, s.rankTime(r))
		}
	}
	return slowest - 1 + fastestWeight*(1-fastest)
}

// setSlotLoad sets the load of a slot, records the previous load in the undo
// log, and updates the rank load and the potential.
func (s *layerState) setSlotLoad(slot int32, load float64) {
	oldLoad := s.slotLoads[slot]
	if oldLoad == load {
		return
	}
	s.undoLog = append(s.undoLog, undoEntry{slot, oldLoad})
	if math.Abs(load-oldLoad) > minTrackedChange {
		s.changedAt[int(slot)/s.slots] = s.fillClock
	}
	s.applySlotLoad(slot, load)
}

// applySlotLoad is setSlotLoad without the undo log and the change tracking.
func (s *layerState) applySlotLoad(slot int32, load float64) {
	rank := int(slot) / s.slots
	before := s.rankLoads[rank]
	after := before + load - s.slotLoads[slot]
	s.potential += rankPotential(after, s.ranks[rank].Speed) - rankPotential(before, s.ranks[rank].Speed)
	s.rankLoads[rank] = after
	s.slotLoads[slot] = load
}

// rollback restores the slot loads to those at the time when the undo log had
// mark entries.
func (s *layerState) rollback(mark int) {
	for i := len(s.undoLog) - 1; i >= mark; i-- {
		s.applySlotLoad(s.undoLog[i].slot, s.undoLog[i].load)
	}
	s.undoLog = s.undoLog[:mark]
}

// replaceExpert puts an expert into a slot with zero load and returns the expert
// that the slot held before. Either can be NoExpert.
func (s *layerState) replaceExpert(slot int32, expert uint16) uint16 {
	replaced := s.slotExperts[slot]
	s.setSlotLoad(slot, 0)
	if replaced != NoExpert {
		s.replicaSlots[replaced] = removeSlot(s.replicaSlots[replaced], slot)
	}
	if expert != NoExpert {
		s.replicaSlots[expert] = append(s.replicaSlots[expert], slot)
	}
	s.slotExperts[slot] = expert
	return replaced
}

// holds reports whether a rank has a replica of an expert.
func (s *layerState) holds(rank int, expert uint16) bool {
	for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
		if s.slotExperts[i] == expert {
			return true
		}
	}
	return false
}

// hostHasReplica reports whether another rank on the same host has a replica of
// the expert.
func (s *layerState) hostHasReplica(rank int, expert uint16) bool {
	for _, slot := range s.replicaSlots[expert] {
		r := int(slot) / s.slots
		if r != rank && s.ranks[r].Host == s.ranks[rank].Host {
			return true
		}
	}
	return false
}

// writeSlots writes the experts and their shares to the cells of a map layer.
func (s *layerState) writeSlots(cells []Slot) {
	for i, e := range s.slotExperts {
		cells[i] = Slot{Expert: e}
	}
	for e, slots := range s.replicaSlots {
		s.writeShares(cells, slots, s.expertLoads[e])
	}
}

// writeShares writes the shares of one expert's replicas. Each is rounded down,
// and the replica with the greatest load gets the remainder, so that they sum
// to ShareUnit.
func (s *layerState) writeShares(cells []Slot, slots []int32, expertLoad float64) {
	remaining := ShareUnit
	best, bestLoad := int32(-1), math.Inf(-1)
	for _, slot := range slots {
		share := 0
		if expertLoad > 0 {
			share = min(remaining, int(s.slotLoads[slot]/expertLoad*ShareUnit))
		}
		cells[slot].Share = uint16(share)
		remaining -= share
		if s.slotLoads[slot] > bestLoad {
			best, bestLoad = slot, s.slotLoads[slot]
		}
	}
	if best >= 0 {
		cells[best].Share += uint16(remaining)
	}
}

// resize returns a slice of length n, which reuses the memory of s if it is
// large enough. Reused elements are not cleared.
func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}

// removeSlot removes a value from the list in place. It preserves the order, on
// which the choice between equal candidates depends, so that plans stay
// deterministic.
func removeSlot(list []int32, value int32) []int32 {
	for i, v := range list {
		if v == value {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
