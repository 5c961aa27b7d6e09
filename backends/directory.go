package backends

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/admission"
	"bluebellwind.example/ratelimit"
	"bluebellwind.example/routing"
)

const (
	// statusTTL is how long a server's status is used after it arrived.
	statusTTL = 1500 * time.Millisecond
	// stallTimeout is how long a group that has requests may run no pass before it
	// counts as stalled.
	stallTimeout = 450 * time.Millisecond
	// restoredHoldTime is how long a server that was removed before a restore of the
	// source is held back if the source publishes it again. By then the entry of a
	// server that is gone has expired.
	restoredHoldTime = 5 * time.Second
)

// Directory is the set of backend servers. It is safe for concurrent use.
type Directory struct {
	zone string
	seed uint64
	rng  *rand.Rand

	mu sync.Mutex
	// servers is keyed by server ID.
	servers map[string]*serverState
	// statuses is keyed by address, because an agent knows its server only by address.
	statuses map[string]Status
	// changedAddresses are those of statuses that have changed since markAddressesOutdated.
	changedAddresses map[string]struct{}
	// groups is keyed by group name, tables by service name.
	groups map[string]*groupState
	tables map[string]*serviceTable
	// withdrawals knows the servers that want no requests.
	withdrawals withdrawals
	// limits knows the servers that limit their requests, and promised has for each service
	// the latest time at which a caller was told to retry because of them.
	limits   *ratelimit.Registry
	promised map[string]time.Time
	// cold knows the servers that are cold.
	cold cold
	// demand knows the demand at all gateways.
	demand *admission.Registry
	// heldBack holds, by ID, the servers that a restored source publishes again
	// although they were removed before.
	heldBack map[string]heldServer
	// memberDigest combines the IDs of servers.
	memberDigest uint64
	// evacuated holds the evacuated zones. While awaitsEvacuations is set they are not
	// known, and no server is chosen.
	evacuated         map[string]bool
	awaitsEvacuations bool
	// regions holds the region of each zone that the settings name.
	regions map[string]string
	// noCacheBound switches the bound on key-value caches off; set by tests only.
	noCacheBound bool
}

// heldServer is a published server that is not used before until.
type heldServer struct {
	Server
	until time.Time
}

// serverState is one published server with its health and its latest stated load.
type serverState struct {
	Server
	health health
	// expiresAt is when a server that is no longer published is removed, unless
	// it is published again; zero while it is published.
	expiresAt time.Time
	// load is what the server stated in the response received at loadAt.
	load   Load
	loadAt time.Time
	// closedByBudget says that the budget of the server was the only reason to exclude it
	// from the latest view.
	closedByBudget bool
	// cache is what the requests of this process take of the server's cache.
	cache cacheUse
}

// groupState is what this process knows about one group of ranks.
type groupState struct {
	// brokenUntil is when a group that a request found broken may be chosen
	// again. A group that reports an epoch after brokenEpoch may be chosen sooner.
	brokenUntil time.Time
	brokenEpoch uint64
	// passTime is the last measured duration of a pass, fullPassTime the estimate
	// with all slots in use, and peakPassTime the decaying peak of that estimate.
	// All are zero until a pass has been measured.
	passTime, fullPassTime time.Duration
	peakPassTime           passPeak
	// inFlight is the number of requests of this process in the group, and meter
	// measures the rate at which this process sends requests to it.
	inFlight int
	meter    sendMeter
}

// NewDirectory returns an empty directory for a process in an availability zone.
// Processes must use different seeds so that they do not all choose the same
// servers.
func NewDirectory(zone string, seed uint64) *Directory {
	rng := rand.New(rand.NewPCG(seed, ^seed))
	return &Directory{
		zone:     zone,
		seed:     seed,
		rng:      rng,
		servers:  make(map[string]*serverState),
		statuses: make(map[string]Status),
		groups:   make(map[string]*groupState),
		tables:   make(map[string]*serviceTable),

		changedAddresses: make(map[string]struct{}),

		withdrawals: newWithdrawals(),
		limits:      ratelimit.NewRegistry(rng),
		promised:    make(map[string]time.Time),
		cold:        newCold(zone),
		demand:      admission.NewRegistry(rng),
		heldBack:    make(map[string]heldServer),
	}
}

// Put adds or replaces a published server, and reports whether it was unknown or differs in
// more than the time that it stays cold.
func (d *Directory) Put(s Server) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = true
	if e := d.servers[s.ID]; e != nil {
		known := e.Server
		known.ColdRemaining = s.ColdRemaining
		changed = known != s
	}
	d.put(s, time.Now())
	return changed
}

