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

// fault is one fault of the schedule. It is injected at the time at after the
// start; the function that inject returns ends it again.
type fault struct {
	name         string
	at, duration time.Duration
	inject       func() (end func())
}

// faultKind is a kind of faults. prepare draws the targets of a fault and
// returns the function that injects it.
type faultKind struct {
	name string
	// minDuration is the minimum duration of such a fault.
	minDuration time.Duration
	prepare     func(r *testbed, rng *rand.Rand) func() (end func())
}

var faultKinds = []faultKind{
	{"gateway killed", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.killGateway(r.drawGateway(rng)) }},
	{"gateway stopped and continued", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.pauseGateway(r.drawGateway(rng)) }},
	{"gateway terminated", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.terminateGateway(r.drawGateway(rng)) }},
	{"gateways restarted one after the other", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.restartAllGateways() }},
	{"gateway settings reloaded", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.reloadGateway(r.drawGateway(rng)) }},
	{"agent killed", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.killAgent(rng.IntN(len(r.agents))) }},
	{"agent of rank 0 killed", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.killAgent(0) }},
	{"agent stopped and continued", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.pauseAgent(rng.IntN(len(r.agents))) }},
	{"link to the store impaired", 0, func(r *testbed, rng *rand.Rand) func() func() {
		return r.degradeStoreLink(r.drawGateway(rng), drawLinkMode(rng))
	}},
	{"store faulty for some gateways", 0, func(r *testbed, rng *rand.Rand) func() func() {
		return r.failStore(r.gateways[:1+rng.IntN(len(r.gateways))], drawStoreFault(rng))
	}},
	{"store faulty for all gateways", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.failStore(r.gateways, drawStoreFault(rng)) }},
	{"key revoked while the store is faulty", bounds.RevokeBound() + time.Second, func(r *testbed, rng *rand.Rand) func() func() {
		inject := r.failStore(r.gateways, drawStoreFault(rng))
		return func() func() { end := inject(); r.revokeKey(); return end }
	}},
	{"store history discarded", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.discardStoreHistory }},
	{"store restored from an older copy", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.restoreStore }},
	{"invalid server entry", 0, func(r *testbed, rng *rand.Rand) func() func() {
		id := fmt.Sprintf("odd-%d", rng.IntN(100))
		return func() func() { r.store.PutInvalidServer(id); return func() { r.store.RemoveServer(id) } }
	}},
	{"link to a rank impaired", 0, func(r *testbed, rng *rand.Rand) func() func() {
		s := r.ranks[rng.IntN(len(r.ranks))]
		return r.degradeServerLink(s.ID, s.link, drawLinkMode(rng))
	}},
	{"link to a plain server impaired", 0, func(r *testbed, rng *rand.Rand) func() func() {
		s := r.plainServers[rng.IntN(len(r.plainServers))]
		return r.degradeServerLink(s.ID, s.link, drawLinkMode(rng))
	}},
	{"rank crashed", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.crashRank(r.ranks[rng.IntN(len(r.ranks))]) }},
	{"rank faulty", 0, func(r *testbed, rng *rand.Rand) func() func() {
		s := r.ranks[rng.IntN(len(r.ranks))]
		f := platformtest.ServerFault{TruncateResponse: 0.05 * rng.Float64(), Slowdown: 1 + 2*rng.Float64(), DelayOrder: 0.5 * rng.Float64()}
		return func() func() { s.SetFault(f); return func() { s.SetFault(platformtest.ServerFault{}) } }
	}},
	{"orders to ranks delayed", 0, func(r *testbed, rng *rand.Rand) func() func() { return r.delayOrders(0.1 + 0.3*rng.Float64()) }},
	{"plain server faulty", 0, func(r *testbed, rng *rand.Rand) func() func() {
		s := r.plainServers[rng.IntN(len(r.plainServers))]
		f := platformtest.ServerFault{
			DropResponse: 0.2 * rng.Float64(), TruncateResponse: 0.2 * rng.Float64(), InternalError: 0.3 * rng.Float64(), Slowdown: 1 + 10*rng.Float64(),
		}
		return func() func() { s.SetFault(f); return func() { s.SetFault(platformtest.ServerFault{}) } }
	}},
	{"plain server asks for a backoff", 0, func(r *testbed, rng *rand.Rand) func() func() {
		s := r.plainServers[rng.IntN(len(r.plainServers))]
		backoff := time.Duration(rng.Int64N(int64(faultDurationSpread)))
		return func() func() { s.SetBackoff(backoff); return func() { s.SetBackoff(0) } }
	}},
	{"plain server drained", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.drainServer }},
	{"popular experts change", 0, func(r *testbed, rng *rand.Rand) func() func() {
		g := r.groups[rng.IntN(len(r.groups))]
		return func() func() { g.ShiftPopularity(); return g.ShiftPopularity }
	}},
	{"configuration changes", 0, func(r *testbed, _ *rand.Rand) func() func() {
		return func() func() { r.changeConfig(); return func() {} }
	}},
	{"several configurations in quick succession", 0, func(r *testbed, _ *rand.Rand) func() func() { return r.changeConfigRapidly }},
	{"prompt part crashes ranks", minCrashingPeriod, func(r *testbed, rng *rand.Rand) func() func() { return r.sendCrashingPart(rng) }},
	{"request crashes plain servers", minRepeatPeriod, func(r *testbed, rng *rand.Rand) func() func() { return r.repeatRequest(rng) }},
	{"servers state request limits", minLimitPeriod, func(r *testbed, rng *rand.Rand) func() func() { return r.limitServers(rng) }},
	{"responses without length or chunks", 0, func(r *testbed, rng *rand.Rand) func() func() {
		return r.unframeResponses(platformtest.ServerFault{Unframed: 0.2 + 0.8*rng.Float64(), TruncateResponse: 0.05 * rng.Float64()})
	}},
	{"key revoked", 0, func(r *testbed, _ *rand.Rand) func() func() {
		return func() func() { r.revokeKey(); return func() {} }
	}},
}

