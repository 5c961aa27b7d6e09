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
