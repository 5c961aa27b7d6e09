package main

import (
	"sync"
	"time"
)

// attempt is one request of a caller and what became of it.
type attempt struct {
	id, label string
	sentAt    time.Time
	// gatewayStarted is when the gateway that got the request was last started.
	gatewayStarted time.Time
	// runs are the arrivals at servers that began to run the request.
	runs []arrival
	// outcome is the status that the caller got, or what it saw instead.
	outcome string
}

// arrival is a request at a server.
type arrival struct {
	server string
	at     time.Time
	tenant string
	// crashed is set if the server crashed under the request.
	crashed bool
}

// ledger holds what callers have sent and servers have run.
type ledger struct {
	rig *rig

	mu       sync.Mutex
	attempts map[string]*attempt
	order    []*attempt
}

func newLedger(r *rig) *ledger { return &ledger{rig: r, attempts: make(map[string]*attempt)} }

// send records a request that is about to be sent.
func (l *ledger) send(id, label string, gatewayStarted time.Time) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &attempt{id: id, label: label, sentAt: time.Now(), gatewayStarted: gatewayStarted}
	l.attempts[id] = a
	l.order = append(l.order, a)
	return a
}

// run records that a server begins to run a request.
func (l *ledger) run(id string, at arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attempts[id]; a != nil {
		a.runs = append(a.runs, at)
	}
}

// crash records that the server of the last run of a request crashed under it.
func (l *ledger) crash(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attempts[id]; a != nil && len(a.runs) > 0 {
		a.runs[len(a.runs)-1].crashed = true
	}
}

// answer records what a caller got.
func (l *ledger) answer(a *attempt, outcome string) {
	l.mu.Lock()
	a.outcome = outcome
	l.mu.Unlock()
	l.rig.record("request %s (%s): the caller gets %s", a.id, a.label, outcome)
}

// all returns copies of the attempts in the order in which they were sent.
func (l *ledger) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]attempt, 0, len(l.order))
	for _, a := range l.order {
		c := *a
		c.runs = append([]arrival(nil), a.runs...)
		out = append(out, c)
	}
	return out
}
