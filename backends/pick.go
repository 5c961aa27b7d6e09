package backends

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"bluebellwind.example/admission"
	"bluebellwind.example/ingress"
	"bluebellwind.example/ratelimit"
	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

const (
	// statusPeriod is the usual interval between two statuses of a model server.
	statusPeriod = 200 * time.Millisecond
	// maxViewAge bounds the age of the view, the candidates and their loads, from
	// which a routing table was last updated. The view is rebuilt regularly because
	// the end of an exclusion does not mark the table as outdated.
	maxViewAge = 50 * time.Millisecond
	// crossZonePenalty is added to the backlog of a server in another availability
	// zone, so that the own zone is preferred among equally loaded servers.
	crossZonePenalty = 2 * time.Millisecond
	// stalledPenalty is added to the backlog of the servers of a stalled group, so
	// that they are chosen only if there are no others.
	stalledPenalty = 30 * time.Second
	// plainCallTime is the assumed duration of a call to a plain service.
	plainCallTime = 40 * time.Millisecond
	// A caller that is refused because of a closed group is told to retry after
	// groupRetryAfter plus a random delay below groupRetryJitter. After the loss of a
	// rank its group stalls first; then the rank restarts and joins a new epoch.
	groupRetryAfter  = 2100 * time.Millisecond
	groupRetryJitter = 600 * time.Millisecond
	// plainRetryAfter and plainRetryJitter are the same delays where no group is
	// closed and the servers are excluded for other reasons.
	plainRetryAfter  = 300 * time.Millisecond
	plainRetryJitter = 300 * time.Millisecond
	// overloadRetryAfter is the least delay after a refusal for load: callers that return
	// sooner are not recognised by the time that they have left. The delay is at most
	// maxReturnShare of that time, as callers wait no longer than a third of it, and at most
	// maxOverloadRetryAfter.
	overloadRetryAfter    = 1200 * time.Millisecond
	maxOverloadRetryAfter = 2500 * time.Millisecond
	maxReturnShare        = 0.33
)

// PickRequest describes a request for which a server is chosen.
type PickRequest struct {
	// Service is nil if the configuration does not describe the service.
	Service *ingress.Service
	// ServiceName is the name of the service.
	ServiceName string
	// PromptTokens is the length of the prompt in tokens; zero for plain services.
	PromptTokens int
	// BodyBytes is the size of the body, by which a prompt without a stated length is
	// estimated.
	BodyBytes int
	// AnswerTokens is the length of the answer that the caller expects, in tokens;
	// zero if it does not say.
	AnswerTokens int
	// TriedServers are the IDs of the servers that have been tried before.
	TriedServers []string
	// StartObjective is the time from the arrival of the request within which the
	// answer should begin.
	// UntilDeadline is the time left until the caller's deadline; zero if it set
	// none.
	StartObjective, UntilDeadline time.Duration
	// TimeLimit is the whole time that the route gives a request; zero for no limit.
	TimeLimit time.Duration
	// MaxPause is the longest allowed pause between two events of the stream;
	// zero for no limit.
	MaxPause time.Duration
	// RefusedBefore says that the caller retries after a refusal. SentBefore says
	// that a server may already have received the request.
	RefusedBefore, SentBefore bool
	// CallerUninformed says that the caller is not told of a refusal, because another
	// attempt goes on or follows.
	CallerUninformed bool
	// Organisation is the name of the caller's organisation; empty if it has none.
	// Priority is the priority of the request; 0 is the most urgent.
	Organisation string
	Priority     int
	// GatewayCount is the number of gateways that send to the same servers.
	GatewayCount int
	// AvoidGroups are the groups in which the request has failed before.
	AvoidGroups []string
	// ConnectedAddresses has the addresses of servers to which an idle connection is open
	// that the request may use.
	ConnectedAddresses map[string]bool
	// HomeRegions are the regions whose servers may get the request; nil if all may.
	HomeRegions []string

	// share is the share of the organisation; nil while no request would wait.
	share *admission.Share
}

// usesEngine reports whether the servers are model engines. Plain services report
// no load and refuse excess requests themselves.
func (r *PickRequest) usesEngine() bool { return r.Service != nil && r.Service.Engine != nil }

