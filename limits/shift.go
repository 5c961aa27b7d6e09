package limits

import (
	"math"
	"time"
)

// demandShift tracks how much demand has recently moved between entries. While
// demand moves, leases are short, because their rates soon no longer match it.
type demandShift struct {
	// movedRate is the decaying sum of the changes of demand, in units a
	// second, at the time updatedAt.
	movedRate float64
	updatedAt time.Time
}

const (
	// shiftDecayTime is the time constant with which earlier changes decay.
	shiftDecayTime = 4 * time.Second
	// shiftThreshold is the ratio of moved to total demand above which a shift
	// is in progress.
	shiftThreshold = 0.5
)

// add records a change of one entry's demand, in units a second.
func (s *demandShift) add(change float64, now time.Time) {
	s.movedRate = s.decayedRate(now) + change
	s.updatedAt = now
}

// decayedRate returns the sum of changes, decayed to now.
func (s *demandShift) decayedRate(now time.Time) float64 {
	return s.movedRate * math.Exp(-now.Sub(s.updatedAt).Seconds()/shiftDecayTime.Seconds())
}

// inProgress reports whether a large part of the reporters' demand has moved.
func (s *demandShift) inProgress(reporters []*reporter, now time.Time) bool {
	totalDemand := 0.0
	for _, r := range reporters {
		totalDemand += r.demandRate
	}
	return s.decayedRate(now) > totalDemand*shiftThreshold
}
