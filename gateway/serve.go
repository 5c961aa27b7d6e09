package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bluebellwind.example/verdict"
)

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &exchange{g: g, w: w, r: r, request: request{call: g.headerCodec.ParseRequest(r.Header), arrived: arrived}}
	defer g.logPanic(x)
	if refusal := g.admit(x); refusal != nil {
		g.refuse(x, refusal)
		return
	}
	ctx, cancel := g.requestContext(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	body, refusal := g.readBody(r)
	if refusal != nil {
		g.refuse(x, refusal)
		return
	}
	x.body = body
	x.traits = x.allTraits(r)
	g.metrics.requestStarted()
	defer g.metrics.requestEnded()
	x.run()
}

// errStopping is the cause of the end of requests that are still open at the end of a
// drain.
var errStopping = errors.New("gateway: the gateway stops")

// requestContext returns a context that ends with parent, at the deadline unless that is
// zero, and with errStopping as its cause when the requests have to end.
func (g *Gateway) requestContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	stoppable, stop := context.WithCancelCause(parent)
	detach := context.AfterFunc(g.ending, func() { stop(errStopping) })
	ctx, cancel := stoppable, context.CancelFunc(func() {})
	if !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(stoppable, deadline)
	}
	return ctx, func() {
		detach()
		cancel()
		stop(nil)
	}
}

// admit sets the route, organisation, service and deadline of a request. It
// returns a refusal if the request is not admitted.
func (g *Gateway) admit(x *exchange) *verdict.Error {
	table := g.follower.Table()
	if table == nil {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no configuration is known yet").WithRetryAfter(g.staleDelay())
	}
	if x.call.ID == "" {
		return verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, "the request names no attempt")
	}
	fresh := g.configFresh()
	x.route = table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(g.staleDelay())
		}
		return verdict.Refuse(verdict.NoRoute, verdict.NotRun, "no route leads from here")
	}
	x.callerRetry = isCallerRetry(x.call.Remaining, x.route.Timeout)
	priority := x.route.Priority
	if table.RequiresKey() && !x.route.Public {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(g.staleDelay())
		}
		organisation := table.Organisation(x.call.Key)
		if organisation == nil {
			return verdict.Refuse(verdict.Unauthenticated, verdict.NotRun, "the key is not known")
		}
		x.organisation, x.authenticated = organisation.Name, true
		if organisation.HasPriority {
			priority = organisation.Priority
		}
	}
	x.priority = priority
	x.serverPriority = serverPriority(priority, x.callerRetry)
	x.serviceName = x.route.ChooseService(rand.Float64())
	x.service = table.Service(x.serviceName)
	x.deadline = requestDeadline(x.arrived, x.route, x.call.Remaining)
	if end := g.drainEnd.Load(); end != nil && (x.deadline.IsZero() || x.deadline.After(*end)) {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the gateway stops").WithRetryAfter(g.staleDelay())
	}
	x.startAfter(x.call.LastEventID)
	return nil
}

// readBody reads the body of a request up to the size limit. It returns a refusal
// if it cannot.
func (g *Gateway) readBody(r *http.Request) ([]byte, *verdict.Error) {
	limit := int64(defaultMaxBodyBytes)
	if t := g.follower.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		limit = t.Limits().MaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is too large")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is too large")
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the body cannot be read", err)
	}
	return body, nil
}

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those listed in
// Connection, and Content-Length, which is set again for each message.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
}
