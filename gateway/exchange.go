package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/upstream"
	"bluebellwind.example/verdict"
)

// exchange is one request of a caller on its way. It belongs to one goroutine.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	call    Call
	route   *ingress.Route
	service *ingress.Service
	name    string // Of the service.
	// organisation is empty on public routes.
	organisation string
	keyed        bool
	// returned says that the caller was refused before: it has used up a part of
	// its time already.
	returned bool
	urgency  int
	body     []byte
	arrived  time.Time
	deadline time.Time

	// sends is how many servers may have seen the request.
	sends int
	// tries counts the choices, also those that reached no server.
	tries       int
	tried       []string
	avoidGroups []string
	// mayHaveRun is set before the first byte goes to a server, and taken back
	// only by that server's promise.
	mayHaveRun bool
	// headSent is set once the caller has got the head of the answer.
	headSent bool
	// lastEvent is the id of the last event that the caller got.
	lastEvent    uint64
	hasLastEvent bool
	events       int
	// first is when the first event went out, after the arrival.
	first  time.Duration
	choice *backends.Choice
	cause  string
}

// outcome says what came of one try.
type outcome uint8

const (
	// done means that the caller has its answer.
	done outcome = iota
	// notRun means that the server did not run the request.
	notRun
	// broken means that the answer broke off or never came.
	broken
	// ended means that the caller left or its time is over.
	ended
	// stale means that nothing was sent as the configuration is not proved fresh.
	stale
)

// maxTries bounds the choices for one request, also those that reach no server.
const maxTries = 4

