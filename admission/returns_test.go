package admission

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newBusyRegistry returns a registry that has measured 40 new requests a second of priority
// 1, as the only gateway.
func newBusyRegistry() *Registry {
	r := newTestRegistry("a")
	for i := range 200 {
		r.RecordArrival(&Arrival{Service: "llm", Priority: 1}, start.Add(time.Duration(i-200)*25*time.Millisecond))
	}
	return r
}

func refusal(freedPerSecond float64) *Refusal {
	return &Refusal{
		Service: "llm", Priority: 1, Ahead: 10, FreedPerSecond: freedPerSecond,
		Earliest: 1200 * time.Millisecond, Latest: 2600 * time.Millisecond, Gateways: 1,
	}
}

// Callers that are told to return must not be more than there is capacity for, and must not
// all return at once.
func TestReturnsFitInTheCapacity(t *testing.T) {
	r := newBusyRegistry()
	promised := make(map[time.Duration]int)
	for range 200 {
		after, ok := r.ReturnTime(refusal(60), start)
		if !ok {
			assert.Equal(t, after, 2600*time.Millisecond)
			continue
		}
		assert.Assert(t, after >= 1200*time.Millisecond && after <= 2600*time.Millisecond, "%v", after)
		promised[after.Truncate(promiseSpan)]++
		if os.Getenv("BBW_WITHOUT") != "promises" {
			r.RecordPromise("llm", 1, after, start)
		}
	}
	all := 0
	for from, n := range promised {
		all += n
		assert.Check(t, n <= 11, "%d callers were told to return in the 500 ms from %v, in which 10 fit", n, from)
	}
	assert.Check(t, all >= 20 && all <= 32, "%d callers were told to return in 1.4 s, in which 28 fit", all)
}

// While more requests arrive than can be served, nobody may be invited to return early.
func TestNoReturnIsInvitedWithoutCapacity(t *testing.T) {
	r := newBusyRegistry()
	for range 100 {
		after, ok := r.ReturnTime(refusal(38), start)
		assert.Assert(t, !ok)
		assert.Equal(t, after, 2600*time.Millisecond)
	}
	short := refusal(60)
	short.Latest = 100 * time.Millisecond
	after, _ := r.ReturnTime(short, start)
	assert.Equal(t, after, 100*time.Millisecond)
}

// What other gateways have promised counts, from the time at which they measured it.
func TestPromisesOfOthersCount(t *testing.T) {
	r := newBusyRegistry()
	report := classReport("b", time.Second, 0)
	report.Services[0].Classes[0].Promised = []int{1, 2, 3, 4, 5, 6}
	r.Merge([]Report{report}, start)
	counts := r.promisedReturns("llm", 2, start)
	assert.Equal(t, counts[1], [promiseSpans]float64{3, 4, 5, 6})
	assert.Equal(t, r.Total("llm", 2, start).PromisedPerSecond[1], 6.0)
}
