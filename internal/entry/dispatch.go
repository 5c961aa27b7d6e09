package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"bluebellwind.example/internal/crash"
	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/routing"
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/suspects"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// minAttemptTime is the time that must remain until the deadline of a
	// request for another attempt to be made.
	minAttemptTime = 5 * time.Millisecond
)

// routedRequest is one authenticated request that the rules have given a target.
type routedRequest struct {
	id             string
	organisation   string
	snap           *rulesSnapshot
	target         target
	routingRequest routing.Request
	// startTemplate holds the fields of wire.Start that all attempts share.
	startTemplate *wire.Start
	deadline      time.Time
	// fingerprint is nil for calls of plain services.
	fingerprint *suspects.Fingerprint
	// probation says that the request is suspected of crashing servers and that
	// the current attempt runs at the one server assigned to it. exactMatch says
	// that this very request, not only a similar one, was running at a crash.
	probation, exactMatch bool
	attemptCount          atomic.Int32
}

// dispatch makes attempts until one returns the complete response. It retries
// only while nothing of a response has been sent to the caller. The request must
// be repeatable: an attempt whose outcome is unknown is retried at another server.
func (e *Entry) dispatch(ctx context.Context, req *routedRequest, out *responseWriter) error {
	combined := verdict.NotRun
	for attemptNumber := 1; ; attemptNumber++ {
		server, choice, err := e.chooseServer(req)
		if err != nil {
			return withEarlierVerdict(err, combined)
		}
		out.setChoice(choice)
		err = e.attempt(ctx, req, server, out)
		if choice != nil {
			choice.Release()
		}
		if err == nil {
			e.retryBudget.RecordSuccess(req.organisation)
			return nil
		}
		refusal := verdict.AsError(err)
		combined = combineVerdicts(combined, refusal.Verdict)
		req.routingRequest.ExcludedServers = append(req.routingRequest.ExcludedServers, server.Name)
		e.recordFailure(req.target, server, err)
		if out.headerSent || !e.canRetry(ctx, req, refusal) || !e.withinRetryBudget(req, server, refusal, attemptNumber) {
			return withEarlierVerdict(e.finalRefusal(req, refusal), combined)
		}
	}
}

// attempt makes one attempt at server. It generates the attempt ID itself, so
// that no caller can choose one.
func (e *Entry) attempt(ctx context.Context, req *routedRequest, server *fleet.Server, out *responseWriter) error {
	start := &wire.Start{
		RequestId:    req.id,
		AttemptId:    uuid.NewString(),
		Organisation: req.organisation,
		Class:        req.startTemplate.GetClass(),
		Priority:     req.startTemplate.GetPriority(),
		TimeoutMs:    max(1, time.Until(req.deadline).Milliseconds()),
		Method:       req.startTemplate.GetMethod(),
		Target:       req.startTemplate.GetTarget(),
		ContentType:  req.startTemplate.GetContentType(),
		Body:         req.startTemplate.GetBody(),
		Stream:       req.startTemplate.GetStream(),
		Ticket:       req.startTemplate.GetTicket(),
		Revision:     req.snap.revision,
		Share:        req.startTemplate.GetShare(),
	}
	startedAt := time.Now()
	if req.fingerprint != nil {
		start.Print, start.Probation = crash.ToWire(*req.fingerprint), req.probation
	}
	err := e.crashes.trackAttempt(ctx, req, server, func() error { return e.runner.run(ctx, server, start, out) })
	e.logAttempt(req, start, server, time.Since(startedAt), err)
	return err
}

// canRetry reports whether another attempt could succeed after the refusal. A
// request on probation is not retried, because only one server may run it.
func (e *Entry) canRetry(ctx context.Context, req *routedRequest, refusal *verdict.Error) bool {
	if req.probation {
		return false
	}
	switch refusal.Code {
	case verdict.Unavailable, verdict.Overloaded, verdict.Interrupted:
	default:
		return false
	}
	return ctx.Err() == nil && time.Until(req.deadline) > minAttemptTime
}

// withinRetryBudget reports whether the retry budget allows the next attempt, and
// charges it. A retry is free if a server that is leaving or no longer known
// refused the attempt as not run: the refusal cost no work, and the server is
// excluded from later attempts of the request, so it causes at most one free retry.
func (e *Entry) withinRetryBudget(req *routedRequest, server *fleet.Server, refusal *verdict.Error, attemptNumber int) bool {
	if refusal.Verdict == verdict.NotRun && e.isLeaving(server.Name) {
		return true
	}
	return e.retryBudget.Allow(retry.FailedAttempt{
		Organisation: req.organisation,
		Attempts:     attemptNumber,
		Verdict:      refusal.Verdict,
		Repeatable:   true,
	})
}

// isLeaving reports whether the named server is leaving or no longer known.
func (e *Entry) isLeaving(name string) bool {
	s := e.directory.View().Server(name)
	return s == nil || s.Leaving
}

// recordFailure excludes server from selection for exclusionPeriod if its agent
// reported it as unavailable or could not be reached. A refusal because no slot
// is free does not exclude it, since that may concern a single organisation.
func (e *Entry) recordFailure(t target, server *fleet.Server, err error) {
	if verdict.AsError(err).Code == verdict.Unavailable {
		e.picker.exclude(t, server.Name)
	}
}

// combineVerdicts returns the verdict of two attempts of one request together:
// Ran if either ran, else MayHaveRun if either may have run, else NotRun.
func combineVerdicts(a, b verdict.Verdict) verdict.Verdict {
	if a == verdict.NotRun {
		return b
	}
	if b == verdict.NotRun || a == verdict.Ran {
		return a
	}
	return b
}

// withEarlierVerdict returns the refusal in err with its verdict combined with
// that of the earlier attempts, so that it says "not run" only if none of them
// may have run.
func withEarlierVerdict(err error, earlier verdict.Verdict) *verdict.Error {
	refusal := *verdict.AsError(err)
	refusal.Verdict = combineVerdicts(earlier, refusal.Verdict)
	return &refusal
}
