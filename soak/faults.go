package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// fault strikes at a time and lasts for another; end takes it back.
type fault struct {
	name      string
	at, lasts time.Duration
	begin     func() (end func())
}

// kind makes faults of one kind. It draws their targets.
type kind struct {
	name string
	// least is how long it lasts at least.
	least time.Duration
	make  func(r *rig, rng *rand.Rand) func() (end func())
}

var kinds = []kind{
	{"gateway killed", 0, func(r *rig, rng *rand.Rand) func() func() { return r.killed(r.anyGateway(rng)) }},
	{"gateway stopped and continued", 0, func(r *rig, rng *rand.Rand) func() func() { return r.frozen(r.anyGateway(rng)) }},
	{"gateway terminated", 0, func(r *rig, rng *rand.Rand) func() func() { return r.terminated(r.anyGateway(rng)) }},
	{"gateways terminated in turn", 0, func(r *rig, _ *rand.Rand) func() func() { return r.rolled() }},
	{"settings read again", 0, func(r *rig, rng *rand.Rand) func() func() { return r.hangup(r.anyGateway(rng)) }},
	{"agent killed", 0, func(r *rig, rng *rand.Rand) func() func() { return r.agentKilled(rng.IntN(len(r.agents))) }},
	{"agent of rank 0 killed", 0, func(r *rig, _ *rand.Rand) func() func() { return r.agentKilled(0) }},
	{"agent stopped and continued", 0, func(r *rig, rng *rand.Rand) func() func() { return r.agentFrozen(rng.IntN(len(r.agents))) }},
	{"link to the store", 0, func(r *rig, rng *rand.Rand) func() func() {
		return r.storeLinked(r.anyGateway(rng), anyMode(rng))
	}},
	{"store refuses some", 0, func(r *rig, rng *rand.Rand) func() func() {
		return r.storeFaulty(r.gateways[:1+rng.IntN(len(r.gateways))], anyStoreFault(rng))
	}},
	{"store away", 0, func(r *rig, rng *rand.Rand) func() func() { return r.storeFaulty(r.gateways, anyStoreFault(rng)) }},
	{"key revoked as the store goes away", bounds.RevokeBound() + time.Second, func(r *rig, rng *rand.Rand) func() func() {
		away := r.storeFaulty(r.gateways, anyStoreFault(rng))
		return func() func() { end := away(); r.revokeKey(); return end }
	}},
	{"store forgets", 0, func(r *rig, _ *rand.Rand) func() func() { return r.forgets }},
	{"entries without sense", 0, func(r *rig, rng *rand.Rand) func() func() {
		id := fmt.Sprintf("odd-%d", rng.IntN(100))
		return func() func() { r.store.PutInvalidServer(id); return func() { r.store.RemoveServer(id) } }
	}},
	{"link to a rank", 0, func(r *rig, rng *rand.Rand) func() func() {
		s := r.ranks[rng.IntN(len(r.ranks))]
		return r.linked(s.ID, s.link, anyMode(rng))
	}},
	{"link to a plain server", 0, func(r *rig, rng *rand.Rand) func() func() {
		s := r.plain[rng.IntN(len(r.plain))]
		return r.linked(s.ID, s.link, anyMode(rng))
	}},
	{"rank crashed", 0, func(r *rig, rng *rand.Rand) func() func() { return r.crashed(r.ranks[rng.IntN(len(r.ranks))]) }},
	{"rank misbehaves", 0, func(r *rig, rng *rand.Rand) func() func() {
		s := r.ranks[rng.IntN(len(r.ranks))]
		f := platformtest.ServerFault{TruncateResponse: 0.05 * rng.Float64(), Slowdown: 1 + 2*rng.Float64(), DelayOrder: 0.5 * rng.Float64()}
		return func() func() { s.SetFault(f); return func() { s.SetFault(platformtest.ServerFault{}) } }
	}},
	{"orders to a group late", 0, func(r *rig, rng *rand.Rand) func() func() { return r.lateOrders(0.1 + 0.3*rng.Float64()) }},
	{"plain server misbehaves", 0, func(r *rig, rng *rand.Rand) func() func() {
		s := r.plain[rng.IntN(len(r.plain))]
		f := platformtest.ServerFault{
			DropResponse: 0.2 * rng.Float64(), TruncateResponse: 0.2 * rng.Float64(), InternalError: 0.3 * rng.Float64(), Slowdown: 1 + 10*rng.Float64(),
		}
		return func() func() { s.SetFault(f); return func() { s.SetFault(platformtest.ServerFault{}) } }
	}},
	{"server leaves", 0, func(r *rig, _ *rand.Rand) func() func() { return r.leaves }},
	{"experts in demand change", 0, func(r *rig, rng *rand.Rand) func() func() {
		g := r.groups[rng.IntN(len(r.groups))]
		return func() func() { g.ShiftPopularity(); return g.ShiftPopularity }
	}},
	{"configuration changes", 0, func(r *rig, _ *rand.Rand) func() func() {
		return func() func() { r.changeConfig(); return func() {} }
	}},
	{"configurations in quick succession", 0, func(r *rig, _ *rand.Rand) func() func() { return r.configStorm }},
	{"key revoked", 0, func(r *rig, _ *rand.Rand) func() func() {
		return func() func() { r.revokeKey(); return func() {} }
	}},
}

const (
	minFault    = 200 * time.Millisecond
	faultSpread = 3 * time.Second
)

