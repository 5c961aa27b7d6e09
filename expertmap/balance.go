package expertmap

import "math"

// Limits of the balancing iteration. Loads and rank times are in units of the
// mean rank time.
const (
	// maxSweeps is the maximum number of passes over all experts.
	maxSweeps = 60
	// convergedChange is the largest change of a rank time in one sweep at which
	// the iteration has converged.
	convergedChange = 2e-4
	// minTrackedChange is the smallest change of a slot's load after which the
	// other experts on its rank are balanced again.
	minTrackedChange = 2e-5
)

// waterFillReplica is the state of one replica while waterFill distributes the
// load of its expert.
type waterFillReplica struct {
	slot      int32
	speed     float64
	otherLoad float64 // load of the rank from all other replicas
	excluded  bool    // the rank is too loaded to receive any of this load
}

// waterFill splits an expert's load over its replicas by water-filling: all
// ranks that receive load finish at the same time, and no rank that receives
// none would finish earlier. It returns the largest change of the load over the
// speed of a rank or, for an expert with one replica, of its load.
func (s *layerState) waterFill(expert uint16) (change float64) {
	slots := s.replicaSlots[expert]
	load := s.expertLoads[expert]
	if len(slots) == 1 {
		change = math.Abs(load - s.slotLoads[slots[0]])
		s.setSlotLoad(slots[0], load)
		return change
	}
	replicas := s.fillScratch[:0]
	var baseLoad, speed float64
	for _, slot := range slots {
		rank := int(slot) / s.slots
		r := waterFillReplica{slot: slot, speed: s.ranks[rank].Speed, otherLoad: s.rankLoads[rank] - s.slotLoads[slot]}
		baseLoad += r.otherLoad
		speed += r.speed
		replicas = append(replicas, r)
	}
	s.fillScratch = replicas
	level := waterLevel(replicas, baseLoad+load, speed)
	for _, r := range replicas {
		newLoad := max(0, level*r.speed-r.otherLoad)
		change = max(change, math.Abs(newLoad-s.slotLoads[r.slot])/r.speed)
		s.setSlotLoad(r.slot, newLoad)
	}
	return change
}

// waterLevel returns the common finish time of the ranks that receive load. The
// load argument includes the loads that the ranks already carry. Ranks whose
// other load alone exceeds the level are excluded, which lowers the level; this
// repeats until no rank is excluded.
func waterLevel(replicas []waterFillReplica, load, speed float64) float64 {
	for {
		level := load / speed
		remaining, remainingSpeed := load, speed
		for i := range replicas {
			r := &replicas[i]
			if !r.excluded && r.otherLoad > level*r.speed {
				r.excluded = true
				remaining -= r.otherLoad
				remainingSpeed -= r.speed
			}
		}
		if remaining == load {
			return level
		}
		load, speed = remaining, remainingSpeed
	}
}

// balance splits the load of every expert over its replicas such that the sum of
// load²/speed over all ranks is minimal. This split also minimizes the maximum
// rank time, because the feasible rank loads form a base polytope, on which both
// optima coincide. It is computed by block coordinate descent: the experts are
// water-filled in turn until the loads stop changing. This converges because the
// sum is convex and the constraints of the experts are independent.
//
// An expert is water-filled again only when the load of one of its ranks has
// changed since the last time, which keeps balancing after a single move cheap.
func (s *layerState) balance() {
	s.fillClock++
	for r := range s.changedAt {
		s.changedAt[r] = s.fillClock
	}
	clear(s.filledAt)
	s.rebalanceStale()
}

// rebalanceStale water-fills the experts whose ranks have changed, until the
// largest change in a sweep is below convergedChange or maxSweeps is reached.
func (s *layerState) rebalanceStale() {
	for range maxSweeps {
		change := 0.0
		for e, slots := range s.replicaSlots {
			if !s.stale(e, slots) {
				continue
			}
			s.fillClock++
			s.filledAt[e] = s.fillClock
			change = max(change, s.waterFill(uint16(e)))
		}
		s.undoLog = s.undoLog[:0]
		if change < convergedChange {
			break
		}
	}
	s.sumRankLoads()
}

// stale reports whether the load of a rank that holds the expert has changed
// since the expert was last water-filled.
func (s *layerState) stale(expert int, slots []int32) bool {
	for _, slot := range slots {
		if s.changedAt[int(slot)/s.slots] > s.filledAt[expert] {
			return true
		}
	}
	return false
}
