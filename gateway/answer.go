package gateway

import (
	"strconv"
	"time"

	"bluebellwind.example/ingress"
)

// answer is what the caller has been sent of the answer to its request.
type answer struct {
	// headerSent is set once the caller has been sent the header of a stream or of
	// a response too large to buffer.
	headerSent bool
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID    uint64
	hasLastEventID bool
	// mediaType is that of the response with which a stream began.
	mediaType string
	// lastEventHasID is set if the latest event sent to the caller had an ID. Without one it
	// is not known where another server would have to go on.
	lastEventHasID bool
	// idsSkipped is set if an event sent to the caller had another ID than the one that
	// follows that of the event before.
	idsSkipped bool
	// eventCount is the number of events sent to the caller.
	eventCount int
	// firstEventLatency is the time from the arrival of the request to its first
	// event.
	firstEventLatency time.Duration
	// lastEventAt is when the latest event was sent to the caller, and longestPause the
	// longest time between two events.
	lastEventAt  time.Time
	longestPause time.Duration
}

// startAfter sets the last event that the caller has received before, if it names one.
func (a *answer) startAfter(lastEventID string) {
	id, err := strconv.ParseUint(lastEventID, 10, 64)
	if err == nil {
		a.lastEventID, a.hasLastEventID = id, true
	}
}

// has reports whether the caller has the event already.
func (a *answer) has(ev event) bool {
	return ev.hasID && a.hasLastEventID && ev.id <= a.lastEventID
}

// recordEvent records an event that the caller has been sent at now.
func (a *answer) recordEvent(ev event, now time.Time) {
	if ev.hasID {
		a.idsSkipped = a.idsSkipped || a.hasLastEventID && ev.id != a.lastEventID+1
		a.lastEventID, a.hasLastEventID = ev.id, true
	}
	a.lastEventHasID = ev.hasID
	if a.eventCount > 0 {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.eventCount++
}

// lateness is how an answer missed the latency objectives of its route.
type lateness string

const (
	// onTime means that the objectives were met.
	onTime lateness = ""
	// lateStart means that the answer, or the first event of a stream, was late.
	lateStart lateness = "start"
	// latePause means that the pause between two events was too long.
	latePause lateness = "pause"
)

// lateness returns how an answer that took elapsed missed the objectives of the route.
func (a *answer) lateness(route *ingress.Route, elapsed time.Duration) lateness {
	start := elapsed
	if a.eventCount > 0 {
		start = a.firstEventLatency
	}
	switch {
	case route == nil:
		return onTime
	case route.Objective > 0 && start > route.Objective:
		return lateStart
	case route.PauseObjective > 0 && a.longestPause > route.PauseObjective:
		return latePause
	}
	return onTime
}

// resumable reports whether another server can go on with the answer, or begin it.
func (a *answer) resumable() bool {
	return !a.headerSent || a.eventCount > 0 && a.lastEventHasID
}

// continuation returns what a response must be like to go on with the answer; nil if the
// caller has not been sent anything yet.
func (a *answer) continuation() *continuation {
	if !a.headerSent {
		return nil
	}
	return &continuation{lastID: a.lastEventID, consecutive: !a.idsSkipped, mediaType: a.mediaType}
}
