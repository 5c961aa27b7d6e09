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
	"bluebellwind.example/verdict"
)

// exchange handles one request of a caller, including all attempts to send it to
// backend servers. It is used by one goroutine only.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	call        Call
	route       *ingress.Route
	service     *ingress.Service
	serviceName string
	// organisation is the name of the caller's organisation; empty if the request
	// needs no key.
	organisation string
	// authenticated is set if the request was admitted by its key. It is then sent
	// only while configFresh holds.
	authenticated bool
	// callerRetry is set if the caller was probably refused before and retries:
	// a part of its time has already been used up.
	callerRetry bool
	// serverPriority orders the requests waiting at a server; 0 is served first.
	serverPriority int
	body           []byte
	arrived        time.Time
	// deadline is when the last byte of the response should be sent; zero means
	// that there is none.
	deadline time.Time

	// sendCount is the number of servers that may have received the request.
	sendCount int
	// selectionCount is the number of servers selected, including those that
	// could not be reached.
	selectionCount int
	// triedServers holds the IDs of the servers at which an attempt failed, and
	// avoidGroups the names of their groups.
	triedServers []string
	avoidGroups  []string
	// mayHaveRun is set before the first byte is sent to a server. It is reset to
	// its previous value only if that server states that it did not run the
	// request.
	mayHaveRun bool
	// headerSent is set once the caller has been sent the header of a stream or of
	// a response too large to buffer.
	headerSent bool
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID    uint64
	hasLastEventID bool
	// eventCount is the number of events sent to the caller.
	eventCount int
	// firstEventLatency is the time from the arrival of the request to its first
	// event.
	firstEventLatency time.Duration
	// choice is the server of the current attempt.
	choice *backends.Choice
	// failureCause is why the latest attempt failed, for the log.
	failureCause string
}

// attemptOutcome is the result of sending the request to one server.
type attemptOutcome uint8

const (
	// outcomeAnswered means that the caller has been sent the whole response.
	outcomeAnswered attemptOutcome = iota
	// outcomeNotRun means that the server did not run the request, or that no
	// connection to it could be used.
	outcomeNotRun
	// outcomeFailed means that the response was an error, was incomplete or never
	// came.
	outcomeFailed
	// outcomeCanceled means that the caller disconnected or the deadline passed.
	outcomeCanceled
	// outcomeConfigStale means that nothing was sent because beforeSend returned
	// errConfigStale.
	outcomeConfigStale
)

// maxSelections is the maximum number of servers selected for one request,
// including those that could not be reached.
const maxSelections = 4

// run sends the request to one server after another until an attempt is final or
// no retry is allowed.
func (x *exchange) run() {
	for {
		choice, err := x.selectServer()
		if err != nil {
			x.refuseOrAbort(verdict.AsError(err))
			return
		}
		x.choice = choice
		x.selectionCount++
		result := x.sendTo(choice)
		choice.Release()
		switch result {
		case outcomeAnswered:
			return
		case outcomeCanceled:
			x.finishCanceled()
			return
		case outcomeConfigStale:
			x.refuseOrAbort(verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(x.g.staleDelay()))
			return
		}
		x.triedServers = append(x.triedServers, choice.ID)
		if choice.Group.Name != "" {
			x.avoidGroups = append(x.avoidGroups, choice.Group.Name)
		}
		if denial := x.claimRetry(result); denial != "" {
			x.g.logFailedAttempt(x, choice, "no_retry", denial)
			x.refuseOrAbort(verdict.Refuse(verdict.Overloaded, x.verdict(), denial).WithRetryAfter(x.g.refusalDelay()))
			return
		}
		x.g.logFailedAttempt(x, choice, "retry", x.failureCause)
	}
}

// selectServer selects a server. It avoids groups in which an attempt has failed,
// unless no other group can take the request.
func (x *exchange) selectServer() (*backends.Choice, error) {
	request := backends.PickRequest{
		Service: x.service, ServiceName: x.serviceName, PromptTokens: x.call.PromptTokens,
		AnswerTokens: x.call.LengthHint,
		TriedServers: x.triedServers, AvoidGroups: x.avoidGroups,
		StartObjective: x.route.Objective, UntilDeadline: x.untilDeadline(),
		TimeLimit: x.route.Timeout, MaxPause: x.route.PauseObjective, RefusedBefore: x.callerRetry, SentBefore: x.sendCount > 0, GatewayCount: x.g.gatewayCount(),
	}
	choice, err := x.g.directory.Pick(request, time.Now())
	if err == nil || len(x.avoidGroups) == 0 {
		return choice, err
	}
	request.AvoidGroups = nil
	return x.g.directory.Pick(request, time.Now())
}

// untilDeadline returns the time left until the deadline: zero if there is none, and
// more than zero if there is one, even if it has passed.
func (x *exchange) untilDeadline() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return max(1, time.Until(x.deadline))
}

// verdict returns whether the request may have run.
func (x *exchange) verdict() verdict.Verdict {
	if x.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
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
	case x.headerSent && (x.eventCount == 0 || !x.hasLastEventID):
		return "the answer cannot be resumed"
	}
	return ""
}

