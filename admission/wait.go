package admission

import (
	"math"
	"time"
)

// minDrainShare is the least share of the slots that become free that is assumed to be left
// for a priority, however many more urgent requests arrive.
const minDrainShare = 0.1

// Load is the load of the slots that a request may use. Counts are of all gateways.
type Load struct {
	// Slots is the number of slots, Running how many are in use and Waiting how many
	// requests wait for one, both as last reported.
	Slots, Running, Waiting int
	// Arrived and Ended estimate how many requests were sent and have ended since.
	Arrived, Ended float64
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
}

// Estimate is the estimated wait of a new request for a slot.
type Estimate struct {
	Wait time.Duration
	// Reserve is the number of slots that are reserved for more urgent requests.
	Reserve float64
	// Ahead is the number of requests ahead of it, and the reserve.
	Ahead float64
}

// EstimateWait estimates how long a new request of the priority waits for a slot. Servers
// start waiting requests by priority: less urgent ones are not ahead of it, and more urgent
// ones that arrive during its wait are. Without known demand all that wait are ahead of it.
func EstimateWait(l *Load, d *Demand, priority int) Estimate {
	if l.Slots <= 0 || l.ServiceTime <= 0 {
		return Estimate{}
	}
	priority = ClampPriority(priority)
	slots := float64(l.Slots)
	freedPerSecond := slots / l.ServiceTime.Seconds()
	excess := float64(l.Running+l.Waiting) + l.Arrived - l.Ended + 1 - slots
	aheadPerSecond := d.moreUrgentPerSecond(priority)
	estimate := Estimate{Reserve: reserve(aheadPerSecond / freedPerSecond)}
	ahead := excess + estimate.Reserve
	if excess > 1 {
		ahead -= l.lessUrgentWaiting(d, priority, excess-1)
	}
	if ahead <= 0 {
		return estimate
	}
	estimate.Ahead = ahead
	drain := max(freedPerSecond-aheadPerSecond, minDrainShare*freedPerSecond)
	estimate.Wait = time.Duration(ahead / drain * float64(time.Second))
	return estimate
}

// reserve returns how many slots are reserved for the given number of requests that arrive on
// average until a slot becomes free: that number and its standard deviation.
func reserve(arrivals float64) float64 { return arrivals + math.Sqrt(arrivals) }

// lessUrgentWaiting returns how many of the waiting requests are less urgent than the
// priority. Requests that have arrived since the report took the slots that were free then,
// whatever their priority.
func (l *Load) lessUrgentWaiting(d *Demand, priority int, waiting float64) float64 {
	reported := min(waiting, float64(l.Waiting))
	arrived := min(waiting-reported, l.Arrived)
	return reported*lessUrgentShare(&d.Unanswered, priority) + arrived*lessUrgentShare(&d.PerSecond, priority)
}