// put implements Put. The caller holds the lock.
func (d *Directory) put(s Server, now time.Time) {
	e := d.servers[s.ID]
	if e == nil {
		e = &serverState{}
		d.servers[s.ID] = e
		d.memberDigest ^= hashID(s.ID)
		d.cold.published(&s, nil, now)
	} else {
		d.cold.published(&s, &e.Server, now)
	}
	e.Server = s
	e.expiresAt = time.Time{}
	delete(d.heldBack, s.ID)
	d.withdrawals.markPublished(&s, now)
	d.markOutdated(s.Service)
}

// drop removes a server for good. The caller holds the lock.
func (d *Directory) drop(e *serverState, now time.Time) {
	delete(d.servers, e.ID)
	d.memberDigest ^= hashID(e.ID)
	d.withdrawals.markRemoved(&e.Server, now)
	d.cold.removed(e.ID)
	d.markOutdated(e.Service)
}

// MemberDigest returns a digest of the IDs of all servers, including those within
// their grace period. Directories with the same servers have the same digest.
func (d *Directory) MemberDigest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.memberDigest
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails.
	return h.Sum64()
}

// Remove removes a server. With a grace period, a server that is not draining can
// still be chosen for that long, and stays if it is published again.
func (d *Directory) Remove(id string, grace time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heldBack, id)
	e := d.servers[id]
	if e == nil {
		return
	}
	if grace > 0 && !e.Draining {
		if e.expiresAt.IsZero() {
			e.expiresAt = now.Add(grace)
		}
		return
	}
	d.drop(e, now)
}

// Replace sets the published servers. Servers that are missing from the list are
// removed as by Remove with the grace period. It returns the IDs of the missing
// servers.
func (d *Directory) Replace(published []Server, grace time.Duration, now time.Time) []string {
	present := make(map[string]bool, len(published))
	for _, s := range published {
		present[s.ID] = true
		d.Put(s)
	}
	var missing []string
	for _, id := range d.IDs() {
		if !present[id] {
			missing = append(missing, id)
			d.Remove(id, grace, now)
		}
	}
	return missing
}

// Restore is like Replace for the servers that a restored source publishes. Those
// that were removed before the restore are held back for restoredHoldTime: their
// entries come from an older copy, and a server that is alive publishes itself again
// sooner.
func (d *Directory) Restore(published []Server, grace time.Duration, now time.Time) []string {
	var current []Server
	for _, s := range published {
		if !d.holdBack(s, now) {
			current = append(current, s)
		}
	}
	return d.Replace(current, grace, now)
}

// holdBack holds a server back if it was removed before, and reports whether it is
// held back.
func (d *Directory) holdBack(s Server, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.withdrawals.wasRemoved(&s) {
		return false
	}
	if _, held := d.heldBack[s.ID]; !held {
		d.heldBack[s.ID] = heldServer{Server: s, until: now.Add(restoredHoldTime)}
	}
	return true
}

// Expire removes servers whose grace period has ended and statuses older than
// statusTTL, and adds the servers that are no longer held back. It returns the IDs of
// the removed servers.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []string
	for id, e := range d.servers {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			expired = append(expired, id)
			d.drop(e, now)
		}
	}
	for _, held := range d.heldBack {
		if now.After(held.until) {
			d.put(held.Server, now)
		}
	}
	d.withdrawals.expire(now, func(i incarnation) bool {
		e := d.servers[i.id]
		return e != nil && e.incarnation() == i
	})
	d.limits.Expire(now)
	d.cold.expire(now)
	d.demand.Expire(now)
	for address, s := range d.statuses {
		if now.Sub(s.ReceivedAt) > statusTTL {
			delete(d.statuses, address)
			d.changedAddresses[address] = struct{}{}
		}
	}
	d.markAddressesOutdated()
	return expired
}

// IDs returns the IDs of all servers, sorted.
func (d *Directory) IDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.servers))
}

// Servers returns all servers, including those within their grace period. Those that
// are known to leave are marked as draining.
func (d *Directory) Servers() []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Server, 0, len(d.servers))
	for _, e := range d.servers {
		s := e.Server
		s.Draining = s.Draining || d.withdrawals.isLeaving(&s)
		out = append(out, s)
	}
	return out
}

// UpdateStatus stores the status that an agent read from the server at an
// address. A status that was read before the stored one, or is of an older epoch
// although the server is up in both, is ignored. UpdateStatus returns whether the
// address is new or its Up or Open value changed.
func (d *Directory) UpdateStatus(address string, s Status) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updateStatus(address, s)
}

// UpdateStatuses stores the statuses of the servers at several addresses, see
// UpdateStatus. It returns the indexes of those that are new or whose Up or Open value
// changed.
func (d *Directory) UpdateStatuses(addresses []string, statuses []Status) (changed []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, address := range addresses {
		if d.updateStatus(address, statuses[i]) {
			changed = append(changed, i)
		}
	}
	return changed
}