const (
	minFaultDuration    = 200 * time.Millisecond
	faultDurationSpread = 3 * time.Second
)

// schedule draws the faults of a run, ordered by the time of their injection.
func schedule(r *testbed, rng *rand.Rand) []fault {
	var out []fault
	for range r.size.Faults {
		k := faultKinds[rng.IntN(len(faultKinds))]
		duration := max(k.minDuration, minFaultDuration+time.Duration(rng.Int64N(int64(faultDurationSpread))))
		at := time.Duration(rng.Int64N(int64(r.size.FaultPeriod)))
		at = min(at, max(0, r.size.FaultPeriod-k.minDuration))
		out = append(out, fault{
			name: k.name, at: at, duration: min(duration, r.size.FaultPeriod-at), inject: k.prepare(r, rng),
		})
	}
	slices.SortFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (r *testbed) drawGateway(rng *rand.Rand) *gatewayProcess {
	return r.gateways[rng.IntN(len(r.gateways))]
}

func drawLinkMode(rng *rand.Rand) linkMode {
	modes := []linkMode{linkDelayed, linkStalled, linkStalledToServer, linkStalledFromServer, linkReset}
	return modes[rng.IntN(len(modes))]
}

func drawStoreFault(rng *rand.Rand) platformtest.StoreFault {
	faults := []platformtest.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{NoResponse: true},
		{AbortConnection: true},
		{Delay: 300 * time.Millisecond},
	}
	return faults[rng.IntN(len(faults))]
}

// restart starts a process again. An error is a failure of the run itself.
func (r *testbed) restart(p *process) {
	if err := p.start(); err != nil {
		r.recordFailure(err)
	}
}

func (r *testbed) killGateway(g *gatewayProcess) func() func() {
	return func() func() {
		endFault := r.history.beginFault(g.settings.Name)
		g.kill()
		return func() { r.restart(g.process); endFault() }
	}
}

func (r *testbed) pauseGateway(g *gatewayProcess) func() func() {
	return func() func() {
		endFault := r.history.beginFault(g.settings.Name)
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT); endFault() }
	}
}

func (r *testbed) terminateGateway(g *gatewayProcess) func() func() {
	return func() func() {
		endRestart := r.history.beginFault(restartOf(g.settings.Name))
		ended := make(chan struct{})
		go func() { defer close(ended); g.terminate() }()
		return func() { <-ended; r.restart(g.process); endRestart() }
	}
}

// restartAllGateways terminates and restarts all gateways one after the other.
func (r *testbed) restartAllGateways() func() func() {
	return func() func() {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for _, g := range r.gateways {
				endRestart := r.history.beginFault(restartOf(g.settings.Name))
				g.terminate()
				r.restart(g.process)
				endRestart()
			}
		}()
		return func() { <-ended }
	}
}

func (r *testbed) reloadGateway(g *gatewayProcess) func() func() {
	return func() func() { g.signal(syscall.SIGHUP); return func() {} }
}

func (r *testbed) killAgent(i int) func() func() {
	return func() func() { r.agents[i].kill(); return func() { r.restart(r.agents[i]) } }
}

