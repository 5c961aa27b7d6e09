package entry

import (
	"context"
	"sync"
	"time"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

const (
	// exclusionPeriod is how long an unavailable server is excluded from
	// selection.
	exclusionPeriod = 2 * time.Second
	// listedGracePeriod is how long a server that was added to the instance list
	// is assumed to be alive before its agent has sent a report.
	listedGracePeriod = 45 * time.Second
	// minUpdateInterval is the minimum time between two updates of the routing
	// tables.
	minUpdateInterval = 50 * time.Millisecond
	// crossZonePenalty is the cost of choosing a server in another availability
	// zone. Routing weighs it against the time that a server needs to clear its
	// backlog.
	crossZonePenalty = 500 * time.Millisecond
	// loadReportDelay is the assumed delay of a load report in transit.
	loadReportDelay = 500 * time.Millisecond
	// Assumptions about requests. A reported step time replaces the default one.
	// defaultStepTime is the time between two tokens of a model group,
	// defaultCallTime the time of a whole call of a plain service.
	defaultMeanTokens   = 200
	defaultStepTime     = 30 * time.Millisecond
	defaultCallTime     = 10 * time.Millisecond
	prefillTimePerToken = 100 * time.Microsecond
)

// peerInfo provides what the picker needs to know about other instances.
type peerInfo interface {
	// entryCount returns the number of entries that choose among the same
	// servers, including this one.
	entryCount() int
	// loadReportPeriods returns the time between two load reports of a server in
	// the entry's own availability zone, and of one in another zone.
	loadReportPeriods() (ownZone, otherZone time.Duration)
}

// picker chooses a server for each attempt. It is safe for concurrent use.
type picker struct {
	directory *fleet.Directory
	zone      string
	seed      uint64
	peers     peerInfo
	now       func() time.Time

	mu            sync.Mutex                // Guards the maps below.
	groupTables   map[string]*routing.Table // By the name of the model group.
	serviceTables map[string]*routing.Table // By the name of the plain service.
	excludedUntil map[string]time.Time      // By the name of the server.
}

func newPicker(directory *fleet.Directory, zone string, seed uint64, peers peerInfo) *picker {
	return &picker{
		directory:     directory,
		zone:          zone,
		seed:          seed,
		peers:         peers,
		now:           time.Now,
		groupTables:   map[string]*routing.Table{},
		serviceTables: map[string]*routing.Table{},
		excludedUntil: map[string]time.Time{},
	}
}

// refresh keeps the tables up to date until ctx ends.
func (p *picker) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.directory.Changed()
		p.update()
		sleep(ctx, minUpdateInterval)
		select {
		case <-changed:
		case <-time.After(exclusionPeriod): // The end of an exclusion does not change the directory.
		case <-ctx.Done():
		}
	}
}

// update removes exclusions that have ended and brings all tables up to date.
func (p *picker) update() {
	view := p.directory.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for name, until := range p.excludedUntil {
		if !until.After(now) {
			delete(p.excludedUntil, name)
		}
	}
	p.updateTables(p.groupTables, view.Group, defaultMeanTokens, defaultStepTime)
	p.updateTables(p.serviceTables, view.Service, 1, defaultCallTime)
}

// updateTables updates each table from the servers of its target. It must be
// called with p.mu held.
func (p *picker) updateTables(tables map[string]*routing.Table, servers func(string) []*fleet.Server, tokens float64, step time.Duration) {
	for target, table := range tables {
		table.Update(p.routingView(servers(target), tokens, step))
	}
}

// tableFor returns the table of a target, creating it on first use.
func (p *picker) tableFor(t target) *routing.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	tables, tokens, step := p.serviceTables, 1.0, defaultCallTime
	if t.isGroup {
		tables, tokens, step = p.groupTables, defaultMeanTokens, defaultStepTime
	}
	table := tables[t.name]
	if table == nil {
		table = routing.NewTable(p.seed ^ uint64(len(tables)+1))
		table.Update(p.routingView(t.servers(p.directory.View()), tokens, step))
		tables[t.name] = table
	}
	return table
}

// pick chooses a server for one attempt. The choice counts as a request in flight
// on the server until its Release is called.
func (p *picker) pick(t target, r routing.Request) (*fleet.Server, *routing.Choice, error) {
	choice, err := p.tableFor(t).Pick(r, p.now())
	if err != nil {
		return nil, nil, err
	}
	server := p.directory.View().Server(choice.Server)
	if server == nil {
		choice.Release()
		return nil, nil, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the chosen server is gone").WithRetryAfter(time.Second)
	}
	return server, choice, nil
}

// exclude excludes a server from selection for exclusionPeriod.
func (p *picker) exclude(t target, server string) {
	p.tableFor(t).Exclude(server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excludedUntil[server] = p.now().Add(exclusionPeriod)
}

// routingView returns the view of servers for a table. It must be called with
// p.mu held. The instance list lags, so a server without reports of its agent is
// a candidate only within listedGracePeriod of its listing: the membership
// learns of a live server within that time. If no candidate is left, all servers
// are candidates.
func (p *picker) routingView(servers []*fleet.Server, tokens float64, step time.Duration) routing.View {
	ownZonePeriod, otherZonePeriod := p.peers.loadReportPeriods()
	v := routing.View{
		ReportPeriod:    ownZonePeriod + loadReportDelay,
		MeanTokens:      tokens,
		StepTime:        step,
		PrefillPerToken: prefillTimePerToken,
		Entries:         p.peers.entryCount(),
	}
	for _, s := range servers {
		if s.Incarnation != 0 || p.now().Sub(s.ListedAt) < listedGracePeriod {
			v.Candidates = append(v.Candidates, p.candidate(s, otherZonePeriod))
		}
	}
	if len(v.Candidates) == 0 {
		for _, s := range servers {
			v.Candidates = append(v.Candidates, p.candidate(s, otherZonePeriod))
		}
	}
	return v
}

// candidate returns s as a candidate for routing. It must be called with p.mu
// held.
func (p *picker) candidate(s *fleet.Server, otherZonePeriod time.Duration) routing.Candidate {
	_, excluded := p.excludedUntil[s.Name]
	c := routing.Candidate{
		Server:   s.Name,
		Zone:     s.Zone,
		Draining: s.Leaving || s.Load.GetLeaving(),
		Excluded: excluded,
		Load:     routingLoad(s, p.now()),
	}
	if s.Zone != p.zone {
		c.ZonePenalty = crossZonePenalty
		c.ReportPeriod = otherZonePeriod
	}
	return c
}

// routingLoad returns the last reported load of s. Without a report it assumes an
// idle server with one slot.
func routingLoad(s *fleet.Server, now time.Time) routing.Load {
	if s.Load == nil {
		return routing.Load{MeasuredAt: now, Slots: 1}
	}
	l := routing.Load{
		MeasuredAt: s.LoadAt,
		Slots:      max(1, int(s.Load.GetSlots())),
		Running:    int(s.Load.GetRunning()),
		StepTime:   time.Duration(s.Load.GetStepUs()) * time.Microsecond,
	}
	for i, n := range s.Load.GetWaiting() {
		if i < routing.Priorities {
			l.Queued[i] = int(n)
		}
	}
	return l
}

// target is the model group or plain service that a rule names.
type target struct {
	name    string
	isGroup bool
}

func (t target) servers(v *fleet.View) []*fleet.Server {
	if t.isGroup {
		return v.Group(t.name)
	}
	return v.Service(t.name)
}
