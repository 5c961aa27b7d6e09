package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// budgetWindow is the window in which arrivals at a server are counted. The
	// hundredth more than a second covers the granularity of clocks.
	budgetWindow = 1010 * time.Millisecond
	// maxTransit is how long after it was sent a request may still arrive if nothing shows
	// that it has: it covers several retransmissions.
	maxTransit = 3 * time.Second
	// joinTime is how long a gateway sends nothing under a budget after its start: requests
	// of the process before it may still arrive, and the other gateways must hear of it.
	joinTime = 1500 * time.Millisecond
	// aloneTime is how long after its start a gateway that has heard of no other one has at
	// most one permit for each server: it may be cut off.
	aloneTime = time.Minute
	// budgetMemory is how long a gateway that is no longer heard of keeps its permits. Unlike
	// the shares of stated limits, those of a budget must hold in a long partition.
	budgetMemory = 10 * time.Minute
	// A part of a budget is not given out, for gateways that others count differently:
	// one in reserveDivisor.
	reserveDivisor = 11
	// handoverTime is how long a gateway waits before it uses permits that it did not have
	// before. When gateways come and go, permits move from one to another, which may not have
	// heard of it yet, or has used them within the window.
	handoverTime = 2500 * time.Millisecond
	// maxHold is how long a permit that was taken may be unused before its request is sent.
	// A gateway that was frozen for longer may have missed that there are more gateways.
	maxHold = time.Second
)

// Bound says how many requests a cold server takes in any second.
type Bound struct{ PerSecond, Overshoot, Slack float64 }

// requests returns the number of requests that all gateways together may send to a server in
// any second, without the reserve. It is at least 1, as a server without requests could not
// say that it is warm.
func (b Bound) requests() int {
	n := int(math.Floor(min(b.PerSecond*b.Overshoot+b.Slack, math.MaxInt32)))
	return max(1, n-n/reserveDivisor)
}

// Sustainable returns the rate at which all gateways together can send to a server without
// a refusal for the budget: each permit is in use for about as long again as the window.
func (b Bound) Sustainable() float64 { return float64(b.requests()) / 2 }

// Permit is the right to send one request to a server. It is in use from the choice of the
// server until no arrival of another request can be less than a window later than the
// arrival of this one. The zero time of a field means that it has not happened.
type Permit struct {
	takenAt, sentAt, arrivedBy time.Time
}

// freeAt returns when the permit is free again; zero if that is not known.
func (p *Permit) freeAt() time.Time {
	if p.sentAt.IsZero() {
		return time.Time{}
	}
	by := p.sentAt.Add(maxTransit)
	if !p.arrivedBy.IsZero() && p.arrivedBy.Before(by) {
		by = p.arrivedBy
	}
	return by.Add(budgetWindow)
}

// account holds the permits of this gateway for one server.
type account struct {
	// permits is the number of permits in force; limited says that the budget applies now.
	permits int
	limited bool
	// more is the least number of permits, above those in force, that this gateway should have
	// had since it should have more; they are in force from moreAt on. Zero if it should not.
	more   int
	moreAt time.Time
	used   []*Permit
	// usedAt is when the account was last updated or a permit was taken.
	usedAt time.Time
}

// setPermits changes the number of permits: at once if there are fewer, after handoverTime if
// there are more.
func (a *account) setPermits(n int, now time.Time) {
	switch {
	case n <= a.permits:
		a.permits, a.moreAt = n, time.Time{}
	case a.moreAt.IsZero():
		a.more, a.moreAt = n, now.Add(handoverTime)
	default:
		a.more = min(a.more, n)
		if !now.Before(a.moreAt) {
			a.permits, a.moreAt = a.more, time.Time{}
		}
	}
}

func (a *account) expire(now time.Time) {
	a.used = slices.DeleteFunc(a.used, func(p *Permit) bool {
		free := p.freeAt()
		return !free.IsZero() && !now.Before(free)
	})
}

// Budgets holds the share of one gateway of the number of requests that servers take in any
// second. The share follows from the gateways that it knows; nothing is exchanged. It is not
// safe for concurrent use.
type Budgets struct {
	fleet    fleet
	zone     string
	zones    map[string]string
	allZones []string
	// heardZones are the zones of gateways that count, as of heardAt.
	heardZones map[string]bool
	heardAt    time.Time
	startedAt  time.Time
	// accounts is keyed by server ID: a server that has started again has the same address,
	// and requests for its earlier start may arrive at it.
	accounts map[string]*account
}

// NewBudgets returns the Budgets of a gateway in a zone that knows no others.
func NewBudgets(zone string) *Budgets {
	return &Budgets{
		fleet: fleet{goneAt: make(map[string]time.Time), memory: budgetMemory}, zone: zone,
		zones: make(map[string]string), accounts: make(map[string]*account),
	}
}

// SetSelf sets the ID of this gateway.
func (b *Budgets) SetSelf(id string) { b.fleet.self, b.fleet.updatedAt = id, time.Time{} }

// SetStarted sets when this gateway started. Without it, the gateway counts as one that has
// been running for long.
func (b *Budgets) SetStarted(at time.Time) { b.startedAt = at }

// Joining reports whether this gateway has started so recently that it must not send.
func (b *Budgets) Joining(now time.Time) bool {
	return !b.startedAt.IsZero() && now.Sub(b.startedAt) < joinTime
}

// SetAlive records whether another gateway is heard of, and its zone.
func (b *Budgets) SetAlive(id, zone string, alive bool, now time.Time) {
	b.fleet.setAlive(id, alive, now)
	b.zones[id], b.heardZones = zone, nil
}

// SetServerZones sets the availability zones, each once, that have servers of any service.
func (b *Budgets) SetServerZones(zones []string) { b.allZones = zones }

