package main

import (
	"fmt"
	"io"
	"time"

	"bluebellwind.example/routing/internal/harness"
)

const (
	peakAt  = 30 * time.Second
	peakFor = 30 * time.Second
	// normalFirstToken is the 95th percentile that counts as back to normal.
	// normalRun is how many normal seconds in a row end the recovery.
	normalRun        = 5
	normalFirstToken = 650 * time.Millisecond
)

// defence is one way to meet a peak.
type defence struct {
	name   string
	change func(*harness.Overload)
}

var defences = []defence{
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

type peak struct {
	name   string
	result *harness.Result
}

// overloadRuns doubles the load for 30 s before callers who try up to four
// times and wait 5 s for their first token each time. One organisation sends half of all.
func overloadRuns(w io.Writer) []peak {
	var scenarios []harness.Scenario
	for _, d := range defences {
		s := base(harness.WaterFilling, 0.7, time.Second)
		s.Duration = 6 * time.Minute
		s.Overload = harness.Overload{
			PeakLoad: 2, PeakStart: peakAt, PeakDuration: peakFor,
			FirstTokenTimeout: 5 * time.Second, MaxAttempts: 4, HeavyShare: 0.5,
		}
		d.change(&s.Overload)
		scenarios = append(scenarios, s)
	}
	fmt.Fprint(w, "\n## Peak of twice the capacity for 30 s, callers try 4 times and wait 5 s for a first token\n\n"+
		"| defence | goodput in peak | normal again after s | normal seconds after the peak | answered | answered, light organisations | tries a request | entry retries | refusal p50 ms | p99 ms | started when told to return |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	var peaks []peak
	for i, r := range runAll(scenarios, 1) {
		peaks = append(peaks, peak{defences[i].name, r})
		fmt.Fprintf(w, "| %s | %.1f%% | %s | %s | %s | %s | %.2f | %d | %s | %s | %s |\n", defences[i].name,
			100*goodput(r), recovery(r), normalShare(r), share(r.Answered, r.Arrived), share(r.LightAnswered, r.LightArrived),
			float64(r.Attempts)/float64(r.Arrived), r.EntryRetries,
			ms(harness.Quantile(r.Refusal, 50)), ms(harness.Quantile(r.Refusal, 99)), share(r.StartedAfterRetryAfter, r.RetryAfterRefusals))
	}
	return peaks
}

// goodput is the mean share of capacity in the peak, left out its first 5 s, in
// which the first of its requests are still running.
func goodput(r *harness.Result) float64 {
	from, to := int((peakAt+5*time.Second)/time.Second), int((peakAt+peakFor)/time.Second)
	var sum float64
	for _, s := range r.Seconds[from:to] {
		sum += s.Goodput
	}
	return sum / float64(to-from)
}

// normal reports whether 95% of the first tries that got their first token in
// that second had it in normal time.
func normal(s harness.Second) bool {
	return s.FirstAttempt.TotalCount() > 0 && harness.Quantile(s.FirstAttempt, 95) <= normalFirstToken
}

// recovery is how many seconds after the peak normalRun normal ones in a row
// begin.
func recovery(r *harness.Result) string {
	end, run := int((peakAt+peakFor)/time.Second), 0
	for i := end; i < len(r.Seconds)-1; i++ {
		run++
		if !normal(r.Seconds[i]) {
			run = 0
		}
		if run == normalRun {
			return fmt.Sprint(i + 1 - run - end)
		}
	}
	return "never"
}

// normalShare is the share of normal seconds from the end of the peak on.
func normalShare(r *harness.Result) string {
	end, count := int((peakAt+peakFor)/time.Second), 0
	after := r.Seconds[end : len(r.Seconds)-1]
	for _, s := range after {
		if normal(s) {
			count++
		}
	}
	return share(count, len(after))
}

// engineRuns measures what the engine's own priorities bring to interactive
// requests beside batch ones.
func engineRuns(w io.Writer, seeds uint64) {
	var scenarios []harness.Scenario
	for _, on := range []bool{false, true} {
		s := base(harness.WaterFilling, 1.1, time.Second)
		s.BatchShare = 0.4
		s.Overload.EnginePriorities = on
		scenarios = append(scenarios, s)
	}
	fmt.Fprint(w, "\n## Engine priorities, load 1.1 of which 40% is batch\n\n| priorities | interactive p50 ms | p95 ms | p99 ms | started |\n|---|---|---|---|---|\n")
	for _, r := range runAll(scenarios, seeds) {
		q := func(p float64) string { return ms(harness.Quantile(r.FirstTokenInteractive, p)) }
		fmt.Fprintf(w, "| %v | %s | %s | %s | %s |\n", r.Scenario.Overload.EnginePriorities, q(50), q(95), q(99), share(r.Started, r.Arrived))
	}
}
