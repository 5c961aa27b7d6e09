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
	// statusPeriod is the usual time from one status of a model server to the next.
	statusPeriod = 200 * time.Millisecond
	// refreshPeriod bounds the age of a view: exclusions end without an event.
	refreshPeriod = 50 * time.Millisecond
	// zoneDistance is the backlog that a server of another zone is taken to
	// have in addition, so that the own zone is preferred among equals.
	zoneDistance = 2 * time.Millisecond
	// stallDistance is the backlog that a stalled group is taken to have in
	// addition: it is chosen only if there is no other.
	stallDistance = 30 * time.Second
	// plainCall is the time that a call of a plain service takes, about.
	plainCall = 40 * time.Millisecond
	// groupReturn and its spread are when a caller comes back that was refused
	// for a broken group: a rank that is gone stalls its group first, starts
	// again and joins a new epoch.
	groupReturn       = 2100 * time.Millisecond
	groupReturnSpread = 600 * time.Millisecond
	// plainReturn is the same for servers that are left out on evidence.
	plainReturn       = 300 * time.Millisecond
	plainReturnSpread = 300 * time.Millisecond
	// overloadReturn is the same where all slots are taken.
	overloadReturn       = 1200 * time.Millisecond
	overloadReturnSpread = 1300 * time.Millisecond
)

// Need is what a choice must know of a request.
type Need struct {
	Service *ingress.Service
	Name    string
	// PromptTokens of the request; zero for plain services.
	PromptTokens int
	// AnswerTokens that the caller expects; zero if it does not say.
	AnswerTokens int
	Tried        []string
	// Objective is the time in which the answer should begin; Remaining what is
	// left until the caller's deadline, zero if it set none.
	Objective, Remaining time.Duration
	// Pause is the longest pause between two events that is on time; zero if it
	// does not matter.
	Pause time.Duration
	// Returned says that the caller was refused before, Resumed that a server has
	// begun the request.
	Returned, Resumed bool
	// Processes is how many gateways send to the same servers.
	Processes int
	// AvoidGroups are groups that the request has already failed in.
	AvoidGroups []string
}

// generates says that the servers are model engines. Plain services report no
// load, and refuse themselves.
func (n *Need) generates() bool { return n.Service != nil && n.Service.Engine != nil }

// Choice is a server that a request is sent to and counts as in flight at. Its
// owner calls Done once.
type Choice struct {
	Server
	// Running and Waiting are what the server's status said, which was StatusAge
	// old; without meaning for servers without a status.
	Running, Waiting int
	StatusAge        time.Duration
	// Wait is how long the request was expected to wait for a slot.
	Wait time.Duration

	choice    *routing.Choice
	directory *Directory
	group     *group
}

// Done notes that the request no longer runs on the server.
func (c *Choice) Done() {
	c.choice.Done()
	c.directory.mu.Lock()
	defer c.directory.mu.Unlock()
	c.group.inFlight--
}

// Progress notes that the server sent something.
func (c *Choice) Progress(now time.Time) { c.choice.Progress(now) }

// Pick chooses the server for a request. The error is a *verdict.Error with
// NotRun and the time to come back.
func (d *Directory) Pick(n Need, now time.Time) (*Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tables[n.Name]
	if t == nil {
		t = &serviceTable{table: routing.NewTable(d.seed), outdated: true}
		d.tables[n.Name] = t
	}
	if t.outdated || now.Sub(t.updated) > refreshPeriod {
		view := d.view(&n, now)
		t.table.Update(view)
		t.loads = d.loads(&n, view.Candidates, now)
		t.outdated, t.updated = false, now
	}
	avoided := d.inGroups(n.AvoidGroups)
	var wait time.Duration
	if n.generates() {
		admitted, others, err := d.admit(&n, t, now)
		if err != nil {
			return nil, err
		}
		wait, avoided = admitted.wait, append(avoided, others...)
	}
	choice, err := t.table.Pick(routing.Request{PromptTokens: n.PromptTokens, Tried: append(avoided, n.Tried...)}, now)
	if err != nil {
		cause := fmt.Errorf("%d servers known, closed groups: %v", len(d.servers), slices.Sorted(maps.Keys(d.closedGroups(now))))
		return nil, verdict.Wrap(verdict.Unavailable, verdict.NotRun, "no backend server can take this request", cause).
			After(d.reopens(n.Name, now))
	}
	e := d.servers[choice.Server]
	if e == nil {
		choice.Done()
		return nil, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the backend server has left").After(plainReturn)
	}
	g := d.group(e.Group.Name)
	g.inFlight++
	g.meter.sent(now)
	status := d.statuses[e.Address]
	return &Choice{
		Server: e.Server, Running: status.Running, Waiting: status.Waiting, StatusAge: now.Sub(status.At), Wait: wait,
		choice: choice, directory: d, group: g,
	}, nil
}