// run serves the request.
func (x *exchange) run() {
	for {
		choice, err := x.pick()
		if err != nil {
			x.giveUp(verdict.From(err))
			return
		}
		x.choice = choice
		x.tries++
		result := x.try(choice)
		choice.Done()
		switch result {
		case done:
			return
		case ended:
			x.end()
			return
		case stale:
			x.giveUp(verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").After(x.g.staleRetry()))
			return
		}
		x.tried = append(x.tried, choice.ID)
		if choice.Group.Name != "" {
			x.avoidGroups = append(x.avoidGroups, choice.Group.Name)
		}
		if why := x.mayNotRetry(result); why != "" {
			x.g.logTry(x, choice, "no_retry", why)
			x.giveUp(verdict.Refuse(verdict.Overloaded, x.verdict(), why).After(x.g.refusalRetry()))
			return
		}
		x.g.logTry(x, choice, "retry", x.cause)
	}
}

// pick chooses a server, in another group than those that failed if there is one.
func (x *exchange) pick() (*backends.Choice, error) {
	need := backends.Need{
		Service: x.service, Name: x.name, PromptTokens: x.call.PromptTokens,
		AnswerTokens: x.call.LengthHint,
		Tried:        x.tried, AvoidGroups: x.avoidGroups,
		Objective: x.route.Objective, Remaining: time.Until(x.deadline),
		Pause: x.route.PauseObjective, Returned: x.returned, Resumed: x.sends > 0, Processes: x.g.processes(),
	}
	choice, err := x.g.directory.Pick(need, time.Now())
	if err == nil || len(x.avoidGroups) == 0 {
		return choice, err
	}
	need.AvoidGroups = nil
	return x.g.directory.Pick(need, time.Now())
}

// verdict is what can be promised of the request now.
func (x *exchange) verdict() verdict.Verdict {
	if x.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// mayNotRetry says why the request may not be sent again; empty if it may. What
// it allows is counted against the budget.
func (x *exchange) mayNotRetry(result outcome) string {
	if why := x.barred(result); why != "" {
		return why
	}
	if x.sends > 0 && !x.g.budget.Retry(x.name, x.g.processes(), time.Now()) {
		return "the retry budget is used up"
	}
	return ""
}

// barred says why the request may not be sent again, budget aside.
func (x *exchange) barred(result outcome) string {
	switch {
	case x.ctx.Err() != nil:
		return "the time is over"
	case x.tries >= maxTries:
		return "too many servers were tried"
	case x.sends >= x.route.MaxAttempts:
		return "the route allows no further server"
	case result == broken && x.mayHaveRun && !x.route.Repeatable():
		return "the request may have run"
	case x.headSent && !x.hasLastEvent:
		return "the stream cannot be resumed"
	}
	return ""
}

// try sends the request to one server.
func (x *exchange) try(choice *backends.Choice) outcome {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	x.cause = ""
	before := x.mayHaveRun
	answer, err := x.g.pool.Send(ctx, x.outgoing(choice))
	if err != nil {
		return x.failedSend(choice, err)
	}
	defer answer.Close()
	notes := x.g.format.ReadNotes(answer.Status, answer.Header)
	if notes.NotRun {
		x.mayHaveRun = before
		return x.refused(choice, answer, notes)
	}
	if answer.Status >= http.StatusInternalServerError {
		x.g.directory.Erred(choice.ID, time.Now())
		if !x.stuck() {
			x.cause = "the server answered " + strconv.Itoa(answer.Status)
			return broken
		}
	}
	if x.headSent && answer.Status != http.StatusOK {
		x.cause = "the server cannot resume"
		return broken
	}
	if x.route.Repeat == ingress.Stream && answer.Status == http.StatusOK {
		return x.relayStream(choice, answer, notes)
	}
	return x.relayWhole(choice, answer, notes)
}

func (x *exchange) outgoing(choice *backends.Choice) *upstream.Request {
	h := x.r.Header.Clone()
	dropHopHeaders(h)
	now := time.Now()
	out := Outgoing{Server: choice.ID, Organisation: x.organisation, Urgency: x.urgency}
	if !x.deadline.IsZero() {
		out.Remaining = x.deadline.Sub(now)
	}
	if x.hasLastEvent {
		out.LastEvent = strconv.FormatUint(x.lastEvent, 10)
	}
	x.g.format.MarkRequest(h, out)
	req := &upstream.Request{
		Address: choice.Address,
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header:  h,
		Body:    x.body,
		MaxIdle: reuseRepeatable,
		Mine:    func(h http.Header) bool { return x.g.format.Answers(h, x.call.ID) },
		Before:  x.beforeSend,
		Wait:    x.patience(choice),
	}
	if !x.route.Repeatable() {
		req.MaxIdle = reuseOnce
	}
	if x.service != nil && x.service.MaxConnections > 0 {
		req.MaxConnections = max(minConnections, x.service.MaxConnections/x.g.processes())
	}
	return req
}

// errStale says that nothing was sent, as the configuration is not proved fresh.
var errStale = errors.New("gateway: the configuration is not proved fresh")

// beforeSend is the last look before bytes go out. From here on the request may
// run.
func (x *exchange) beforeSend() error {
	if x.keyed && !x.g.fresh() {
		return errStale
	}
	x.sends++
	x.mayHaveRun = true
	if x.sends == 1 {
		x.g.budget.Request(x.name, time.Now())
	}
	return nil
}

// failedSend judges a request that got no head of an answer.
func (x *exchange) failedSend(choice *backends.Choice, err error) outcome {
	if errors.Is(err, errStale) {
		return stale
	}
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if x.ctx.Err() != nil {
		return ended
	}
	x.cause = err.Error()
	if !errors.Is(err, upstream.ErrBusy) {
		x.g.directory.Failed(choice.ID, !sent, time.Now())
	}
	if sent {
		return broken
	}
	return notRun
}

// refused judges an answer which promises that the request did not run.
func (x *exchange) refused(choice *backends.Choice, answer *upstream.Answer, notes Notes) outcome {
	now := time.Now()
	x.cause = "the server refused with " + strconv.Itoa(answer.Status)
	if _, err := io.Copy(io.Discard, answer); err != nil && x.ctx.Err() != nil {
		return ended
	}
	switch {
	case notes.Faulty != "":
		x.cause += ", its group is broken at " + notes.Faulty
		x.g.directory.GroupBroken(choice.ID, now.Add(groupRetry))
	case answer.Status == http.StatusMisdirectedRequest:
		x.g.directory.Failed(choice.ID, true, now)
	default:
		x.g.directory.Answered(choice.ID, notes.Load, now)
	}
	return notRun
}

// giveUp answers with a refusal, or breaks off an answer that has begun.
func (x *exchange) giveUp(e *verdict.Error) {
	if x.headSent {
		x.g.logEnd(x, "broken_off", e.Reason)
		panic(http.ErrAbortHandler)
	}
	if x.mayHaveRun {
		e = verdict.Wrap(e.Code, verdict.MayHaveRun, e.Reason, e.Err)
	}
	x.g.refuse(x, e)
}

// end answers a request whose time is over or whose caller left.
func (x *exchange) end() {
	if x.r.Context().Err() != nil {
		x.g.logEnd(x, "caller_left", "")
		panic(http.ErrAbortHandler)
	}
	x.giveUp(verdict.Refuse(verdict.DeadlineExceeded, x.verdict(), "the time of the request is over"))
}
