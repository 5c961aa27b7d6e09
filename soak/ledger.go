package soak

import (
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// ledger holds what callers sent and got, and what servers saw. It is safe for
// concurrent use.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// unasked are arrivals of attempts that no caller sent.
	unasked []platformtest.Arrival
	// versions are the configurations, in the order in which they were written.
	versions []version
	// revoked is when each key was acknowledged to be gone.
	revoked map[string]time.Time
	// leaving is when each server was acknowledged to be leaving.
	leaving map[string]time.Time
	// troubles excuse the gateways that they name, everyone for all of them, and
	// what reaches the servers that they name.
	troubles map[string][]span
	// maps lists what groups say of passes on two maps, held those that are still
	// held at the end.
	maps, held []string
	switches   int
	// calmFrom is when the last fault had ended.
	calmFrom time.Time
}

// version is one configuration, known by the service of the canary route.
type version struct {
	canary       string
	sent, stored time.Time
}

// span is a time in which something went wrong.
type span struct{ from, to time.Time }

// attempt is one request of a caller.
type attempt struct {
	platformtest.Request
	organisation string
	gateway      string
	// life is the start of the gateway's process that was asked; zero if it did
	// not run.
	life       int
	sent, done time.Time
	// left is when the caller went away early; zero if it stayed.
	left     time.Time
	answer   platformtest.Response
	arrivals []platformtest.Arrival
	ran      []string
}

func newLedger() *ledger {
	return &ledger{
		attempts: make(map[string]*attempt), revoked: make(map[string]time.Time),
		leaving: make(map[string]time.Time), troubles: make(map[string][]span),
	}
}

// begin notes a request before it is sent.
func (l *ledger) begin(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.AttemptID] = a
}

// end notes the answer to a request.
func (l *ledger) end(a *attempt, answer platformtest.Response, left time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.answer, a.done, a.left = answer, time.Now(), left
}

// RecordArrival implements platformtest.Recorder.
func (l *ledger) RecordArrival(arrival platformtest.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[arrival.Attempt]
	if a == nil {
		l.unasked = append(l.unasked, arrival)
		return
	}
	a.arrivals = append(a.arrivals, arrival)
}

// RecordRun implements platformtest.Recorder.
func (l *ledger) RecordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attempts[id]; a != nil {
		a.ran = append(a.ran, server)
	}
}

// everyone names all gateways.
const everyone = "everyone"

// trouble notes that a gateway, everyone or the link to a server has trouble
// from now on. The returned function ends it.
func (l *ledger) trouble(gateway string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.troubles[gateway])
	l.troubles[gateway] = append(l.troubles[gateway], span{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.troubles[gateway][at].to = time.Now()
	}
}

// inTouch says that a gateway had no trouble from a while before from until to.
// The lock is held.
func (l *ledger) inTouch(gateway string, from, to time.Time) bool {
	return l.sound(gateway, from, to) && l.sound(everyone, from, to)
}

// sound says that a name had no trouble from a while before from until to. The
// lock is held.
func (l *ledger) sound(name string, from, to time.Time) bool {
	from = from.Add(-stability)
	for _, s := range l.troubles[name] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

func (l *ledger) revoke(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = time.Now()
}

func (l *ledger) leave(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[server] = time.Now()
}
