package harness

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// Policy names a server selection policy.
type Policy string

// The policies. WaterFilling is routing.Picker.
const (
	Random        Policy = "random"
	RoundRobin    Policy = "round robin"
	LeastReported Policy = "least reported load"
	TwoChoices    Policy = "two choices"
	WaterFilling  Policy = "bluebellwind"
)

// Policies are all policies, in the order of the output tables.
var Policies = []Policy{Random, RoundRobin, LeastReported, TwoChoices, WaterFilling}

// newChooser returns a Chooser that implements the policy.
func (p Policy) newChooser(seed uint64) routing.Chooser {
	rng := rand.New(rand.NewPCG(seed, 2))
	switch p {
	case Random:
		return chooserFunc(func(_ *routing.View, eligible []int) int { return eligible[rng.IntN(len(eligible))] })
	case RoundRobin:
		counter := rng.IntN(1 << 20)
		return chooserFunc(func(_ *routing.View, eligible []int) int {
			counter++
			return eligible[counter%len(eligible)]
		})
	case LeastReported:
		return chooserFunc(func(v *routing.View, eligible []int) int {
			rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
			return slices.MinFunc(eligible, func(a, b int) int { return reportedLoad(v, a) - reportedLoad(v, b) })
		})
	case TwoChoices:
		return chooserFunc(func(v *routing.View, eligible []int) int {
			a, b := eligible[rng.IntN(len(eligible))], eligible[rng.IntN(len(eligible))]
			if reportedLoad(v, b) < reportedLoad(v, a) {
				return b
			}
			return a
		})
	default:
		return routing.NewPicker(seed)
	}
}

// reportedLoad returns the number of running and queued requests that server i
// reported.
func reportedLoad(v *routing.View, i int) int {
	l := &v.Candidates[i].Load
	return l.Running + l.Queued[0] + l.Queued[1] + l.Queued[2]
}

// chooserFunc chooses one of the eligible candidates, given by index: those
// that are not draining, excluded or tried.
type chooserFunc func(v *routing.View, eligible []int) int

func (choose chooserFunc) Pick(v *routing.View, r *routing.Request, _ time.Time) (routing.CandidateIndex, error) {
	var eligible []int
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if !c.Draining && !c.Excluded && !slices.Contains(r.ExcludedServers, c.Server) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return -1, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no server left")
	}
	return routing.CandidateIndex(choose(v, eligible)), nil
}
