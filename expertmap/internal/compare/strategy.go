package compare

import (
	"bluebellwind.example/expertmap"
)

// strategy chooses the next map in every plan interval.
type strategy interface {
	nextMap(v expertmap.PlanInput) (outcome, error)
}

// outcome is the next map and the cost of switching to it. A map that is
// instant takes effect without the time to load its weights.
type outcome struct {
	newMap       *expertmap.Map
	bytes        int64
	moves        int
	slotsChanged int // slots that differ in expert or share
	instant      bool
}

// staticStrategy keeps the initial map.
type staticStrategy struct{}

func (staticStrategy) nextMap(v expertmap.PlanInput) (outcome, error) {
	return outcome{newMap: v.Current, instant: true}, nil
}

// repackStrategy packs from scratch in every interval. Its maps take effect at
// once and have no move budget, which favours it in the comparison.
type repackStrategy struct{ relabel bool }

func (r repackStrategy) nextMap(v expertmap.PlanInput) (outcome, error) {
	if len(v.Popularity[0].Share) == 0 {
		return outcome{newMap: v.Current, instant: true}, nil
	}
	m, err := expertmap.Pack(v)
	if err != nil {
		return outcome{}, err
	}
	if r.relabel {
		relabel(m, v.Current, v.Ranks)
	}
	moves, slots := countChanges(v.Current, m)
	return outcome{m, int64(moves) * v.Costs.BytesPerExpert, moves, slots, true}, nil
}

// countChanges returns the number of replicas in next whose rank does not hold
// the expert in old, and the number of slots whose expert or share differs.
func countChanges(old, next *expertmap.Map) (moves, slots int) {
	for i := 0; i < len(next.Cells); i += next.Slots {
		before, after := old.Cells[i:i+next.Slots], next.Cells[i:i+next.Slots]
		for j, c := range after {
			if c != before[j] {
				slots++
			}
			if c.Expert != expertmap.NoExpert && overlap(after[j:j+1], before) == 0 {
				moves++
			}
		}
	}
	return moves, slots
}

// plannerStrategy uses an expertmap.Planner.
type plannerStrategy struct {
	planner *expertmap.Planner
	weights expertmap.ObjectiveWeights
	// sharesOnly sets the move budget to zero.
	sharesOnly bool
}

func (p *plannerStrategy) nextMap(v expertmap.PlanInput) (outcome, error) {
	v.Weights = p.weights
	if p.sharesOnly {
		v.PlanInterval = 0
	}
	plan, err := p.planner.Plan(v)
	if err != nil {
		return outcome{}, err
	}
	return outcome{plan.Map, plan.Bytes, len(plan.Moves), plan.SlotsChanged, false}, nil
}