// Update derives the permits of this gateway for the servers of a service, whose IDs must be
// sorted. The budget applies to the server at an index if limited returns true for it.
func (b *Budgets) Update(servers []string, bound Bound, limited func(index int) bool, now time.Time) {
	position, gateways := b.fleet.order(now)
	position, gateways = b.scaleToAllZones(position, gateways)
	for i, id := range servers {
		permits := share(bound.requests(), position, gateways, i, len(servers))
		if b.alone(now) {
			permits = min(permits, 1)
		}
		a := b.accounts[id]
		if a == nil {
			a = &account{permits: permits}
			b.accounts[id] = a
		}
		a.setPermits(permits, now)
		a.limited, a.usedAt = limited(i), now
		a.expire(now)
	}
}

// alone reports whether this gateway has started lately and has heard of no other one.
func (b *Budgets) alone(now time.Time) bool {
	return len(b.fleet.goneAt) == 0 && !b.startedAt.IsZero() && now.Sub(b.startedAt) < aloneTime
}

// scaleToAllZones returns the position and the number of gateways if those zones of which no
// gateway has been heard have as many gateways as the others have on average. A gateway that
// starts in a zone that is cut off does not know the gateways of the other zones.
func (b *Budgets) scaleToAllZones(position, gateways int) (scaledPosition, scaledGateways int) {
	if b.heardZones == nil || !b.heardAt.Equal(b.fleet.updatedAt) {
		b.heardZones, b.heardAt = map[string]bool{b.zone: true}, b.fleet.updatedAt
		for id := range b.fleet.goneAt {
			b.heardZones[b.zones[id]] = true
		}
	}
	heard := b.heardZones
	all := len(heard)
	for _, zone := range b.allZones {
		if !heard[zone] {
			all++
		}
	}
	if all == len(heard) {
		return position, gateways
	}
	scaled := (gateways*all + len(heard) - 1) / len(heard)
	return position * scaled / gateways, scaled
}

// share returns the number of permits of the gateway at a position among so many gateways for
// the server at an index among the servers of its service. The shares of all gateways add up
// to the requests.
func share(requests, position, gateways, index, servers int) int {
	permits := requests / gateways
	first := index * gateways / servers
	if (position-first+gateways)%gateways < requests%gateways {
		permits++
	}
	return permits
}

// Suspend ends the budget of a server until the next update of it. Permits stay in use.
func (b *Budgets) Suspend(id string) {
	if a := b.accounts[id]; a != nil {
		a.limited = false
	}
}

// Expire forgets servers that have not been updated for budgetMemory.
func (b *Budgets) Expire(now time.Time) {
	for id, a := range b.accounts {
		if now.Sub(a.usedAt) >= budgetMemory {
			delete(b.accounts, id)
		}
	}
	for id := range b.zones {
		if _, known := b.fleet.goneAt[id]; !known {
			delete(b.zones, id)
		}
	}
}

// Open reports whether this gateway may send a request to the server now.
func (b *Budgets) Open(id string, now time.Time) bool {
	a := b.accounts[id]
	if a == nil || !a.limited {
		return true
	}
	a.expire(now)
	return !b.Joining(now) && len(a.used) < a.permits
}

// Take takes a permit for a request to the server. It returns nil if the server has no
// budget. Permits of a server whose budget does not apply now are counted as well, as it
// may apply soon.
func (b *Budgets) Take(id string, now time.Time) *Permit {
	a := b.accounts[id]
	if a == nil {
		return nil
	}
	a.usedAt = now
	a.expire(now)
	p := &Permit{takenAt: now}
	a.used = append(a.used, p)
	return p
}

// Send reports whether the request that has taken the permit may be sent now, and counts it
// as sent if so. It must be called right before the first byte is sent.
func (b *Budgets) Send(id string, p *Permit, now time.Time) bool {
	a := b.accounts[id]
	if p == nil || a == nil {
		return true
	}
	a.expire(now)
	if a.limited && (b.Joining(now) || now.Sub(p.takenAt) >= maxHold || len(a.used) > a.permits) {
		return false
	}
	if !p.sentAt.IsZero() || !slices.Contains(a.used, p) {
		return !a.limited
	}
	p.sentAt = now
	return true
}

// Arrived records that the request has reached the server, since it has answered.
func (b *Budgets) Arrived(p *Permit, now time.Time) {
	if p != nil && p.arrivedBy.IsZero() {
		p.arrivedBy = now
	}
}

// Return frees the permit of a request that has not been sent, or that does not count.
func (b *Budgets) Return(id string, p *Permit) {
	if a := b.accounts[id]; a != nil && p != nil {
		a.used = slices.DeleteFunc(a.used, func(q *Permit) bool { return q == p })
	}
}

// Sent reports whether the request of the permit has been sent.
func (p *Permit) Sent() bool { return p != nil && !p.sentAt.IsZero() }

// Next returns when this gateway may next send a request to a server to which it may send
// none now because of the budget. ok is false if the budget is not the reason, or if the
// gateway has no permits for the server.
func (b *Budgets) Next(id string, now time.Time) (at time.Time, ok bool) {
	a := b.accounts[id]
	if a == nil || b.Open(id, now) || a.permits == 0 {
		return time.Time{}, false
	}
	if b.Joining(now) {
		return b.startedAt.Add(joinTime), true
	}
	for _, p := range a.used {
		if free := p.freeAt(); !free.IsZero() && (at.IsZero() || free.Before(at)) {
			at = free
		}
	}
	if at.IsZero() {
		at = now.Add(budgetWindow)
	}
	return at, true
}

// Limited returns the number of servers whose budget applies now.
func (b *Budgets) Limited() int {
	count := 0
	for _, a := range b.accounts {
		if a.limited {
			count++
		}
	}
	return count
}