// Choice is the server chosen for a request, which counts as in flight there until
// Release is called. The owner must call Release exactly once.
type Choice struct {
	Server
	// Running and Waiting are the counts of requests in the server's latest status,
	// which was StatusAge old. They are meaningless for servers without a status.
	Running, Waiting int
	StatusAge        time.Duration
	// ExpectedWait is the estimated wait for a slot, and Reserve the number of slots that
	// were reserved for more urgent requests.
	ExpectedWait time.Duration
	Reserve      float64

	// pickedAt is when the server was chosen.
	pickedAt time.Time
	// permit counts the request against the budget of the server; nil if it has none.
	permit    *ratelimit.Permit
	routed    *routing.Choice
	directory *Directory
	group     *groupState
	// unanswered is set until the first event of a request to a model engine. priority is
	// the priority of the request.
	unanswered atomic.Bool
	priority   int
	// releaseCache takes back what the request takes of the server's cache.
	releaseCache func()
}

// Release records that the request no longer runs on the server.
func (c *Choice) Release() {
	c.routed.Release()
	c.recordAnswered()
	c.directory.mu.Lock()
	defer c.directory.mu.Unlock()
	c.group.inFlight--
	if c.permit != nil && !c.permit.Sent() {
		c.directory.cold.budgets.Return(c.ID, c.permit)
		c.directory.markReopened(c.ID)
	}
	c.releaseCache()
}

// RecordProgress records that the server sent data at the given time.
func (c *Choice) RecordProgress(now time.Time) {
	c.routed.RecordProgress(now)
	c.recordAnswered()
}

// recordAnswered records that the request no longer waits for its first event.
func (c *Choice) recordAnswered() {
	if c.unanswered.Load() && c.unanswered.CompareAndSwap(true, false) {
		c.directory.mu.Lock()
		defer c.directory.mu.Unlock()
		c.directory.demand.RecordAnswered(c.Service, c.priority)
	}
}

// Pick chooses the server for a request. The error is a *verdict.Error with NotRun
// and the delay after which the caller may retry. Its code is Overloaded if the
// request would wait too long for a slot, and Unavailable if no server can be chosen.
func (d *Directory) Pick(r PickRequest, now time.Time) (*Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkCacheSize(&r); err != nil {
		return nil, err
	}
	t := d.currentTable(&r, now)
	if refusal := d.checkServers(&r); refusal != nil {
		return nil, refusal
	}
	d.recordArrival(&r, now)
	unusable := append(d.serversInGroups(r.AvoidGroups), d.serversElsewhere(&r)...)
	full := d.serversWithFullCache(&r)
	unusable = append(append(unusable, full...), r.TriedServers...)
	var admitted decision
	var otherServers []string
	if r.usesEngine() {
		var err error
		if admitted, otherServers, err = d.admit(&r, t, now); err != nil {
			return nil, err
		}
	}
	choice, err := d.pickServer(&r, t, append(otherServers, unusable...), now)
	if err != nil && len(otherServers) > 0 {
		// No server of the pool that admission chose can take the request.
		if admitted, otherServers, err = d.admitToOtherPool(&r, t, admitted.latePool, now); err == nil {
			choice, err = d.pickServer(&r, t, append(otherServers, unusable...), now)
		}
	}
	if err != nil {
		return nil, d.noServer(&r, len(full) > 0, now)
	}
	e := d.servers[choice.Server]
	if e == nil {
		choice.Release()
		return nil, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the backend server has left").WithRetryAfter(plainRetryAfter)
	}
	return d.place(&r, t, e, choice, &admitted, now), nil
}

// pickServer chooses a server that is not in excluded. The caller holds the lock.
func (d *Directory) pickServer(r *PickRequest, t *serviceTable, excluded []string, now time.Time) (*routing.Choice, error) {
	excluded = append(excluded, d.coldServersToAvoid(r, t, excluded, now)...)
	return t.table.Pick(routing.Request{
		PromptTokens: r.PromptTokens, ExcludedServers: excluded,
		ConnectedServers: d.connectedServers(r.ServiceName, r.ConnectedAddresses),
	}, now)
}

// currentTable returns the table of the service of a request, which it updates if it is
// outdated. The caller holds the lock.
func (d *Directory) currentTable(r *PickRequest, now time.Time) *serviceTable {
	t := d.tables[r.ServiceName]
	if t == nil {
		t = &serviceTable{table: routing.NewTable(d.seed), outdated: true}
		d.tables[r.ServiceName] = t
	}
	d.markAddressesOutdated()
	if !t.outdated && now.Sub(t.updatedAt) <= maxViewAge && !t.hasReopened(now) {
		return t
	}
	d.updateSubset(t, r.ServiceName, now)
	view := d.routingView(r, now)
	for i := range view.Candidates {
		view.Candidates[i].Preferred = t.subset.servers[view.Candidates[i].Server]
	}
	t.table.Update(view)
	t.groupLoads = d.groupLoads(r, view.Candidates, now)
	t.candidates, t.regionLoads = view.Candidates, make(map[string]map[string]groupLoad)
	t.reopensAt = time.Time{}
	for _, e := range d.servers {
		if e.Service == r.ServiceName && e.closedByBudget {
			d.noteReopening(t, e, now)
		}
	}
	t.outdated, t.updatedAt = false, now
	return t
}

