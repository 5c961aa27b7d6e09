package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/panics"
	"bluebellwind.example/upstream"
)

// standbyRetryInterval is the time after a standby could not be started until the next
// attempt to start one.
const standbyRetryInterval = 300 * time.Millisecond

// standby is a second attempt that is made while the server of the current one is
// silent. The current attempt goes on until the standby has an answer, because another
// server may refuse the request or be silent too.
type standby struct {
	choice  *backends.Choice
	ctx     context.Context
	cancel  context.CancelCauseFunc
	attempt *attempt
	// startedAt is when the standby was started; wait observes its server.
	startedAt time.Time
	wait      waitObserver
	// done is closed when the fields below have been set.
	done chan struct{}
	// response is nil if err is not. events reads a stream, whose first event, or whole
	// end, has arrived.
	response *upstream.Response
	events   *eventReader
	err      error
	// unsent is set if err says that nothing was sent.
	unsent bool
}

// startStandby starts a standby if a server can be chosen for it and the retry budget
// allows it. silent is the server of the current attempt.
func (x *exchange) startStandby(silent *backends.Choice) {
	x.markTried(silent)
	if x.isProbe || x.g.quarantine.HoldsAny(x.holdingTraits(), time.Now()) {
		x.standbyNotBefore = time.Now().Add(standbyRetryInterval)
		return
	}
	choice, err := x.selectServer(true)
	if err != nil {
		x.standbyNotBefore = time.Now().Add(standbyRetryInterval)
		return
	}
	if !x.g.retryBudget.AllowRetry(x.serviceName, x.g.gatewayCount(), time.Now()) {
		choice.Release()
		x.standbyNotBefore = time.Now().Add(standbyRetryInterval)
		return
	}
	x.selectionCount++
	x.sendCount++
	ctx, cancel := context.WithCancelCause(x.ctx)
	s := &standby{
		choice: choice, ctx: ctx, cancel: cancel, attempt: x.trackAttempt(cancel), done: make(chan struct{}),
		startedAt: time.Now(), wait: waitObserver{directory: x.g.directory, server: choice.ID},
	}
	request := x.newUpstreamRequest(choice)
	request.BeforeSend = func() error { return x.checkSend(choice) }
	request.KeepWaiting = nil
	x.standby = s
	go s.run(x.g, request, x.route.Repeat == ingress.Stream, x.continuation())
}

// run sends the request. For a stream it waits until the first event that the caller does not
// have, or the end of a whole stream without events, has arrived. resumed is nil unless the
// response has to go on with a stream.
func (s *standby) run(g *Gateway, request *upstream.Request, stream bool, resumed *continuation) {
	defer close(s.done)
	defer func() {
		if s.err != nil && s.response != nil {
			s.response.Close()
		}
	}()
	defer panics.ToError("a standby", &s.err)
	s.response, s.err = g.pool.Send(s.ctx, request)
	if s.err != nil {
		s.unsent = !maybeSent(s.err)
		return
	}
	if !stream || s.response.Status != http.StatusOK {
		return
	}
	s.events = newResponseEvents(g, s.response, resumed)
	s.err = s.events.awaitEvent()
}

// standbyAnswered reports whether the standby has an answer that the caller should get in
// place of that of the silent server. A standby that has ended without one is dropped.
func (x *exchange) standbyAnswered() bool {
	s := x.standby
	select {
	case <-s.done:
	default:
		return false
	}
	if s.err == nil && x.wantsAnswer(s.response) {
		return true
	}
	x.dropStandby()
	return false
}

// replaceStandby starts another standby in place of one that is silent too, if that is
// allowed. The current attempt goes on meanwhile.
func (x *exchange) replaceStandby() {
	s := x.standby
	if s == nil || !x.wantsStandby(s.wait.observe(time.Since(s.startedAt)), s.choice, false) {
		return
	}
	x.startStandby(s.choice)
	if x.standby == s {
		return
	}
	x.standbyMayHaveRun = true
	x.end(s)
}

// wantsStandby reports whether another server should be tried beside a silent one, and may
// be tried now.
func (x *exchange) wantsStandby(s stall, silent *backends.Choice, eventsReceived bool) bool {
	s.objective = x.route.Objective
	s.stream = x.route.Repeat == ingress.Stream
	s.eventsReceived = eventsReceived
	s.slowsGroup = x.route.Resumable && x.g.directory.SlowsGroup(&silent.Server, x.service, x.route.PauseObjective)
	return s.shouldFailOver() && !x.cannotRetry() && time.Now().After(x.standbyNotBefore)
}

