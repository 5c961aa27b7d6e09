package routing

import (
	"slices"
	"time"
)

const (
	// silencePenaltyFactor is the backlog, in seconds, that is assumed for each
	// second for which a server has been silent beyond the grace period.
	silencePenaltyFactor = 4
	// silenceGracePeriods is the number of report periods for which a server
	// may be silent without penalty.
	silenceGracePeriods = 2
	// defaultStepTime is the time between two tokens that is assumed when
	// neither the report nor the view states one.
	defaultStepTime = 50 * time.Millisecond
)

// estimate is the state that a Picker estimates for one candidate.
type estimate struct {
	// backlog is the time to clear the server's work, in seconds, including the
	// costs of distance, silence and loading an adapter.
	backlog float64
	// serviceTime is the time for which a request holds a slot, in seconds.
	serviceTime float64
	// capacity is the number of requests per second that the server completes
	// when all its slots are in use. It is zero for a candidate that is not
	// eligible.
	capacity float64
	// throughput is the number of requests per second that the server completes
	// at its present load.
	throughput float64
	// weight is the server's share of new requests, relative to the other
	// weights.
	weight float64
	// sentSinceReport is the number of requests that this entry sent to the
	// server since the report.
	sentSinceReport float64
	// reportAge is the age of the report in seconds.
	reportAge float64
}

// eligible reports whether the request may be sent to the candidate.
func eligible(v *View, c *Candidate, r *Request) bool {
	if c.Draining || c.Excluded {
		return false
	}
	if r.Version != "" && r.Version != c.Version {
		return false
	}
	if v.AdapterLoad == 0 && !hasAdapter(c, r) {
		return false
	}
	return !slices.Contains(r.ExcludedServers, c.Server)
}

func hasAdapter(c *Candidate, r *Request) bool {
	return r.Adapter == "" || slices.Contains(c.Adapters, r.Adapter)
}

// newEstimate estimates the candidate's load at now, as seen by the request.
func newEstimate(v *View, c *Candidate, r *Request, now time.Time) estimate {
	slots := float64(max(1, c.Load.Slots))
	requests := float64(requestsAhead(c, r.Priority))
	serviceTime := max(1, v.MeanTokens) * stepTime(v, c).Seconds()
	e := estimate{
		serviceTime:     serviceTime,
		capacity:        slots / serviceTime,
		throughput:      min(requests, slots) / serviceTime,
		sentSinceReport: float64(c.EntryLoad.SentSince),
		reportAge:       max(0, now.Sub(c.Load.MeasuredAt).Seconds()),
	}
	e.backlog = requests/e.capacity + c.ZonePenalty.Seconds() + silencePenalty(v, c, now)
	if !hasAdapter(c, r) {
		e.backlog += v.AdapterLoad.Seconds()
	}
	return e
}

// requestsAhead returns the number of requests that the candidate is running or
// serves before a new one of priority p. It is at least the number that this
// entry has in flight there.
func requestsAhead(c *Candidate, p Priority) int {
	n := c.Load.Running + c.EntryLoad.SentSince
	for q := Priority(0); q <= p && q < Priorities; q++ {
		n += c.Load.Queued[q]
	}
	return max(n, c.EntryLoad.InFlight)
}

// stepTime returns the candidate's time between two tokens. It is never zero.
func stepTime(v *View, c *Candidate) time.Duration {
	switch {
	case c.Load.StepTime > 0:
		return c.Load.StepTime
	case c.Load.TokensPerSecond > 0 && c.Load.Running > 0:
		perToken := float64(c.Load.Running) / c.Load.TokensPerSecond
		return max(1, time.Duration(perToken*float64(time.Second)))
	case v.StepTime > 0:
		return v.StepTime
	}
	return defaultStepTime
}

// silencePenalty returns the additional backlog, in seconds, that is assumed
// for a server that sends neither reports nor tokens: it may be frozen or
// unreachable.
func silencePenalty(v *View, c *Candidate, now time.Time) float64 {
	lastHeard := c.Load.MeasuredAt
	if c.EntryLoad.LastProgress.After(lastHeard) {
		lastHeard = c.EntryLoad.LastProgress
	}
	period := v.ReportPeriod
	if c.ReportPeriod > 0 {
		period = c.ReportPeriod
	}
	overdue := now.Sub(lastHeard) - silenceGracePeriods*period
	return silencePenaltyFactor * max(0, overdue.Seconds())
}
