package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func newTestRegistry(name string) *Registry {
	r := NewRegistry(rand.New(rand.NewPCG(1, 2)))
	r.SetSelf(name)
	return r
}

func classReport(origin string, age time.Duration, perSecond float64) Report {
	return Report{Origin: Hash(origin), Age: age, Services: []ServiceDemand{{
		Service: Hash("llm"), Classes: []ClassDemand{{Priority: 1, NewPerSecond: perSecond}},
	}}}
}

// Late, doubled and reordered reports must not replace newer ones, and old ones end.
func TestNewestReportOfAGatewayCounts(t *testing.T) {
	r := newTestRegistry("a")
	r.Merge([]Report{classReport("b", 100*time.Millisecond, 6)}, start)
	r.Merge([]Report{classReport("b", time.Second, 100)}, start)
	r.Merge([]Report{classReport("b", 100*time.Millisecond, 6)}, start)
	assert.Equal(t, r.Total("llm", 2, start).PerSecond[1], 6.0)
	r.Merge([]Report{classReport("c", ReportLifetime, 100)}, start)
	assert.Equal(t, r.Total("llm", 2, start).PerSecond[1], 6.0)
	late := start.Add(ReportLifetime)
	assert.Equal(t, r.Total("llm", 2, late).PerSecond[1], 0.0)
	r.Expire(late)
	assert.Equal(t, len(r.others), 0)
}

// A report with values that no gateway measures must change nothing.
func TestImpossibleReportsAreIgnored(t *testing.T) {
	r := newTestRegistry("a")
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), 1e9} {
		r.Merge([]Report{classReport("b", 0, rate)}, start)
	}
	odd := classReport("b", 0, 1)
	odd.Services[0].Classes[0].Priority = Priorities
	r.Merge([]Report{odd, classReport("b", -time.Second, 1), classReport("a", 0, 1)}, start)
	assert.Equal(t, len(r.others), 0)
}

// A gateway that knows hardly any others must decide as if nothing were known of priorities.
func TestDemandOfFewGatewaysIsNotScaled(t *testing.T) {
	r := newTestRegistry("a")
	r.RecordArrival(&Arrival{Service: "llm", Priority: 0}, start)
	assert.Assert(t, !r.Total("llm", 46, start).Known)
	assert.Equal(t, r.Total("llm", 46, start), Demand{})
	assert.Assert(t, !r.Total("llm", 2, start).Known)
	assert.Assert(t, r.Total("llm", 1, start).Known)
	for i := range 22 {
		r.Merge([]Report{classReport(fmt.Sprint(i), 0, 2)}, start)
	}
	total := r.Total("llm", 46, start)
	assert.Assert(t, total.Known)
	assert.Assert(t, math.Abs(total.PerSecond[1]-88) < 1, "%v", total.PerSecond[1])
}

// estimate returns the estimated wait, without priorities if they are switched off.
func estimate(l *Load, d Demand, priority int) Estimate {
	if os.Getenv("BBW_WITHOUT") == "priorities" {
		d = Demand{}
	}
	return EstimateWait(l, &d, priority)
}

// busyLoad is a load of 640 slots held for 2 s, all taken, for which 96 requests wait.
func busyLoad() *Load {
	return &Load{Slots: 640, Running: 640, Waiting: 96, Arrived: 64, Ended: 64, ServiceTime: 2 * time.Second}
}

func mixedDemand() Demand {
	return Demand{
		Known: true, PerSecond: [Priorities]float64{81, 36, 257}, Unanswered: [Priorities]float64{6, 6, 108},
	}
}

// The requests of the least urgent kind must not take the slots of the others in a burst.
func TestUrgentRequestsWaitOnlyForWhatIsAhead(t *testing.T) {
	demand := mixedDemand()
	var waits [3]time.Duration
	for p := range waits {
		waits[p] = estimate(busyLoad(), demand, p).Wait
	}
	assert.Assert(t, waits[0] < 50*time.Millisecond, "%v", waits[0])
	assert.Assert(t, waits[0] < waits[1] && waits[1] < waits[2], "%v", waits)
	all := estimate(busyLoad(), Demand{}, 0).Wait
	assert.Assert(t, waits[2] > all, "%v, %v without priorities", waits[2], all)
}

// While slots are free for a less urgent request and those that arrive before one is free
// again, it does not wait.
func TestReserveIsWhatArrivesUntilASlotIsFree(t *testing.T) {
	demand := mixedDemand()
	load := &Load{Slots: 640, Running: 630, ServiceTime: 2 * time.Second}
	e := estimate(load, demand, 2)
	assert.Equal(t, e.Wait, time.Duration(0))
	arrivals := 117.0 / 320
	assert.Assert(t, math.Abs(e.Reserve-arrivals-math.Sqrt(arrivals)) < 0.01, "%v", e.Reserve)
	load.Running = 639
	assert.Assert(t, estimate(load, demand, 2).Wait > 0)
	assert.Equal(t, estimate(load, demand, 0).Wait, time.Duration(0))
	assert.Equal(t, estimate(load, Demand{Known: true, PerSecond: [Priorities]float64{2: 257}}, 2).Reserve, 0.0)
}

// A deployment in which all requests have one priority must be served as without
// priorities.
func TestOnePriorityIsServedAsWithoutPriorities(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		l := &Load{
			Slots: 1 + rng.IntN(700), Running: rng.IntN(700), Waiting: rng.IntN(100), Arrived: 50 * rng.Float64(), Ended: 50 * rng.Float64(),
			ServiceTime: time.Duration(1 + rng.Int64N(int64(5*time.Second))),
		}
		p := rng.IntN(Priorities)
		var d Demand
		d.Known, d.PerSecond[p], d.Unanswered[p] = true, 500*rng.Float64(), float64(rng.IntN(200))
		assert.Equal(t, EstimateWait(l, &d, p), EstimateWait(l, &Demand{}, p))
	}
}

// Capacity that was promised to more urgent callers must not be given to less urgent ones.
func TestPromisedCapacityIsReserved(t *testing.T) {
	demand := mixedDemand()
	load := &Load{Slots: 640, Running: 640, ServiceTime: 2 * time.Second}
	before := estimate(load, demand, 2)
	demand.PromisedPerSecond[0] = 100
	assert.Assert(t, estimate(load, demand, 2).Reserve > before.Reserve)
	assert.Assert(t, estimate(load, demand, 2).Wait > before.Wait)
	assert.Equal(t, estimate(load, demand, 0), EstimateWait(load, &Demand{}, 0))
}
