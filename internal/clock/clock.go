// Package clock provides monotonic clocks and periodic calls.
package clock

import (
	"sync"
	"time"
)

// Clock returns times that never decrease: it reads the wall clock once and then
// adds the elapsed monotonic time. It is safe for concurrent use.
type Clock struct{ start time.Time }

// New returns a clock that starts at the current wall time.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the start time plus the monotonic time elapsed since then.
func (c Clock) Now() time.Time { return c.start.Round(0).Add(time.Since(c.start)) }

// RunTime measures the time during which the process was able to run. If a
// process is stopped for an hour and then continued, that hour counts as at most
// the limit of one tick. It is safe for concurrent use.
type RunTime struct {
	mu    sync.Mutex
	total time.Duration
	last  time.Time
}

// Tick adds the time since the last tick, but at most limit. It must be called at
// intervals of at most limit, or running time is lost.
func (a *RunTime) Tick(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.last.IsZero() {
		a.total += min(max(now.Sub(a.last), 0), limit)
	}
	a.last = now
}

// Total returns the measured time.
func (a *RunTime) Total() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
