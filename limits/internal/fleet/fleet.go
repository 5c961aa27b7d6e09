// Package fleet simulates many entries with limiters and coordinators in one
// process, on a simulated clock. Messages between entries are encoded as on the
// wire. Tests and measurements use it.
package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/limits"
	"bluebellwind.example/limits/limitspb"
)

// Tick is the step of the simulated clock.
const Tick = 100 * time.Millisecond

// MessageOverheadBytes is the assumed size of transport, encryption and framing
// of one message, in bytes.
const MessageOverheadBytes = 90

// Entry is one simulated entry.
type Entry struct {
	ID          string
	Limiter     *limits.Limiter
	Coordinator *limits.Coordinator
	// Side is the entry's side of a network partition, 0 or 1.
	Side int
	// Down makes the entry receive no requests and answer no reports.
	Down bool
}

// Organisation is a source of requests to the entries.
type Organisation struct {
	Name string
	// Rate is the mean rate over all entries, in requests a second.
	Rate float64
	// Cost is the cost of each request.
	Cost limits.Cost
	// FirstEntry and EndEntry bound the indexes of the entries that receive the
	// requests: [FirstEntry, EndEntry).
	FirstEntry, EndEntry int
}

// Fleet is a set of entries with one simulated clock. It is not safe for
// concurrent use.
type Fleet struct {
	Entries       []*Entry
	Organisations []*Organisation
	Now           time.Time
	// Admitted counts the admitted requests of each organisation.
	Admitted []int
	// Sent counts the requests of each organisation.
	Sent []int
	// AdmittedBySide counts the admitted requests of the first organisation by
	// the side of the partition.
	AdmittedBySide [2]int
	// Messages counts the messages sent between different entries. Bytes is
	// their size as the sum of bytes sent and bytes received.
	Bytes, Messages int
	// ReportingDisabled turns the reports off: every entry enforces its equal
	// share.
	ReportingDisabled bool
	rng               *rand.Rand
	// tickCount counts the steps of the clock.
	tickCount int
}

// New returns a fleet of the given number of entries, each of which is in the
// view of all, with the limits in table.
func New(entries int, organisations []*Organisation, table []limits.Limit, seed uint64) *Fleet {
	f := &Fleet{
		Organisations: organisations, Admitted: make([]int, len(organisations)),
		Sent: make([]int, len(organisations)),
		Now:  time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 2)),
	}
	for i := range entries {
		f.Entries = append(f.Entries, &Entry{ID: fmt.Sprintf("entry-%03d", i)})
		f.Replace(i, table)
	}
	f.SetViews(false)
	return f
}

// Replace restarts the i-th entry without its state. The caller sets its view.
func (f *Fleet) Replace(i int, table []limits.Limit) {
	e := f.Entries[i]
	e.Limiter = limits.NewLimiter(limits.View{Self: e.ID, Alive: []string{e.ID}, ConfiguredCount: len(f.Entries)})
	e.Limiter.SetLimits(table)
	e.Coordinator = limits.NewCoordinator()
	e.Down = false
}

// SetViews sets the membership view of each entry to the entries that are up,
// if partitioned only to those on its own side.
func (f *Fleet) SetViews(partitioned bool) {
	var sides [2][]string
	for _, e := range f.Entries {
		for side := range sides {
			if !e.Down && (!partitioned || e.Side == side) {
				sides[side] = append(sides[side], e.ID)
			}
		}
	}
	for _, e := range f.Entries {
		e.Limiter.SetView(limits.View{Self: e.ID, Alive: sides[e.Side], ConfiguredCount: len(f.Entries)})
	}
}

// Run advances the simulation by d. If partitioned, reports between the sides
// fail.
func (f *Fleet) Run(d time.Duration, partitioned bool) {
	for end := f.Now.Add(d); f.Now.Before(end); f.Now = f.Now.Add(Tick) {
		for i, o := range f.Organisations {
			f.sendRequests(i, o)
		}
		f.sendReports(partitioned)
		f.tickCount++
	}
}

// sendRequests sends the requests of one organisation for one tick.
func (f *Fleet) sendRequests(i int, o *Organisation) {
	for range f.poisson(o.Rate * Tick.Seconds()) {
		e := f.Entries[o.FirstEntry+f.rng.IntN(o.EndEntry-o.FirstEntry)]
		if e.Down {
			continue
		}
		f.Sent[i]++
		if ok, _ := e.Limiter.Admit(o.Name, o.Cost, f.Now); ok {
			f.Admitted[i]++
			if i == 0 {
				f.AdmittedBySide[e.Side]++
			}
		}
	}
}

// poisson returns a Poisson-distributed number with the given mean.
func (f *Fleet) poisson(mean float64) int {
	threshold, count, product := math.Exp(-mean), 0, f.rng.Float64()
	for product > threshold {
		count++
		product *= f.rng.Float64()
	}
	return count
}

// sendReports sends the reports that are due in this tick. Different entries
// report in different ticks of the report period.
func (f *Fleet) sendReports(partitioned bool) {
	ticks := int(limits.ReportPeriod / Tick)
	for i, e := range f.Entries {
		if f.ReportingDisabled || e.Down || (f.tickCount+i)%ticks != 0 {
			continue
		}
		e.Coordinator.Expire(f.Now)
		for _, out := range e.Limiter.DueReports(f.Now) {
			f.deliver(e, out, partitioned)
		}
	}
}

// deliver sends a report from e and applies the answer. If the receiver does
// not answer, the report goes to the next coordinators.
func (f *Fleet) deliver(e *Entry, out limits.OutgoingReport, partitioned bool) {
	receiver := f.entryByID(out.To)
	if receiver.Down || partitioned && receiver.Side != e.Side {
		for _, rerouted := range e.Limiter.RerouteReport(out, f.Now) {
			f.deliver(e, rerouted, partitioned)
		}
		return
	}
	var report limitspb.Report
	f.transmit(out.Report, &report, e != receiver)
	var grant limitspb.Grant
	f.transmit(receiver.Coordinator.HandleReport(&report, receiver.Limiter, f.Now), &grant, e != receiver)
	e.Limiter.ApplyGrant(&grant, f.Now)
}

// transmit encodes m and decodes it into decoded, as a network connection
// would. If countTraffic is set, it adds the message to the counters.
func (f *Fleet) transmit(m, decoded proto.Message, countTraffic bool) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		panic(err)
	}
	if countTraffic {
		f.Bytes += 2 * (len(encoded) + MessageOverheadBytes)
		f.Messages++
	}
}

// entryByID returns the entry with the given ID.
func (f *Fleet) entryByID(id string) *Entry {
	i, err := strconv.Atoi(strings.TrimPrefix(id, "entry-"))
	if err != nil {
		panic(err)
	}
	return f.Entries[i]
}
