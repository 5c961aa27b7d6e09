package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellwind.example/ingress"
	"bluebellwind.example/verdict"
)

const (
	// deadlineMargin is taken off the time of a request, so that its answer
	// reaches the caller in time.
	deadlineMargin = 10 * time.Millisecond
	// maxUrgency is the rank that servers serve last.
	maxUrgency = 9
	// returnedSlack is how much less than the route's timeout a first attempt
	// may have left.
	returnedSlack = 50 * time.Millisecond
)

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &exchange{g: g, w: w, r: r, call: g.format.ReadCall(r.Header), arrived: arrived}
	if problem := g.admit(x); problem != nil {
		g.refuse(x, problem)
		return
	}
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		x.ctx, cancel = context.WithDeadline(r.Context(), x.deadline)
		defer cancel()
	} else {
		x.ctx = r.Context()
	}
	body, problem := g.readBody(r)
	if problem != nil {
		g.refuse(x, problem)
		return
	}
	x.body = body
	g.metrics.began()
	defer g.metrics.ended()
	x.run()
}

// admit finds the route and the organisation of a request. The error is a
// refusal.
func (g *Gateway) admit(x *exchange) *verdict.Error {
	table := g.follower.Table()
	if table == nil {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no configuration is known yet").After(g.staleRetry())
	}
	if x.call.ID == "" {
		return verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, "the request names no attempt")
	}
	fresh := g.fresh()
	x.route = table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").After(g.staleRetry())
		}
		return verdict.Refuse(verdict.NoRoute, verdict.NotRun, "no route leads from here")
	}
	x.returned = x.call.Remaining > 0 && x.call.Remaining < x.route.Timeout-returnedSlack
	priority := x.route.Priority
	if table.Keyed() && !x.route.Public {
		if !fresh {
			return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the configuration is not proved fresh").After(g.staleRetry())
		}
		organisation := table.Organisation(x.call.Key)
		if organisation == nil {
			return verdict.Refuse(verdict.Unauthenticated, verdict.NotRun, "the key is not known")
		}
		x.organisation, x.keyed = organisation.Name, true
		if organisation.HasPriority {
			priority = organisation.Priority
		}
	}
	x.urgency = urgency(priority, x.returned)
	x.name = x.route.Choose(rand.Float64())
	x.service = table.Service(x.name)
	x.deadline = deadline(x.arrived, x.route, x.call.Remaining)
	last, err := strconv.ParseUint(x.call.LastEvent, 10, 64)
	if err == nil {
		x.lastEvent, x.hasLastEvent = last, true
	}
	return nil
}

// deadline is when the last byte of the answer should be out; zero means never.
func deadline(arrived time.Time, route *ingress.Route, remaining time.Duration) time.Time {
	bound := route.Timeout
	if remaining > 0 && (bound == 0 || remaining < bound) {
		bound = remaining
	}
	if bound == 0 {
		return time.Time{}
	}
	return arrived.Add(max(bound-deadlineMargin, deadlineMargin))
}

// urgency turns a priority of operators, 0 first, into that of servers. Among
// equals, a request that was refused before goes after those that can still be on
// time.
func urgency(priority int, returned bool) int {
	rank := 2 * max(priority, 0)
	if returned {
		rank++
	}
	return min(rank, maxUrgency)
}

func (g *Gateway) readBody(r *http.Request) ([]byte, *verdict.Error) {
	limit := int64(defaultMaxBody)
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

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopHeaders removes the headers that concern one connection only, and the
// length, which is written anew.
func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
}
