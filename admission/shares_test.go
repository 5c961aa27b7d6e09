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

// Max-min shares must use the whole capacity if there is demand for it, and give nobody less
// than another who gets part of a demand only.
func TestMaxMinLevelUsesTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	for range 5000 {
		demands := make([]float64, 1+rng.IntN(30))
		got, wanted := 0.0, 0.0
		for i := range demands {
			demands[i] = 100 * rng.Float64()
			wanted += demands[i]
		}
		capacity := 2000 * rng.Float64()
		level := MaxMinLevel(demands, capacity)
		for _, demand := range demands {
			got += min(demand, level)
		}
		assert.Assert(t, math.Abs(got-min(capacity, wanted)) < 1e-6*(1+capacity), "%.3f given of %.3f for demands of %.3f", got, capacity, wanted)
	}
}

// shareAmong records 4 s of requests of priority 2 at the rates by organisation, and returns the share of an organisation.
func shareAmong(rates map[string]int, organisation string, freedPerSecond float64) Share {
	r := newTestRegistry("a")
	for name, rate := range rates {
		for i := range 4 * rate {
			r.RecordArrival(&Arrival{Service: "llm", Organisation: name, Priority: 2}, start.Add(time.Duration(i)*time.Second/time.Duration(rate)))
		}
	}
	share := r.ShareOf(&Arrival{Service: "llm", Organisation: organisation, Priority: 2}, freedPerSecond, 1, start.Add(4*time.Second))
	if os.Getenv("BBW_WITHOUT") == "organisation-shares" {
		return unlimitedShare()
	}
	return share
}

// One organisation must not take the slots of those that ask for less than their share.
func TestOrganisationAboveItsShareWaitsLess(t *testing.T) {
	rates := map[string]int{"hot": 100}
	for i := range 10 {
		rates[fmt.Sprint(i)] = 10
	}
	hot, other := shareAmong(rates, "hot", 150), shareAmong(rates, "3", 150)
	assert.Assert(t, hot.MaxPerSecond > 45 && hot.MaxPerSecond < 60, "%v", hot)
	assert.Assert(t, hot.WaitFactor > 0.6 && hot.WaitFactor < 0.8, "%v", hot)
	assert.Equal(t, other.WaitFactor, 1.0)
	assert.Equal(t, shareAmong(rates, "hot", 250), unlimitedShare())
	assert.Equal(t, shareAmong(rates, "hot", 1).WaitFactor >= minWaitFactor, true)
}

// Where no organisation asks for more than the others, none may wait less than before.
func TestEqualOrganisationsWaitAsBefore(t *testing.T) {
	assert.Assert(t, shareAmong(map[string]int{"": 100}, "", 80).WaitFactor > 0.999)
	for _, organisation := range []string{"a", "b"} {
		assert.Assert(t, shareAmong(map[string]int{"a": 50, "b": 50}, organisation, 60).WaitFactor > 0.99)
	}
}