func (r *testbed) pauseAgent(i int) func() func() {
	return func() func() {
		r.agents[i].signal(syscall.SIGSTOP)
		return func() { r.agents[i].signal(syscall.SIGCONT) }
	}
}

func (r *testbed) degradeStoreLink(g *gatewayProcess, mode linkMode) func() func() {
	return func() func() {
		endFault := r.history.beginFault(g.settings.Name)
		g.storeLink.setMode(mode)
		return func() { g.storeLink.setMode(linkOpen); endFault() }
	}
}

func (r *testbed) failStore(gateways []*gatewayProcess, f platformtest.StoreFault) func() func() {
	return func() func() {
		var endFaults []func()
		for _, g := range gateways {
			endFault := r.history.beginFault(g.settings.Name)
			r.store.SetFault(g.settings.Name, f)
			endFaults = append(endFaults, func() { r.store.SetFault(g.settings.Name, platformtest.StoreFault{}); endFault() })
		}
		return func() {
			for _, end := range endFaults {
				end()
			}
		}
	}
}

func (r *testbed) discardStoreHistory() func() {
	endFault := r.history.beginFault(allGateways)
	r.store.DiscardHistory()
	return endFault
}

// restoreStore takes a copy of the store. At the end of the fault it restores the store
// from it, and a moment later operators and servers write theirs again.
func (r *testbed) restoreStore() func() {
	older := r.store.Copy()
	return func() {
		endFault := r.history.beginFault(allGateways)
		latest := r.store.Copy()
		r.store.Restore(older)
		time.Sleep(writeAgainDelay)
		r.store.WriteAgain(latest)
		endFault()
	}
}

// writeAgainDelay is the time from a restore of the store until what it has lost is
// written again.
const writeAgainDelay = 700 * time.Millisecond

func (r *testbed) degradeServerLink(id string, link *proxy, mode linkMode) func() func() {
	return func() func() {
		endFault := r.history.beginFault(id)
		link.setMode(mode)
		return func() { link.setMode(linkOpen); endFault() }
	}
}

// crashRank crashes a rank, which breaks its connections. Its group has to form
// again.
func (r *testbed) crashRank(s *rankServer) func() func() {
	return func() func() {
		endFault := r.history.beginFault(s.ID)
		s.Crash()
		s.link.setMode(linkReset)
		return func() { s.link.setMode(linkOpen); s.Restart(); endFault() }
	}
}

func (r *testbed) delayOrders(probability float64) func() func() {
	set := func(f platformtest.ServerFault) {
		for _, s := range r.ranks {
			s.SetFault(f)
		}
	}
	return func() func() {
		set(platformtest.ServerFault{DelayOrder: probability})
		return func() { set(platformtest.ServerFault{}) }
	}
}

// unframeResponses makes all ranks and plain servers answer without length and chunks.
func (r *testbed) unframeResponses(f platformtest.ServerFault) func() func() {
	return func() func() {
		plainServers := slices.Clone(r.plainServers)
		set := func(f platformtest.ServerFault) {
			for _, s := range r.ranks {
				s.SetFault(f)
			}
			for _, s := range plainServers {
				s.SetFault(f)
			}
		}
		set(f)
		return func() { set(platformtest.ServerFault{}) }
	}
}

// drainServer replaces a plain server: it adds a new one and drains the oldest.
func (r *testbed) drainServer() func() {
	s, err := r.addPlainServer(fmt.Sprintf("app-new-%d", len(r.plainServers)), appService)
	if err != nil {
		r.recordFailure(err)
		return func() {}
	}
	old := r.plainServers[0]
	if old == s {
		return func() {}
	}
	r.plainServers = slices.DeleteFunc(r.plainServers, func(p *plainServer) bool { return p == old })
	old.SetLeaving()
	old.entry.Draining = true
	r.store.PutServer(old.entry)
	r.history.recordDraining(old.ID)
	time.AfterFunc(drainTime, func() { r.store.RemoveServer(old.ID) })
	return func() {}
}

// drainTime is the time from the start of draining until a server's entry is
// removed.
const drainTime = maxDrainDelay + time.Second

// changeConfigRapidly writes several configurations in quick succession.
func (r *testbed) changeConfigRapidly() func() {
	for range rapidConfigChanges {
		r.changeConfig()
		time.Sleep(rapidConfigInterval)
	}
	return func() {}
}

const (
	rapidConfigChanges  = 6
	rapidConfigInterval = 50 * time.Millisecond
)
