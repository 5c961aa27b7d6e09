package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/verdict"
)

// logSampleBits determines how many of the requests that succeed at once and on
// time are logged: one in 2^logSampleBits. All other requests are logged.
const logSampleBits = 3

// sampled reports whether a request is logged even if it succeeds. It depends
// only on the ID, so that either all lines of a request are logged or none.
func sampled(id string) bool {
	if id == "" {
		return false
	}
	last := id[len(id)-1]
	return last&(1<<logSampleBits-1) == 0
}

// logFailedAttempt logs a failed attempt and whether a retry follows.
func (g *Gateway) logFailedAttempt(x *exchange, choice *backends.Choice, event, reason string) {
	g.metrics.countFailedAttempt(event)
	g.log.Info().Str("event", event).Str("request", x.call.ID).Str("server", choice.ID).
		Str("group", choice.Group.Name).Uint64("epoch", choice.Group.Epoch).
		Int("running", choice.Running).Int("waiting", choice.Waiting).Int64("status_age_ms", statusAgeMillis(choice)).
		Int("sends", x.sendCount).Int("events", x.eventCount).Str("cause", x.failureCause).Str("why", reason).
		Int64("elapsed_ms", time.Since(x.arrived).Milliseconds()).Msg("")
}

// logResponseEnd logs how a response ended.
func (g *Gateway) logResponseEnd(x *exchange, event, detail string) {
	elapsed := time.Since(x.arrived)
	late := x.lateness(x.route, elapsed)
	g.metrics.observeResponseEnd(x, event, late, elapsed)
	if event == "answered" && x.sendCount == 1 && late != lateStart && !sampled(x.call.ID) {
		return
	}
	entry := g.log.Info().Str("event", event).Str("request", x.call.ID).Str("detail", detail).
		Str("organisation", x.organisation).Str("service", x.serviceName)
	if c := x.choice; c != nil {
		entry = entry.Str("server", c.ID).Str("group", c.Group.Name).Int("running", c.Running).Int("waiting", c.Waiting).
			Int64("status_age_ms", statusAgeMillis(c)).Int64("expected_wait_ms", c.ExpectedWait.Milliseconds())
	}
	if event == "broken_off" {
		entry = entry.Str("cause", x.failureCause).Bool("given_up", x.serverGivenUp)
	}
	entry.Int("sends", x.sendCount).Bool("reused", x.reusedConnection).Int("events", x.eventCount).
		Int64("first_ms", x.firstEventLatency.Milliseconds()).Int64("longest_pause_ms", x.longestPause.Milliseconds()).
		Int("priority", x.priority).Str("late", string(late)).
		Int64("elapsed_ms", elapsed.Milliseconds()).Msg("")
}

// logPanic logs a panic of a handler, other than the one that aborts a response, and
// goes on with it; net/http prints the stack. It must be deferred.
func (g *Gateway) logPanic(x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		g.metrics.countPanic()
		g.log.Error().Str("event", "panic").Str("request", x.call.ID).Str("cause", fmt.Sprint(cause)).Int("sends", x.sendCount).Msg("")
	}
	panic(cause)
}

// logBackgroundPanic logs a panic of a goroutine other than that of a request.
func (g *Gateway) logBackgroundPanic(err error) {
	g.metrics.countPanic()
	g.log.Error().Str("event", "panic").Str("cause", err.Error()).Msg("")
}

// logRefusal logs a refusal by the gateway itself and the state that led to it.
func (g *Gateway) logRefusal(x *exchange, e *verdict.Error, status int) {
	proofAge, hasProof := g.follower.ProofAge()
	cause := x.failureCause
	if e.Err != nil {
		cause = e.Err.Error()
	}
	configVersion := int64(0)
	if t := g.follower.Table(); t != nil {
		configVersion = t.Version()
	}
	entry := g.log.Info()
	var overload *backends.Overload
	if errors.As(e.Err, &overload) {
		entry = entry.Str("rule", string(overload.Rule)).Int64("expected_wait_ms", overload.ExpectedWait.Milliseconds()).
			Int64("allowed_wait_ms", overload.AllowedWait.Milliseconds())
	}
	entry.Str("event", "refused").Str("request", x.call.ID).Int("status", status).
		Str("code", string(e.Code)).Str("verdict", e.Verdict.String()).Str("why", e.Reason).
		Str("cause", cause).Int64("retry_after_ms", e.RetryAfter.Milliseconds()).
		Str("organisation", x.organisation).Str("service", x.serviceName).Bool("returned", x.callerRetry).Int("priority", x.priority).
		Int64("config", configVersion).Bool("proved", hasProof).Int64("proof_age_ms", proofAge.Milliseconds()).
		Int("sends", x.sendCount).Int64("elapsed_ms", time.Since(x.arrived).Milliseconds()).Msg("")
}

// statusAgeMillis returns the age of a server's status when the server was
// selected, in milliseconds; -1 if there was no status.
func statusAgeMillis(c *backends.Choice) int64 {
	if c.StatusAge > time.Hour {
		return -1
	}
	return c.StatusAge.Milliseconds()
}

// recordFirstEvent records the time to the first event of a stream.
func (g *Gateway) recordFirstEvent(x *exchange) {
	x.firstEventLatency = time.Since(x.arrived)
	g.metrics.observeFirstEvent(x, x.firstEventLatency)
}
