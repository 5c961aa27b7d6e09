package expertmap

// dropLost empties the slots that are no longer usable, because their rank is
// not alive or has fewer slots than before.
func dropLost(v *PlanInput, m *Map) {
	for l := range m.Layers {
		for i := range m.Layer(l) {
			r := v.Ranks[i/m.Slots]
			if !r.Alive || i%m.Slots >= r.Slots {
				m.Layer(l)[i] = Slot{Expert: NoExpert}
			}
		}
	}
}

// placeLostExperts places a replica of every expert that has none, in
// descending order of load, in the slot that repairSlot chooses. Such a slot
// exists as long as there are at least as many usable slots as experts.
func (s *layerState) placeLostExperts() []slotChange {
	var changes []slotChange
	for {
		lost := s.mostLoadedLostExpert()
		if lost < 0 {
			return changes
		}
		slot := s.repairSlot()
		if slot < 0 {
			return changes
		}
		old := s.replaceExpert(slot, uint16(lost))
		if old != NoExpert {
			s.waterFill(old)
		}
		s.waterFill(uint16(lost))
		changes = append(changes, slotChange{slot, uint16(lost)})
	}
}

// mostLoadedLostExpert returns the expert with the highest load among those
// without a replica, or -1.
func (s *layerState) mostLoadedLostExpert() int {
	lost, highestLoad := -1, -1.0
	for e := range s.replicaSlots {
		if len(s.replicaSlots[e]) == 0 && s.expertLoads[e] > highestLoad {
			lost, highestLoad = e, s.expertLoads[e]
		}
	}
	return lost
}

// repairSlot returns the slot to use for a lost expert: an empty slot on the
// rank with the least rank time or, if none is empty, the slot of an expert
// with several replicas for which the rank time plus the expert's load per
// remaining replica is least. It returns -1 if there is no such slot.
func (s *layerState) repairSlot() int32 {
	bestSlot, leastCost, bestEmpty := int32(-1), 0.0, false
	for i, e := range s.slotExperts {
		if !s.usableSlot(i) {
			continue
		}
		empty := e == NoExpert
		if !empty && len(s.replicaSlots[e]) < 2 {
			continue
		}
		cost := s.rankTime(i / s.slots)
		if !empty {
			cost += s.expertLoads[e] / float64(len(s.replicaSlots[e])-1)
		}
		if bestSlot < 0 || (empty && !bestEmpty) || (empty == bestEmpty && cost < leastCost) {
			bestSlot, leastCost, bestEmpty = int32(i), cost, empty
		}
	}
	return bestSlot
}

// fillEmptySlots places replicas of the experts with the highest load per
// replica in empty slots, with at most limit changes. A rank that has rejoined
// the group with empty slots takes no load until they are filled.
func (s *layerState) fillEmptySlots(limit int) []slotChange {
	var changes []slotChange
	for i, e := range s.slotExperts {
		if len(changes) >= limit {
			break
		}
		if e != NoExpert || !s.usableSlot(i) {
			continue
		}
		rank := i / s.slots
		best, highestLoad := -1, -1.0
		for other, slots := range s.replicaSlots {
			if load := s.expertLoads[other] / float64(len(slots)); load > highestLoad && !s.holds(rank, uint16(other)) {
				best, highestLoad = other, load
			}
		}
		if best < 0 {
			continue
		}
		s.replaceExpert(int32(i), uint16(best))
		s.waterFill(uint16(best))
		changes = append(changes, slotChange{int32(i), uint16(best)})
	}
	return changes
}
