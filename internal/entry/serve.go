package entry

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"bluebellwind.example/routing"
	"bluebellwind.example/rules"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// chatPath is where callers send chat completions.
const chatPath = "/v1/chat/completions"

// exchange is one request of a caller with its response.
type exchange struct {
	id           string
	startedAt    time.Time
	organisation *rules.Organisation
	snap         *rulesSnapshot
	opts         requestOptions
	out          *responseWriter
	// offeredTicket is sent with a refusal if it is not empty.
	offeredTicket string
}

// handler returns the HTTP handler for callers.
func (e *Entry) handler() http.Handler {
	r := echo.New()
	r.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			writeRefusal(c.Response(), verdict.AsError(err), c.Response().Header().Get(headerRequestID), "")
		}
	}
	r.POST(chatPath, e.serve(e.serveChat))
	r.Any("/*", e.serve(e.serveCall))
	return r
}

// serve wraps a handler with what all requests share: a request ID,
// authentication, one rules snapshot for the whole request, the response to an
// error, and a log line.
func (e *Entry) serve(handle func(*exchange, echo.Context) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !e.beginRequest() {
			c.Response().Header().Set("Connection", "close")
		}
		defer e.endRequest()
		startedAt := time.Now()
		ex := &exchange{id: uuid.Must(uuid.NewV7()).String(), startedAt: startedAt, snap: e.rulesState.load()}
		c.Response().Header().Set(headerRequestID, ex.id)
		ex.out = newResponseWriter(c.Response(), ex.id)
		err := e.prepare(ex, c.Request())
		if err == nil {
			err = handle(ex, c)
		}
		e.logRequest(ex, c.Request(), time.Since(startedAt), err)
		if err == nil {
			return nil
		}
		refusal := verdict.AsError(err)
		if ex.out.headerSent {
			ex.out.abort(refusal)
		}
		writeRefusal(c.Response(), refusal, ex.id, ex.offeredTicket)
		return nil
	}
}

// prepare authenticates the request and reads its options.
func (e *Entry) prepare(ex *exchange, r *http.Request) error {
	if ex.snap == nil {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no rules are in force yet").WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return verdict.Refuse(verdict.Unauthenticated, verdict.NotRun, "header Authorization: a bearer token is missing")
	}
	org, ok := ex.snap.set.Authenticate(token)
	if !ok {
		return verdict.Refuse(verdict.Unauthenticated, verdict.NotRun, "header Authorization: the token is not known")
	}
	ex.organisation = org
	opts, err := readOptions(r.Header, e.clock.Now())
	ex.opts = opts
	return e.withTicketVerdict(ex, err)
}

// withTicketVerdict sets the verdict of err to MayHaveRun if the request has a
// ticket. It is for refusals made before the server of the ticket was asked,
// which cannot rule out that an earlier attempt with the ticket has run.
func (e *Entry) withTicketVerdict(ex *exchange, err error) error {
	if err == nil || !hasTicketPrefix(ex.opts.idempotencyKey) {
		return err
	}
	refusal := *verdict.AsError(err)
	refusal.Verdict = verdict.MayHaveRun
	return &refusal
}

// serveChat serves a chat completion.
func (e *Entry) serveChat(ex *exchange, c echo.Context) error {
	held, err := e.bodies.read(c.Response(), c.Request())
	if err != nil {
		return err
	}
	defer held.release()
	body := held.bytes
	chatReq, err := decodeChat(body)
	if err != nil {
		return err
	}
	decision, ok := ex.snap.set.Decide(rules.Request{Model: chatReq.Model, Organisation: ex.organisation.Name, Class: ex.opts.class})
	if !ok {
		return verdict.Refuse(verdict.NoRoute, verdict.NotRun, "no rule leads to this model for this organisation")
	}
	if err := e.checkDrain(e.deadlineOf(ex.opts, decision)); err != nil {
		return err
	}
	if err := e.quota.admit(ex.organisation.Name, time.Now()); err != nil {
		return err
	}
	defer func() { e.quota.charge(ex.organisation.Name, ex.out.estimatedTokens) }()
	req := e.newRoutedRequest(ex, decision, body, c.Request())
	req.startTemplate.Stream = chatReq.Stream
	req.fingerprint = e.crashes.fingerprintOf(ex.organisation.Name, body)
	ctx, cancel := e.requestContext(c.Request().Context(), req.deadline)
	defer cancel()
	return e.dispatch(ctx, req, ex.out)
}

