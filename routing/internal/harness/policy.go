package harness

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// Policy names a way to choose servers.
type Policy string

// The policies.
const (
	Random        Policy = "random"
	RoundRobin    Policy = "round robin"
	LeastReported Policy = "least reported load"
	TwoChoices    Policy = "two choices"
	Level         Policy = "bluebellwind"
)

// Policies are all of them, in the order of the tables.
var Policies = []Policy{Random, RoundRobin, LeastReported, TwoChoices, Level}

func (p Policy) chooser(seed uint64) routing.Chooser {
	rng := rand.New(rand.NewPCG(seed, 2))
	switch p {
	case Random:
		return naive(func(_ *routing.View, ok []int) int { return ok[rng.IntN(len(ok))] })
	case RoundRobin:
		next := rng.IntN(1 << 20)
		return naive(func(_ *routing.View, ok []int) int {
			next++
			return ok[next%len(ok)]
		})
	case LeastReported:
		return naive(func(v *routing.View, ok []int) int {
			rng.Shuffle(len(ok), func(i, j int) { ok[i], ok[j] = ok[j], ok[i] })
			return slices.MinFunc(ok, func(a, b int) int { return reported(v, a) - reported(v, b) })
		})
	case TwoChoices:
		return naive(func(v *routing.View, ok []int) int {
			a, b := ok[rng.IntN(len(ok))], ok[rng.IntN(len(ok))]
			if reported(v, b) < reported(v, a) {
				return b
			}
			return a
		})
	default:
		return routing.NewPicker(seed)
	}
}

func reported(v *routing.View, i int) int {
	l := &v.Candidates[i].Load
	return l.Running + l.Queued[0] + l.Queued[1] + l.Queued[2]
}

// naive chooses among the servers that are neither excluded nor tried.
type naive func(v *routing.View, ok []int) int

func (n naive) Pick(v *routing.View, r *routing.Request, _ time.Time) (routing.CandidateIndex, error) {
	var ok []int
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if !c.Leaving && !c.Suspected && !slices.Contains(r.Tried, c.Server) {
			ok = append(ok, i)
		}
	}
	if len(ok) == 0 {
		return -1, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no server left")
	}
	return routing.CandidateIndex(n(v, ok)), nil
}
