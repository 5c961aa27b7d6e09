package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/routing/admission"
	"bluebellwind.example/routing/retry"
)

const (
	// samplePeriod is the interval at which the servers' loads are sampled.
	samplePeriod = 500 * time.Millisecond
	// refreshPeriod is the minimum interval between updates of an entry's view.
	refreshPeriod = 20 * time.Millisecond
	// instanceListDelay is the time after which the instance list no longer
	// contains failed servers.
	instanceListDelay = 10 * time.Second
	// suspectPeriod is the time for which an entry avoids a server that it
	// could not connect to.
	suspectPeriod = 2 * time.Second
	// prefixIndexCount is the maximum number of prefix indexes, which entries
	// share.
	prefixIndexCount = 8
)

// simulation is the state of one run.
type simulation struct {
	Scenario
	clock
	result             *Result
	rng                *rand.Rand
	prefixDistribution *rand.Zipf
	servers            []*server
	entries            []*entry
	serversByName      map[string]*server
	// prefixIndexes are each shared by several entries, to save time in large
	// runs.
	prefixIndexes []*routing.PrefixIndex
	// reports are the server reports that the entries know.
	reports []routing.Candidate
	// lostZone is the availability zone that has failed, or -1.
	lostZone int
}

// entry models an entry instance.
type entry struct {
	zone        int
	table       *routing.Table
	prefixIndex *routing.PrefixIndex
	budget      *retry.Budget
	lastRefresh time.Duration
	// suspectedUntil maps the servers that the entry could not connect to to
	// the virtual time until which it avoids them.
	suspectedUntil map[string]time.Duration
}

// Run simulates a scenario.
func Run(s Scenario) *Result {
	r := &simulation{Scenario: s, result: newResult(s), serversByName: make(map[string]*server), lostZone: -1}
	r.rng = rand.New(rand.NewPCG(s.Seed, 3))
	r.prefixDistribution = rand.NewZipf(r.rng, 1.1, 4, prefixCount-1)
	for i := range s.Servers {
		r.servers = append(r.servers, r.newServer(i))
		r.serversByName[r.servers[i].name] = r.servers[i]
	}
	for i := range min(prefixIndexCount, s.Entries) {
		r.prefixIndexes = append(r.prefixIndexes, routing.NewPrefixIndex(4*prefixCount, s.Seed<<20+uint64(i)))
	}
	for i := range s.Entries {
		seed := s.Seed<<20 + uint64(i)
		r.entries = append(r.entries, &entry{
			zone:           i % zoneCount,
			table:          routing.NewTableWith(s.Policy.newChooser(seed)),
			prefixIndex:    r.prefixIndexes[i%len(r.prefixIndexes)],
			budget:         retry.NewBudget(retry.Config{}),
			lastRefresh:    -time.Hour,
			suspectedUntil: make(map[string]time.Duration),
		})
	}
	r.scheduleReports()
	r.scheduleFault()
	r.handleArrival()
	r.after(s.Warmup, r.sampleLoads)
	r.runUntil(s.Duration)
	return r.result
}

func (r *simulation) newServer(i int) *server {
	s := &server{
		clock:         &r.clock,
		name:          fmt.Sprintf("s%03d", i),
		zone:          i % zoneCount,
		usePriorities: r.Overload.EnginePriorities,
	}
	if r.Overload.Admission {
		s.queue = admission.NewQueue(admission.Config{Slots: slotsPerServer, MaxWait: r.Overload.MaxWait})
		s.attemptsByItem = make(map[*admission.Item]*serverAttempt)
	}
	r.reports = append(r.reports, routing.Candidate{
		Server: s.name, Zone: fmt.Sprint(s.zone), Load: s.load(),
	})
	return s
}

// scheduleReports makes each server report once per period. The servers' report
// times are spread evenly over the period.
func (r *simulation) scheduleReports() {
	period, delay := r.ReportAge, r.ReportAge/2
	for i, s := range r.servers {
		var report func()
		report = func() {
			if r.unresponsive(s) {
				r.after(period, report)
				return
			}
			l := s.load()
			r.after(delay, func() { r.reports[i].Load = l })
			r.after(period, report)
		}
		r.after(period*time.Duration(i)/time.Duration(len(r.servers)), report)
	}
}

func (r *simulation) unresponsive(s *server) bool { return s.down || s.frozenRemaining() > 0 }

// scheduleFault schedules the start of the fault and, except for a lost
// availability zone, its end.
func (r *simulation) scheduleFault() {
	r.after(r.FaultStart, func() {
		switch r.Fault {
		case Straggler:
			r.servers[0].slowdown = stragglerFactor
			r.after(r.FaultDuration, func() { r.servers[0].slowdown = 1 })
		case Frozen:
			r.servers[0].frozenUntil = r.FaultStart + r.FaultDuration
		case ZoneLost:
			r.lostZone = zoneCount - 1
			for _, s := range r.servers {
				s.down = s.zone == r.lostZone
			}
			r.after(instanceListDelay, func() {
				for i, s := range r.servers {
					r.reports[i].Draining = s.down
				}
			})
		}
	})
}

// sampleLoads adds the servers' loads to the imbalance, checks the deadlines in
// the admission queues and schedules the next sample.
func (r *simulation) sampleLoads() {
	var loads []float64
	for _, s := range r.servers {
		if s.down {
			continue
		}
		l := s.load()
		loads = append(loads, float64(l.Running+l.Queued[0]+l.Queued[1]+l.Queued[2]))
		if s.queue != nil {
			s.applyOutcomes(s.queue.CheckDeadlines(r.time()))
		}
	}
	r.result.Imbalance.addSample(loads)
	r.after(samplePeriod, r.sampleLoads)
}

// refreshView updates the entry's view from the current reports.
func (r *simulation) refreshView(e *entry) {
	if r.now-e.lastRefresh < refreshPeriod {
		return
	}
	e.lastRefresh = r.now
	v := routing.View{
		Candidates:      append([]routing.Candidate(nil), r.reports...),
		ReportPeriod:    r.ReportAge + r.ReportAge/2,
		Entries:         r.Entries,
		MeanTokens:      meanTokens,
		PrefillPerToken: prefillPerToken,
	}
	for i := range v.Candidates {
		if r.servers[i].zone != e.zone {
			v.Candidates[i].ZonePenalty = zonePenalty
		}
		v.Candidates[i].Excluded = e.suspectedUntil[r.servers[i].name] > r.now
	}
	e.table.Update(v)
}
