package backends

import (
	"slices"
	"time"

	"bluebellwind.example/ingress"
	"bluebellwind.example/ratelimit"
)

const (
	// maxColdTime bounds how long a server counts as cold at a time.
	maxColdTime = time.Hour
	// coldExtraRequests is how many more requests a cold server counts as having, so that it is
	// chosen less often.
	coldExtraRequests = 2
	// coldSlotShare is the part of the slots of a cold server that is counted on.
	coldSlotShare = 0.5
	// standingMargin is the least ratio between what a budget lets through and what the slots
	// of a server complete at which the budget applies to servers that are not known to be
	// cold.
	standingMargin = 1.5
)

// ColdBound says how many requests reach a cold server in any second, at most: Overshoot times
// the rate that it handles, plus Slack.
type ColdBound struct{ Overshoot, Slack float64 }

// cold is what is known of cold servers. It is not safe for concurrent use.
type cold struct {
	bound   ColdBound
	budgets *ratelimit.Budgets
	// until and notedAt hold, by server ID, until when a server is cold, and when it was last
	// said to be.
	until, notedAt map[string]time.Time
	// restartedAt holds, by server ID, when another start of it was published.
	restartedAt map[string]time.Time
}

func newCold(zone string) cold {
	return cold{
		bound: ColdBound{Overshoot: 1}, budgets: ratelimit.NewBudgets(zone),
		until: make(map[string]time.Time), notedAt: make(map[string]time.Time), restartedAt: make(map[string]time.Time),
	}
}

// note records that a server says that it stays cold for so long; zero for one that is not.
func (c *cold) note(id string, remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		delete(c.until, id)
		delete(c.notedAt, id)
		return
	}
	c.until[id], c.notedAt[id] = now.Add(min(remaining, maxColdTime)), now
}

// published records a published server, which replaces another entry of the same ID if
// previous is not nil. An entry that is read again states nothing new.
func (c *cold) published(s *Server, previous *Server, now time.Time) {
	isNew := previous == nil || previous.ColdRemaining != s.ColdRemaining || previous.Started != s.Started
	if s.ColdRemaining > 0 && isNew {
		c.note(s.ID, s.ColdRemaining, now)
	}
	if previous != nil && previous.Started != s.Started {
		c.restartedAt[s.ID] = now
	}
}

func (c *cold) removed(id string) {
	c.note(id, 0, time.Time{})
	delete(c.restartedAt, id)
	c.budgets.Suspend(id)
}

// remaining returns how long the server is still known to be cold; zero if it is not. A server
// that has started again is cold for the time that the configuration states.
func (c *cold) remaining(id string, service *ingress.Service, now time.Time) time.Duration {
	left := c.until[id].Sub(now)
	if at, restarted := c.restartedAt[id]; restarted && service != nil {
		left = max(left, at.Add(service.ColdStart).Sub(now))
	}
	return max(0, left)
}

func (c *cold) expire(now time.Time) {
	for id, until := range c.until {
		if !now.Before(until) {
			c.note(id, 0, now)
		}
	}
	for id, at := range c.restartedAt {
		if now.Sub(at) >= maxColdTime {
			delete(c.restartedAt, id)
		}
	}
	c.budgets.Expire(now)
}

// EnableColdStart sets the bound on the requests that reach cold servers, and when this gateway
// started. Until then it counts as one that has been running for long.
func (d *Directory) EnableColdStart(bound ColdBound, startedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.bound = bound
	d.cold.budgets.SetStarted(startedAt)
}

// SetColdBound changes the bound on the requests that reach cold servers.
func (d *Directory) SetColdBound(bound ColdBound) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.bound = bound
}

// Joining reports whether this gateway has started so recently that it sends nothing to
// servers that may be cold.
func (d *Directory) Joining(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cold.budgets.Joining(now)
}

// RecordAnswer records that the chosen server has begun to answer and, if known is set, for how
// long it stays cold. It reports whether the server was not known to be cold and is.
func (d *Directory) RecordAnswer(c *Choice, remaining time.Duration, known bool, now time.Time) (becameCold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.budgets.Arrived(c.permit, now)
	d.markReopened(c.ID)
	if !known || remaining <= 0 && !c.pickedAt.After(d.cold.notedAt[c.ID]) {
		return false // The answer may be older than what says that the server is cold.
	}
	wasCold := now.Before(d.cold.until[c.ID])
	if remaining > 0 || wasCold {
		d.cold.note(c.ID, remaining, now)
	}
	if wasCold != (remaining > 0) {
		d.markOutdated(c.Service)
	}
	return remaining > 0 && !wasCold
}

// RecordMisdirected records that another server has answered at the address of the chosen
// one. Such requests do not count for the budget.
func (d *Directory) RecordMisdirected(c *Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cold.budgets.Return(c.ID, c.permit)
	d.markReopened(c.ID)
}

