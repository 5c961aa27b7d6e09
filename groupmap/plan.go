package groupmap

// Limits bound one plan.
type Limits struct {
	// TargetSkew is the skew of a set, see Skew, at or below which it needs no
	// further move.
	TargetSkew float64
	// MaxCopies is the greatest number of experts that a plan may copy.
	MaxCopies int
	// MaxCopiesPerRank is the greatest number of experts, of all sets together, that a
	// plan may copy to one rank; zero means no bound. A switch lasts as long as its
	// slowest rank copies.
	MaxCopiesPerRank int
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

// Demand is what the ranks of a group have to do.
type Demand struct {
	// Load is the load of each expert in any unit, indexed by set and expert.
	Load [][]float64
	// TokenTimes holds the time that each rank needs for a unit of load, relative to
	// the usual time; at least 1. It is nil if all ranks need the usual time.
	TokenTimes []float64
}

// Skew returns the time that the slowest rank needs for its load, divided by the time
// that all ranks would need if the load were balanced. It is averaged over the sets,
// and 1 if the load is balanced or zero.
func Skew(m *Map, d Demand, s Shape) float64 {
	sum := 0.0
	for i := range s.Sets {
		sum += skewOfSet(m.Experts[i], d.Load[i], d.TokenTimes) / float64(s.Sets)
	}
	return sum
}

// skewOfSet is Skew of one set. It does without a setBalancer, because popularity is looked
// at several times a second.
func skewOfSet(expertsByRank [][]uint16, expertLoad, tokenTimes []float64) float64 {
	replicas := make([]float64, len(expertLoad))
	for _, experts := range expertsByRank {
		for _, e := range experts {
			replicas[e]++
		}
	}
	var longest, total, speed float64
	for r, experts := range expertsByRank {
		tokenTime := 1.0
		if tokenTimes != nil {
			tokenTime = tokenTimes[r]
		}
		load := 0.0
		for _, e := range experts {
			load += expertLoad[e] / replicas[e]
		}
		longest = max(longest, load*tokenTime)
		speed += 1 / tokenTime
	}
	for _, l := range expertLoad {
		total += l
	}
	if total == 0 {
		return 1
	}
	return longest * speed / total
}

// Plan returns an improved map for the demand. current must be valid for s; the
// version of the new map is that of current. Plan is a greedy search: each step makes
// the move that lowers the objective of its set most for each expert copied.
func Plan(current *Map, d Demand, s Shape, l Limits) PlanResult {
	out := PlanResult{Map: current.Clone()}
	balancers := make([]*setBalancer, s.Sets)
	allCopiesToRank := make([]int, s.Ranks)
	for i := range balancers {
		balancers[i] = newSetBalancer(out.Map.Experts[i], d.Load[i], d.TokenTimes, s)
		balancers[i].allCopiesToRank = allCopiesToRank
		if l.MaxCopiesPerRank > 0 {
			balancers[i].maxAllCopiesPerRank = l.MaxCopiesPerRank
		}
		out.SkewBefore += balancers[i].skew() / float64(s.Sets)
	}
	for copies := 0; copies < l.MaxCopies; {
		best, bestSet := move{}, -1
		for i, b := range balancers {
			if m := b.bestMove(l.TargetSkew); m.gainPerCopy() > best.gainPerCopy() {
				best, bestSet = m, i
			}
		}
		if bestSet < 0 || best.gainPerCopy() < l.MinGainPerCopy || copies+best.copies > l.MaxCopies {
			break
		}
		balancers[bestSet].apply(best)
		copies += best.copies
		for _, b := range balancers {
			b.dropCachedMoveIfBarred()
		}
	}
	for i, b := range balancers {
		out.Map.Experts[i] = b.expertsByRank
		out.SkewAfter += b.skew() / float64(s.Sets)
	}
	out.Copies = out.Map.Copies(current)
	return out
}
