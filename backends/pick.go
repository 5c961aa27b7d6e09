package backends

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellwind.example/ingress"
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
	// overloadRetryAfter and overloadRetryJitter are the same delays where all slots
	// are in use.
	overloadRetryAfter  = 1200 * time.Millisecond
	overloadRetryJitter = 1300 * time.Millisecond
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
	// GatewayCount is the number of gateways that send to the same servers.
	GatewayCount int
	// AvoidGroups are the groups in which the request has failed before.
	AvoidGroups []string
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
	// ExpectedWait is the estimated wait for a slot.
	ExpectedWait time.Duration

	// pickedAt is when the server was chosen.
	pickedAt  time.Time
	routed    *routing.Choice
	directory *Directory
	group     *groupState
	// releaseCache takes back what the request takes of the server's cache.
	releaseCache func()
}

// Release records that the request no longer runs on the server.
func (c *Choice) Release() {
	c.routed.Release()
	c.directory.mu.Lock()
	defer c.directory.mu.Unlock()
	c.group.inFlight--
	c.releaseCache()
}

// RecordProgress records that the server sent data at the given time.
func (c *Choice) RecordProgress(now time.Time) { c.routed.RecordProgress(now) }

// Pick chooses the server for a request. The error is a *verdict.Error with NotRun
// and the delay after which the caller may retry. Its code is Overloaded if the
// request would wait too long for a slot, and Unavailable if no server can be chosen.
func (d *Directory) Pick(r PickRequest, now time.Time) (*Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkCacheSize(&r); err != nil {
		return nil, err
	}
	t := d.tables[r.ServiceName]
	if t == nil {
		t = &serviceTable{table: routing.NewTable(d.seed), outdated: true}
		d.tables[r.ServiceName] = t
	}
	if t.outdated || now.Sub(t.updatedAt) > maxViewAge {
		view := d.routingView(&r, now)
		t.table.Update(view)
		t.groupLoads = d.groupLoads(&r, view.Candidates, now)
		t.outdated, t.updatedAt = false, now
	}
	excluded := d.serversInGroups(r.AvoidGroups)
	var expectedWait time.Duration
	if r.usesEngine() {
		admitted, otherServers, err := d.admit(&r, t, now)
		if err != nil {
			return nil, err
		}
		expectedWait, excluded = admitted.expectedWait, append(excluded, otherServers...)
	}
	full := d.serversWithFullCache(&r)
	excluded = append(excluded, full...)
	choice, err := t.table.Pick(routing.Request{PromptTokens: r.PromptTokens, ExcludedServers: append(excluded, r.TriedServers...)}, now)
	if err != nil {
		if after, limited := d.retryAfterLimits(r.ServiceName, now); limited {
			return nil, verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the backend servers limit their requests").WithRetryAfter(after)
		}
		if len(full) > 0 {
			return nil, cacheRefusal()
		}
		cause := fmt.Errorf("%d servers known, closed groups: %v", len(d.servers), slices.Sorted(maps.Keys(d.closedGroups(now))))
		return nil, verdict.Wrap(verdict.Unavailable, verdict.NotRun, "no backend server can take this request", cause).
			WithRetryAfter(d.retryAfterUnavailable(r.ServiceName, now))
	}
	e := d.servers[choice.Server]
	if e == nil {
		choice.Release()
		return nil, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the backend server has left").WithRetryAfter(plainRetryAfter)
	}
	d.takeLimit(&e.Server, now)
	g := d.ensureGroup(e.Group.Name)
	g.inFlight++
	g.meter.record(now)
	status := d.statuses[e.Address]
	return &Choice{
		Server: e.Server, Running: status.Running, Waiting: status.Waiting, StatusAge: now.Sub(status.ReceivedAt), ExpectedWait: expectedWait,
		pickedAt: now, routed: choice, directory: d, group: g,
		releaseCache: e.takeCache(&r),
	}, nil
}

// admit applies admission control. It returns the IDs of the servers that an
// admitted request must not use because they belong to the other pool. The error is
// as for Pick. The caller holds the lock.
func (d *Directory) admit(r *PickRequest, t *serviceTable, now time.Time) (admitted decision, otherServers []string, err error) {
	onTime, late := d.pools(r, t, now)
	if onTime.groups+late.groups == 0 {
		return decision{}, nil, nil // The table's Pick returns the reason.
	}
	admitted = admit(r, onTime, late)
	if !admitted.admitted {
		cause := fmt.Errorf("expected wait %d ms, limit %d ms: %d and %d run and wait for %d slots with passes of %d ms, and %d for %d slots with passes of %d ms in late groups",
			admitted.expectedWait.Milliseconds(), admitted.maxWait.Milliseconds(), onTime.running, onTime.waiting, onTime.slots,
			onTime.passTime.Milliseconds(), late.running+late.waiting, late.slots, late.passTime.Milliseconds())
		return decision{}, nil, verdict.Wrap(verdict.Overloaded, verdict.NotRun, "all slots are taken and others wait", cause).
			WithRetryAfter(d.retryAfterOverload(admitted.expectedWait))
	}
	var otherGroups []string
	for name, g := range t.groupLoads {
		if g.late != admitted.latePool {
			otherGroups = append(otherGroups, name)
		}
	}
	return admitted, d.serversInGroups(otherGroups), nil
}

// pools combines the groups that the request may use into the pool of groups that
// are on time and the pool of late ones. Stalled groups are included only if there
// are no others. The caller holds the lock.
func (d *Directory) pools(r *PickRequest, t *serviceTable, now time.Time) (onTime, late *pool) {
	for _, stalled := range []bool{false, true} {
		onTime, late = &pool{}, &pool{}
		for name, load := range t.groupLoads {
			if load.stalled != stalled || slices.Contains(r.AvoidGroups, name) {
				continue
			}
			load.sendsPerSecond = d.ensureGroup(name).meter.rateAt(now)
			if load.late {
				late.add(load)
			} else {
				onTime.add(load)
			}
		}
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
		if c.Draining || c.Excluded {
			continue
		}
		e := d.servers[c.Server]
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
	meanRunning := make(map[string]float64)
	rankCounts := make(map[string]float64)
	for _, s := range d.statuses {
		if s.Up {
			meanRunning[s.Group.Name] += float64(s.Running)
			rankCounts[s.Group.Name]++
		}
	}
	for name := range meanRunning {
		meanRunning[name] /= rankCounts[name]
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
	return e.health.excluded(now) || d.withdrawals.backoff(&e.Server, now) > 0 || reported && !status.Up || closed[e.Group.Name]
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
