package gateway

import (
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/verdict"
)

// sampleBits: one request in 2^sampleBits is logged although it went well; the
// others are logged when something went wrong.
const sampleBits = 3

// sampled says whether a request is logged although it goes well. It depends on
// the id alone, so that a request has all its lines or none.
func sampled(id string) bool {
	if id == "" {
		return false
	}
	last := id[len(id)-1]
	return last&(1<<sampleBits-1) == 0
}

// logTry logs what follows a try that failed.
func (g *Gateway) logTry(x *exchange, choice *backends.Choice, event, why string) {
	g.metrics.retried(event)
	g.log.Info().Str("event", event).Str("request", x.call.ID).Str("server", choice.ID).
		Str("group", choice.Group.Name).Uint64("epoch", choice.Group.Epoch).
		Int("running", choice.Running).Int("waiting", choice.Waiting).Int64("status_age_ms", statusAge(choice)).
		Int("sends", x.sends).Int("events", x.events).Str("cause", x.cause).Str("why", why).
		Int64("elapsed_ms", time.Since(x.arrived).Milliseconds()).Msg("")
}

// logEnd logs how an answer ended.
func (g *Gateway) logEnd(x *exchange, event, detail string) {
	elapsed := time.Since(x.arrived)
	g.metrics.finished(x, event, elapsed)
	late := x.route != nil && (x.events == 0 && elapsed > x.route.Objective || x.first > x.route.Objective)
	if event == "answered" && x.sends == 1 && !late && !sampled(x.call.ID) {
		return
	}
	line := g.log.Info().Str("event", event).Str("request", x.call.ID).Str("detail", detail).
		Str("organisation", x.organisation).Str("service", x.name)
	if c := x.choice; c != nil {
		line = line.Str("server", c.ID).Str("group", c.Group.Name).Int("running", c.Running).Int("waiting", c.Waiting).
			Int64("status_age_ms", statusAge(c)).Int64("expected_wait_ms", c.Wait.Milliseconds())
	}
	line.Int("sends", x.sends).Int("events", x.events).Int64("first_ms", x.first.Milliseconds()).
		Int64("elapsed_ms", elapsed.Milliseconds()).Msg("")
}

// logRefusal logs a refusal of the gateway's own, with what decided it.
func (g *Gateway) logRefusal(x *exchange, e *verdict.Error, status int) {
	age, known := g.follower.Age()
	cause := x.cause
	if e.Err != nil {
		cause = e.Err.Error()
	}
	version := int64(0)
	if t := g.follower.Table(); t != nil {
		version = t.Version()
	}
	g.log.Info().Str("event", "refused").Str("request", x.call.ID).Int("status", status).
		Str("code", string(e.Code)).Str("verdict", e.Verdict.String()).Str("why", e.Reason).
		Str("cause", cause).Int64("retry_after_ms", e.RetryAfter.Milliseconds()).
		Str("organisation", x.organisation).Str("service", x.name).Bool("returned", x.returned).
		Int64("config", version).Bool("proved", known).Int64("proof_age_ms", age.Milliseconds()).
		Int("sends", x.sends).Int64("elapsed_ms", time.Since(x.arrived).Milliseconds()).Msg("")
}

// statusAge is how old a server's status was when it was chosen, in
// milliseconds; -1 without one.
func statusAge(c *backends.Choice) int64 {
	if c.StatusAge > time.Hour {
		return -1
	}
	return c.StatusAge.Milliseconds()
}

// firstEvent notes that a stream has begun.
func (g *Gateway) firstEvent(x *exchange) {
	x.first = time.Since(x.arrived)
	g.metrics.first(x, x.first)
}
