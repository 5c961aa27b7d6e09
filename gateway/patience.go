package gateway

import (
	"time"

	"bluebellwind.example/backends"
)

const (
	// A stream that has sent nothing for minStall is resumed at another server once
	// its group has begun stalledAfterPasses passes in that time.
	stalledAfterPasses = 4
	// minStall is longer than a normal pause between two events.
	minStall = 500 * time.Millisecond
	// maxStall is how long a stream may send nothing before it is resumed at
	// another server in any case, unless it may still wait for a slot. Callers
	// abandon a stream after two seconds.
	maxStall = 1300 * time.Millisecond
	// defaultMaxSilence is how long a server may send nothing of use where the request has
	// no deadline.
	defaultMaxSilence = 2 * time.Minute
	// failoverObjectiveShare is the share of the route's objective after which a
	// repeatable request other than a stream is sent to another server if the
	// first sends nothing.
	failoverObjectiveShare = 0.8
)

// stall describes a server that currently sends nothing, and is the basis for
// the decision whether to wait for it any longer.
type stall struct {
	// duration is the time since the server last sent something.
	duration time.Duration
	// objective is the time within which the route's answers should begin.
	objective time.Duration
	stream    bool
	// eventsReceived is set if events of the stream have arrived.
	eventsReceived bool
	// statusKnown is set if the server's status is known. The fields below are
	// used only then.
	statusKnown bool
	// unavailable is set if the server or its group accepts no requests.
	unavailable bool
	// passes is the number of passes that the group has begun since the wait
	// started.
	passes uint64
	// slowsGroup is set if the server is so much slower than the others of its group
	// that the requests which it runs delay all streams of the group past their pause
	// limit.
	slowsGroup bool
	// requestsQueued is set if requests wait for a slot of the server.
	requestsQueued bool
}

// shouldFailOver reports whether the request should be sent to another server.
func (s stall) shouldFailOver() bool {
	if !s.stream {
		return s.duration >= time.Duration(failoverObjectiveShare*float64(s.objective))
	}
	if s.statusKnown && (s.unavailable || s.slowsGroup) {
		return true
	}
	if s.statusKnown && s.requestsQueued && !s.eventsReceived {
		return false
	}
	if s.statusKnown && s.passes >= stalledAfterPasses && s.duration >= minStall {
		return true
	}
	return s.duration >= maxStall
}

// waitPolicy returns the function that decides, while a server sends nothing,
// whether to keep waiting. It starts a standby once another server should be tried, and
// ends the wait only when the standby has an answer. It must be called by the goroutine
// of the exchange.
func (x *exchange) waitPolicy(choice *backends.Choice) func(time.Duration) bool {
	wait := waitObserver{directory: x.g.directory, server: choice.ID}
	return func(silence time.Duration) bool {
		if x.deadline.IsZero() && silence >= x.g.maxSilence {
			x.endStandby()
			return false
		}
		if x.standby != nil {
			if x.standbyAnswered() {
				return false
			}
			x.replaceStandby()
			return true
		}
		if x.wantsStandby(wait.observe(silence), choice, x.eventCount > 0) {
			x.startStandby(choice)
		}
		return true
	}
}

// waitObserver observes a server while it sends nothing. It is used for one wait after
// the other.
type waitObserver struct {
	directory *backends.Directory
	server    string
	// observedAt is when the current wait was last observed.
	observedAt time.Time
	// epoch is that of the server's group when the wait was first observed, if
	// epochKnown is set.
	epoch      uint64
	epochKnown bool
	// firstPass is the last pass in the first status that arrived during the wait, if
	// passKnown is set. An older status does not tell which passes the wait has seen.
	firstPass uint64
	passKnown bool
}

// observe returns what is known of the server. A silence that began after the last
// observation is another wait.
func (w *waitObserver) observe(silence time.Duration) stall {
	now := time.Now()
	began := now.Add(-silence)
	current, known := w.directory.StatusOf(w.server)
	if began.After(w.observedAt) {
		w.epoch, w.epochKnown = current.Group.Epoch, known
		w.passKnown = false
	}
	w.observedAt = now
	s := stall{
		duration:       silence,
		statusKnown:    w.epochKnown && known && current.Group.Epoch == w.epoch,
		unavailable:    !current.Up || !current.Open,
		requestsQueued: current.Waiting > 0,
	}
	if !known || current.ReceivedAt.Before(began) {
		return s
	}
	if !w.passKnown {
		w.firstPass, w.passKnown = current.LastPass, true
	}
	s.passes = current.LastPass - min(current.LastPass, w.firstPass)
	return s
}

// cannotRetry reports whether the request may not be sent to another server, so
// that the gateway can only wait for the current one.
func (x *exchange) cannotRetry() bool {
	return x.retryDenial(outcomeFailed) != "" || x.g.retryBudget.RemainingRetries(x.serviceName, x.g.gatewayCount(), time.Now()) < 1
}
