package groupmap

import (
	"math"
	"time"
)

const (
	// expertShare is the share of a pass's work that its experts do. The rest does not
	// depend on the map.
	expertShare = 0.85
	// copySlowdown is how much longer passes take while ranks copy experts.
	copySlowdown = 0.15
	// requestSecondsPerGigabyte is how much time of requests a gigabyte copied must
	// save.
	requestSecondsPerGigabyte = 0.6
	// switchDelay is how long a switch takes apart from copying, during which the old
	// map is in use, and switchHold how long it holds up the passes of its group.
	switchDelay = 100 * time.Millisecond
	switchHold  = 30 * time.Millisecond
)

// Worth describes what copies of experts cost and who benefits from them.
type Worth struct {
	// Requests is the number of requests of the group.
	Requests int
	// Lifetime is how long the popularity is expected to last.
	Lifetime time.Duration
	// CopyDuration is how long a rank copies one expert, and Gigabytes its size.
	CopyDuration time.Duration
	Gigabytes    float64
}

// saved returns the time of requests that is saved over the lifetime if the skew of the
// group decreases by gain. skew is that of the map in use.
func (w Worth) saved(gain, skew float64) float64 {
	used := max(0, w.Lifetime-switchDelay-w.CopyDuration).Seconds()
	return float64(w.Requests) * used * expertShare * gain / (1 - expertShare + expertShare*skew)
}

// cost returns the time of requests that the given number of copies has to save. The
// ranks copy at the same time.
func (w Worth) cost(copies, ranks int) float64 {
	slower := float64(w.Requests) * copySlowdown * w.CopyDuration.Seconds() * float64(copies) / float64(max(1, ranks))
	return slower + requestSecondsPerGigabyte*w.Gigabytes*float64(copies)
}

// MinGainPerCopy returns the least gain, see Limits, for which a copy pays off.
// It is infinite if nobody benefits.
func (w Worth) MinGainPerCopy(s Shape, skew float64) float64 {
	saved := w.saved(1, skew)
	if saved <= 0 {
		return math.Inf(1)
	}
	return w.cost(1, s.Ranks) * float64(max(1, s.Sets)) / saved
}

// Justifies reports whether a plan saves more than its copies and its switch cost.
func (w Worth) Justifies(p PlanResult, s Shape) bool {
	hold := float64(w.Requests) * switchHold.Seconds()
	return w.saved(p.SkewBefore-p.SkewAfter, p.SkewBefore) > w.cost(p.Copies, s.Ranks)+hold
}

const (
	// defaultLifetime is assumed until a shift of popularity has been seen.
	defaultLifetime = 3 * time.Second
	// maxLifetime is the longest lifetime that is expected: the requests of a group,
	// each with a popularity of its own, end after seconds. With a minute, groups with 3
	// of 10 slots in use copied three times as much where popularity never shifted.
	maxLifetime = 5 * time.Second
	// minShiftInterval separates two shifts. A shift is seen several times, since counts
	// arrive rank by rank.
	minShiftInterval = 700 * time.Millisecond
	// lifetimeWeight is the weight of a new interval in the moving average.
	lifetimeWeight = 0.3
	// overdueFactor is the multiple of the mean lifetime after which the popularity no
	// longer shifts as it did.
	overdueFactor = 1.5
)

// Lifetime learns from observed shifts how long the popularity of experts lasts.
type Lifetime struct {
	mean time.Duration
	// since is when the present popularity began, or was first seen.
	since time.Time
}

// Begin sets the time from which the present popularity is known, unless it is set.
func (l *Lifetime) Begin(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
}

// Shift records that other experts have come into demand.
func (l *Lifetime) Shift(now time.Time) {
	l.Begin(now)
	interval := now.Sub(l.since)
	if interval < minShiftInterval {
		return
	}
	l.since = now
	if l.mean == 0 {
		l.mean = interval
		return
	}
	l.mean += time.Duration(lifetimeWeight * float64(interval-l.mean))
}

// Age returns for how long the present popularity has been known.
func (l *Lifetime) Age(now time.Time) time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return max(0, now.Sub(l.since))
}

// Remaining returns how long the present popularity is expected to last. Popularity
// that has outlasted earlier ones by far is expected to last as long again, within
// maxLifetime.
func (l *Lifetime) Remaining(now time.Time) time.Duration {
	mean := l.mean
	if mean == 0 {
		mean = defaultLifetime
	}
	age := l.Age(now)
	if age > time.Duration(overdueFactor*float64(mean)) {
		return min(age, maxLifetime)
	}
	return min(max(mean-age, mean/3), maxLifetime)
}
