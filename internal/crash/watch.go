package crash

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellwind.example/suspects"
)

// Probe queries a server for the identifier of its process, which changes on
// every start. It returns "" if the server answers without an identifier, and an
// error if it does not answer.
type Probe func(ctx context.Context) (process string, err error)

// probeTimeout limits a probe. A server that does not answer within this time
// after a connection to it broke counts as crashed.
const probeTimeout = time.Second

// ServerMonitor tracks the runs on one server and detects, when the connection of
// a run breaks, whether the server crashed. A run is one request sent to the
// server. A ServerMonitor is safe for concurrent use.
type ServerMonitor struct {
	name  string
	zone  string
	cause suspects.Cause
	probe Probe
	// onCrash is called once for each crash, before ConnectionBroke returns for any
	// run that was in flight.
	onCrash func(suspects.Report)

	mu            sync.Mutex
	process       string // identifier of the current process, "" if unknown
	processProbed bool   // process was determined since the last crash, though it may be ""
	current       *generation
	crashCount    uint64
}

// generation holds the runs on a server between two crashes.
type generation struct {
	// probeMu is held during a probe, so that runs whose connections broke at the
	// same time share its result.
	probeMu sync.Mutex
	tracker *suspects.RunTracker
	crashed bool
	report  suspects.Report // set once crashed is true
}

// Run is one run on a monitored server. It is not safe for concurrent use.
type Run struct {
	monitor *ServerMonitor
	gen     *generation
	id      suspects.RunID
	process string // identifier of the process that runs it, "" if unknown
}

// NewServerMonitor returns a monitor of one server. The name must differ between
// incarnations of the instance. Reports of crashes have the given zone and cause
// and are passed to onCrash.
func NewServerMonitor(name, zone string, cause suspects.Cause, probe Probe, onCrash func(suspects.Report)) *ServerMonitor {
	m := &ServerMonitor{name: name, zone: zone, cause: cause, probe: probe, onCrash: onCrash}
	m.current = m.newGeneration()
	return m
}

// newGeneration returns an empty generation, whose server identifier differs from
// those of the generations before.
func (m *ServerMonitor) newGeneration() *generation {
	server := xxhash.Sum64String(m.name) + m.crashCount
	return &generation{tracker: suspects.NewRunTracker(server, m.zone)}
}

// Begin records a run that is about to be sent to the server. It returns false if
// the run is on probation and the server already has a run on probation.
func (m *ServerMonitor) Begin(ctx context.Context, p suspects.Fingerprint, probation bool) (*Run, bool) {
	m.ensureProcess(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok := m.current.tracker.Start(p, probation)
	if !ok {
		return nil, false
	}
	return &Run{monitor: m, gen: m.current, id: id, process: m.process}, true
}

// SetProcess sets the known process identifier of the server, or "" if it is
// unknown. After that, Begin does not probe the server.
func (m *ServerMonitor) SetProcess(process string) { m.storeProcess(process) }

// ensureProcess probes the server for its process identifier unless it has been
// determined since the last crash.
func (m *ServerMonitor) ensureProcess(ctx context.Context) {
	m.mu.Lock()
	probed := m.processProbed
	m.mu.Unlock()
	if probed {
		return
	}
	process, err := m.probeProcess(ctx)
	if err == nil {
		m.storeProcess(process)
	}
}

// probeProcess probes the server. It ignores the cancellation of ctx.
func (m *ServerMonitor) probeProcess(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return m.probe(ctx)
}

func (m *ServerMonitor) storeProcess(process string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.processProbed = process, true
}

// SetProcess records the process identifier in the header of the server's
// response to the run, or "" if the response has none.
func (r *Run) SetProcess(process string) {
	if process == "" {
		return
	}
	r.process = process
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	if r.monitor.current == r.gen {
		r.monitor.process, r.monitor.processProbed = process, true
	}
}

// End records the end of a run whose connection did not break. It returns the
// report that clears the request, or false if none is needed. The registry may be
// nil if completed is false.
func (r *Run) End(completed bool, registry *suspects.Registry) (suspects.Report, bool) {
	return r.gen.tracker.Finish(r.id, completed, registry, time.Now())
}

// ConnectionBroke records that the connection of the run broke. It probes the
// server. If the server does not answer or is another process than before, it has
// crashed, and ConnectionBroke returns the report of the crash. If the process of
// the run or that of the answer is unknown, only a server that does not answer counts as
// crashed. If the server did not crash, ConnectionBroke ends the run and returns false.
func (r *Run) ConnectionBroke(ctx context.Context) (suspects.Report, bool) {
	r.gen.probeMu.Lock()
	defer r.gen.probeMu.Unlock()
	if r.gen.crashed {
		return r.gen.report, true
	}
	process, err := r.monitor.probeProcess(ctx)
	if err == nil && (r.process == "" || process == "" || process == r.process) {
		r.gen.tracker.Finish(r.id, false, nil, time.Now())
		return suspects.Report{}, false
	}
	r.monitor.recordCrash(r.gen, process, err == nil)
	return r.gen.report, true
}

// recordCrash creates the report of a crash of gen and begins a new generation.
// Runs that begin later are not in the report. The parameter answered says
// whether the server answered the probe; process is then its new identifier.
func (m *ServerMonitor) recordCrash(gen *generation, process string, answered bool) {
	m.mu.Lock()
	gen.report = gen.tracker.ReportCrash(m.cause, time.Now())
	gen.crashed = true
	m.crashCount++
	m.current = m.newGeneration()
	m.process, m.processProbed = process, answered
	m.mu.Unlock()
	m.onCrash(gen.report)
}
