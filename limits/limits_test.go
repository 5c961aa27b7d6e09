package limits_test

import (
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/limits"
	"bluebellwind.example/limits/internal/fleet"
)

// tolerance is the allowed relative error of the admitted rate.
const tolerance = 0.05

// newOverloadedFleet returns a fleet in which one organisation sends twice its
// limit of 200 requests a second to the entries [from, to).
func newOverloadedFleet(entries, from, to int) (*fleet.Fleet, []limits.Limit) {
	table := []limits.Limit{{Organisation: "school", Requests: 200}}
	org := &fleet.Organisation{Name: "school", Rate: 400, Cost: limits.Cost{Requests: 1}, FirstEntry: from, EndEntry: to}
	f := fleet.New(entries, []*fleet.Organisation{org}, table, 3)
	f.ReportingDisabled = os.Getenv("BBW_WITHOUT") == "leases"
	if os.Getenv("BBW_WITHOUT") == "handover" {
		for _, e := range f.Entries {
			e.Coordinator.DisableHandover()
		}
	}
	return f, table
}

// admittedRate runs the fleet for d and returns the rate admitted for the first
// organisation, in requests a second.
func admittedRate(f *fleet.Fleet, d time.Duration, partitioned bool) float64 {
	before := f.Admitted[0]
	f.Run(d, partitioned)
	return float64(f.Admitted[0]-before) / d.Seconds()
}

// assertWithinTolerance fails the test if got differs from want by more than
// tolerance.
func assertWithinTolerance(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance*want, "%.1f a second, want %.1f", got, want)
}

// TestOrdinaryBurstsAreAdmitted guards against refusing the random bursts of
// callers within their limit. Requests are Poisson arrivals at 80% of the
// limit.
func TestOrdinaryBurstsAreAdmitted(t *testing.T) {
	const (
		loadRatio        = 0.8
		minAdmittedRatio = 0.995
	)
	for _, limit := range []float64{0.5, 2, 10, 50} {
		table := []limits.Limit{{Organisation: "school", Requests: limit}}
		org := &fleet.Organisation{Name: "school", Rate: loadRatio * limit, Cost: limits.Cost{Requests: 1}, EndEntry: 8}
		f := fleet.New(8, []*fleet.Organisation{org}, table, 5)
		f.ReportingDisabled = os.Getenv("BBW_WITHOUT") == "leases"
		f.Run(4*time.Minute, false)
		admittedBefore, sentBefore := f.Admitted[0], f.Sent[0]
		f.Run(6*time.Minute, false)
		got := float64(f.Admitted[0]-admittedBefore) / float64(f.Sent[0]-sentBefore)
		assert.Assert(t, got >= minAdmittedRatio, "limit %v: %.4f admitted", limit, got)
	}
}

func TestLimitHoldsInSteadyStateAndFollowsAShift(t *testing.T) {
	for _, entries := range []int{8, 60} {
		f, _ := newOverloadedFleet(entries, 0, entries/4)
		f.Run(30*time.Second, false)
		assertWithinTolerance(t, admittedRate(f, 30*time.Second, false), 200)
		f.Organisations[0].FirstEntry, f.Organisations[0].EndEntry = entries/2, entries
		f.Run(5*time.Second, false)
		assertWithinTolerance(t, admittedRate(f, 10*time.Second, false), 200)
	}
}

func TestLostCoordinatorIsFollowedWithoutOvershoot(t *testing.T) {
	for down := range 8 {
		f, _ := newOverloadedFleet(8, 0, 8)
		f.Run(30*time.Second, false)
		f.Entries[down].Down = true
		got := admittedRate(f, 20*time.Second, false)
		assert.Assert(t, got <= 200*(1+tolerance), "entry %d down: %.1f a second", down, got)
		assert.Assert(t, got >= 200*0.8, "entry %d down: %.1f a second", down, got)
	}
}

func TestEachSideOfACutServesItsShare(t *testing.T) {
	f, _ := newOverloadedFleet(8, 0, 8)
	for i, e := range f.Entries {
		if i >= 6 {
			e.Side = 1
		}
	}
	f.Run(30*time.Second, false)
	// The membership views do not show the partition yet.
	got := admittedRate(f, 40*time.Second, true)
	assert.Assert(t, got <= 200*(1+tolerance) && got >= 200*(1-2*tolerance), "%.1f a second", got)
	f.SetViews(true)
	f.Run(40*time.Second, true)
	f.AdmittedBySide = [2]int{}
	f.Run(60*time.Second, true)
	assertWithinTolerance(t, float64(f.AdmittedBySide[0])/60, 150)
	assertWithinTolerance(t, float64(f.AdmittedBySide[1])/60, 50)
	f.SetViews(false)
	f.Run(70*time.Second, false)
	assertWithinTolerance(t, admittedRate(f, 20*time.Second, false), 200)
}

func TestAllEntriesReplacedAtOnce(t *testing.T) {
	f, table := newOverloadedFleet(16, 0, 16)
	f.Run(30*time.Second, false)
	for i := range f.Entries {
		f.Replace(i, table)
	}
	f.SetViews(false)
	assert.Assert(t, admittedRate(f, 5*time.Second, false) <= 200*1.3)
	f.Run(10*time.Second, false)
	assertWithinTolerance(t, admittedRate(f, 30*time.Second, false), 200)
}

func TestAdmitAllocatesNothing(t *testing.T) {
	f, _ := newOverloadedFleet(8, 0, 8)
	l := f.Entries[0].Limiter
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		l.Admit("school", limits.Cost{Requests: 1}, f.Now)
	}), 0.0)
	ok, retryAfter := true, time.Duration(0)
	for ok {
		ok, retryAfter = l.Admit("school", limits.Cost{Requests: 1}, f.Now)
	}
	assert.Assert(t, retryAfter > 0)
	ok, _ = l.Admit("unlimited", limits.Cost{Requests: 1}, f.Now)
	assert.Assert(t, ok)
}

func BenchmarkAdmit(b *testing.B) {
	f, _ := newOverloadedFleet(8, 0, 8)
	l := f.Entries[0].Limiter
	b.ReportAllocs()
	for b.Loop() {
		l.Admit("school", limits.Cost{Requests: 1}, f.Now)
	}
}