// schedule draws the faults of a run, in the order in which they strike.
func schedule(r *rig, rng *rand.Rand) []fault {
	var out []fault
	for range r.size.Faults {
		k := kinds[rng.IntN(len(kinds))]
		lasts := max(k.least, minFault+time.Duration(rng.Int64N(int64(faultSpread))))
		at := time.Duration(rng.Int64N(int64(r.size.Trouble)))
		out = append(out, fault{
			name: k.name, at: at, lasts: min(lasts, r.size.Trouble-at), begin: k.make(r, rng),
		})
	}
	slices.SortFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (r *rig) anyGateway(rng *rand.Rand) *gatewayProcess {
	return r.gateways[rng.IntN(len(r.gateways))]
}

func anyMode(rng *rand.Rand) linkMode {
	modes := []linkMode{linkSlow, linkSilent, linkForward, linkBack, linkReset}
	return modes[rng.IntN(len(modes))]
}

func anyStoreFault(rng *rand.Rand) platformtest.StoreFault {
	faults := []platformtest.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{NoResponse: true},
		{AbortConnection: true},
		{Delay: 300 * time.Millisecond},
	}
	return faults[rng.IntN(len(faults))]
}

// restart starts a process again; failing to is a fault of the run itself.
func (r *rig) restart(p *process) {
	if err := p.start(); err != nil {
		r.fail(err)
	}
}

func (r *rig) killed(g *gatewayProcess) func() func() {
	return func() func() {
		over := r.ledger.trouble(g.settings.Name)
		g.kill()
		return func() { r.restart(g.process); over() }
	}
}

func (r *rig) frozen(g *gatewayProcess) func() func() {
	return func() func() {
		over := r.ledger.trouble(g.settings.Name)
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT); over() }
	}
}

func (r *rig) terminated(g *gatewayProcess) func() func() {
	return func() func() {
		ended := make(chan struct{})
		go func() { defer close(ended); g.terminate() }()
		return func() { <-ended; r.restart(g.process) }
	}
}

// rolled restarts all gateways one after the other.
func (r *rig) rolled() func() func() {
	return func() func() {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for _, g := range r.gateways {
				g.terminate()
				r.restart(g.process)
			}
		}()
		return func() { <-ended }
	}
}

func (r *rig) hangup(g *gatewayProcess) func() func() {
	return func() func() { g.signal(syscall.SIGHUP); return func() {} }
}

func (r *rig) agentKilled(i int) func() func() {
	return func() func() { r.agents[i].kill(); return func() { r.restart(r.agents[i]) } }
}

func (r *rig) agentFrozen(i int) func() func() {
	return func() func() {
		r.agents[i].signal(syscall.SIGSTOP)
		return func() { r.agents[i].signal(syscall.SIGCONT) }
	}
}

func (r *rig) storeLinked(g *gatewayProcess, mode linkMode) func() func() {
	return func() func() {
		over := r.ledger.trouble(g.settings.Name)
		g.storeLink.set(mode)
		return func() { g.storeLink.set(linkOpen); over() }
	}
}

func (r *rig) storeFaulty(gateways []*gatewayProcess, f platformtest.StoreFault) func() func() {
	return func() func() {
		var ends []func()
		for _, g := range gateways {
			over := r.ledger.trouble(g.settings.Name)
			r.store.SetFault(g.settings.Name, f)
			ends = append(ends, func() { r.store.SetFault(g.settings.Name, platformtest.StoreFault{}); over() })
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}

func (r *rig) forgets() func() {
	over := r.ledger.trouble(everyone)
	r.store.DiscardHistory()
	return over
}

func (r *rig) linked(id string, link *proxy, mode linkMode) func() func() {
	return func() func() {
		over := r.ledger.trouble(id)
		link.set(mode)
		return func() { link.set(linkOpen); over() }
	}
}

// crashed ends a rank; its connections break and its group has to form again.
func (r *rig) crashed(s *rankServer) func() func() {
	return func() func() {
		over := r.ledger.trouble(s.ID)
		s.Crash()
		s.link.set(linkReset)
		return func() { s.link.set(linkOpen); s.Restart(); over() }
	}
}

func (r *rig) lateOrders(share float64) func() func() {
	set := func(f platformtest.ServerFault) {
		for _, s := range r.ranks {
			s.SetFault(f)
		}
	}
	return func() func() {
		set(platformtest.ServerFault{DelayOrder: share})
		return func() { set(platformtest.ServerFault{}) }
	}
}

// leaves takes a plain server away as planned, and brings another.
func (r *rig) leaves() func() {
	s, err := r.newPlain(fmt.Sprintf("app-new-%d", len(r.plain)), appService)
	if err != nil {
		r.fail(err)
		return func() {}
	}
	old := r.plain[0]
	if old == s {
		return func() {}
	}
	r.plain = slices.DeleteFunc(r.plain, func(p *plainServer) bool { return p == old })
	old.entry.Draining = true
	r.store.PutServer(old.entry)
	r.ledger.leave(old.ID)
	time.AfterFunc(leaveAfter, func() { r.store.RemoveServer(old.ID) })
	return func() {}
}

// leaveAfter is how long a leaving server stays.
const leaveAfter = drainBound + time.Second

// configStorm writes some configurations in quick succession.
func (r *rig) configStorm() func() {
	for range stormChanges {
		r.changeConfig()
		time.Sleep(stormPause)
	}
	return func() {}
}

const (
	stormChanges = 6
	stormPause   = 50 * time.Millisecond
)
