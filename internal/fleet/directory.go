// Package fleet holds the state of the backend servers as one process knows it.
// It merges the platform's instance list, which lags, with the reports of the
// backend servers' agents.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellwind.example/internal/platform"
	"bluebellwind.example/wire"
)

// Server is the state of a backend server. It is immutable.
type Server struct {
	Name    string
	Zone    string
	Address string
	Group   string
	Service string
	Leaving bool
	// Incarnation is the incarnation of its agent, or zero while it is unknown.
	Incarnation uint64
	// Load is nil if no load is known.
	Load *wire.Load
	// LoadAt is when Load was received.
	LoadAt time.Time
	// ListedAt is when the instance list first contained this instance at this
	// address. It is zero once an agent has reported.
	ListedAt time.Time
}

// AgentReport is the report of an agent on its backend server. At is when it
// was received.
type AgentReport struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Leaving     bool
	Report      *wire.Report
	At          time.Time
}

// View is a snapshot of the directory. It is immutable.
type View struct {
	servers  map[string]*Server
	groups   map[string][]*Server
	services map[string][]*Server
}

// Server returns the named backend server, or nil.
func (v *View) Server(name string) *Server { return v.servers[name] }

// Group returns the backend servers of a model group.
func (v *View) Group(name string) []*Server { return v.groups[name] }

// Service returns the backend servers of a plain service.
func (v *View) Service(name string) []*Server { return v.services[name] }

// All returns all backend servers, keyed by name.
func (v *View) All() map[string]*Server { return v.servers }

// Directory maintains the current View. It is safe for concurrent use; View
// never blocks.
type Directory struct {
	mu      sync.Mutex
	listed  map[string]listedInstance
	reports map[string]AgentReport
	view    atomic.Pointer[View]
	changed chan struct{}
}

// listedInstance is an entry of the platform's instance list with the time at
// which it was first read at its address.
type listedInstance struct {
	platform.Instance
	at time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{reports: map[string]AgentReport{}, changed: make(chan struct{})}
	d.publish()
	return d
}

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed at the next change. Call it before
// View, or a change between the two calls is missed.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// SetInstances replaces the instance list by one that was read at now.
func (d *Directory) SetInstances(list platform.InstanceList, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]listedInstance{}
	for _, inst := range list.Instances {
		if inst.Role != platform.RoleServer {
			continue
		}
		at := now
		if old, ok := d.listed[inst.Name]; ok && old.Address == inst.Address {
			at = old.at
		}
		next[inst.Name] = listedInstance{Instance: inst, at: at}
	}
	d.listed = next
	d.publish()
}

// unconfirmedReportTTL is how long a report that came with an agent's answer to
// a request, rather than through the membership, is kept while the membership
// does not include the instance, which it may not have discovered yet.
const unconfirmedReportTTL = 10 * time.Second

// SetAgentReports replaces the agents' reports by those that the membership holds
// at now. Newer reports that came with answers are kept.
func (d *Directory) SetAgentReports(reports []AgentReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]AgentReport, len(reports))
	for _, report := range reports {
		if old, ok := d.reports[report.Name]; ok && newer(old, report) {
			old.Leaving = old.Leaving || (report.Leaving && report.Incarnation == old.Incarnation)
			report = old
		}
		next[report.Name] = report
	}
	for name, old := range d.reports {
		if _, ok := next[name]; !ok && now.Sub(old.At) < unconfirmedReportTTL {
			next[name] = old
		}
	}
	d.reports = next
	d.publish()
}

// SetLoad records the load that came with an answer of the named server. It
// ignores an unknown server, a load of another incarnation, and a load that is
// older than the last report.
func (d *Directory) SetLoad(name string, load *wire.Load, at time.Time) {
	if load == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	report, ok := d.reports[name]
	if !ok {
		report = d.listedReport(name, load.GetIncarnation())
	}
	if report.Name == "" || load.GetIncarnation() != report.Incarnation || at.Before(report.At) {
		return
	}
	report.Report = &wire.Report{Load: load, Group: report.Report.GetGroup(), Service: report.Report.GetService()}
	report.At = at
	report.Leaving = report.Leaving || load.GetLeaving()
	d.reports[name] = report
	d.publish()
}

// listedReport returns a report made from the instance list, or a zero
// AgentReport if the list does not contain the instance.
func (d *Directory) listedReport(name string, incarnation uint64) AgentReport {
	inst, ok := d.listed[name]
	if !ok {
		return AgentReport{}
	}
	return AgentReport{
		Name:        name,
		Zone:        inst.Zone,
		Address:     inst.Address,
		Incarnation: incarnation,
		Report:      &wire.Report{Group: inst.Group, Service: inst.Service},
	}
}

// newer reports whether a supersedes b: it has a higher incarnation, or the same
// one and a later time.
func newer(a, b AgentReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.At.After(b.At)
}

// publish merges the instance list and the agents' reports into a new View.
// The agent's report takes precedence, except for Leaving, which either source
// may set.
func (d *Directory) publish() {
	v := &View{servers: map[string]*Server{}, groups: map[string][]*Server{}, services: map[string][]*Server{}}
	for name, inst := range d.listed {
		v.servers[name] = &Server{
			Name:    name,
			Zone:    inst.Zone,
			Address: inst.Address,
			Group:   inst.Group,
			Service: inst.Service,
			Leaving: inst.Leaving,

			ListedAt: inst.at,
		}
	}
	for name, report := range d.reports {
		v.servers[name] = &Server{
			Name:        name,
			Zone:        report.Zone,
			Address:     report.Address,
			Group:       report.Report.GetGroup(),
			Service:     report.Report.GetService(),
			Leaving:     report.Leaving || d.listedAsLeaving(name, report.Address),
			Incarnation: report.Incarnation,
			Load:        report.Report.GetLoad(),
			LoadAt:      report.At,
		}
	}
	for _, s := range v.servers {
		if s.Group != "" {
			v.groups[s.Group] = append(v.groups[s.Group], s)
		}
		if s.Service != "" {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	d.view.Store(v)
	close(d.changed)
	d.changed = make(chan struct{})
}

// listedAsLeaving reports whether the list marks the instance with this name and
// address as leaving. A replacement has the same name but another address, and
// the mark does not apply to it.
func (d *Directory) listedAsLeaving(name, address string) bool {
	inst := d.listed[name]
	return inst.Leaving && inst.Address == address
}
