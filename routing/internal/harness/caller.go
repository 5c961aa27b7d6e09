package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/verdict"
)

// request is one caller's request with all its attempts.
type request struct {
	// rng draws the random values that concern this request alone, so that
	// compared policies get the same requests independent of their choices.
	rng          *rand.Rand
	organisation string
	heavy        bool
	priority     routing.Priority
	prefix       int
	tokens       int
	arrived      time.Duration
	// deadline is the virtual time at which the caller ends the current attempt
	// if it has no first token.
	deadline time.Duration
	attempts int
	// retryAfterGiven states that a refusal gave the caller a retry delay.
	retryAfterGiven bool
	// measured states that the request arrived after the warm-up and is
	// counted.
	measured      bool
	answered      bool
	gotFirstToken bool
}

// expectedService returns the service time that an agent assumes. It cannot
// know the length of the answer.
func (q *request) expectedService() time.Duration { return serviceTime }

// handleArrival creates the next request and schedules the arrival of the one
// after it.
func (r *simulation) handleArrival() {
	load := r.Load
	o := &r.Overload
	if o.PeakLoad > 0 && r.now >= o.PeakStart && r.now < o.PeakStart+o.PeakDuration {
		load = o.PeakLoad
	}
	rate := load * capacity(r.Servers)
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.handleArrival)
	q := r.newRequest()
	if q.measured {
		r.result.Arrived++
		if !q.heavy {
			r.result.LightArrived++
		}
	}
	r.sendAttempt(q)
}

func (r *simulation) newRequest() *request {
	q := &request{
		rng:      rand.New(rand.NewPCG(r.rng.Uint64(), 5)),
		prefix:   int(r.prefixDistribution.Uint64()),
		tokens:   1 + int(r.rng.ExpFloat64()*(meanTokens-1)),
		arrived:  r.now,
		priority: routing.Interactive,
		measured: r.now >= r.Warmup,
	}
	if r.rng.Float64() < r.BatchShare {
		q.priority = routing.Batch
	}
	if r.rng.Float64() < r.HotPrefixShare {
		q.prefix = prefixCount
	}
	q.organisation = fmt.Sprint("light", r.rng.IntN(lightOrganisations))
	if r.rng.Float64() < r.Overload.HeavyShare {
		q.organisation, q.heavy = "heavy", true
	}
	return q
}

// sendAttempt makes one attempt of the caller, through an entry that the
// platform's load balancer picks.
func (r *simulation) sendAttempt(q *request) {
	q.attempts++
	if q.measured {
		r.result.Attempts++
	}
	e := r.pickEntry(q)
	q.deadline = r.now + time.Hour
	if r.Overload.FirstTokenTimeout > 0 {
		q.deadline = r.now + r.Overload.FirstTokenTimeout
	}
	a := &callerAttempt{simulation: r, entry: e, request: q, sentAt: r.now}
	if r.Overload.FirstTokenTimeout > 0 {
		r.after(r.Overload.FirstTokenTimeout, a.handleTimeout)
	}
	a.send()
}

// pickEntry picks a random entry as the platform's load balancer does, which
// does not send to a failed availability zone.
func (r *simulation) pickEntry(q *request) *entry {
	for {
		e := r.entries[q.rng.IntN(len(r.entries))]
		if e.zone != r.lostZone {
			return e
		}
	}
}

// callerAttempt is one attempt of a caller as an entry handles it.
type callerAttempt struct {
	*simulation
	entry          *entry
	request        *request
	sentAt         time.Duration
	serverAttempts int
	triedServers   []string
	// now is the most recent attempt on a server. It hides clock.now, the
	// virtual time, which is accessed as simulation.now.
	now    *serverAttempt
	choice *routing.Choice
	done   bool
	// gotFirstToken states that the first token has arrived, after which the
	// caller no longer times out.
	gotFirstToken bool
}

func (a *callerAttempt) send() {
	a.refreshView(a.entry)
	block := []routing.BlockHash{routing.BlockHash(a.request.prefix)}
	pickRequest := routing.Request{
		Priority:        a.request.priority,
		PromptTokens:    prefixTokens + suffixTokens,
		ExcludedServers: a.triedServers,
	}
	if !a.NoPrefixHints {
		pickRequest.Hints = a.entry.prefixIndex.Hints(nil, block, prefixTokens, a.time())
	}
	choice, err := a.entry.table.Pick(pickRequest, a.time())
	if err != nil {
		a.handleRefusal(verdict.AsError(err))
		return
	}
	a.serverAttempts++
	a.choice = choice
	a.triedServers = append(a.triedServers, choice.Server)
	s := a.serversByName[choice.Server]
	if s.down {
		a.after(connectTimeout, func() {
			a.entry.table.Exclude(s.name)
			a.entry.suspectedUntil[s.name] = a.simulation.now + suspectPeriod
			a.retryOrRefuse(verdict.Refuse(verdict.Unavailable, verdict.NotRun, "cannot connect"))
		})
		return
	}
	t := &serverAttempt{request: a.request, onFirstToken: a.handleFirstToken, onEnd: a.handleEnd}
	t.onRefused = a.retryOrRefuse
	a.now = t
	s.submit(t)
}

