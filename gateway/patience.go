package gateway

import (
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

const (
	// stepsMissed is how many passes a group may make while a stream in it
	// stays silent.
	stepsMissed = 4
	// shortSilence is a silence that is no pause between two events.
	shortSilence = 500 * time.Millisecond
	// longSilence is the silence after which a stream is resumed elsewhere
	// whatever is known of its server; callers give a stream up after two seconds.
	longSilence = 1300 * time.Millisecond
	// repeatShare is the share of the objective after which a request that may
	// be repeated is sent to another server, as the first is silent.
	repeatShare = 0.8
)

// silence is what decides whether to wait on for a server that sends nothing.
type silence struct {
	lasts time.Duration
	// objective of the route.
	objective time.Duration
	stream    bool
	// begun says that events of the stream have arrived.
	begun bool
	// known says that the status of the server is known; the rest is zero else.
	known bool
	// down says that the server or its group takes no requests.
	down bool
	// steps is how many passes the group has begun since the last byte.
	steps uint64
	// waiting says that requests wait for a slot of the server.
	waiting bool
}

// hopeless says that the request should be sent to another server.
func (s silence) hopeless() bool {
	if !s.stream {
		return s.lasts >= time.Duration(repeatShare*float64(s.objective))
	}
	if s.known && s.down {
		return true
	}
	if s.known && s.waiting && !s.begun {
		return false
	}
	if s.known && s.steps >= stepsMissed && s.lasts >= shortSilence {
		return true
	}
	return s.lasts >= longSilence
}

// patience returns the question that is asked while a server sends nothing. It
// ends the wait only for a request that another server may take.
func (x *exchange) patience(choice *backends.Choice) func(time.Duration) bool {
	first, known := x.g.directory.StatusOf(choice.ID)
	return func(lasts time.Duration) bool {
		now, stillKnown := x.g.directory.StatusOf(choice.ID)
		s := silence{
			lasts:     lasts,
			objective: x.route.Objective,
			stream:    x.route.Repeat == ingress.Stream,
			begun:     x.events > 0,
			known:     known && stillKnown && now.Group.Epoch == first.Group.Epoch,
			down:      !now.Up || !now.Open,
			waiting:   now.Waiting > 0,
		}
		if s.known {
			s.steps = now.Step - min(now.Step, first.Step)
		}
		return !s.hopeless() || x.stuck()
	}
}

// stuck says that no other server may take the request, so that waiting is all
// that is left.
func (x *exchange) stuck() bool {
	return x.barred(broken) != "" || x.g.budget.Left(x.name, x.g.processes(), time.Now()) < 1
}
