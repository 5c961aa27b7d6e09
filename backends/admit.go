package backends

import (
	"time"

	"bluebellwind.example/routing"
)

const (
	// newcomerShare is the share of the objective that a new request may wait for
	// a slot and still be on time: the prompt is read after it.
	newcomerShare = 0.5
	// returnedWait is how long a request that comes back after a refusal may wait:
	// it is late anyway, and would not come a third time.
	returnedWait = 700 * time.Millisecond
	// resumedWait is how long a request may wait that a server has begun: what was
	// done for it would be lost.
	resumedWait = 2 * time.Second
	// passShare is the share of the longest pause that a pass should take.
	passShare = 0.88
	// leastSlots is the share of the slots that is always used.
	leastSlots = 0.34
	// lastShare is the share of its remaining time that a request may wait at all.
	lastShare = 0.4
)

// pressure is what decides whether a service takes one more request.
type pressure struct {
	backlog routing.Backlog
	// processes is how many gateways send to the servers; each sees its own
	// requests since the last report only.
	processes int
	// service is how long a request holds a slot.
	service time.Duration
}

// wait is how long a new request waits for a slot, about.
func (p pressure) wait() time.Duration {
	b := p.backlog
	if b.Servers == 0 || b.Slots == 0 {
		return 0
	}
	over := b.Reported + b.Sent*max(1, p.processes) + 1 - b.Slots
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(p.service) * float64(over) / float64(b.Slots))
}

// usefulSlots is how many slots of a rank may be used while a pass of its group,
// with so many requests running on a rank, takes as long as it does. All streams
// of a group pause for each pass, so one request too many makes all of them late.
func usefulSlots(slots int, running float64, pass, pause time.Duration) int {
	target := time.Duration(passShare * float64(pause))
	if pause == 0 || pass <= target {
		return slots
	}
	useful := running * float64(target) / float64(pass)
	return min(slots, max(int(useful), int(leastSlots*float64(slots)), 1))
}

// patienceOf is how long the request may wait for a slot. A new one that would
// wait longer is better refused at once, as it would make all that follow late
// as well.
func patienceOf(n Need) time.Duration {
	limit := time.Duration(newcomerShare * float64(n.Objective))
	switch {
	case n.Resumed:
		limit = resumedWait
	case n.Returned:
		limit = returnedWait
	}
	if n.Remaining > 0 {
		limit = min(limit, time.Duration(lastShare*float64(n.Remaining)))
	}
	return limit
}
