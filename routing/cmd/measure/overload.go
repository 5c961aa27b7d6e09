package main

import (
	"fmt"
	"io"
	"time"

	"bluebellwind.example/routing/internal/harness"
)

const (
	// peakStart and peakDuration are the start and the length of the load peak.
	peakStart    = 30 * time.Second
	peakDuration = 30 * time.Second
	// normalSeconds is the number of consecutive normal seconds that end the
	// recovery. normalFirstTokenP95 is the highest 95th percentile of the time
	// to first token in a normal second.
	normalSeconds       = 5
	normalFirstTokenP95 = 650 * time.Millisecond
)

// overloadControl is one combination of measures against overload.
type overloadControl struct {
	name      string
	configure func(*harness.Overload)
}

var overloadControls = []overloadControl{
	{"none", func(*harness.Overload) {}},
	{"cancel", func(o *harness.Overload) { o.CancelAbandoned = true }},
	{"admission", func(o *harness.Overload) { o.Admission = true }},
	{"admission and cancel", func(o *harness.Overload) { o.Admission, o.CancelAbandoned = true, true }},
	{"the same, wait at most 2 s", func(o *harness.Overload) {
		o.Admission, o.CancelAbandoned, o.MaxWait = true, true, 2*time.Second
	}},
	{"the same, wait at most 1 s", func(o *harness.Overload) {
		o.Admission, o.CancelAbandoned, o.MaxWait = true, true, time.Second
	}},
	{"the same, wait at most 0.5 s", func(o *harness.Overload) {
		o.Admission, o.CancelAbandoned, o.MaxWait = true, true, 500*time.Millisecond
	}},
}

// overloadResult is the result of the overload run with the named control.
type overloadResult struct {
	name   string
	result *harness.Result
}

// overloadRuns measures a peak of twice the capacity for 30 s. Callers make up
// to four attempts and wait 5 s for the first token in each. One organisation
// sends half of all requests.
func overloadRuns(w io.Writer) []overloadResult {
	var scenarios []harness.Scenario
	for _, control := range overloadControls {
		s := baseScenario(harness.WaterFilling, 0.7, time.Second)
		s.Duration = 6 * time.Minute
		s.Overload = harness.Overload{
			PeakLoad: 2, PeakStart: peakStart, PeakDuration: peakDuration,
			FirstTokenTimeout: 5 * time.Second, MaxAttempts: 4, HeavyShare: 0.5,
		}
		control.configure(&s.Overload)
		scenarios = append(scenarios, s)
	}
	fmt.Fprint(w, "\n## Peak of twice the capacity for 30 s, callers try 4 times and wait 5 s for a first token\n\n"+
		"| defence | goodput in peak | normal again after s | normal seconds after the peak | answered | answered, light organisations | tries a request | entry retries | refusal p50 ms | p99 ms | started when told to return |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	var results []overloadResult
	for i, r := range runAll(scenarios, 1) {
		results = append(results, overloadResult{overloadControls[i].name, r})
		fmt.Fprintf(w, "| %s | %.1f%% | %s | %s | %s | %s | %.2f | %d | %s | %s | %s |\n", overloadControls[i].name,
			100*goodput(r), recoveryTime(r), normalShare(r), formatShare(r.Answered, r.Arrived), formatShare(r.LightAnswered, r.LightArrived),
			float64(r.Attempts)/float64(r.Arrived), r.EntryRetries,
			formatMS(harness.Quantile(r.Refusal, 50)), formatMS(harness.Quantile(r.Refusal, 99)), formatShare(r.StartedAfterRetryAfter, r.RetryAfterRefusals))
	}
	return results
}

// goodput returns the mean goodput during the peak without its first 5 s, in
// which the first requests of the peak are still running.
func goodput(r *harness.Result) float64 {
	from, to := int((peakStart+5*time.Second)/time.Second), int((peakStart+peakDuration)/time.Second)
	var sum float64
	for _, s := range r.Seconds[from:to] {
		sum += s.Goodput
	}
	return sum / float64(to-from)
}

// isNormal reports whether 95% of the first attempts that got their first token
// in that second got it within normalFirstTokenP95.
func isNormal(s harness.Second) bool {
	return s.FirstAttempt.TotalCount() > 0 && harness.Quantile(s.FirstAttempt, 95) <= normalFirstTokenP95
}

// recoveryTime returns the number of seconds from the end of the peak to the
// start of the first normalSeconds consecutive normal seconds, or "never".
func recoveryTime(r *harness.Result) string {
	end, consecutive := int((peakStart+peakDuration)/time.Second), 0
	for i := end; i < len(r.Seconds)-1; i++ {
		consecutive++
		if !isNormal(r.Seconds[i]) {
			consecutive = 0
		}
		if consecutive == normalSeconds {
			return fmt.Sprint(i + 1 - consecutive - end)
		}
	}
	return "never"
}

// normalShare returns the share of normal seconds after the peak.
func normalShare(r *harness.Result) string {
	end, count := int((peakStart+peakDuration)/time.Second), 0
	after := r.Seconds[end : len(r.Seconds)-1]
	for _, s := range after {
		if isNormal(s) {
			count++
		}
	}
	return formatShare(count, len(after))
}

// enginePriorityRuns measures the effect of the engine's own priorities on
// interactive requests that compete with batch requests.
func enginePriorityRuns(w io.Writer, seeds uint64) {
	var scenarios []harness.Scenario
	for _, enabled := range []bool{false, true} {
		s := baseScenario(harness.WaterFilling, 1.1, time.Second)
		s.BatchShare = 0.4
		s.Overload.EnginePriorities = enabled
		scenarios = append(scenarios, s)
	}
	fmt.Fprint(w, "\n## Engine priorities, load 1.1 of which 40% is batch\n\n| priorities | interactive p50 ms | p95 ms | p99 ms | started |\n|---|---|---|---|---|\n")
	for _, r := range runAll(scenarios, seeds) {
		q := func(p float64) string { return formatMS(harness.Quantile(r.FirstTokenInteractive, p)) }
		fmt.Fprintf(w, "| %v | %s | %s | %s | %s |\n", r.Scenario.Overload.EnginePriorities, q(50), q(95), q(99), formatShare(r.Started, r.Arrived))
	}
}
