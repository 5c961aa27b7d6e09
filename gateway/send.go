package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/upstream"
)

// sendTo sends the request to one server and relays its response. It releases the
// choice.
func (x *exchange) sendTo(choice *backends.Choice) attemptOutcome {
	defer choice.Release()
	defer x.startAttempt()()
	x.failureCause, x.serverGivenUp = "", false
	mayHaveRunBefore := x.mayHaveRun
	response, err := x.g.pool.Send(x.currentCtx, x.newUpstreamRequest(choice))
	if err != nil {
		return x.handleSendError(choice, err)
	}
	defer response.Close()
	return x.relay(choice, response, nil, mayHaveRunBefore)
}

// startAttempt sets the context of a new attempt, which may be ended until its first
// event. It returns the function that ends the attempt.
func (x *exchange) startAttempt() func() {
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.currentCtx = ctx
	x.current = x.trackAttempt(cancel)
	return func() {
		x.g.attempts.remove(x.current)
		cancel(nil)
	}
}

// trackAttempt makes an attempt one that may be ended until its first event; it returns
// nil if it must not be ended.
func (x *exchange) trackAttempt(cancel context.CancelCauseFunc) *attempt {
	if !x.route.Repeatable() || x.isProbe || x.eventCount > 0 || len(x.call.SharedParts) == 0 {
		return nil
	}
	a := &attempt{traits: x.traits, cancel: cancel}
	x.g.attempts.add(a)
	return a
}

// quarantined reports whether the current attempt was ended because its request is held.
func (x *exchange) quarantined() bool {
	return x.currentCtx != nil && errors.Is(context.Cause(x.currentCtx), errQuarantined)
}

// relay relays the response of a server. events reads its stream; nil if nothing has been
// read of it. mayHaveRunBefore says whether the request may have run at another server.
func (x *exchange) relay(choice *backends.Choice, response *upstream.Response, events *eventReader, mayHaveRunBefore bool) attemptOutcome {
	x.attemptEvents, x.reusedConnection = 0, response.Reused
	metadata := x.g.headerCodec.ParseResponse(response.Status, response.Header)
	x.g.recordWithdrawal(choice, response.Status, metadata)
	if defect := defectOf(response, metadata, x.continuation()); defect != "" {
		x.recordDefect(choice, defect)
		return outcomeFailed
	}
	if metadata.NotRun {
		x.mayHaveRun = mayHaveRunBefore || x.standbyMayHaveRun
		return x.handleServerRefusal(choice, response, metadata)
	}
	if response.Status >= http.StatusInternalServerError {
		x.g.directory.RecordServerError(choice.ID, time.Now())
		if x.standby != nil || !x.cannotRetry() {
			x.failureCause = "the server returned status " + strconv.Itoa(response.Status)
			return outcomeFailed
		}
	}
	if reason := x.rejectStatus(response.Status, mayHaveRunBefore); reason != "" {
		x.failureCause = "the server returned status " + strconv.Itoa(response.Status) + " " + reason
		return outcomeFailed
	}
	if x.route.Repeat == ingress.Stream && response.Status == http.StatusOK {
		if events == nil {
			events = newResponseEvents(x.g, response, x.continuation())
		}
		return x.relayStream(choice, response, events, metadata)
	}
	return x.relayBuffered(choice, response, metadata)
}

// rejectStatus returns why a status of a server must not reach the caller, as the end of a
// sentence; empty if it may. mayHaveRunBefore is as for relay.
func (x *exchange) rejectStatus(status int, mayHaveRunBefore bool) string {
	switch {
	case saysNotRun(status) && (mayHaveRunBefore || x.standbyMayHaveRun || x.standby != nil):
		return "and another may have run the request"
	case saysNotRun(status) && !x.route.Repeatable():
		return "and does not say that it has not run the request"
	case x.headerSent && status != http.StatusOK:
		return "in place of the rest of the stream"
	}
	return ""
}

// recordDefect records that a server has sent a response that must not reach the caller.
func (x *exchange) recordDefect(choice *backends.Choice, defect responseDefect) {
	x.failureCause = defect.String()
	x.g.metrics.countDefect(defect)
	x.g.directory.RecordFailure(choice.ID, false, time.Now())
}

// newUpstreamRequest returns the request to send to the selected server.
func (x *exchange) newUpstreamRequest(choice *backends.Choice) *upstream.Request {
	h := x.r.Header.Clone()
	removeHopByHopHeaders(h)
	now := time.Now()
	metadata := RequestMetadata{Server: choice.ID, Organisation: x.organisation, Priority: x.serverPriority}
	if !x.deadline.IsZero() {
		metadata.Remaining = x.deadline.Sub(now)
	}
	if x.hasLastEventID {
		metadata.LastEventID = strconv.FormatUint(x.lastEventID, 10)
	}
	x.g.headerCodec.SetRequestHeaders(h, metadata)
	req := &upstream.Request{
		Address:       choice.Address,
		ServerStarted: choice.Started,
		Method:        x.r.Method,
		Target:        x.r.RequestURI,
		Host:          x.r.Host,
		Header:        h,
		Body:          x.body,
		MaxIdle:       x.maxIdle(),
		ID:            x.call.ID,
		Matches:       func(h http.Header) bool { return x.g.headerCodec.MatchesRequest(h, x.call.ID) },
		BeforeSend:    func() error { return x.beforeSend(choice) },
		KeepWaiting:   x.waitPolicy(choice),
	}
	if x.service != nil && x.service.MaxConnections > 0 {
		req.MaxConnections = max(minConnectionsPerServer, x.service.MaxConnections/x.g.gatewayCount())
	}
	return req
}

