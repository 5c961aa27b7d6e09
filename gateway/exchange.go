package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/internal/nettimeout"
	"bluebellwind.example/verdict"
)

// exchange handles one request of a caller, from its admission to the end of the answer. It
// is used by one goroutine only.
type exchange struct {
	g   *Gateway
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	request
	attempts
	answer
	// aborted is set if the response was ended so that it looks broken.
	aborted bool
}

// run sends the request to one server after another until an attempt is final or
// no retry is allowed.
func (x *exchange) run() {
	defer x.endStandby()
	for {
		if refusal := x.checkDrain(); refusal != nil { // Its body may have arrived late in the drain.
			x.refuseOrAbort(refusal)
			return
		}
		if refusal := x.checkQuarantine(); refusal != nil {
			x.refuseOrAbort(refusal)
			return
		}
		choice, err := x.selectServer(false)
		if err != nil {
			x.refuseOrAbort(verdict.AsError(err))
			return
		}
		x.choice = choice
		if x.selectionCount == 0 {
			x.g.metrics.countAdmitted(x, choice)
		}
		x.selectionCount++
		result := x.continueWithStandby(x.sendTo(choice))
		x.endStandby()
		if x.finish(result) || !x.prepareRetry(result) {
			return
		}
	}
}

// finish ends the request if the outcome of an attempt is final, and reports whether it is.
func (x *exchange) finish(result attemptOutcome) bool {
	switch result {
	case outcomeAnswered:
	case outcomeCanceled:
		x.finishCanceled()
	case outcomeConfigStale:
		x.refuseOrAbort(verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(x.g.staleDelay()))
	case outcomeSlowCaller:
		x.refuseOrAbort(verdict.Refuse(verdict.Unavailable, verdict.MayHaveRun, "the caller reads too slowly"))
	case outcomeQuarantined:
		x.refuseOrAbort(x.quarantineRefusal(0))
	default:
		return false
	}
	return true
}

// prepareRetry decides after a failed attempt whether the request may be sent again. If it
// may not, the request is refused.
func (x *exchange) prepareRetry(result attemptOutcome) bool {
	x.markTried(x.choice)
	if x.retryDenial(result) == "" {
		x.awaitCrashConfirmation()
	}
	if x.g.quarantine.HoldsAny(x.holdingTraits(), time.Now()) {
		x.g.logFailedAttempt(x, x.choice, "no_retry", "the request is held")
		x.refuseOrAbort(x.quarantineRefusal(x.g.refusalDelay()))
		return false
	}
	if denial := x.claimRetry(result); denial != "" {
		x.g.logFailedAttempt(x, x.choice, "no_retry", denial)
		x.refuseOrAbort(verdict.Refuse(verdict.Overloaded, x.verdict(), denial).WithRetryAfter(x.g.refusalDelay()))
		return false
	}
	x.g.logFailedAttempt(x, x.choice, "retry", x.failureCause)
	return true
}

// selectServer selects a server. It avoids groups in which an attempt has failed,
// unless no other group can take the request. forStandby says that the current attempt goes
// on if it fails.
func (x *exchange) selectServer(forStandby bool) (*backends.Choice, error) {
	request := backends.PickRequest{
		Service: x.service, ServiceName: x.serviceName, PromptTokens: x.call.PromptTokens,
		BodyBytes:    len(x.body),
		AnswerTokens: x.call.LengthHint,
		TriedServers: x.triedServers, AvoidGroups: x.avoidGroups, HomeRegions: x.homeRegions,
		StartObjective: x.route.Objective, UntilDeadline: x.untilDeadline(),
		TimeLimit: x.route.Timeout, MaxPause: x.route.PauseObjective, RefusedBefore: x.callerRetry, SentBefore: x.sendCount > 0, GatewayCount: x.g.gatewayCount(),
		ConnectedAddresses: x.g.pool.IdleServers(x.maxIdle()),
		Organisation:       x.organisation, Priority: x.priority,
		CallerUninformed: forStandby || len(x.avoidGroups) > 0,
	}
	choice, err := x.g.directory.Pick(request, time.Now())
	if err == nil || len(x.avoidGroups) == 0 {
		return choice, err
	}
	request.AvoidGroups, request.CallerUninformed = nil, forStandby
	return x.g.directory.Pick(request, time.Now())
}

// claimRetry decides whether the request may be sent again and, if a server may
// already have received it, takes the retry from the retry budget. It returns the
// reason of a denial; empty if the retry is allowed.
func (x *exchange) claimRetry(result attemptOutcome) string {
	if denial := x.retryDenial(result); denial != "" {
		return denial
	}
	if x.sendCount > 0 && !x.g.retryBudget.AllowRetry(x.serviceName, x.g.gatewayCount(), time.Now()) {
		return "the retry budget is used up"
	}
	return ""
}

// retryDenial returns why the request may not be sent again, without regard to
// the retry budget; empty if it may.
func (x *exchange) retryDenial(result attemptOutcome) string {
	switch {
	case x.ctx.Err() != nil:
		return "the time is over"
	case x.selectionCount >= maxSelections:
		return "too many servers were tried"
	case x.sendCount >= x.route.MaxAttempts:
		return "the route allows no further server"
	case result == outcomeFailed && x.mayHaveRun && !x.route.Repeatable():
		return "the request may have run"
	case !x.resumable():
		return "the answer cannot be resumed"
	}
	return ""
}

// refuseOrAbort sends a refusal. If the response header has already been sent, it
// aborts the response so that the caller does not take it for complete.
func (x *exchange) refuseOrAbort(e *verdict.Error) {
	if x.headerSent {
		x.g.metrics.countBrokenOff(x.serverGivenUp)
		x.g.logResponseEnd(x, "broken_off", e.Reason)
		x.abortResponse()
	}
	if x.mayHaveRun {
		e = verdict.Wrap(e.Code, verdict.MayHaveRun, e.Reason, e.Err)
	}
	x.g.refuse(x, e)
}

// abortResponse ends the request so that a response that has begun looks broken to the
// caller. It does not return. A caller of HTTP/1.0 gets a reset: it takes the end of the
// connection for the end of a response without a length.
func (x *exchange) abortResponse() {
	if x.headerSent && !x.r.ProtoAtLeast(1, 1) {
		resetConnection(x.w)
	}
	x.aborted = true
	// http.Server still writes what it has buffered.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(lastWriteTime)) // Fails only for a closed connection.
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a caller.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The connection is closed already.
	}
	if tcp, ok := nettimeout.TCP(c); ok {
		_ = tcp.SetLinger(0) // On failure, Close still ends the connection.
	}
	_ = c.Close()
}

// finishCanceled ends a request whose deadline has passed, whose caller has
// disconnected or that is still open when the gateway stops.
func (x *exchange) finishCanceled() {
	// A write that fails at the deadline ends the context of the caller too.
	if x.r.Context().Err() != nil && !errors.Is(context.Cause(x.ctx), context.DeadlineExceeded) {
		x.g.logResponseEnd(x, "caller_left", "")
		x.abortResponse()
	}
	if errors.Is(context.Cause(x.ctx), errStopping) {
		x.refuseOrAbort(verdict.Refuse(verdict.Unavailable, x.verdict(), "the gateway stops").WithRetryAfter(x.g.staleDelay()))
		return
	}
	x.refuseOrAbort(verdict.Refuse(verdict.DeadlineExceeded, x.verdict(), "the time of the request is over"))
}
