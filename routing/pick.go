package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellwind.example/verdict"
)

const (
	// freeSlotBacklogWeight weighs backlog that still fits into free slots
	// against the time that a prefix cache hit saves, in seconds per second.
	freeSlotBacklogWeight = 0.1
	// maxCredit bounds the credit that a server can accumulate, in choices.
	maxCredit = 2
	// maxAffinityExcess is the number of choices, over all entries, that a
	// server may get beyond its share because of prefix cache hits.
	maxAffinityExcess = 32
	// outlierBacklogFactor times the mean backlog is the limit above which a
	// backlog is not explained by random variation and does not decay.
	outlierBacklogFactor = 4
	// preferredFactor is the factor by which the weight of a preferred server is
	// increased. A server whose backlog reaches the common level still gets nothing.
	preferredFactor = 16
	// connectedCredit is how many choices a server may get before its share because
	// an idle connection to it is open.
	connectedCredit = 1
	// maxLevelIterations bounds the iterations that compute the common backlog
	// level. The computation usually converges sooner.
	maxLevelIterations = 32
	// noServerRetryAfter is the retry delay returned to callers when no
	// candidate is eligible.
	noServerRetryAfter = 2 * time.Second
)

// Picker chooses servers. It is not safe for concurrent use because it holds a
// scratch buffer and a random number generator. The same seed and the same
// sequence of calls give the same choices.
type Picker struct {
	rng       *rand.Rand
	estimates []estimate
	// noSpreading makes every choice go to the server with the shortest
	// backlog.
	noSpreading bool
}

// NewPicker returns a Picker whose random numbers come from the seed. Entries
// must use different seeds.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Pick returns the server for r. It returns a *verdict.Error with NotRun if no
// candidate is eligible. Pick does not allocate once its scratch buffer has
// grown to the size of the view.
func (p *Picker) Pick(v *View, r *Request, now time.Time) (CandidateIndex, error) {
	if !p.estimateAll(v, r, now) {
		return -1, verdict.Refuse(verdict.Unavailable, verdict.NotRun,
			"no backend server can take this request").WithRetryAfter(noServerRetryAfter)
	}
	p.decayBacklogs()
	p.waterFill(p.expectedArrivals())
	p.raisePreferred(v)
	i := p.preferPrefixHit(v, r, p.nextByCredit(v, r))
	v.Candidates[i].EntryLoad.Credit--
	return i, nil
}

// estimateAll estimates all candidates and reports whether any is eligible.
// Candidates that are not eligible get a capacity of zero.
func (p *Picker) estimateAll(v *View, r *Request, now time.Time) bool {
	p.estimates = p.estimates[:0]
	found := false
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if !eligible(v, c, r) {
			p.estimates = append(p.estimates, estimate{})
			continue
		}
		found = true
		p.estimates = append(p.estimates, newEstimate(v, c, r, now))
	}
	return found
}

// expectedArrivals estimates how many requests the other entries have sent
// since the reports, at least one. It takes the arrival rate to equal the
// servers' throughput, so the number of other entries need not be known.
func (p *Picker) expectedArrivals() float64 {
	if p.noSpreading {
		return math.SmallestNonzeroFloat32
	}
	var totalThroughput, totalAge, servers, sentByEntry float64
	for i := range p.estimates {
		e := &p.estimates[i]
		if e.capacity == 0 {
			continue
		}
		sentByEntry += e.sentSinceReport
		totalThroughput += e.throughput
		totalAge += e.reportAge
		servers++
	}
	return max(1, totalThroughput*totalAge/servers-sentByEntry)
}

// waterFill sets the weights by water-filling: it distributes the given number
// of requests over the servers so that all servers that receive any end up with
// the same backlog. It returns that backlog in seconds.
func (p *Picker) waterFill(requests float64) float64 {
	level := math.Inf(1)
	for range maxLevelIterations {
		var capacity, backlogRequests float64
		for i := range p.estimates {
			e := &p.estimates[i]
			if e.capacity > 0 && e.backlog < level {
				capacity += e.capacity
				backlogRequests += e.capacity * e.backlog
			}
		}
		next := (requests + backlogRequests) / capacity
		if capacity == 0 || next >= level {
			break
		}
		level = next
	}
	for i := range p.estimates {
		e := &p.estimates[i]
		e.weight = e.capacity * max(0, level-e.backlog)
	}
	return level
}