func (a *callerAttempt) handleFirstToken() {
	if a.done {
		return
	}
	a.gotFirstToken = true
	q := a.request
	a.choice.RecordProgress(a.time())
	a.scheduleCacheEvent()
	if !q.measured || q.gotFirstToken {
		return
	}
	q.gotFirstToken = true
	a.result.Started++
	if a.now.prefixHit {
		a.result.PrefixHits++
	}
	delay := a.simulation.now - q.arrived
	record(a.result.FirstToken, delay)
	if q.priority == routing.Interactive {
		record(a.result.FirstTokenInteractive, delay)
	}
	if q.attempts == 1 {
		record(a.result.Seconds[a.simulation.now/time.Second].FirstAttempt, delay)
	}
	if q.retryAfterGiven {
		a.result.StartedAfterRetryAfter++
	}
}

// scheduleCacheEvent delivers the cache event to the prefix indexes after
// ReportAge. A third of the events is lost; then only this entry's index learns
// of the prefix.
func (a *callerAttempt) scheduleCacheEvent() {
	server, prefix := a.choice.Server, a.request.prefix
	block := []routing.BlockHash{routing.BlockHash(prefix)}
	lost := a.request.rng.IntN(3) == 0
	a.after(a.ReportAge, func() {
		if lost {
			a.entry.prefixIndex.RecordStored(server, block, a.time())
			return
		}
		for _, prefixIndex := range a.prefixIndexes {
			prefixIndex.RecordStored(server, block, a.time())
		}
	})
}

func (a *callerAttempt) handleEnd() {
	a.choice.Release()
	if a.done {
		return
	}
	a.done = true
	a.entry.budget.RecordSuccess(a.request.organisation)
	if a.request.answered {
		return
	}
	a.request.answered = true
	a.result.Seconds[a.simulation.now/time.Second].Goodput += float64(a.request.tokens) / meanTokens / capacity(a.Servers)
	if a.request.measured {
		a.result.Answered++
		if !a.request.heavy {
			a.result.LightAnswered++
		}
	}
}

// retryOrRefuse lets the entry try another server if its retry budget allows.
func (a *callerAttempt) retryOrRefuse(err *verdict.Error) {
	a.choice.Release()
	if a.done {
		return
	}
	if a.entry.budget.Allow(retry.FailedAttempt{Organisation: a.request.organisation, Attempts: a.serverAttempts, Verdict: err.Verdict}) {
		a.result.EntryRetries++
		a.send()
		return
	}
	a.handleRefusal(err)
}

// handleRefusal ends the attempt with a refusal. The caller retries after the
// stated delay, or after callerRetryDelay if there is none.
func (a *callerAttempt) handleRefusal(err *verdict.Error) {
	a.done = true
	record(a.result.Refusal, a.simulation.now-a.sentAt)
	wait := callerRetryDelay
	if err.RetryAfter > 0 {
		wait = err.RetryAfter
		a.request.retryAfterGiven = true
		a.result.RetryAfterRefusals++
	}
	a.scheduleRetry(wait)
}

// handleTimeout ends the attempt when the caller times out without a first
// token. Unless abandoned requests are cancelled, the server continues the
// work.
func (a *callerAttempt) handleTimeout() {
	if a.done || a.gotFirstToken {
		return
	}
	a.done = true
	if a.Overload.CancelAbandoned && a.now != nil && a.now.state != attemptDone {
		a.choice.Release()
		a.now.server.cancel(a.now)
	}
	a.scheduleRetry(callerRetryDelay)
}

// scheduleRetry schedules the caller's next attempt, or counts the request as
// failed if none is left.
func (a *callerAttempt) scheduleRetry(wait time.Duration) {
	if a.request.attempts >= max(1, a.Overload.MaxAttempts) {
		if a.request.measured {
			a.result.Failed++
		}
		return
	}
	a.after(wait, func() { a.sendAttempt(a.request) })
}