// updateStatus implements UpdateStatus. The caller holds the lock.
func (d *Directory) updateStatus(address string, s Status) (changed bool) {
	old, known := d.statuses[address]
	if known && s.ReadStamp != 0 && old.ReadStamp != 0 && s.ReadStamp <= old.ReadStamp {
		return false
	}
	if known && s.Up && old.Up && s.Group.Epoch < old.Group.Epoch {
		return false
	}
	if !s.Up && s.Group.Name == "" {
		s.Group = old.Group // A server that is down cannot report its group.
	}
	s.progressAt = s.ReceivedAt
	if known && s.Running > 0 && s.LastPass == old.LastPass && s.Group == old.Group {
		s.progressAt = old.progressAt
	}
	s.ownRequests = d.ownRequestsAt(address)
	d.statuses[address] = s
	d.changedAddresses[address] = struct{}{}
	return !known || old.Open != s.Open || old.Up != s.Up
}

// MarkGroupBroken records that a request found the group of a server broken.
// The group is excluded until the given time, or until one of its ranks reports
// a newer epoch. MarkGroupBroken returns false if the server is in no known group.
func (d *Directory) MarkGroupBroken(id string, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil || e.Group.Name == "" {
		return false
	}
	g := d.ensureGroup(e.Group.Name)
	g.brokenUntil = until
	g.brokenEpoch = max(e.Group.Epoch, d.statuses[e.Address].Group.Epoch)
	d.markOutdated(e.Service)
	return true
}

// ensureGroup returns the state of a group and creates it if it is missing. The
// caller holds the lock.
func (d *Directory) ensureGroup(name string) *groupState {
	g := d.groups[name]
	if g == nil {
		g = &groupState{}
		d.groups[name] = g
	}
	return g
}

// RecordFailure records a failed request to a server. connectFailed says that no
// connection could be opened. The group of the server is not excluded for it,
// because the network path may be at fault.
func (d *Directory) RecordFailure(id string, connectFailed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.recordFailure(now, connectFailed)
		d.markOutdated(e.Service)
	}
}

// RecordServerError records a complete response that reports an error of the
// server itself.
func (d *Directory) RecordServerError(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.recordServerError(now)
		d.markOutdated(e.Service)
	}
}

// RecordSuccess records a complete response of a server, and the load stated in it.
func (d *Directory) RecordSuccess(id string, load *Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	e.health.recordSuccess(now)
	if load != nil {
		e.load, e.loadAt = *load, now
		d.markOutdated(e.Service)
	}
}

// MarkLeaving records that a server has said itself that it leaves. It gets no new
// requests from then on, whatever the source publishes, until another incarnation of
// it is published. MarkLeaving reports whether that was not known before.
func (d *Directory) MarkLeaving(id string, now time.Time) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return false
	}
	d.markOutdated(e.Service)
	return d.withdrawals.markLeaving(&e.Server, now)
}

// MarkLeavingIncarnation is like MarkLeaving for what another gateway has heard of one
// start of a server. It does nothing if another start is published here.
func (d *Directory) MarkLeavingIncarnation(id string, started int64, now time.Time) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil || e.Started != started {
		return false
	}
	d.markOutdated(e.Service)
	return d.withdrawals.markLeaving(&e.Server, now)
}

// BackOff records that a server wants no requests from this process for the given
// time, at most maxBackoff.
func (d *Directory) BackOff(id string, duration time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	d.withdrawals.backOff(&e.Server, duration, now)
	d.markOutdated(e.Service)
}

// Withdrawn reports whether a chosen server wants no requests, for good or for a
// time. It may have said so since it was chosen.
func (d *Directory) Withdrawn(s *Server, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withdrawals.isLeaving(s) || d.withdrawals.backoff(s, now) > 0
}

// markAddressesOutdated marks the routing tables of all services that have a server at one
// of the changed addresses as outdated. Many statuses arrive between two requests, so the
// servers are searched once for all of them. The caller holds the lock.
func (d *Directory) markAddressesOutdated() {
	if len(d.changedAddresses) == 0 {
		return
	}
	for _, e := range d.servers {
		if _, changed := d.changedAddresses[e.Address]; changed {
			d.markOutdated(e.Service)
		}
	}
	clear(d.changedAddresses)
}

// markOutdated marks the routing table of a service as outdated. The caller holds
// the lock.
func (d *Directory) markOutdated(service string) {
	if t := d.tables[service]; t != nil {
		t.outdated = true
	}
}

// serviceTable is the routing table of one service.
type serviceTable struct {
	table     *routing.Table
	outdated  bool
	updatedAt time.Time
	// groupLoads are the loads of the groups that may be chosen, by group name; nil
	// for plain services. candidates are the servers of the view that they were derived
	// from, and regionLoads the loads of the servers in some regions only, by the list of
	// regions.
	groupLoads  map[string]groupLoad
	candidates  []routing.Candidate
	regionLoads map[string]map[string]groupLoad
	subset      subset
	// reopensAt is when the first server that is closed by its budget opens again, as far
	// as that is known; zero if there is none.
	reopensAt time.Time
}