// decayBacklogs moves the backlogs towards their mean as the reports age,
// because a difference disappears once the requests that caused it have ended.
// The backlogs of outliers, such as silent or slow servers, are left unchanged,
// because their causes do not end with the requests.
func (p *Picker) decayBacklogs() {
	var backlog, capacity float64
	for i := range p.estimates {
		backlog += p.estimates[i].capacity * p.estimates[i].backlog
		capacity += p.estimates[i].capacity
	}
	mean := backlog / capacity
	for i := range p.estimates {
		e := &p.estimates[i]
		if e.capacity > 0 && e.backlog <= outlierBacklogFactor*mean {
			e.backlog = mean + (e.backlog-mean)*math.Exp(-e.reportAge/e.serviceTime)
		}
	}
}

// raisePreferred increases the weights of the preferred servers. All entries together still
// send each server its share, because each server is preferred by equally many.
func (p *Picker) raisePreferred(v *View) {
	for i := range p.estimates {
		if v.Candidates[i].Preferred {
			p.estimates[i].weight *= preferredFactor
		}
	}
}

// nextByCredit adds each server's share of this choice to its credit and
// returns the server with the highest credit, where an idle connection counts as
// connectedCredit. Over many choices this follows the shares more evenly than random
// selection. The initial credits are random, so that entries choose in different
// orders.
func (p *Picker) nextByCredit(v *View, r *Request) CandidateIndex {
	var total float64
	for i := range p.estimates {
		total += p.estimates[i].weight
	}
	best, bestCredit := CandidateIndex(-1), 0.0
	for i := range p.estimates {
		w := p.estimates[i].weight
		if w == 0 {
			continue
		}
		load := &v.Candidates[i].EntryLoad
		if load.Credit == 0 {
			load.Credit = p.rng.Float64()
		}
		load.Credit = min(maxCredit, load.Credit+w/total)
		credit := load.Credit
		if slices.Contains(r.ConnectedServers, v.Candidates[i].Server) {
			credit += connectedCredit
		}
		if best < 0 || credit > bestCredit {
			best, bestCredit = CandidateIndex(i), credit
		}
	}
	if best < 0 {
		return p.shortestBacklog()
	}
	return best
}

// shortestBacklog returns the eligible server with the shortest backlog.
func (p *Picker) shortestBacklog() CandidateIndex {
	best := CandidateIndex(-1)
	for i := range p.estimates {
		if p.estimates[i].capacity == 0 {
			continue
		}
		if best < 0 || p.estimates[i].backlog < p.estimates[best].backlog {
			best = CandidateIndex(i)
		}
	}
	return best
}

// preferPrefixHit returns a server that probably holds the prompt's prefix if
// the time saved there outweighs its longer backlog, and base otherwise.
func (p *Picker) preferPrefixHit(v *View, r *Request, base CandidateIndex) CandidateIndex {
	best := base
	bestCost := p.firstTokenCost(base, 0)
	minCredit := 1 - maxAffinityExcess/float64(max(1, v.Entries))
	secondsPerToken := v.PrefillPerToken.Seconds()
	for i := range r.Hints {
		h := &r.Hints[i]
		index := findCandidate(v, h.Server)
		if index < 0 || p.estimates[index].capacity == 0 || v.Candidates[index].EntryLoad.Credit < minCredit {
			continue
		}
		savedSeconds := secondsPerToken * float64(min(h.Tokens, r.PromptTokens)) * h.Probability
		if cost := p.firstTokenCost(index, savedSeconds); cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}

// firstTokenCost estimates, in seconds, how the server's backlog delays the
// first token, minus savedSeconds. Backlog up to one service time, for which
// slots are still free, counts with freeSlotBacklogWeight; backlog beyond that
// counts in full.
func (p *Picker) firstTokenCost(i CandidateIndex, savedSeconds float64) float64 {
	e := &p.estimates[i]
	return freeSlotBacklogWeight*min(e.backlog, e.serviceTime) + max(0, e.backlog-e.serviceTime) - savedSeconds
}

// findCandidate returns the index of the server in v, or -1.
func findCandidate(v *View, server string) CandidateIndex {
	for i := range v.Candidates {
		if v.Candidates[i].Server == server {
			return CandidateIndex(i)
		}
	}
	return -1
}
