package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerProcessNumber is the header in which an engine states the number of its
// process. The number changes with each restart.
const headerProcessNumber = "X-Process-Start"

// incarnation is one process of an engine, from its start to its crash.
type incarnation struct {
	number  int
	crashed chan struct{}
}

func newIncarnation(number int) *incarnation {
	return &incarnation{number: number, crashed: make(chan struct{})}
}

// crash simulates the crash of a process, which aborts all its requests. A new
// process starts at once. It has no effect on a process that has crashed
// already.
func (e *Engine) crash(i *incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != i {
		return
	}
	e.process = newIncarnation(i.number + 1)
	close(i.crashed)
}

// CrashCount returns the number of crashes of the engine.
func (e *Engine) CrashCount() int { return e.currentProcess().number }

func (e *Engine) currentProcess() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// health responds with the number of the current process.
func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.currentProcess().setHeader(w)
}

func (i *incarnation) setHeader(w http.ResponseWriter) {
	w.Header().Set(headerProcessNumber, strconv.Itoa(i.number))
}

// crashesOn reports whether the request crashes an engine with these faults.
func (f *Faults) crashesOn(req *chatRequest) bool {
	return f.CrashText != "" && strings.Contains(req.prompt(), f.CrashText)
}

// wait waits for d and reports whether the caller is still connected. If the
// process crashes meanwhile, it aborts the connection.
func (i *incarnation) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-i.crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return false
	}
}
