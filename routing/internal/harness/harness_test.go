package harness

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSameSeedSameResult(t *testing.T) {
	s := Scenario{
		Seed: 3, Policy: WaterFilling, Entries: 8, Servers: 6, Load: 0.8, ReportAge: time.Second, Duration: 20 * time.Second,
		Overload: Overload{PeakLoad: 2, PeakStart: 5 * time.Second, PeakDuration: 5 * time.Second, Admission: true, CancelAbandoned: true, FirstTokenTimeout: 10 * time.Second, MaxAttempts: 3},
	}
	a, b := Run(s), Run(s)
	assert.DeepEqual(t, a.FirstToken.Export(), b.FirstToken.Export())
	assert.Equal(t, a.Attempts, b.Attempts)
	assert.Equal(t, a.Imbalance, b.Imbalance)
}

// TestPolicyBeatsRivals checks at one operating point that the 99th percentile
// of the time to first token is lower with WaterFilling than with every other
// policy.
func TestPolicyBeatsRivals(t *testing.T) {
	p99 := map[Policy]time.Duration{}
	for _, p := range Policies {
		r := Run(Scenario{Seed: 1, Policy: p, Entries: 8, Servers: 16, Load: 0.9, ReportAge: time.Second, Warmup: 10 * time.Second, Duration: 50 * time.Second})
		p99[p] = Quantile(r.FirstToken, 99)
	}
	for _, p := range Policies {
		assert.Assert(t, p == WaterFilling || p99[WaterFilling] < p99[p], "%s: %v", p, p99)
	}
}

// TestGoodputInPeak checks overload at twice the capacity with callers that
// retry: complete answers must use at least 90% of the capacity, and the
// entries' retries must stay within their budget.
func TestGoodputInPeak(t *testing.T) {
	o := Overload{
		PeakLoad: 2, PeakStart: 5 * time.Second, PeakDuration: 35 * time.Second,
		FirstTokenTimeout: 5 * time.Second, MaxAttempts: 4, Admission: true, CancelAbandoned: true,
	}
	if os.Getenv("BBW_WITHOUT") == "admission" {
		o.Admission, o.CancelAbandoned = false, false
	}
	for seed := range uint64(3) {
		r := Run(Scenario{Seed: seed, Policy: WaterFilling, Entries: 8, Servers: 8, Load: 0.7, ReportAge: time.Second, Duration: 45 * time.Second, Overload: o})
		sum := 0.0
		for _, s := range r.Seconds[15:40] {
			sum += s.Goodput / 25
		}
		assert.Assert(t, sum >= 0.9, "goodput %.3f, seed %d", sum, seed)
		budget := 0.1*float64(r.Answered) + 8*20
		assert.Assert(t, float64(r.EntryRetries) <= budget, "%d retries", r.EntryRetries)
	}
}
