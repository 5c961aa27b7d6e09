package ratelimit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// limitTTL is how long a limit applies that no response has confirmed, and how long it
	// is remembered that one was lifted.
	limitTTL = time.Minute
	// maxLimits bounds the servers whose limits are known, maxActive the limits that are
	// told at once.
	maxLimits = 4096
	maxActive = 24
)

// Registry holds the limits that one gateway knows, and its share of each. It is not safe
// for concurrent use.
type Registry struct {
	fleet  fleet
	rng    *rand.Rand
	limits map[Server]*limit
}

// NewRegistry returns a Registry without limits of a gateway that knows no others.
func NewRegistry(rng *rand.Rand) *Registry {
	return &Registry{fleet: fleet{goneAt: make(map[string]time.Time), memory: goneMemory}, rng: rng, limits: make(map[Server]*limit)}
}

// SetSelf sets the ID of this gateway.
func (r *Registry) SetSelf(id string) { r.fleet.self, r.fleet.updatedAt = id, time.Time{} }

// SetAlive records whether another gateway is heard of.
func (r *Registry) SetAlive(id string, alive bool, now time.Time) {
	r.fleet.setAlive(id, alive, now)
}

// Statement is what one gateway tells another of a limit.
type Statement struct {
	Server Server
	// PerSecond is the limit in requests a second; meaningless if Lifted is set.
	PerSecond float64
	Lifted    bool
	// Age is how long ago the server last said so.
	Age time.Duration
}

func (l *limit) statement(s Server, now time.Time) Statement {
	return Statement{Server: s, PerSecond: l.perSecond, Lifted: l.lifted, Age: max(0, now.Sub(l.confirmedAt))}
}

// RecordLimit records that a server has stated a limit in a response that arrived now. It
// returns what the other gateways should be told.
func (r *Registry) RecordLimit(s Server, perSecond float64, now time.Time) []Statement {
	l := r.ensureLimit(s)
	if l == nil {
		return nil
	}
	tell := l.needsTelling(perSecond)
	l.apply(perSecond, now, now)
	if !tell {
		return nil
	}
	l.toldPerSecond = perSecond
	return []Statement{l.statement(s, now)}
}

// ensureLimit returns the limit of a server and creates a lifted one if it is missing; nil
// if there are too many.
func (r *Registry) ensureLimit(s Server) *limit {
	l := r.limits[s]
	if l == nil && len(r.limits) < maxLimits {
		l = &limit{lifted: true}
		r.limits[s] = l
	}
	return l
}

// RecordNoLimit records that a server has stated no limit in its response to a request that
// was sent at sentAt. It returns what the other gateways should be told.
func (r *Registry) RecordNoLimit(s Server, sentAt, now time.Time) []Statement {
	l := r.limits[s]
	if !l.applies() || sentAt.Before(l.confirmedAt.Add(crossingTime)) {
		return nil
	}
	l.lift(now)
	return []Statement{l.statement(s, now)}
}

// Merge adds what another gateway tells.
func (r *Registry) Merge(told []Statement, now time.Time) {
	for i := range told {
		if l := r.ensureLimit(told[i].Server); l != nil {
			l.merge(&told[i], now)
		}
	}
}

// merge adopts what another gateway tells if it is newer. The same limit must be newer by
// clockTolerance, so that its time does not drift as gateways tell each other.
func (l *limit) merge(told *Statement, now time.Time) {
	at := now.Add(-max(0, told.Age))
	if told.Lifted == l.lifted && told.PerSecond == l.perSecond {
		at = at.Add(-clockTolerance)
	}
	if !at.After(l.confirmedAt) {
		return
	}
	l.toldPerSecond = told.PerSecond
	if told.Lifted {
		l.lift(at)
		return
	}
	l.apply(told.PerSecond, at, now)
}

// Active returns at most maxActive limits, drawn at random, for gateways that missed them.
func (r *Registry) Active(now time.Time) []Statement {
	var active []Statement
	for s, l := range r.limits {
		active = append(active, l.statement(s, now))
	}
	r.rng.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	return active[:min(len(active), maxActive)]
}

// Expire forgets the limits that have not been confirmed for limitTTL.
func (r *Registry) Expire(now time.Time) {
	maps.DeleteFunc(r.limits, func(_ Server, l *limit) bool { return now.Sub(l.confirmedAt) >= limitTTL })
}

// Any reports whether a limit of any server applies.
func (r *Registry) Any() bool { return r.Count() > 0 }

// Count returns the number of servers whose limit applies.
func (r *Registry) Count() int {
	count := 0
	for _, l := range r.limits {
		if l.applies() {
			count++
		}
	}
	return count
}

// Update derives the share that this gateway takes of the limits of a service. servers are
// all its servers, in the same order in all gateways.
func (r *Registry) Update(servers []Server, now time.Time) {
	position, gateways := r.fleet.order(now)
	for i, s := range servers {
		if l := r.limits[s]; l.applies() {
			l.setInterval(sendInterval(l.perSecond, position, gateways, i, len(servers)), now, r.rng)
		}
	}
}

// Position returns the position of this gateway among those that may send, and their number.
// The order is the same in all gateways that know the same ones.
func (r *Registry) Position(now time.Time) (position, gateways int) { return r.fleet.order(now) }

// Limited reports whether a limit of the server applies.
func (r *Registry) Limited(s Server) bool { return r.limits[s].applies() }

// Open reports whether this gateway may send a request to the server now.
func (r *Registry) Open(s Server, now time.Time) bool {
	l := r.limits[s]
	return !l.applies() || l.open(now)
}

// Take counts a request that this gateway sends to the server now.
func (r *Registry) Take(s Server, now time.Time) {
	if l := r.limits[s]; l.applies() {
		l.take(now)
	}
}

// Next returns when this gateway may next send a request to a server with a limit, and the
// time between two. ok is false if it sends none.
func (r *Registry) Next(s Server) (at time.Time, interval time.Duration, ok bool) {
	l := r.limits[s]
	if !l.applies() || l.interval == 0 {
		return time.Time{}, 0, false
	}
	return l.nextAt, l.interval, true
}
