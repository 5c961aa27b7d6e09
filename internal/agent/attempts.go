package agent

import (
	"math"
	"sync"
	"time"

	"bluebellwind.example/internal/clock"
	"bluebellwind.example/verdict"
)

const (
	// attemptRetention is how long an ended or revoked attempt is kept, in awake
	// time: time in which the process was able to run. It is far above the longest
	// delay of a Start message: the kernel closes a connection whose bytes are
	// unacknowledged for ten seconds, and a running process reads what has
	// arrived.
	attemptRetention = 5 * time.Minute
	// maxAttempts bounds the number of attempts in the table.
	maxAttempts = 65536
	// awakeTickInterval is the interval at which attemptTable.tick is called.
	awakeTickInterval = time.Second
)

var (
	errRevoked = verdict.Refuse(verdict.DeadlineExceeded, verdict.NotRun,
		"the attempt was revoked before it started")
	errDuplicateAttempt = verdict.Refuse(verdict.InvalidRequest, verdict.MayHaveRun,
		"the attempt arrived twice")
	errTableFull = verdict.Refuse(verdict.Overloaded, verdict.NotRun,
		"the agent follows too many attempts").WithRetryAfter(time.Second)
)

// attemptTable records which attempts have started and which must never start. It
// is safe for concurrent use.
type attemptTable struct {
	incarnation uint64
	awake       clock.RunTime
	// disabled names a mechanism that a test switches off, to show that the test
	// fails without it.
	disabled string

	mu     sync.Mutex
	states map[string]attemptState
	// closed holds ended and revoked attempts, oldest first.
	closed []closedAttempt
}

type attemptState uint8

const (
	attemptQueued attemptState = iota + 1
	attemptStarted
	attemptRevoked
)

type closedAttempt struct {
	id       string
	closedAt time.Duration
}

func newAttemptTable(incarnation uint64) *attemptTable {
	return &attemptTable{incarnation: incarnation, states: map[string]attemptState{}}
}

// addQueued records an attempt that waits for a slot. It fails if the attempt was
// revoked or if its ID is already in use.
func (a *attemptTable) addQueued(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.states[id] == attemptRevoked:
		return errRevoked
	case a.states[id] != 0:
		return errDuplicateAttempt
	case len(a.states) >= maxAttempts:
		return errTableFull
	}
	a.states[id] = attemptQueued
	return nil
}

// markStarted marks a queued attempt as started. It fails if the attempt was
// revoked while it was queued.
func (a *attemptTable) markStarted(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.states[id] != attemptQueued {
		return errRevoked
	}
	a.states[id] = attemptStarted
	return nil
}

// finish ends an attempt. One that never started is marked as revoked: it was
// refused as not run, so a later message with the same ID must not start it. One
// that started is kept as started, because its entry may not have received the
// end and may still revoke it.
func (a *attemptTable) finish(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.states[id] {
	case attemptQueued:
		a.states[id] = attemptRevoked
		a.recordClosed(id)
	case attemptStarted:
		if a.disabled == "ended" {
			delete(a.states, id)
			return
		}
		a.recordClosed(id)
	}
}

// revoke returns NotRun if the attempt has not started, and then keeps it from
// ever starting. awakeAtSend is the awake time of this agent that the entry last
// knew when it sent the attempt. It returns MayHaveRun if the attempt has started,
// if it was sent to another incarnation, if it may be older than attemptRetention,
// so that it may have run and been removed from the table, or if it is not in the table
// and the table is full, so that the revocation cannot be recorded.
func (a *attemptTable) revoke(id string, incarnation uint64, awakeAtSend time.Duration) verdict.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if incarnation != a.incarnation && a.disabled != "incarnation" {
		return verdict.MayHaveRun
	}
	if a.awake.Total()-awakeAtSend > attemptRetention && a.disabled != "memory" {
		return verdict.MayHaveRun
	}
	switch {
	case a.states[id] == attemptRevoked:
		return verdict.NotRun
	case a.states[id] == attemptStarted, a.states[id] == 0 && len(a.states) >= maxAttempts:
		return verdict.MayHaveRun
	}
	if a.disabled != "revocation" {
		a.states[id] = attemptRevoked
		a.recordClosed(id)
	}
	return verdict.NotRun
}

func (a *attemptTable) recordClosed(id string) {
	a.closed = append(a.closed, closedAttempt{id: id, closedAt: a.awake.Total()})
}

// tick counts awake time and removes closed attempts that are older than
// attemptRetention. It must be called every awakeTickInterval.
func (a *attemptTable) tick(now time.Time) {
	maxTick := 2 * awakeTickInterval
	if a.disabled == "awake" {
		maxTick = math.MaxInt64 // Time in which the process was suspended counts, too.
	}
	a.awake.Tick(now, maxTick)
	awakeTime := a.awake.Total()
	a.mu.Lock()
	defer a.mu.Unlock()
	expired := 0
	for expired < len(a.closed) && awakeTime-a.closed[expired].closedAt > attemptRetention {
		delete(a.states, a.closed[expired].id)
		expired++
	}
	a.closed = a.closed[expired:]
}
