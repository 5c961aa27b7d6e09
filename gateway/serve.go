package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bluebellwind.example/admission"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/verdict"
)

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &exchange{g: g, w: w, r: r, request: request{call: g.headerCodec.ParseRequest(r.Header), arrived: arrived}}
	defer g.logPanic(x)
	if refusal := g.admit(x); refusal != nil {
		x.limitBodyRest()
		g.refuse(x, refusal)
		return
	}
	ctx, cancel := g.requestContext(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	body, refusal := x.readBody()
	defer body.reservation.release()
	if refusal != nil {
		x.limitBodyRest()
		g.refuse(x, refusal)
		return
	}
	x.body = body.bytes
	x.traits = x.allTraits(r)
	g.metrics.requestStarted()
	defer g.metrics.requestEnded()
	defer x.endWritesWithContext()()
	x.run()
}

// bodyRestTime is how long the rest of the body of a refused request may take. net/http reads it
// before it sends the refusal, so that the connection can be used again.
const bodyRestTime = time.Second

// limitBodyRest bounds the time that the rest of the body of a refused request may take. Without
// it the connection is closed after the refusal.
func (x *exchange) limitBodyRest() {
	if x.r.Body != nil && x.r.Body != http.NoBody {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyRestTime)) // Fails only for a closed connection.
	}
}

// endWritesWithContext makes writes to a caller that reads nothing fail lastWriteTime after
// the end of the request's context. It returns a function that takes this back, unless the
// response is aborted.
func (x *exchange) endWritesWithContext() (end func()) {
	control := http.NewResponseController(x.w)
	ended := make(chan struct{})
	stop := context.AfterFunc(x.ctx, func() {
		defer close(ended)
		_ = control.SetWriteDeadline(time.Now().Add(lastWriteTime)) // Fails only for a closed connection.
	})
	return func() {
		if stop() {
			return
		}
		<-ended
		if x.aborted {
			return
		}
		_ = control.SetWriteDeadline(time.Time{}) // As above.
	}
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
	x.route = table.Route(x.r.Host, sentPath(x.r))
	if x.route == nil {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(g.staleDelay())
		}
		return verdict.Refuse(verdict.NoRoute, verdict.NotRun, "no route leads from here")
	}
	x.callerRetry = isCallerRetry(x.call.Remaining, x.route.Timeout)
	var organisation *ingress.Organisation
	if table.RequiresOrganisation(x.call.Key) && !x.route.Public {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").WithRetryAfter(g.staleDelay())
		}
		if organisation = table.Organisation(x.call.Key); organisation == nil {
			return verdict.Refuse(verdict.Unauthenticated, verdict.NotRun, "the key is not known")
		}
		x.organisation, x.authenticated = organisation.Name, true
	}
	// A known key restricts the regions on public routes too.
	x.homeRegions = homeRegions(x.route, table.Organisation(x.call.Key))
	x.serviceName = x.route.ChooseService(rand.Float64())
	x.service = table.Service(x.serviceName)
	x.priority = table.Priority(x.serviceName, x.route, organisation, admission.Priorities)
	x.serverPriority = serverPriority(x.priority, x.callerRetry)
	x.deadline = requestDeadline(x.arrived, x.route, x.call.Remaining)
	if refusal := x.checkDrain(); refusal != nil {
		return refusal
	}
	x.startAfter(x.call.LastEventID)
	return nil
}

// sentPath returns the path of a request as the caller sent it and as servers get it. An encoded
// slash in it is no slash.
func sentPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath() // The target has a scheme and a host too.
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// checkDrain returns a refusal if the gateway stops and the request, unless it has been sent to
// a server, may last longer than the drain: it would be cut at its end.
func (x *exchange) checkDrain() *verdict.Error {
	end := x.g.drainEnd.Load()
	if end == nil || x.sendCount > 0 || !x.deadline.IsZero() && !x.deadline.After(*end) {
		return nil
	}
	return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the gateway stops").WithRetryAfter(x.g.staleDelay())
}

// readBody reads the body of a request up to the size limit. It returns a refusal
// if it cannot. The caller must release the memory of the body.
func (x *exchange) readBody() (buffer, *verdict.Error) {
	r := x.r
	body := buffer{reservation: x.g.memory.reserve(false, x.deadline)}
	limit := int64(defaultMaxBodyBytes)
	if t := x.g.follower.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		limit = t.Limits().MaxBodyBytes
	}
	if r.ContentLength > limit {
		return body, verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is too large")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return body, nil
	}
	ctx, cancel := x.bodyContext()
	defer cancel()
	defer x.endReadsWith(ctx)()
	defer connguard.ReadingBody(r.Context())()
	whole, err := body.readFrom(http.MaxBytesReader(nil, r.Body, limit), r.ContentLength, math.MaxInt)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is too large")
	case errors.Is(err, connguard.ErrEvicted):
		return body, verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the connection made room for another one").WithRetryAfter(x.g.refusalDelay())
	case err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return body, verdict.Refuse(verdict.DeadlineExceeded, verdict.NotRun, "the body did not arrive in time")
	case err != nil && errors.Is(context.Cause(ctx), errStopping):
		return body, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the gateway stops").WithRetryAfter(x.g.staleDelay())
	case err != nil:
		return body, verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the body cannot be read", err)
	case !whole:
		return body, x.g.refuseForMemory(max(r.ContentLength, int64(2*cap(body.bytes))))
	}
	return body, nil
}

// refuseForMemory returns the refusal of a request whose body of size bytes has no room. It
// names the time at which enough of what is held is released at the latest, if that is known.
func (g *Gateway) refuseForMemory(size int64) *verdict.Error {
	g.metrics.countMemoryRefusal()
	refusal := verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the memory for requests is full")
	if at, ok := g.memory.availableAt(size); ok {
		return refusal.WithRetryAfter(max(time.Until(at), minMemoryDelay))
	}
	return refusal
}

// minMemoryDelay is the least time that is told to a caller that is refused because of full
// memory.
const minMemoryDelay = 100 * time.Millisecond

// defaultMaxBodyTime is the default of Gateway.maxBodyTime.
const defaultMaxBodyTime = 30 * time.Second

// bodyContext returns the context for reading the body: that of the request, which ends after
// Gateway.maxBodyTime if the request has no deadline.
func (x *exchange) bodyContext() (context.Context, context.CancelFunc) {
	if x.deadline.IsZero() {
		return context.WithTimeout(x.ctx, x.g.maxBodyTime)
	}
	return x.ctx, func() {}
}

// endReadsWith makes reads of the body fail at the end of ctx. It returns a function that takes
// this back.
func (x *exchange) endReadsWith(ctx context.Context) (end func()) {
	control := http.NewResponseController(x.w)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = control.SetReadDeadline(time.Unix(1, 0)) // Fails only for a closed connection.
	})
	return func() {
		if !stop() {
			<-ended
			x.w.Header().Set("Connection", "close") // The rest of the body is still to come.
		}
	}
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