// markReopened marks the routing table as outdated if the server is closed by its budget, of
// which a part has become free or will sooner. The caller holds the lock.
func (d *Directory) markReopened(id string) {
	if e := d.servers[id]; e != nil && e.closedByBudget {
		d.markOutdated(e.Service)
	}
}

// noteReopening notes when a server that is closed by its budget opens again. The caller holds
// the lock.
func (d *Directory) noteReopening(t *serviceTable, e *serverState, now time.Time) {
	if next, ok := d.cold.budgets.Next(e.ID, now); ok && (t.reopensAt.IsZero() || next.Before(t.reopensAt)) {
		t.reopensAt = next
	}
}

// hasReopened reports whether a server that was closed by its budget has opened since.
func (t *serviceTable) hasReopened(now time.Time) bool {
	return !t.reopensAt.IsZero() && !now.Before(t.reopensAt)
}

// ClaimSend reports whether the request may be sent to the chosen server now. It must be called
// right before the first byte is sent.
func (d *Directory) ClaimSend(c *Choice, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cold.budgets.Send(c.ID, c.permit, now)
}

// ColdServers returns the number of servers that are known to be cold, and of those whose
// requests are budgeted.
func (d *Directory) ColdServers(now time.Time) (known, budgeted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, until := range d.cold.until {
		if now.Before(until) {
			known++
		}
	}
	return known, d.cold.budgets.Limited()
}

// updateColdBudgets derives the permits of this gateway for the servers of a service. The
// caller holds the lock.
func (d *Directory) updateColdBudgets(r *PickRequest, now time.Time) {
	if r.Service == nil || r.Service.ColdPerSecond <= 0 {
		d.suspendColdBudgets(r.ServiceName)
		return
	}
	var servers, zones []string
	for id, e := range d.servers {
		if e.Service == r.ServiceName {
			servers = append(servers, id)
		}
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(servers)
	d.cold.budgets.SetServerZones(zones)
	bound := ratelimit.Bound{PerSecond: r.Service.ColdPerSecond, Overshoot: d.cold.bound.Overshoot, Slack: d.cold.bound.Slack}
	limited := func(index int) bool {
		id := servers[index]
		return d.cold.remaining(id, r.Service, now) > 0 || bound.Sustainable() >= standingMargin*completionRate(r.Service, d.servers[id].Slots)
	}
	d.cold.budgets.Update(servers, bound, limited, now)
}

// suspendColdBudgets ends the budgets of the servers of a service, which may have had some by an
// earlier configuration. The caller holds the lock.
func (d *Directory) suspendColdBudgets(service string) {
	if d.cold.budgets.Limited() == 0 {
		return
	}
	for id, e := range d.servers {
		if e.Service == service {
			d.cold.budgets.Suspend(id)
		}
	}
}

// completionRate returns how many requests a second a server with so many slots completes at
// most, by the costs that the configuration states.
func completionRate(s *ingress.Service, slots int) float64 {
	e := s.Engine
	if e == nil {
		return float64(max(1, slots)) / plainCallTime.Seconds()
	}
	requestTime := time.Duration(max(1, e.AnswerTokens)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
	if requestTime <= 0 {
		return float64(max(1, slots)) / plainCallTime.Seconds()
	}
	return float64(max(1, e.Slots)) / requestTime.Seconds()
}

// coldPenalty returns what is added to the backlog of a cold server.
func coldPenalty(s *ingress.Service, slots int) time.Duration {
	return time.Duration(coldExtraRequests / completionRate(s, slots) * float64(time.Second))
}

// coldServersToAvoid returns the cold servers of a service, which a request that is not of the
// most urgent priority avoids while another server that it may use has a free slot. unusable
// has the IDs of the servers that it must not use. The caller holds the lock.
func (d *Directory) coldServersToAvoid(r *PickRequest, t *serviceTable, unusable []string, now time.Time) []string {
	if r.Priority == 0 || r.Service == nil || r.Service.ColdPerSecond <= 0 {
		return nil
	}
	var avoid []string
	free := false
	for i := range t.candidates {
		c := &t.candidates[i]
		switch {
		case d.cold.remaining(c.Server, r.Service, now) > 0:
			avoid = append(avoid, c.Server)
		case free || c.Draining || c.Excluded || c.ZonePenalty >= stalledPenalty || slices.Contains(unusable, c.Server):
		case c.Load.Running+c.Load.Queued[0]+c.Load.Queued[1] < c.Load.Slots:
			// The budget may have been used up since the table was updated.
			e := d.servers[c.Server]
			free = e != nil && !e.closedByBudget
		}
	}
	if !free {
		return nil
	}
	return avoid
}
