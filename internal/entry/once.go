package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/once"
	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// maxTicketAttempts bounds the attempts that dispatchOnce makes for one request.
const maxTicketAttempts = 3

// ticketServer verifies the ticket in key and returns the server that it names, even
// if that server is leaving or excluded from selection, since no other server may
// run the request.
func (e *Entry) ticketServer(req *routedRequest, key string) (*fleet.Server, error) {
	ticket, err := e.ticketSigner.Verify(key, req.organisation)
	if errors.Is(err, once.ErrNotTicket) {
		return nil, verdict.Refuse(verdict.TicketRequired, verdict.NotRun,
			"the call may not be repeated: send the ticket of this answer as Idempotency-Key, and the same ticket with every repeat")
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the ticket was not issued to this organisation", err)
	}
	if ticket.Service != req.target.name {
		return nil, verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, "the ticket was issued for another service")
	}
	server := e.directory.View().Server(ticket.Server)
	if server == nil {
		return nil, verdict.Refuse(verdict.Unavailable, verdict.MayHaveRun,
			"the server that the ticket names is not known here; an earlier try may have run").WithRetryAfter(time.Second)
	}
	return server, nil
}

// newTicket returns a ticket for a server that accepts new requests and whose
// incarnation is known, or "" if there is none.
func (e *Entry) newTicket(req *routedRequest) string {
	server, choice, err := e.picker.pick(req.target, routing.Request{Priority: req.routingRequest.Priority})
	if err != nil {
		return ""
	}
	choice.Release()
	if server.Incarnation == 0 {
		return ""
	}
	t := once.New(req.target.name, server.Name, server.Incarnation, e.clock.Now())
	return e.ticketSigner.Sign(t, req.organisation)
}

// dispatchOnce sends a request with a ticket to the one server that may run it.
// After a broken connection it retries at the same server. That is safe because
// the agent's journal starts the request of a ticket at most once.
func (e *Entry) dispatchOnce(ctx context.Context, req *routedRequest, server *fleet.Server, out *responseWriter) error {
	for attemptNumber := 1; ; attemptNumber++ {
		err := e.attempt(ctx, req, server, out)
		if err == nil {
			return nil
		}
		var agentErr *agentRefusal
		if errors.As(err, &agentErr) {
			return agentErr // The agent's journal knows the outcome of all attempts.
		}
		refusal := verdict.AsError(err)
		if out.headerSent || attemptNumber == maxTicketAttempts || !e.canRetry(ctx, req, refusal) {
			return withEarlierVerdict(refusal, verdict.MayHaveRun)
		}
	}
}

// ticketVoided reports whether the server of the ticket refused the request as
// not run, so that no attempt with the ticket can start any more. A refusal
// because the ticket was used with other content does not void it.
func ticketVoided(err error) bool {
	var agentErr *agentRefusal
	if !errors.As(err, &agentErr) {
		return false
	}
	refusal := verdict.AsError(err)
	return refusal.Verdict == verdict.NotRun && refusal.Code != verdict.TicketConflict
}

// hasTicketPrefix reports whether key looks like a ticket, in which case earlier
// attempts of the request may exist.
func hasTicketPrefix(key string) bool { return strings.HasPrefix(key, once.TicketPrefix) }
