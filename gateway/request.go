package gateway

import (
	"net/http"
	"slices"
	"time"

	"bluebellwind.example/ingress"
	"bluebellwind.example/quarantine"
)

const (
	// deadlineMargin is subtracted from the time that a request may take, so that
	// the response reaches the caller in time. Streams have none: a stream that has
	// begun must not be cut sooner.
	deadlineMargin = 10 * time.Millisecond
	// lowestServerPriority is the priority that servers serve last.
	lowestServerPriority = 9
	// firstAttemptShare is the least share of the route's timeout that callers state
	// as their remaining time at their first attempt. Each caller states another one.
	firstAttemptShare = 0.85
	// callerRetrySlack is how much of the remaining time a first attempt may use up
	// on its way.
	callerRetrySlack = 50 * time.Millisecond
)

// request is what a caller asks for. It does not change once it is admitted.
type request struct {
	call        Call
	route       *ingress.Route
	service     *ingress.Service
	serviceName string
	// organisation is the name of the caller's organisation; empty if the request
	// needs no key.
	organisation string
	// authenticated is set if the request was admitted by its key. It is then sent
	// only while configFresh holds.
	authenticated bool
	// callerRetry is set if the caller was probably refused before and retries:
	// a part of its time has already been used up.
	callerRetry bool
	// priority is that of the request among the requests for its service, see
	// ingress.Table.Priority; 0 is the most urgent.
	priority int
	// homeRegions are the regions whose servers may get the request; nil if all may.
	homeRegions []string
	// serverPriority orders the requests waiting at a server; 0 is served first.
	serverPriority int
	body           []byte
	arrived        time.Time
	// deadline is when the last byte of the response should be sent; zero means
	// that there is none.
	deadline time.Time
	// traits are what the request may have in common with others.
	traits []quarantine.Trait
}

// untilDeadline returns the time left until the deadline: zero if there is none, and
// more than zero if there is one, even if it has passed.
func (r *request) untilDeadline() time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(1, time.Until(r.deadline))
}

// allTraits returns all traits of the request, which arrived as arrived: those of its prompt, and
// itself.
func (r *request) allTraits(arrived *http.Request) []quarantine.Trait {
	whole := quarantine.NewTrait(quarantine.WholeRequest,
		[]byte(r.organisation), []byte(arrived.Method), []byte(arrived.Host), []byte(arrived.RequestURI), r.body)
	return append(r.call.partTraits(), whole)
}

// partTraits returns the traits of the prompt of a call.
func (c *Call) partTraits() []quarantine.Trait {
	var traits []quarantine.Trait
	for _, part := range c.SharedParts {
		traits = append(traits, quarantine.NewTrait(quarantine.PromptPart, []byte(c.Model), []byte(part)))
	}
	return traits
}

// isCallerRetry reports whether a caller that states the remaining time was probably
// refused before. It returns false if the caller states none.
func isCallerRetry(remaining, timeout time.Duration) bool {
	return remaining > 0 && remaining < time.Duration(firstAttemptShare*float64(timeout))-callerRetrySlack
}

// requestDeadline returns when the last byte of the response should be sent;
// zero if neither the route nor the caller sets a timeout.
func requestDeadline(arrived time.Time, route *ingress.Route, remaining time.Duration) time.Time {
	timeout := route.Timeout
	if remaining > 0 && (timeout == 0 || remaining < timeout) {
		timeout = remaining
	}
	if timeout == 0 {
		return time.Time{}
	}
	if route.Repeat == ingress.Stream {
		return arrived.Add(timeout)
	}
	return arrived.Add(max(timeout-deadlineMargin, deadlineMargin))
}

// serverPriority converts the priority of a request into one for servers; 0 is served
// first in both. Among requests of equal priority, a caller's retry comes
// after requests that can still be on time.
func serverPriority(priority int, callerRetry bool) int {
	level := 2 * max(priority, 0)
	if callerRetry {
		level++
	}
	return min(level, lowestServerPriority)
}

// homeRegions returns the regions that the route and the organisation, which may be nil,
// both allow: nil if all are, and an empty list if none is.
func homeRegions(route *ingress.Route, organisation *ingress.Organisation) []string {
	regions := route.AllowedRegions
	if organisation == nil || len(organisation.AllowedRegions) == 0 {
		if len(regions) == 0 {
			return nil
		}
		return regions
	}
	if len(regions) == 0 {
		return organisation.AllowedRegions
	}
	both := []string{}
	for _, region := range regions {
		if slices.Contains(organisation.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both
}
