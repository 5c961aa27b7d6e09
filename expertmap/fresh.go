package expertmap

// repackThreshold is the imbalance left by the search above which packing the
// layer from scratch is also tried. The greedy search can stop at a local
// optimum that only several simultaneous moves would improve.
const repackThreshold = 0.1

// repackLayer packs the layer from scratch. It returns the moves from the
// current slots to that packing and the imbalance after them. Experts that stay
// on their rank are not moved.
func (p *Planner) repackLayer(v *PlanInput, cells []Slot, share []float32) ([]slotChange, float64) {
	s := &p.packed
	p.emptySlots = resize(p.emptySlots, len(cells))
	for i := range p.emptySlots {
		p.emptySlots[i] = Slot{Expert: NoExpert}
	}
	s.reset(v, p.emptySlots, share)
	copy(s.expertLoads, p.search.expertLoads)
	s.pack(v.usableSlots())
	s.balance()
	var changes []slotChange
	for r := range v.Ranks {
		changes = append(changes, rankChanges(s, r, cells)...)
	}
	return changes, s.imbalance()
}

// rankChanges returns the moves that replace the experts on a rank by those that
// the packed state holds there.
func rankChanges(packed *layerState, rank int, cells []Slot) []slotChange {
	first := rank * packed.slots
	current, target := cells[first:first+packed.slots], packed.slotExperts[first:first+packed.slots]
	var changes []slotChange
	targetIndex := 0
	for i, c := range current {
		if c.Expert != NoExpert && containsExpert(target, c.Expert) {
			continue
		}
		for targetIndex < len(target) && (target[targetIndex] == NoExpert || anySlotHolds(current, target[targetIndex])) {
			targetIndex++
		}
		if targetIndex < len(target) {
			changes = append(changes, slotChange{int32(first + i), target[targetIndex]})
			targetIndex++
		}
	}
	return changes
}

func containsExpert(list []uint16, expert uint16) bool {
	for _, e := range list {
		if e == expert {
			return true
		}
	}
	return false
}

func anySlotHolds(cells []Slot, expert uint16) bool {
	for _, c := range cells {
		if c.Expert == expert {
			return true
		}
	}
	return false
}