// sendTo sends the request to one server and relays its response.
func (x *exchange) sendTo(choice *backends.Choice) attemptOutcome {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	x.failureCause = ""
	mayHaveRunBefore := x.mayHaveRun
	response, err := x.g.pool.Send(ctx, x.newUpstreamRequest(choice))
	if err != nil {
		return x.handleSendError(choice, err)
	}
	defer response.Close()
	metadata := x.g.headerCodec.ParseResponse(response.Status, response.Header)
	x.g.recordWithdrawal(choice, metadata)
	if metadata.NotRun {
		x.mayHaveRun = mayHaveRunBefore
		return x.handleServerRefusal(choice, response, metadata)
	}
	if response.Status >= http.StatusInternalServerError {
		x.g.directory.RecordServerError(choice.ID, time.Now())
		if !x.cannotRetry() {
			x.failureCause = "the server returned status " + strconv.Itoa(response.Status)
			return outcomeFailed
		}
	}
	if x.headerSent && response.Status != http.StatusOK {
		x.failureCause = "the server did not resume the stream"
		return outcomeFailed
	}
	if x.route.Repeat == ingress.Stream && response.Status == http.StatusOK {
		return x.relayStream(choice, response, metadata)
	}
	return x.relayBuffered(choice, response, metadata)
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
		Address:     choice.Address,
		Method:      x.r.Method,
		Target:      x.r.RequestURI,
		Host:        x.r.Host,
		Header:      h,
		Body:        x.body,
		MaxIdle:     maxIdleRepeatable,
		Matches:     func(h http.Header) bool { return x.g.headerCodec.MatchesRequest(h, x.call.ID) },
		BeforeSend:  func() error { return x.beforeSend(choice) },
		KeepWaiting: x.waitPolicy(choice),
	}
	if !x.route.Repeatable() {
		req.MaxIdle = maxIdleNonRepeatable
	}
	if x.service != nil && x.service.MaxConnections > 0 {
		req.MaxConnections = max(minConnectionsPerServer, x.service.MaxConnections/x.g.gatewayCount())
	}
	return req
}

// errConfigStale means that nothing was sent because the proof that the
// configuration is current is missing or too old.
var errConfigStale = errors.New("gateway: the configuration is not proved fresh")

// errServerWithdrawn means that nothing was sent because the server has said since it
// was chosen that it wants no requests.
var errServerWithdrawn = errors.New("gateway: the server takes no requests any more")

// beforeSend is called when the connection is open and no byte has been sent. If
// it returns nil, the request may run from then on.
func (x *exchange) beforeSend(choice *backends.Choice) error {
	if x.authenticated && !x.g.configFresh() {
		return errConfigStale
	}
	if x.g.directory.Withdrawn(&choice.Server, time.Now()) {
		return errServerWithdrawn
	}
	x.sendCount++
	x.mayHaveRun = true
	if x.sendCount == 1 {
		x.g.retryBudget.RecordRequest(x.serviceName, time.Now())
	}
	return nil
}

// handleSendError records and classifies an attempt that received no response
// header.
func (x *exchange) handleSendError(choice *backends.Choice, err error) attemptOutcome {
	if errors.Is(err, errConfigStale) {
		return outcomeConfigStale
	}
	if errors.Is(err, errServerWithdrawn) {
		x.failureCause = err.Error()
		return outcomeNotRun
	}
	var sendErr *upstream.Error
	sent := !errors.As(err, &sendErr) || sendErr.MaybeSent
	if x.ctx.Err() != nil {
		return outcomeCanceled
	}
	x.failureCause = err.Error()
	if !errors.Is(err, upstream.ErrBusy) {
		x.g.directory.RecordFailure(choice.ID, !sent, time.Now())
	}
	if sent {
		return outcomeFailed
	}
	return outcomeNotRun
}

// handleServerRefusal records and classifies a response which states that the
// server did not run the request.
func (x *exchange) handleServerRefusal(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata) attemptOutcome {
	now := time.Now()
	x.failureCause = "the server refused with " + strconv.Itoa(response.Status)
	if err := response.Drain(); err != nil && x.ctx.Err() != nil {
		return outcomeCanceled
	}
	switch {
	case metadata.FaultyServer != "":
		x.failureCause += ", its group is broken at " + metadata.FaultyServer
		x.g.directory.MarkGroupBroken(choice.ID, now.Add(brokenGroupExclusion))
	case response.Status == http.StatusMisdirectedRequest: // Another server has the address now.
		x.g.directory.RecordFailure(choice.ID, true, now)
	default:
		x.g.directory.RecordSuccess(choice.ID, metadata.Load, now)
	}
	return outcomeNotRun
}

// refuseOrAbort sends a refusal. If the response header has already been sent, it
// aborts the response so that the caller does not take it for complete.
func (x *exchange) refuseOrAbort(e *verdict.Error) {
	if x.headerSent {
		x.g.logResponseEnd(x, "broken_off", e.Reason)
		panic(http.ErrAbortHandler)
	}
	if x.mayHaveRun {
		e = verdict.Wrap(e.Code, verdict.MayHaveRun, e.Reason, e.Err)
	}
	x.g.refuse(x, e)
}

// finishCanceled ends a request whose deadline has passed or whose caller has
// disconnected.
func (x *exchange) finishCanceled() {
	if x.r.Context().Err() != nil {
		x.g.logResponseEnd(x, "caller_left", "")
		panic(http.ErrAbortHandler)
	}
	x.refuseOrAbort(verdict.Refuse(verdict.DeadlineExceeded, x.verdict(), "the time of the request is over"))
}