// wantsAnswer reports whether the response is better than to wait for a silent server.
func (x *exchange) wantsAnswer(response *upstream.Response) bool {
	metadata := x.g.headerCodec.ParseResponse(response.Status, response.Header)
	if defectOf(response, metadata, x.continuation()) != "" {
		return false
	}
	if x.route.Repeat == ingress.Stream {
		return response.Status == http.StatusOK
	}
	return !metadata.NotRun && !saysNotRun(response.Status) && response.Status < http.StatusInternalServerError
}

// dropStandby records the end of a standby that has no answer for the caller.
func (x *exchange) dropStandby() {
	s := x.standby
	x.standby = nil
	defer x.release(s)
	cause, givenUp := x.failureCause, x.serverGivenUp
	mayHaveRun := x.recordStandbyFailure(s)
	x.standbyMayHaveRun = x.standbyMayHaveRun || mayHaveRun
	x.g.logFailedAttempt(x, s.choice, "standby_failed", x.failureCause)
	x.failureCause, x.serverGivenUp = cause, givenUp
	x.markTried(s.choice)
}

// recordStandbyFailure records the failure of a standby and reports whether the request
// may have run there.
func (x *exchange) recordStandbyFailure(s *standby) (mayHaveRun bool) {
	if s.err != nil {
		x.recordStandbyError(s)
		return !s.unsent
	}
	defer s.response.Close()
	metadata := x.g.headerCodec.ParseResponse(s.response.Status, s.response.Header)
	x.g.recordWithdrawal(s.choice, s.response.Status, metadata)
	if defect := defectOf(s.response, metadata, x.continuation()); defect != "" {
		x.recordDefect(s.choice, defect)
		return true
	}
	if metadata.NotRun {
		x.recordServerRefusal(s.choice, s.response.Status, metadata)
		return false
	}
	x.failureCause = "the server returned status " + strconv.Itoa(s.response.Status)
	if s.response.Status >= http.StatusInternalServerError {
		x.g.directory.RecordServerError(s.choice.ID, time.Now())
	}
	return true
}

// recordStandbyError records a standby that received no response, or broke off before its
// first event.
func (x *exchange) recordStandbyError(s *standby) attemptOutcome {
	if s.unsent {
		x.sendCount--
	}
	if errors.Is(context.Cause(s.ctx), errQuarantined) {
		return outcomeQuarantined
	}
	if s.events != nil {
		x.attemptEvents = 0
		return x.handleBodyError(s.choice, s.err)
	}
	return x.handleSendError(s.choice, s.err)
}

// continueWithStandby goes on with the standby, if there is one, after the current
// attempt has ended without an answer. It waits for the standby.
func (x *exchange) continueWithStandby(result attemptOutcome) attemptOutcome {
	for x.standby != nil && (result == outcomeFailed || result == outcomeNotRun) {
		s := x.standby
		x.standby = nil
		x.g.logFailedAttempt(x, x.choice, "retry", x.failureCause)
		x.markTried(x.choice)
		<-s.done
		x.choice = s.choice
		mayHaveRunBefore := x.mayHaveRun
		x.mayHaveRun = mayHaveRunBefore || !s.unsent
		result = x.adopt(s, mayHaveRunBefore)
	}
	return result
}

// adopt makes the standby the current attempt and relays its response.
// mayHaveRunBefore says whether the request may have run at another server.
func (x *exchange) adopt(s *standby, mayHaveRunBefore bool) attemptOutcome {
	defer x.release(s)
	x.currentCtx, x.current = s.ctx, s.attempt
	if s.err != nil {
		return x.recordStandbyError(s)
	}
	defer s.response.Close()
	s.response.SetKeepWaiting(x.waitPolicy(s.choice))
	return x.relay(s.choice, s.response, s.events, mayHaveRunBefore)
}

// endStandby ends a standby that is not needed, without waiting for its end.
func (x *exchange) endStandby() {
	s := x.standby
	if s == nil {
		return
	}
	x.standby = nil
	x.mayHaveRun, x.standbyMayHaveRun = true, true // It is not known how far it has come.
	x.end(s)
}

// end ends the standby without waiting for its end.
func (x *exchange) end(s *standby) {
	s.cancel(nil)
	go func() {
		<-s.done
		if s.err == nil {
			s.response.Close()
		}
		x.release(s)
	}()
}

// release frees what a standby that has ended holds.
func (x *exchange) release(s *standby) {
	x.g.attempts.remove(s.attempt)
	s.cancel(nil)
	s.choice.Release()
}
