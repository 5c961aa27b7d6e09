package backends

import (
	"slices"
	"time"

	"bluebellwind.example/ingress"
	"bluebellwind.example/routing"
)

// pools combines the groups that the request may use into the pool of groups that
// are on time and the pool of late ones. Stalled groups are included only if there
// are no others. The caller holds the lock.
func (d *Directory) pools(r *PickRequest, loads map[string]groupLoad, now time.Time) (onTime, late *pool) {
	for _, stalled := range []bool{false, true} {
		onTime, late = &pool{}, &pool{}
		onTimeSlots, allSlots := 0, 0
		for name, load := range loads {
			if load.stalled != stalled {
				continue
			}
			allSlots += load.slots
			if !load.late {
				onTimeSlots += load.slots
			}
			if slices.Contains(r.AvoidGroups, name) {
				continue
			}
			load.sendsPerSecond = d.ensureGroup(name).meter.rateAt(now)
			if load.late {
				late.add(load)
			} else {
				onTime.add(load)
			}
		}
		// Late groups get requests only while those that are on time have no slots.
		onTime.demandShare = float64(onTime.slots) / float64(max(1, onTimeSlots))
		late.demandShare = float64(late.slots) / float64(max(1, allSlots))
		if onTime.groups+late.groups > 0 {
			break
		}
	}
	return onTime, late
}

// serversInGroups returns the IDs of the servers in the named groups. The caller
// holds the lock.
func (d *Directory) serversInGroups(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	var out []string
	for id, e := range d.servers {
		if e.Group.Name != "" && slices.Contains(names, e.Group.Name) {
			out = append(out, id)
		}
	}
	return out
}

// groupLoads returns the loads of the groups that have eligible candidates. The
// caller holds the lock.
func (d *Directory) groupLoads(r *PickRequest, candidates []routing.Candidate, now time.Time) map[string]groupLoad {
	if !r.usesEngine() {
		return nil
	}
	out := make(map[string]groupLoad)
	stalled := d.stalledGroups()
	rankCounts, statuslessCounts := make(map[string]int), make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		e := d.servers[c.Server]
		if c.Draining || c.Excluded && !e.closedByBudget {
			continue // The slots of a server whose budget is used up for a moment count.
		}
		name := e.Group.Name
		load := out[name]
		rankCounts[name]++
		load.slots += c.Load.Slots
		if _, reported := d.statuses[e.Address]; reported {
			load.running += c.Load.Running
			load.waiting += c.Load.Queued[routing.Standard]
			load.reportAge += (now.Sub(c.Load.MeasuredAt) - load.reportAge) / time.Duration(rankCounts[name])
		} else {
			statuslessCounts[name]++
		}
		out[name] = load
	}
	for name, load := range out {
		g := d.ensureGroup(name)
		// For ranks without a status only this process's own requests are known; the
		// other gateways are assumed to have as many in flight.
		load.running += g.inFlight * max(1, r.GatewayCount) * statuslessCounts[name] / rankCounts[name]
		load.stalled = stalled[name]
		load.passTime, load.serviceTime = d.passAndServiceTime(r, g)
		load.late = alwaysLate(r.Service.Engine, g.fullPassTime, r.MaxPause)
		out[name] = load
	}
	return out
}

// passAndServiceTime returns how long a pass of the group takes, and how long a
// request holds a slot. The caller holds the lock.
func (d *Directory) passAndServiceTime(r *PickRequest, g *groupState) (passTime, serviceTime time.Duration) {
	e := r.Service.Engine
	passTime = g.passTime
	if passTime == 0 {
		passTime = time.Duration(max(1, e.Stride)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
	}
	return passTime, passTime * time.Duration(max(1, e.AnswerTokens)) / time.Duration(max(1, e.Stride))
}

// updatePassTimes updates the pass times of the groups of a service from the latest
// statuses. It estimates the time with all slots in use by the costs of its engine.
// The caller holds the lock.
func (d *Directory) updatePassTimes(service string, e *ingress.Engine, now time.Time) {
	running := d.meanRunningPerRank()
	passTimes := make(map[string]time.Duration)
	for _, server := range d.servers {
		s, reported := d.statuses[server.Address]
		if server.Service == service && reported && s.Up && s.PassTime > 0 {
			passTimes[s.Group.Name] = max(passTimes[s.Group.Name], s.PassTime)
		}
	}
	for name, passTime := range passTimes {
		g := d.ensureGroup(name)
		g.passTime = passTime
		g.fullPassTime = scalePassTime(e, e.Slots, passTime, running[name])
		g.peakPassTime.observe(g.fullPassTime, now)
	}
}

// stalledGroups returns the groups that have requests but run no passes, because a
// rank is disconnected, dead or very slow. The caller holds the lock.
func (d *Directory) stalledGroups() map[string]bool {
	stalled := make(map[string]bool)
	for _, s := range d.statuses {
		if s.ReceivedAt.Sub(s.progressAt) >= stallTimeout {
			stalled[s.Group.Name] = true
		}
	}
	return stalled
}

// meanRunningPerRank returns the mean number of running requests of the ranks of each
// group that are up. The caller holds the lock.
func (d *Directory) meanRunningPerRank() map[string]float64 {
	type sum struct{ running, ranks int }
	sums := make(map[string]*sum)
	for _, s := range d.statuses {
		if !s.Up {
			continue
		}
		group := sums[s.Group.Name]
		if group == nil {
			group = &sum{}
			sums[s.Group.Name] = group
		}
		group.running += s.Running
		group.ranks++
	}
	meanRunning := make(map[string]float64, len(sums))
	for name, group := range sums {
		meanRunning[name] = float64(group.running) / float64(group.ranks)
	}
	return meanRunning
}