// serveCall serves a call of a plain service.
func (e *Entry) serveCall(ex *exchange, c echo.Context) error {
	r := c.Request()
	decision, ok := ex.snap.set.Decide(rules.Request{
		Method:       r.Method,
		Path:         rulePath(r.URL),
		Organisation: ex.organisation.Name,
		Class:        ex.opts.class,
	})
	if !ok {
		return e.withTicketVerdict(ex, verdict.Refuse(verdict.NoRoute, verdict.NotRun, "no rule leads to this path for this organisation"))
	}
	body, err := e.bodies.read(c.Response(), r)
	if err != nil {
		return e.withTicketVerdict(ex, err)
	}
	defer body.release()
	if err := e.checkDrain(e.deadlineOf(ex.opts, decision)); err != nil {
		return e.withTicketVerdict(ex, err)
	}
	req := e.newRoutedRequest(ex, decision, body.bytes, r)
	ctx, cancel := e.requestContext(r.Context(), req.deadline)
	defer cancel()
	if decision.AtMostOnce {
		return e.serveOnce(ctx, ex, req)
	}
	if err := e.quota.admit(ex.organisation.Name, time.Now()); err != nil {
		return err
	}
	return e.dispatch(ctx, req, ex.out)
}

// rulePath returns the path by which rules decide: decoded, as rules are written, but for
// encoded slashes, which do not separate parts of a path.
func rulePath(u *url.URL) string {
	const slash = "%2F"
	parts := strings.Split(strings.ReplaceAll(u.EscapedPath(), "%2f", slash), slash)
	for i, part := range parts {
		if decoded, err := url.PathUnescape(part); err == nil {
			parts[i] = decoded
		}
	}
	return strings.Join(parts, slash)
}

// serveOnce serves a call that may not be repeated. The limit of the organisation
// is charged when a ticket is issued to a request without one. A ticket that its
// server voided is replaced without another charge.
func (e *Entry) serveOnce(ctx context.Context, ex *exchange, req *routedRequest) error {
	server, err := e.ticketServer(req, ex.opts.idempotencyKey)
	if err != nil {
		if verdict.AsError(err).Code != verdict.TicketRequired {
			return err
		}
		if err := e.quota.admit(ex.organisation.Name, time.Now()); err != nil {
			return err
		}
		ex.offeredTicket = e.newTicket(req)
		return err
	}
	req.startTemplate.Ticket = ex.opts.idempotencyKey
	err = e.dispatchOnce(ctx, req, server, ex.out)
	if ticketVoided(err) {
		ex.offeredTicket = e.newTicket(req)
	}
	return err
}

// newRoutedRequest creates the request to dispatch, bounds the time to write its
// response, and records the routing decision.
func (e *Entry) newRoutedRequest(ex *exchange, d rules.Decision, body []byte, r *http.Request) *routedRequest {
	req := &routedRequest{
		id:           ex.id,
		organisation: ex.organisation.Name,
		snap:         ex.snap,
		target:       target{name: d.Target, isGroup: d.Kind == rules.ToGroup},
		deadline:     e.deadlineOf(ex.opts, d),
		startTemplate: &wire.Start{
			Class:       ex.opts.class.String(),
			Priority:    int32(ex.opts.priority),
			Method:      r.Method,
			Target:      r.URL.RequestURI(),
			ContentType: r.Header.Get("Content-Type"),
			Body:        body,
			Share:       uint32(max(1, ex.organisation.Share)),
		},
	}
	req.routingRequest.Priority = routing.PriorityOf(ex.opts.class == rules.Batch, ex.opts.priority)
	ex.out.setWriteDeadline(req.deadline)
	e.recordRouting(ex, req, d)
	return req
}

// deadlineOf returns the earlier of the deadline that the caller set and the one
// by the timeout of the rule, or of the settings if the rule has none.
func (e *Entry) deadlineOf(o requestOptions, d rules.Decision) time.Time {
	limit := e.settings.Entry.RequestTimeout.Std()
	if d.Timeout > 0 {
		limit = d.Timeout
	}
	deadline := time.Now().Add(limit)
	if !o.deadline.IsZero() && o.deadline.Before(deadline) {
		return o.deadline
	}
	return deadline
}
