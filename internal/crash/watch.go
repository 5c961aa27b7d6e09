package crash

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellwind.example/suspects"
)

// Probe asks a server which process it is, in a name that changes with every
// start, or "" if the server does not say. An error means that nobody answers.
type Probe func(ctx context.Context) (process string, err error)

// probeTimeout bounds a probe; a server that is silent for so long after a
// connection to it broke counts as dead.
const probeTimeout = time.Second

// Watch follows what one server runs, and finds out whether the server died
// when a connection to it breaks. It is safe for concurrent use.
type Watch struct {
	name  string
	zone  string
	cause suspects.Cause
	probe Probe
	// onCrash is called once a crash, before any of its runs is told.
	onCrash func(suspects.Report)

	mu      sync.Mutex
	process string
	asked   bool
	current *generation
	crashes uint64
}

// generation is what ran on a server between two crashes.
type generation struct {
	// check is held while a probe is under way, so that runs that broke
	// together share its outcome.
	check   sync.Mutex
	running *suspects.RunTracker
	crashed bool
	report  suspects.Report
}

// Run is one run on a watched server. One goroutine uses it.
type Run struct {
	watch   *Watch
	gen     *generation
	id      suspects.RunID
	process string
}

// NewWatch returns a watch of the server known as name, which must be another
// name for each incarnation of its instance.
func NewWatch(name, zone string, cause suspects.Cause, probe Probe, onCrash func(suspects.Report)) *Watch {
	w := &Watch{name: name, zone: zone, cause: cause, probe: probe, onCrash: onCrash}
	w.current = w.newGeneration()
	return w
}

func (w *Watch) newGeneration() *generation {
	server := xxhash.Sum64String(w.name) + w.crashes
	return &generation{running: suspects.NewRunTracker(server, w.zone)}
}

// Begin records a run that is about to be sent. It returns false if the run is
// on probation and another such run is under way.
func (w *Watch) Begin(ctx context.Context, p suspects.Print, probation bool) (*Run, bool) {
	w.learn(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	id, ok := w.current.running.Start(p, probation)
	if !ok {
		return nil, false
	}
	return &Run{watch: w, gen: w.current, id: id, process: w.process}, true
}

// Knows sets the process that the server is known to be, "" if that is unknown,
// so that it is not asked before the first run.
func (w *Watch) Knows(process string) { w.set(process) }

// learn asks for the process once, before the first run of it.
func (w *Watch) learn(ctx context.Context) {
	w.mu.Lock()
	asked := w.asked
	w.mu.Unlock()
	if asked {
		return
	}
	process, err := w.ask(ctx)
	if err == nil {
		w.set(process)
	}
}

func (w *Watch) ask(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return w.probe(ctx)
}

func (w *Watch) set(process string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.process, w.asked = process, true
}

// Answered takes the process that the head of the run's answer names.
func (r *Run) Answered(process string) {
	if process == "" {
		return
	}
	r.process = process
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	if r.watch.current == r.gen {
		r.watch.process, r.watch.asked = process, true
	}
}

// End records the end of a run whose connection did not break. It returns the
// report that clears the request, if there is one.
func (r *Run) End(completed bool, book *suspects.Registry) (suspects.Report, bool) {
	return r.gen.running.Finish(r.id, completed, book, time.Now())
}

// Broke records that the run's connection broke. It returns the report of the
// crash if the server died.
func (r *Run) Broke(ctx context.Context) (suspects.Report, bool) {
	r.gen.check.Lock()
	defer r.gen.check.Unlock()
	if r.gen.crashed {
		return r.gen.report, true
	}
	process, err := r.watch.ask(ctx)
	if err == nil && (r.process == "" || process == r.process) {
		r.gen.running.Finish(r.id, false, nil, time.Now())
		return suspects.Report{}, false
	}
	r.watch.crash(r.gen, process, err == nil)
	return r.gen.report, true
}

// crash begins a new generation. Runs that begin from here on are not in the
// report.
func (w *Watch) crash(gen *generation, process string, answers bool) {
	w.mu.Lock()
	gen.report = gen.running.ReportCrash(w.cause, time.Now())
	gen.crashed = true
	w.crashes++
	w.current = w.newGeneration()
	w.process, w.asked = process, answers
	w.mu.Unlock()
	w.onCrash(gen.report)
}
