package suspects

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// RunID identifies one run within a RunTracker. Zero is no run.
type RunID uint64

// RunTracker tracks the requests that one server incarnation is running. The
// agent of the server keeps one. An entry keeps one for each server, from which
// it reports the requests in flight if the instance is lost together with its
// agent. It is safe for concurrent use.
type RunTracker struct {
	server uint64
	zone   string
	mu     sync.Mutex
	lastID RunID // identifier of the run started last
	runs   map[RunID]InFlightRequest
	// probationRun is the current run on probation, or zero.
	probationRun RunID
}

// NewRunTracker returns the tracker of a server incarnation that has no runs yet.
// Its reports carry the given availability zone, and those of a crash or loss
// carry server as Report.ServerID.
func NewRunTracker(server uint64, zone string) *RunTracker {
	return &RunTracker{server: server, zone: zone, runs: make(map[RunID]InFlightRequest)}
}

// Start records a new run. If the run is on probation and the server already has
// a run on probation, Start records nothing and returns false, so that no two
// requests run on probation on one server at once. The caller must then not run
// the request; it may be retried later.
func (t *RunTracker) Start(p Fingerprint, probation bool) (RunID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if probation && t.probationRun != 0 {
		return 0, false
	}
	t.lastID++
	t.runs[t.lastID] = InFlightRequest{Fingerprint: p, Probation: probation}
	if probation {
		t.probationRun = t.lastID
	}
	return t.lastID, true
}

// AddTokens records that a run has sent n more tokens.
func (t *RunTracker) AddTokens(id RunID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run, ok := t.runs[id]; ok {
		run.TokensSent += n
		t.runs[id] = run
	}
}

// Finish records the end of a run. The parameter completed is false for a run
// that failed or was cancelled; registry may then be nil. Finish returns a report
// that clears the request if the run completed and the request is a suspect, or
// is related to suspects and no similar request has completed since the first of
// their crashes.
func (t *RunTracker) Finish(id RunID, completed bool, registry *Registry, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run, ok := t.runs[id]
	if !ok {
		return Report{}, false
	}
	delete(t.runs, id)
	if t.probationRun == id {
		t.probationRun = 0
	}
	if !completed || !registry.shouldReportCompletion(run.Fingerprint, now) {
		return Report{}, false
	}
	return NewReport(0, now, t.zone, Completed, []InFlightRequest{run}), true
}

// ReportCrash returns a report of all requests in flight and removes them from
// the tracker.
func (t *RunTracker) ReportCrash(cause Cause, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]InFlightRequest, 0, len(t.runs))
	for _, id := range slices.Sorted(maps.Keys(t.runs)) {
		all = append(all, t.runs[id])
	}
	clear(t.runs)
	t.probationRun = 0
	return NewReport(t.server, now, t.zone, cause, all)
}