// admit decides whether the request is taken now. It returns the servers that it
// must not go to. The error is that of Pick. The lock is held.
func (d *Directory) admit(n *Need, t *serviceTable, now time.Time) (admitted decision, others []string, err error) {
	onTime, late := d.pools(n, t, now)
	if onTime.groups+late.groups == 0 {
		return decision{}, nil, nil // The choice among the servers says why.
	}
	admitted = admit(n, onTime, late)
	if !admitted.admitted {
		cause := fmt.Errorf("a wait of %d ms of at most %d: %d and %d run and wait for %d slots, and %d for %d in groups that are late",
			admitted.wait.Milliseconds(), admitted.limit.Milliseconds(), onTime.running, onTime.waiting, onTime.slots,
			late.running+late.waiting, late.slots)
		return decision{}, nil, verdict.Wrap(verdict.Overloaded, verdict.NotRun, "all slots are taken and others wait", cause).
			After(d.returnAfter(admitted.wait))
	}
	var elsewhere []string
	for name, g := range t.loads {
		if g.late != admitted.late {
			elsewhere = append(elsewhere, name)
		}
	}
	return admitted, d.inGroups(elsewhere), nil
}

// pools sums up the groups that the request may go to. Stalled groups count only
// if there is no other. The lock is held.
func (d *Directory) pools(n *Need, t *serviceTable, now time.Time) (onTime, late *pool) {
	for _, stalled := range []bool{false, true} {
		onTime, late = &pool{}, &pool{}
		for name, load := range t.loads {
			if load.stalled != stalled || slices.Contains(n.AvoidGroups, name) {
				continue
			}
			load.sendRate = d.group(name).meter.perSecond(now)
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

// inGroups returns the servers of the named groups. The lock is held.
func (d *Directory) inGroups(names []string) []string {
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

// loads sums up the candidates that may be chosen, by group. The lock is held.
func (d *Directory) loads(n *Need, candidates []routing.Candidate, now time.Time) map[string]groupLoad {
	if !n.generates() {
		return nil
	}
	out := make(map[string]groupLoad)
	stalled := d.stalledGroups()
	ranks, silent := make(map[string]int), make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || c.Suspected {
			continue
		}
		e := d.servers[c.Server]
		name := e.Group.Name
		load := out[name]
		ranks[name]++
		load.slots += c.Load.Slots
		if _, reported := d.statuses[e.Address]; reported {
			load.running += c.Load.Running
			load.waiting += c.Load.Queued[routing.Standard]
			load.age += (now.Sub(c.Load.At) - load.age) / time.Duration(ranks[name])
		} else {
			silent[name]++
		}
		out[name] = load
	}
	for name, load := range out {
		g := d.group(name)
		// Of ranks that say nothing, only the own requests are known.
		load.running += g.inFlight * max(1, n.Processes) * silent[name] / ranks[name]
		load.stalled = stalled[name]
		load.pass, load.service = d.passOf(n, g)
		load.late = alwaysLate(n.Service.Engine, g.full, n.Pause)
		out[name] = load
	}
	return out
}

// passOf returns how long a pass of the group takes, and how long a request holds
// a slot. The lock is held.
func (d *Directory) passOf(n *Need, g *group) (pass, service time.Duration) {
	e := n.Service.Engine
	pass = g.pass
	if pass == 0 {
		pass = time.Duration(max(1, e.Stride)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
	}
	return pass, pass * time.Duration(max(1, e.AnswerTokens)) / time.Duration(max(1, e.Stride))
}

// view makes the routing view of a service. The lock is held.
func (d *Directory) view(n *Need, now time.Time) routing.View {
	v := routing.View{ReportPeriod: statusPeriod, MeanTokens: 1, StepTime: plainCall}
	if n.generates() {
		e := n.Service.Engine
		v.MeanTokens = float64(max(1, e.AnswerTokens))
		v.StepTime = e.Step + time.Duration(e.Slots)*e.PerSequence
		if e.PrefillPerSecond > 0 {
			v.PrefillPerToken = time.Duration(float64(time.Second) / e.PrefillPerSecond)
		}
		d.measurePasses(e, now)
	}
	closed := d.closedGroups(now)
	stalled := d.stalledGroups()
	for id, e := range d.servers {
		if e.Service != n.Name {
			continue
		}
		c := d.candidate(id, e, closed, now)
		if status, ok := d.statuses[e.Address]; ok && n.generates() {
			c.Load.Slots = usefulSlots(n.Service.Engine, d.group(e.Group.Name).peak.full, n.Pause)
			if stalled[e.Group.Name] {
				c.Distance += stallDistance
			}
			c.Load.StepTime = status.Pass / time.Duration(max(1, n.Service.Engine.Stride))
		}
		v.Candidates = append(v.Candidates, c)
	}
	return v
}

// measurePasses takes in how long the passes of each group take. The lock is
// held.
func (d *Directory) measurePasses(e *ingress.Engine, now time.Time) {
	running := d.meanRunning()
	passes := make(map[string]time.Duration)
	for _, s := range d.statuses {
		if s.Up && s.Pass > 0 {
			passes[s.Group.Name] = max(passes[s.Group.Name], s.Pass)
		}
	}
	for name, pass := range passes {
		g := d.group(name)
		g.pass = pass
		g.full = passAt(e, e.Slots, pass, running[name])
		g.peak.observe(g.full, now)
	}
}

// stalledGroups returns the groups that have work and make no passes: one of
// their ranks is cut off, dead or very slow. The lock is held.
func (d *Directory) stalledGroups() map[string]bool {
	stalled := make(map[string]bool)
	for _, s := range d.statuses {
		if s.At.Sub(s.stepped) >= stallAfter {
			stalled[s.Group.Name] = true
		}
	}
	return stalled
}

// meanRunning returns how many requests a rank of each group runs. The lock is
// held.
func (d *Directory) meanRunning() map[string]float64 {
	sum := make(map[string]float64)
	ranks := make(map[string]float64)
	for _, s := range d.statuses {
		sum[s.Group.Name] += float64(s.Running)
		ranks[s.Group.Name]++
	}
	for name := range sum {
		sum[name] /= ranks[name]
	}
	return sum
}

func (d *Directory) candidate(id string, e *entry, closed map[string]bool, now time.Time) routing.Candidate {
	status, reported := d.statuses[e.Address]
	c := routing.Candidate{
		Server:    id,
		Zone:      e.Zone,
		Leaving:   e.Draining,
		Suspected: e.health.excluded(now),
		Load:      routing.Load{At: now, Slots: max(1, e.Slots), Running: e.load.Running},
	}
	if e.Zone != d.zone {
		c.Distance = zoneDistance
	}
	if now.Sub(e.loadAt) > statusPeriod {
		c.Load.Running = 0
	}
	if reported {
		c.Load.At = status.At
		c.Load.Running = status.Running
		c.Load.Queued[routing.Standard] = status.Waiting
		c.Suspected = c.Suspected || !status.Up
	}
	c.Suspected = c.Suspected || closed[e.Group.Name]
	return c
}

// closedGroups returns the groups that take no requests: one word of a rank of
// the newest epoch is enough. The lock is held.
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
			// The status is newer than what is published.
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

// reopens returns when a refused caller may find a server again. A broken group
// needs seconds; a server that is left out on evidence is tried again sooner.
func (d *Directory) reopens(service string, now time.Time) time.Duration {
	closed := d.closedGroups(now)
	for _, e := range d.servers {
		if e.Service == service && e.Group.Name != "" && closed[e.Group.Name] {
			return d.spread(groupReturn, groupReturnSpread)
		}
	}
	return d.spread(plainReturn, plainReturnSpread)
}

// returnAfter returns when a caller that was refused for load may come back:
// once what waits now has been served, and not all at the same moment.
func (d *Directory) returnAfter(wait time.Duration) time.Duration {
	return d.spread(max(wait, overloadReturn), overloadReturnSpread)
}

// spread draws a time, so that callers refused together come back apart.
func (d *Directory) spread(least, width time.Duration) time.Duration {
	return least + time.Duration(d.rng.Int64N(int64(width)))
}

// StatusOf returns the latest status of a server, if there is one.
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
