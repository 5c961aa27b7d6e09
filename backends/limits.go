package backends

import (
	"cmp"
	"slices"
	"time"

	"bluebellwind.example/ratelimit"
)

// SetSelf sets the ID of this gateway, by which it takes its share of the limits of servers.
func (d *Directory) SetSelf(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.SetSelf(id)
	d.cold.budgets.SetSelf(id)
	d.demand.SetSelf(id)
}

// SetGatewayAlive records whether another gateway that sends to the same servers is heard
// of, and its zone.
func (d *Directory) SetGatewayAlive(id, zone string, alive bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.SetAlive(id, alive, now)
	d.cold.budgets.SetAlive(id, zone, alive, now)
}

// RecordLimit records what a response of the chosen server, which arrived now, states about
// the requests that the server takes: so many a second, or nil for no limit. It returns what
// the other gateways should be told.
func (d *Directory) RecordLimit(c *Choice, perSecond *float64, now time.Time) []ratelimit.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasLimited := d.limits.Limited(c.limitKey())
	var changed []ratelimit.Statement
	if perSecond != nil {
		changed = d.limits.RecordLimit(c.limitKey(), *perSecond, now)
	} else {
		changed = d.limits.RecordNoLimit(c.limitKey(), c.pickedAt, now)
	}
	if wasLimited != d.limits.Limited(c.limitKey()) {
		d.markOutdated(c.Service)
	}
	return changed
}

// MergeLimits adds what another gateway tells of the limits of servers.
func (d *Directory) MergeLimits(told []ratelimit.Statement, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.Merge(told, now)
	for i := range told {
		if e := d.servers[told[i].Server.ID]; e != nil {
			d.markOutdated(e.Service)
		}
	}
}

// ActiveLimits returns limits of servers for gateways that missed them.
func (d *Directory) ActiveLimits(now time.Time) []ratelimit.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Active(now)
}

// LimitedServers returns the number of servers that limit their requests.
func (d *Directory) LimitedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Count()
}

func (s *Server) limitKey() ratelimit.Server {
	return ratelimit.Server{ID: s.ID, Started: s.Started}
}

// updateLimits derives the share that this gateway takes of the limits of a service. The
// caller holds the lock.
func (d *Directory) updateLimits(service string, now time.Time) {
	if !d.limits.Any() {
		return
	}
	var servers []ratelimit.Server
	for _, e := range d.servers {
		if e.Service == service {
			servers = append(servers, e.limitKey())
		}
	}
	slices.SortFunc(servers, func(a, b ratelimit.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.limits.Update(servers, now)
}

// takeLimit counts a request that is sent to a server. The caller holds the lock.
func (d *Directory) takeLimit(s *Server, now time.Time) {
	if d.limits.Limited(s.limitKey()) {
		d.limits.Take(s.limitKey(), now)
		d.markOutdated(s.Service)
	}
}

// retryAfterLimits returns after what time a caller that no server can take should retry
// because of the limits of servers or of the budgets of cold ones: each caller is told the time of another request that
// this gateway may send. ok is false if limits are not the reason. The caller holds the
// lock.
func (d *Directory) retryAfterLimits(r *PickRequest, now time.Time) (after time.Duration, ok bool) {
	closed := d.closedGroups(now)
	var first time.Time
	perSecond := 0.0
	for _, e := range d.servers {
		if e.Service != r.ServiceName || !d.allowed(r, e) || e.Draining || d.withdrawals.isLeaving(&e.Server) || d.excluded(e, closed, now) {
			continue
		}
		next, rate := d.nextSend(e, now)
		if !next.After(now) {
			continue
		}
		perSecond += rate
		if first.IsZero() || next.Before(first) {
			first = next
		}
	}
	if first.IsZero() {
		return 0, false
	}
	spacing := time.Duration(float64(time.Second) / perSecond)
	if next := d.promised[r.ServiceName].Add(spacing); next.After(first) {
		first = next
	}
	d.promised[r.ServiceName] = first
	return first.Sub(now), true
}

// nextSend returns when this gateway may next send a request to a server that it may send none
// now because of its limit or budget, and how many a second. The time is zero if neither is the
// reason. The caller holds the lock.
func (d *Directory) nextSend(e *serverState, now time.Time) (at time.Time, perSecond float64) {
	if next, interval, sends := d.limits.Next(e.limitKey()); sends {
		at, perSecond = next, 1/interval.Seconds()
	}
	if next, budgeted := d.cold.budgets.Next(e.ID, now); budgeted && next.After(at) {
		at, perSecond = next, 1
	}
	return at, perSecond
}