// maxIdle returns how long a connection that the request uses may have been idle.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleNonRepeatable
}

// errConfigStale means that nothing was sent because the proof that the
// configuration is current is missing or too old.
var errConfigStale = errors.New("gateway: the configuration is not proved fresh")

// errServerWithdrawn means that nothing was sent because the server has said since it
// was chosen that it wants no requests.
var errServerWithdrawn = errors.New("gateway: the server takes no requests any more")

// errZoneEvacuated means that nothing was sent because the evacuation of the server's zone
// has begun since the server was chosen.
var errZoneEvacuated = errors.New("gateway: the zone of the server is evacuated")

// errBudgetUsed means that nothing was sent because the server takes no more requests in this
// second.
var errBudgetUsed = errors.New("gateway: the budget of the server is used up")

// beforeSend is called when the connection is open and no byte has been sent. If
// it returns nil, the request may run from then on.
func (x *exchange) beforeSend(choice *backends.Choice) error {
	if err := x.checkSend(choice); err != nil {
		return err
	}
	x.sendCount++
	x.mayHaveRun = true
	if x.sendCount == 1 {
		x.g.retryBudget.RecordRequest(x.serviceName, time.Now())
	}
	return nil
}

// checkSend returns an error if the request must not be sent to the server any more.
// It may be called by any goroutine.
func (x *exchange) checkSend(choice *backends.Choice) error {
	if x.authenticated && !x.g.configFresh() || !x.g.zonesFresh() {
		return errConfigStale
	}
	if x.g.directory.Withdrawn(&choice.Server, time.Now()) {
		return errServerWithdrawn
	}
	if x.g.directory.Evacuated(&choice.Server) {
		return errZoneEvacuated
	}
	if !x.g.directory.ClaimSend(choice, time.Now()) {
		x.g.metrics.countBudgetDenial()
		return errBudgetUsed
	}
	return nil
}

// neverSent reports whether err says that nothing was sent because the server must not be
// used now.
func neverSent(err error) bool {
	return errors.Is(err, errServerWithdrawn) || errors.Is(err, errZoneEvacuated) || errors.Is(err, errBudgetUsed)
}

// handleSendError records and classifies an attempt that received no response
// header.
func (x *exchange) handleSendError(choice *backends.Choice, err error) attemptOutcome {
	if errors.Is(err, errConfigStale) {
		return outcomeConfigStale
	}
	if neverSent(err) {
		x.failureCause = err.Error()
		return outcomeNotRun
	}
	sent := maybeSent(err)
	if x.ctx.Err() != nil {
		return outcomeCanceled
	}
	if x.quarantined() {
		return outcomeQuarantined
	}
	x.failureCause, x.serverGivenUp = err.Error(), errors.Is(err, upstream.ErrSilent)
	if sent {
		x.attemptEvents = 0
		x.watchBroken(choice, err, false)
	}
	if !errors.Is(err, upstream.ErrBusy) {
		x.g.directory.RecordFailure(choice.ID, !sent, time.Now())
	}
	if sent {
		return outcomeFailed
	}
	return outcomeNotRun
}

// maybeSent reports whether bytes of a request whose sending failed with err may have
// reached the server.
func maybeSent(err error) bool {
	if errors.Is(err, errConfigStale) || neverSent(err) {
		return false
	}
	var sendErr *upstream.Error
	return !errors.As(err, &sendErr) || sendErr.MaybeSent
}

// handleServerRefusal records and classifies a response which states that the
// server did not run the request.
func (x *exchange) handleServerRefusal(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata) attemptOutcome {
	if err := response.Drain(); err != nil && x.ctx.Err() != nil {
		return outcomeCanceled
	}
	x.recordServerRefusal(choice, response.Status, metadata)
	return outcomeNotRun
}

// recordServerRefusal records that a server states that it did not run the request.
func (x *exchange) recordServerRefusal(choice *backends.Choice, status int, metadata ResponseMetadata) {
	now := time.Now()
	x.failureCause = "the server refused with " + strconv.Itoa(status)
	switch {
	case metadata.FaultyServer != "":
		x.failureCause += ", its group is broken at " + metadata.FaultyServer
		if !x.g.directory.MarkGroupBroken(choice.ID, now.Add(brokenGroupExclusion)) {
			x.g.directory.RecordFailure(choice.ID, true, now) // There is only the server to leave out.
		}
	case status == http.StatusMisdirectedRequest: // Another server has the address now.
		x.g.directory.RecordFailure(choice.ID, true, now)
	default:
		x.g.directory.RecordSuccess(choice.ID, metadata.Load, now)
	}
}
