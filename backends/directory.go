package backends

import (
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
