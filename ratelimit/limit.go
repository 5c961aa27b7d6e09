package ratelimit

import (
	"math/rand/v2"
	"time"
)

const (
	// minLimit is the least limit that is applied, in requests a second. A server that
	// takes no requests at all could not say when it does again.
	minLimit = 0.1
	// savedShare is the part of an interval by which a request may be late without
	// postponing those after it.
	savedShare = 0.5
	// toldChange is the least relative change of a limit that other gateways are told at
	// once.
	toldChange = 0.1
	// clockTolerance is the least difference between two reports of one time that counts.
	clockTolerance = 50 * time.Millisecond
	// crossingTime is how long responses of a server may overtake each other on their way
	// to gateways.
	crossingTime = 100 * time.Millisecond
)

// Server identifies one start of a backend server, as backends.Server does.
type Server struct {
	ID      string
	Started int64
}

// limit is what is known of the limit of one server.
type limit struct {
	// perSecond is the number of requests a second that the server takes; meaningless if
	// it has lifted its limit.
	perSecond float64
	lifted    bool
	// confirmedAt is when the server last stated, or lifted, the limit.
	confirmedAt time.Time
	// toldPerSecond is the limit that the other gateways have been told last.
	toldPerSecond float64
	// interval is the time between two requests of this gateway; zero if it has sent none
	// since idleSince. The next one may be sent at nextAt.
	interval          time.Duration
	idleSince, nextAt time.Time
}

// applies reports whether there is a limit.
func (l *limit) applies() bool { return l != nil && !l.lifted }

// setInterval sets the time between two requests of this gateway; zero if it sends none.
// A gateway that begins to send waits for a random part of the interval, so that gateways
// do not begin together.
func (l *limit) setInterval(interval time.Duration, now time.Time, rng *rand.Rand) {
	switch {
	case interval == 0:
		l.idleSince = now
	case l.interval == 0:
		l.nextAt = l.idleSince.Add(time.Duration(rng.Float64() * float64(interval)))
	case interval < l.interval && l.nextAt.After(now.Add(interval)):
		l.nextAt = now.Add(interval)
	}
	l.interval = interval
}

// apply sets a limit that applies from now on.
func (l *limit) apply(perSecond float64, confirmedAt, now time.Time) {
	if l.lifted {
		l.interval, l.idleSince = 0, now
	}
	l.perSecond, l.lifted, l.confirmedAt = perSecond, false, confirmedAt
}

// lift ends the limit.
func (l *limit) lift(confirmedAt time.Time) { l.lifted, l.confirmedAt = true, confirmedAt }

// open reports whether this gateway may send a request now.
func (l *limit) open(now time.Time) bool { return l.interval > 0 && !now.Before(l.nextAt) }

// take counts a request that this gateway sends now.
func (l *limit) take(now time.Time) {
	saved := now.Add(-time.Duration(savedShare * float64(l.interval)))
	if l.nextAt.Before(saved) {
		l.nextAt = saved
	}
	l.nextAt = l.nextAt.Add(l.interval)
}

// needsTelling reports whether the other gateways should be told at once that the server
// has stated perSecond.
func (l *limit) needsTelling(perSecond float64) bool {
	change := perSecond - l.toldPerSecond
	return l.lifted || max(change, -change) > toldChange*l.toldPerSecond
}
