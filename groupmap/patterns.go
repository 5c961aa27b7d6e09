package groupmap

import (
	"math"
	"time"
)

const (
	// maxPatterns bounds the popularities that are remembered.
	maxPatterns = 16
	// minPatterns is the number of popularities from which on plans consider them.
	minPatterns = 3
	// samePatternDistance is the distance, see distance, below which two popularities
	// are the same one. newPatternWeight is the weight of the later one in their mean.
	samePatternDistance = 0.15
	newPatternWeight    = 0.2
	// rememberPeriod is the time between two popularities that are remembered, and
	// settledAge the age from which on the popularity after a shift is known well
	// enough.
	rememberPeriod = 500 * time.Millisecond
	settledAge     = 500 * time.Millisecond
	// anticipatedWeight is the weight of remembered popularities in a plan. With 0.4
	// the map is worse for the present demand and hardly better after shifts.
	anticipatedWeight = 0.25
)

// Patterns remembers distinct popularities of experts that a group has seen, at most
// maxPatterns. The one that was not in demand for longest makes room for a new one. It
// is not safe for concurrent use.
type Patterns struct {
	known        []pattern
	rememberedAt time.Time
}

// pattern is a popularity as the share of each expert in its set, and when it was last
// in demand.
type pattern struct {
	shares [][]float64
	seenAt time.Time
}

// Remember adds the popularity that load stands for, if that is due. age is the time
// since the popularity shifted.
func (p *Patterns) Remember(load [][]float64, age time.Duration, now time.Time) {
	if age < settledAge || now.Sub(p.rememberedAt) < rememberPeriod {
		return
	}
	p.rememberedAt = now
	if !p.fit(load) {
		p.known = nil
	}
	shares := sharesOf(load)
	nearest, least, oldest := 0, math.Inf(1), 0
	for i, k := range p.known {
		if d := distance(k.shares, shares); d < least {
			nearest, least = i, d
		}
		if k.seenAt.Before(p.known[oldest].seenAt) {
			oldest = i
		}
	}
	switch {
	case least < samePatternDistance:
		mix(p.known[nearest].shares, shares, newPatternWeight)
		p.known[nearest].seenAt = now
	case len(p.known) < maxPatterns:
		p.known = append(p.known, pattern{shares, now})
	default:
		p.known[oldest] = pattern{shares, now}
	}
}

// Anticipate returns the demand to plan for: the share of each expert in load, and with
// a lesser weight the greatest share that it had in any remembered popularity, so that
// the map also suits experts that may come into demand again.
func (p *Patterns) Anticipate(load [][]float64) [][]float64 {
	out := sharesOf(load)
	if len(p.known) < minPatterns || !p.fit(load) {
		return out
	}
	greatest := make([][]float64, len(out))
	for set := range out {
		greatest[set] = make([]float64, len(out[set]))
		for _, k := range p.known {
			for e, share := range k.shares[set] {
				greatest[set][e] = max(greatest[set][e], share)
			}
		}
	}
	mix(out, sharesOf(greatest), anticipatedWeight)
	return out
}

// fit reports whether the remembered popularities, if any, have the dimensions of load.
func (p *Patterns) fit(load [][]float64) bool {
	if len(p.known) == 0 {
		return true
	}
	shares := p.known[0].shares
	return len(shares) == len(load) && len(load) > 0 && len(shares[0]) == len(load[0])
}

// sharesOf returns load divided by the total of each set.
func sharesOf(load [][]float64) [][]float64 {
	out := make([][]float64, len(load))
	for set, experts := range load {
		total := 0.0
		for _, l := range experts {
			total += l
		}
		out[set] = make([]float64, len(experts))
		for e, l := range experts {
			if total > 0 {
				out[set][e] = l / total
			}
		}
	}
	return out
}

// distance returns the share of choices that differs between two popularities, as a mean
// over the sets: 0 if they are equal, 1 if they have no expert in common.
func distance(a, b [][]float64) float64 {
	sum := 0.0
	for set := range a {
		for e := range a[set] {
			sum += math.Abs(a[set][e] - b[set][e])
		}
	}
	return sum / 2 / float64(max(1, len(a)))
}

// mix moves a toward b by the given share.
func mix(a, b [][]float64, share float64) {
	for set := range a {
		for e := range a[set] {
			a[set][e] += share * (b[set][e] - a[set][e])
		}
	}
}
