package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"storj.io/drpc"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/internal/operatorpb"
	"bluebellwind.example/internal/operators"
	"bluebellwind.example/internal/trace"
	"bluebellwind.example/rules"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// maxRuleBytes bounds the text of a rule in a trace event.
const maxRuleBytes = 200

// operatorAccess holds what operators observe the entry by and drain it with.
type operatorAccess struct {
	metrics        *entryMetrics
	trace          *trace.Ring
	operatorServer *operators.Server
	// requestDrain makes Serve drain the entry, as the end of its context does.
	requestDrain context.CancelFunc
}

func newOperatorAccess() operatorAccess {
	return operatorAccess{metrics: newEntryMetrics(), trace: trace.NewRing(trace.DefaultCapacity)}
}

// operatorHandler creates the operator service and returns its handler. The
// peering must have been created.
func (e *Entry) operatorHandler() (drpc.Handler, error) {
	e.operatorServer = operators.NewServer(operators.Options{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Peering:     e.peering,
		Drain:       e.requestDrain,
		Active:      e.activeCount,
		Draining:    e.isDraining,
		Servers:     e.serverStatuses,
		Limits:      e.currentLimits,
		Trace:       e.trace,
	})
	h, err := e.operatorServer.Handler()
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return h, nil
}

func (e *Entry) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// serverStatuses returns the status of all known backend servers, sorted by name.
func (e *Entry) serverStatuses(now time.Time) []*operatorpb.Server {
	var out []*operatorpb.Server
	for _, s := range e.directory.View().All() {
		status := serverStatus(s, now)
		status.Suspected = e.picker.isExcluded(s.Name, now)
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b *operatorpb.Server) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

func serverStatus(s *fleet.Server, now time.Time) *operatorpb.Server {
	status := &operatorpb.Server{
		Name: s.Name, Zone: s.Zone, Group: s.Group, Service: s.Service,
		Leaving: s.Leaving || s.Load.GetLeaving(),
		Heard:   s.Incarnation != 0,
		Running: s.Load.GetRunning(), Queued: s.Load.GetQueued(), Slots: s.Load.GetSlots(), StepUs: s.Load.GetStepUs(),
	}
	if status.GetHeard() {
		status.LoadAgeMs = max(0, now.Sub(s.LoadAt)).Milliseconds()
	}
	return status
}

// isExcluded reports whether the server is excluded from selection because it was
// found unavailable within the last exclusionPeriod.
func (p *picker) isExcluded(server string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.excludedUntil[server].After(now)
}

// currentLimits returns the limits of the rules in force.
func (e *Entry) currentLimits() []*operatorpb.Limit {
	snap := e.rulesState.load()
	if snap == nil {
		return nil
	}
	var out []*operatorpb.Limit
	for _, l := range limitsOf(snap.set) {
		if l.Requests > 0 || l.Tokens > 0 {
			out = append(out, &operatorpb.Limit{
				Organisation: l.Organisation, RequestsPerSecond: l.Requests, TokensPerSecond: l.Tokens,
			})
		}
	}
	return out
}

// recordRouting adds the rule that chose the target to the trace, and starts to
// measure the token times of the response.
func (e *Entry) recordRouting(ex *exchange, req *routedRequest, d rules.Decision) {
	ex.out.timer = e.metrics.newTokenTimer(req.organisation, ex.opts.class.String(), ex.startedAt)
	routed := &operatorpb.Routed{
		// Cloned, because a substring would keep the whole rules file in memory.
		Organisation: strings.Clone(req.organisation),
		Class:        ex.opts.class.String(),
		Revision:     ex.snap.revision,
		Target:       d.Kind.String() + " " + d.Target,
		TimeoutMs:    time.Until(req.deadline).Milliseconds(),
	}
	if d.Route != nil {
		routed.Line = int32(d.Route.Line)
		routed.Rule = strings.Clone(truncateText(d.Route.Text, maxRuleBytes))
	}
	e.trace.Add(&operatorpb.Event{RequestId: ex.id, What: &operatorpb.Event_Routed{Routed: routed}}, time.Now())
}

// recordAttempt counts an attempt and adds it to the trace.
func (e *Entry) recordAttempt(req *routedRequest, start *wire.Start, server *fleet.Server, elapsed time.Duration, err error) {
	e.metrics.attempts.Inc()
	if req.attemptCount.Add(1) > 1 {
		e.metrics.retries.Inc()
	}
	attempt := &operatorpb.Attempt{
		AttemptId: start.GetAttemptId(),
		Server:    server.Name,
		TookUs:    elapsed.Microseconds(),
		Outcome:   outcomeOf(err),
	}
	e.trace.Add(&operatorpb.Event{RequestId: req.id, What: &operatorpb.Event_Attempt{Attempt: attempt}}, time.Now())
}

// recordResponse counts a refusal or measures a complete response, and adds it to
// the trace.
func (e *Entry) recordResponse(ex *exchange, elapsed time.Duration, err error) {
	outcome := outcomeOf(err)
	switch {
	case outcome != nil:
		e.metrics.refusals.Add(outcome.GetCode(), outcome.GetVerdict())
	case ex.organisation != nil:
		e.metrics.responseTime.Histogram(ex.organisation.Name, ex.opts.class.String()).Update(elapsed.Seconds())
	}
	answered := &operatorpb.Answered{TookUs: elapsed.Microseconds(), Outcome: outcome}
	e.trace.Add(&operatorpb.Event{RequestId: ex.id, What: &operatorpb.Event_Answered{Answered: answered}}, time.Now())
}

// outcomeOf returns the outcome for the trace, or nil for a nil err. It omits the
// cause, which is written to the log only.
func outcomeOf(err error) *operatorpb.Outcome {
	if err == nil {
		return nil
	}
	refusal := verdict.AsError(err)
	return &operatorpb.Outcome{Code: string(refusal.Code), Verdict: refusal.Verdict.String(), Reason: traceReason(refusal)}
}

// traceReason returns the reason of a refusal, or "" if it may quote text of the
// request.
func traceReason(e *verdict.Error) string {
	if e.Code == verdict.InvalidRequest {
		return ""
	}
	return e.Reason
}

// truncateText cuts text to limit bytes of valid UTF-8 and marks the cut with an
// ellipsis.
func truncateText(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "…"
}
