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
	samplePeriod = 500 * time.Millisecond
	refreshEvery = 20 * time.Millisecond
	// listLag is when the instance list drops servers that are gone.
	listLag = 10 * time.Second
	// suspicion is how long an entry avoids a server that it cannot reach.
	suspicion  = 2 * time.Second
	hintGroups = 8
)

// run is the state of one run.
type run struct {
	Scenario
	clock
	result  *Result
	rng     *rand.Rand
	zipf    *rand.Zipf
	servers []*server
	entries []*entry
	byName  map[string]*server
	// hints are shared by some entries each, to save time in large runs.
	hints []*routing.PrefixIndex
	// reports are what entries have been told.
	reports  []routing.Candidate
	goneZone int
}

// entry is a stand-in for an entry instance.
type entry struct {
	zone      int
	table     *routing.Table
	hints     *routing.PrefixIndex
	budget    *retry.Budget
	refreshed time.Duration
	// suspects are servers that refused a connection, and until when.
	suspects map[string]time.Duration
}

// Run plays a scenario.
func Run(s Scenario) *Result {
	r := &run{Scenario: s, result: newResult(s), byName: make(map[string]*server), goneZone: -1}
	r.rng = rand.New(rand.NewPCG(s.Seed, 3))
	r.zipf = rand.NewZipf(r.rng, 1.1, 4, prefixes-1)
	for i := range s.Servers {
		r.servers = append(r.servers, r.newServer(i))
		r.byName[r.servers[i].name] = r.servers[i]
	}
	for i := range min(hintGroups, s.Entries) {
		r.hints = append(r.hints, routing.NewPrefixIndex(4*prefixes, s.Seed<<20+uint64(i)))
	}
	for i := range s.Entries {
		seed := s.Seed<<20 + uint64(i)
		r.entries = append(r.entries, &entry{
			zone:      i % zones,
			table:     routing.NewTableWith(s.Policy.chooser(seed)),
			hints:     r.hints[i%len(r.hints)],
			budget:    retry.NewBudget(retry.Config{}),
			refreshed: -time.Hour,
			suspects:  make(map[string]time.Duration),
		})
	}
	r.scheduleReports()
	r.scheduleFault()
	r.arrive()
	r.after(s.Warmup, r.sample)
	r.runUntil(s.Length)
	return r.result
}

func (r *run) newServer(i int) *server {
	s := &server{
		clock:      &r.clock,
		name:       fmt.Sprintf("s%03d", i),
		zone:       i % zones,
		priorities: r.Overload.Priorities,
	}
	if r.Overload.Admission {
		s.gate = admission.NewQueue(admission.Config{Slots: slots, MaxWait: r.Overload.MaxWait})
		s.admitted = make(map[*admission.Item]*try)
	}
	r.reports = append(r.reports, routing.Candidate{
		Server: s.name, Zone: fmt.Sprint(s.zone), Load: s.load(),
	})
	return s
}

// scheduleReports lets each server report once a period, each at its own time.
func (r *run) scheduleReports() {
	period, delay := r.Lag, r.Lag/2
	for i, s := range r.servers {
		var report func()
		report = func() {
			if r.frozenOrGone(s) {
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

func (r *run) frozenOrGone(s *server) bool { return s.gone || s.frozenFor() > 0 }

// scheduleFault lets the fault begin and, but for a zone gone, end.
func (r *run) scheduleFault() {
	r.after(r.FaultAt, func() {
		switch r.Fault {
		case Straggler:
			r.servers[0].slow = stragglerFactor
			r.after(r.FaultFor, func() { r.servers[0].slow = 1 })
		case Frozen:
			r.servers[0].frozenUntil = r.FaultAt + r.FaultFor
		case ZoneGone:
			r.goneZone = zones - 1
			for _, s := range r.servers {
				s.gone = s.zone == r.goneZone
			}
			r.after(listLag, func() {
				for i, s := range r.servers {
					r.reports[i].Leaving = s.gone
				}
			})
		}
	})
}

func (r *run) sample() {
	var loads []float64
	for _, s := range r.servers {
		if s.gone {
			continue
		}
		l := s.load()
		loads = append(loads, float64(l.Running+l.Queued[0]+l.Queued[1]+l.Queued[2]))
		if s.gate != nil {
			s.settle(s.gate.CheckDeadlines(r.time()))
		}
	}
	r.result.Spread.add(loads)
	r.after(samplePeriod, r.sample)
}

// refresh gives the entry the reports of now.
func (r *run) refresh(e *entry) {
	if r.now-e.refreshed < refreshEvery {
		return
	}
	e.refreshed = r.now
	v := routing.View{
		Candidates:      append([]routing.Candidate(nil), r.reports...),
		ReportPeriod:    r.Lag + r.Lag/2,
		Entries:         r.Entries,
		MeanTokens:      meanTokens,
		PrefillPerToken: prefillPerToken,
	}
	for i := range v.Candidates {
		if r.servers[i].zone != e.zone {
			v.Candidates[i].Distance = zoneDistance
		}
		v.Candidates[i].Suspected = e.suspects[r.servers[i].name] > r.now
	}
	e.table.Update(v)
}
