package backends

import (
	"time"

	"bluebellwind.example/routing"
)

// routingView builds the routing view of a service. The caller holds the lock.
func (d *Directory) routingView(r *PickRequest, now time.Time) routing.View {
	v := routing.View{ReportPeriod: statusPeriod, MeanTokens: 1, StepTime: plainCallTime}
	if r.usesEngine() {
		e := r.Service.Engine
		v.MeanTokens = float64(max(1, e.AnswerTokens))
		v.StepTime = e.Step + time.Duration(e.Slots)*e.PerSequence
		if e.PrefillPerSecond > 0 {
			v.PrefillPerToken = time.Duration(float64(time.Second) / e.PrefillPerSecond)
		}
		d.updatePassTimes(r.ServiceName, e, now)
	}
	d.updateLimits(r.ServiceName, now)
	d.updateColdBudgets(r, now)
	closed := d.closedGroups(now)
	stalled := d.stalledGroups()
	medians := d.medianPassTimes()
	groupStatuses := d.meanStatuses()
	for id, e := range d.servers {
		if e.Service != r.ServiceName {
			continue
		}
		status, ok := d.statusOrMean(e, groupStatuses)
		c := d.candidate(id, e, status, ok, closed, now)
		if ok && r.usesEngine() {
			slots := usableSlots(r.Service.Engine, d.ensureGroup(e.Group.Name).peakPassTime.passTime, r.MaxPause, r.TimeLimit)
			c.Load.Slots = slotsOfSlowRank(r.Service.Engine, slots, status.RelativePassTime, medians[e.Group.Name])
			c.Excluded = c.Excluded || c.Load.Slots == 0
			if stalled[e.Group.Name] {
				c.ZonePenalty += stalledPenalty
			}
			c.Load.StepTime = status.PassTime / time.Duration(max(1, r.Service.Engine.Stride))
		}
		if d.cold.remaining(id, r.Service, now) > 0 && r.Service.ColdPerSecond > 0 {
			c.ZonePenalty += coldPenalty(r.Service, e.Slots)
			c.Load.Slots = max(min(1, c.Load.Slots), int(coldSlotShare*float64(c.Load.Slots)))
		}
		v.Candidates = append(v.Candidates, c)
	}
	return v
}

// candidate returns the routing candidate for a server with its status, if there is one.
// The caller holds the lock.
func (d *Directory) candidate(id string, e *serverState, status Status, reported bool, closed map[string]bool, now time.Time) routing.Candidate {
	c := routing.Candidate{
		Server:   id,
		Zone:     e.Zone,
		Draining: e.Draining || d.withdrawals.isLeaving(&e.Server),
		Excluded: d.excluded(e, closed, now) || !d.limits.Open(e.limitKey(), now),
		Load:     routing.Load{MeasuredAt: now, Slots: max(1, e.Slots), Running: e.load.Running},
	}
	e.closedByBudget = !c.Excluded && !d.cold.budgets.Open(id, now)
	c.Excluded = c.Excluded || e.closedByBudget
	if e.Zone != d.zone {
		c.ZonePenalty = crossZonePenalty
	}
	if now.Sub(e.loadAt) > statusPeriod {
		c.Load.Running = 0
	}
	if reported {
		c.Load.MeasuredAt = status.ReceivedAt
		c.Load.Running = status.Running
		c.Load.Queued[routing.Standard] = status.Waiting
	}
	return c
}

// excluded reports whether a server must not be chosen for now, for another reason than its
// limit. The caller holds the lock.
func (d *Directory) excluded(e *serverState, closed map[string]bool, now time.Time) bool {
	status, reported := d.statuses[e.Address]
	return d.evacuated[e.Zone] || e.health.excluded(now) || d.withdrawals.backoff(&e.Server, now) > 0 || reported && !status.Up || closed[e.Group.Name]
}

// closedGroups returns the groups that accept no requests. A single rank is enough:
// one that is down, or one of the newest epoch that reports the group as closed. A
// group that a request found broken stays closed until its brokenUntil. The caller
// holds the lock.
func (d *Directory) closedGroups(now time.Time) map[string]bool {
	newest := make(map[string]uint64)
	for _, e := range d.servers {
		newest[e.Group.Name] = max(newest[e.Group.Name], e.Group.Epoch, d.statuses[e.Address].Group.Epoch)
	}
	closed := make(map[string]bool)
	for _, e := range d.servers {
		name := e.Group.Name
		if name == "" {
			continue
		}
		status, reported := d.statuses[e.Address]
		switch {
		case reported && !status.Up:
			closed[name] = true
		case reported && status.Group.Epoch == newest[name] && !status.Open:
			closed[name] = true
		case reported && status.Group.Epoch == newest[name]:
			// The status is newer than the published state.
		case e.Group.Epoch == newest[name] && !e.Open:
			closed[name] = true
		}
	}
	for name, g := range d.groups {
		if now.Before(g.brokenUntil) && newest[name] <= g.brokenEpoch {
			closed[name] = true
		}
	}
	return closed
}
