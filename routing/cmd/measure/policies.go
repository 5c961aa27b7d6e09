package main

import (
	"fmt"
	"io"
	"time"

	"bluebellwind.example/routing/internal/harness"
)

// policyColumns are the column names of policyRow.
const policyColumns = "policy | p50 ms | p95 ms | p99 ms | hits | deviation | max/mean | in flight at end | failed |\n"

// baseScenario returns the scenario that the runs vary: 8 entries, 16 servers,
// 20 s of warm-up in a run of one minute.
func baseScenario(p harness.Policy, load float64, reportAge time.Duration) harness.Scenario {
	return harness.Scenario{
		Policy: p, Load: load, ReportAge: reportAge, Entries: 8, Servers: 16,
		Warmup: 20 * time.Second, Duration: time.Minute,
	}
}

func policyRow(r *harness.Result) string {
	return fmt.Sprintf("%s | %s | %s | %.2f | %.2f | %d | %d |\n", r.Scenario.Policy, formatQuantiles(r),
		formatShare(r.PrefixHits, r.Started), r.Imbalance.Deviation(), r.Imbalance.Max(),
		r.Arrived-r.Answered-r.Failed, r.Failed)
}

func loadRuns(w io.Writer, seeds uint64) []*harness.Result {
	var scenarios []harness.Scenario
	for _, reportAge := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 0.95} {
			for _, p := range harness.Policies {
				scenarios = append(scenarios, baseScenario(p, load, reportAge))
			}
		}
	}
	return policyTable(w, "8 entries, 16 servers", scenarios, seeds)
}

// largeRuns uses the number of entries of the target installation but only a
// fifth of its servers. This keeps the runs short and makes herding more
// likely.
func largeRuns(w io.Writer, seeds uint64) {
	var scenarios []harness.Scenario
	for _, reportAge := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, load := range []float64{0.7, 0.9} {
			for _, p := range harness.Policies {
				s := baseScenario(p, load, reportAge)
				s.Entries, s.Servers = 330, 152
				s.Warmup, s.Duration = 15*time.Second, 35*time.Second
				scenarios = append(scenarios, s)
			}
		}
	}
	policyTable(w, "330 entries, 152 servers", scenarios, min(seeds, 1))
}

func policyTable(w io.Writer, title string, scenarios []harness.Scenario, seeds uint64) []*harness.Result {
	fmt.Fprintf(w, "\n## %s\n\n| lag | load | %s|---|---|---|---|---|---|---|---|---|---|---|\n", title, policyColumns)
	results := runAll(scenarios, seeds)
	for _, r := range results {
		fmt.Fprintf(w, "| %v | %.2f | %s", r.Scenario.ReportAge, r.Scenario.Load, policyRow(r))
	}
	return results
}

func faultRuns(w io.Writer, seeds uint64) {
	var scenarios []harness.Scenario
	for _, fault := range []harness.Fault{harness.Straggler, harness.Frozen, harness.ZoneLost} {
		for _, p := range harness.Policies {
			s := baseScenario(p, 0.6, time.Second)
			s.Fault, s.FaultStart, s.FaultDuration = fault, 25*time.Second, 20*time.Second
			scenarios = append(scenarios, s)
		}
	}
	fmt.Fprintf(w, "\n## Faults, load 0.6, lag 1 s (a zone gone leaves load 0.9)\n\n| fault | %s|---|---|---|---|---|---|---|---|---|---|\n", policyColumns)
	for _, r := range runAll(scenarios, seeds) {
		fmt.Fprintf(w, "| %s | %s", r.Scenario.Fault, policyRow(r))
	}
}

// affinityRuns measures the effect of prefix affinity, also with one prefix
// that a fifth of all requests share.
func affinityRuns(w io.Writer, seeds uint64) {
	var scenarios []harness.Scenario
	for _, hotShare := range []float64{0, 0.2} {
		for _, noHints := range []bool{true, false} {
			s := baseScenario(harness.WaterFilling, 0.8, time.Second)
			s.HotPrefixShare, s.NoPrefixHints = hotShare, noHints
			scenarios = append(scenarios, s)
		}
	}
	fmt.Fprintf(w, "\n## Prefix affinity, load 0.8, lag 1 s\n\n| hot prefix | affinity | %s|---|---|---|---|---|---|---|---|---|---|---|\n", policyColumns)
	for _, r := range runAll(scenarios, seeds) {
		fmt.Fprintf(w, "| %.1f | %v | %s", r.Scenario.HotPrefixShare, !r.Scenario.NoPrefixHints, policyRow(r))
	}
}