// noServer returns the refusal of a request that no server can take. cacheFull says that
// caches of servers that could take it are full. The caller holds the lock.
func (d *Directory) noServer(r *PickRequest, cacheFull bool, now time.Time) error {
	if after, limited := d.retryAfterLimits(r, now); limited {
		return verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the backend servers limit their requests").WithRetryAfter(after)
	}
	if cacheFull {
		return cacheRefusal()
	}
	cause := fmt.Errorf("%d servers known, closed groups: %v", len(d.servers), slices.Sorted(maps.Keys(d.closedGroups(now))))
	return verdict.Wrap(verdict.Unavailable, verdict.NotRun, "no backend server can take this request", cause).
		WithRetryAfter(d.retryAfterUnavailable(r, now))
}

// place counts a request as sent to the chosen server. The caller holds the lock.
func (d *Directory) place(r *PickRequest, t *serviceTable, e *serverState, choice *routing.Choice, admitted *decision, now time.Time) *Choice {
	d.takeLimit(&e.Server, now)
	permit := d.cold.budgets.Take(e.ID, now)
	if permit != nil && !d.cold.budgets.Open(e.ID, now) {
		t.table.Exclude(e.ID)
		e.closedByBudget = true
		d.noteReopening(t, e, now)
	}
	g := d.ensureGroup(e.Group.Name)
	g.inFlight++
	g.meter.record(now)
	status := d.statuses[e.Address]
	picked := &Choice{
		Server: e.Server, Running: status.Running, Waiting: status.Waiting, StatusAge: now.Sub(status.ReceivedAt),
		ExpectedWait: admitted.expectedWait, Reserve: admitted.reserve,
		pickedAt: now, permit: permit, routed: choice, directory: d, group: g, priority: r.Priority,
		releaseCache: e.takeCache(r),
	}
	if r.usesEngine() {
		picked.unanswered.Store(true)
		d.demand.RecordSent(r.ServiceName, r.Priority)
	}
	return picked
}

// admit applies admission control. It returns the IDs of the servers that an
// admitted request must not use because they belong to the other pool. The error is
// as for Pick. The caller holds the lock.
func (d *Directory) admit(r *PickRequest, t *serviceTable, now time.Time) (admitted decision, otherServers []string, err error) {
	loads := d.loadsFor(r, t)
	onTime, late := d.pools(r, loads, now)
	if onTime.groups+late.groups == 0 {
		return decision{}, nil, nil // The table's Pick returns the reason.
	}
	demand := d.demand.Total(r.ServiceName, r.GatewayCount, now)
	r.share = d.shareIfShort(r, onTime, late, &demand, now)
	admitted = admit(r, onTime, late, &demand)
	if !admitted.admitted {
		cause := newOverload(r, &admitted, onTime, late)
		after, ok := d.returnTime(r, &admitted, onTime, late, now)
		reason := "all slots are taken and others wait"
		if !ok {
			reason += ", and no slot is expected to be free in time"
		}
		return decision{}, nil, verdict.Wrap(verdict.Overloaded, verdict.NotRun, reason, cause).WithRetryAfter(after)
	}
	var otherGroups []string
	for name, g := range loads {
		if g.late != admitted.latePool {
			otherGroups = append(otherGroups, name)
		}
	}
	return admitted, d.serversInGroups(otherGroups), nil
}

// admitToOtherPool applies admission control to the pool of groups that is not the given one,
// and is otherwise as admit. The caller holds the lock.
func (d *Directory) admitToOtherPool(r *PickRequest, t *serviceTable, latePool bool, now time.Time) (admitted decision, otherServers []string, err error) {
	other := *r
	other.CallerUninformed = true // The caller is told why the given pool refuses.
	other.AvoidGroups = slices.Clone(r.AvoidGroups)
	for name, g := range d.loadsFor(r, t) {
		if g.late == latePool {
			other.AvoidGroups = append(other.AvoidGroups, name)
		}
	}
	return d.admit(&other, t, now)
}

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

// StatusOf returns the latest status of a server, and whether there is one.
func (d *Directory) StatusOf(id string) (Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return Status{}, false
	}
	s, ok := d.statuses[e.Address]
	return s, ok
}
