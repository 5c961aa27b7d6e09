package backends

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/routing"
)

const (
	// statusLifetime is how long the status of a server counts after it arrived.
	statusLifetime = 1500 * time.Millisecond
	// stallAfter is how long a group that has work makes no pass until it counts
	// as stalled.
	stallAfter = 450 * time.Millisecond
)

// Directory is the set of backend servers. It is safe for concurrent use.
type Directory struct {
	zone string
	seed uint64
	rng  *rand.Rand

	mu      sync.Mutex
	servers map[string]*entry
	// statuses by address, which is all that an agent knows of its server.
	statuses map[string]Status
	groups   map[string]*group
	tables   map[string]*serviceTable
}

// entry is one published server.
type entry struct {
	Server
	health health
	// lapses is when a server that is no longer published goes, unless it is
	// published again; zero while it is published.
	lapses time.Time
	// load is what the server stated in an answer at loadAt.
	load   Load
	loadAt time.Time
}

// group is what is known of one group of ranks.
type group struct {
	// brokenUntil is when a group that requests found broken is tried again,
	// unless its ranks say otherwise before.
	brokenUntil time.Time
	brokenEpoch uint64
	// pass is how long passes take, and full how long with all slots in use; peak
	// is the latter of late. Zero while nothing is known.
	pass, full time.Duration
	peak       passPeak
	// inFlight is how many requests of this process are there, and meter how many
	// it sends.
	inFlight int
	meter    sendMeter
}

// NewDirectory returns an empty directory for a process in a zone. Processes
// use different seeds, so that they do not all choose alike.
func NewDirectory(zone string, seed uint64) *Directory {
	return &Directory{
		zone:     zone,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, ^seed)),
		servers:  make(map[string]*entry),
		statuses: make(map[string]Status),
		groups:   make(map[string]*group),
		tables:   make(map[string]*serviceTable),
	}
}

// Put adds or replaces a published server.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[s.ID]
	if e == nil {
		e = &entry{}
		d.servers[s.ID] = e
	}
	e.Server = s
	e.lapses = time.Time{}
	d.touch(s.Service)
}

// Remove takes a server out; with a grace it stays in choice for that long,
// unless it is published again.
func (d *Directory) Remove(id string, grace time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	if grace > 0 && !e.Draining {
		if e.lapses.IsZero() {
			e.lapses = now.Add(grace)
		}
		return
	}
	delete(d.servers, id)
	d.touch(e.Service)
}

// Replace sets the published servers. Those that are missing are removed, with
// the grace of Remove. It returns the IDs of those.
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

// Expire removes servers whose grace has ended, and statuses that are outdated.
// It returns the IDs of the servers.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []string
	for id, e := range d.servers {
		if !e.lapses.IsZero() && now.After(e.lapses) {
			gone = append(gone, id)
			delete(d.servers, id)
			d.touch(e.Service)
		}
	}
	for address, s := range d.statuses {
		if now.Sub(s.At) > statusLifetime {
			delete(d.statuses, address)
			d.touchAddress(address)
		}
	}
	return gone
}

// IDs returns the IDs of all servers, sorted.
func (d *Directory) IDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.servers))
}

// Published returns the servers, also those that are given time to come back.
func (d *Directory) Published() []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Server, 0, len(d.servers))
	for _, e := range d.servers {
		out = append(out, e.Server)
	}
	return out
}

// Report takes the status that an agent read from the server at an address. It
// reports whether the group's being open changed by it.
func (d *Directory) Report(address string, s Status) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.statuses[address]
	if known && s.Up && old.Up && s.Group.Epoch < old.Group.Epoch {
		return false
	}
	if !s.Up && s.Group.Name == "" {
		s.Group = old.Group // A dead server cannot say where it belonged.
	}
	s.stepped = s.At
	if known && s.Running > 0 && s.Step == old.Step && s.Group == old.Group {
		s.stepped = old.stepped
	}
	d.statuses[address] = s
	d.touchAddress(address)
	return !known || old.Open != s.Open || old.Up != s.Up
}

// GroupBroken notes that a request found the group of a server broken. It is
// left out until retry, or until its ranks say that it opened in a new epoch.
func (d *Directory) GroupBroken(id string, retry time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil || e.Group.Name == "" {
		return
	}
	g := d.group(e.Group.Name)
	g.brokenUntil = retry
	g.brokenEpoch = max(e.Group.Epoch, d.statuses[e.Address].Group.Epoch)
	d.touch(e.Service)
}

// group returns what is known of a group, which begins with nothing. The lock is
// held.
func (d *Directory) group(name string) *group {
	g := d.groups[name]
	if g == nil {
		g = &group{}
		d.groups[name] = g
	}
	return g
}

// Failed notes a failed request to a server. hard says that it did not take the
// connection. That says nothing of its group: the way there may be what fails.
func (d *Directory) Failed(id string, hard bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.fail(now, hard)
		d.touch(e.Service)
	}
}

// Erred notes a whole answer with an error of the server's own.
func (d *Directory) Erred(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.fault(now)
		d.touch(e.Service)
	}
}

// Answered notes a whole answer of a server, with the load that it stated.
func (d *Directory) Answered(id string, load *Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	e.health.succeed(now)
	if load != nil {
		e.load, e.loadAt = *load, now
		d.touch(e.Service)
	}
}

// touchAddress marks the tables of the servers at an address as outdated. The
// lock is held.
func (d *Directory) touchAddress(address string) {
	for _, e := range d.servers {
		if e.Address == address {
			d.touch(e.Service)
		}
	}
}

// touch marks the table of a service as outdated. The lock is held.
func (d *Directory) touch(service string) {
	if t := d.tables[service]; t != nil {
		t.outdated = true
	}
}

// serviceTable is the choice among the servers of one service.
type serviceTable struct {
	table    *routing.Table
	outdated bool
	updated  time.Time
	// loads of the groups of an engine service that may be chosen.
	loads map[string]groupLoad
}
