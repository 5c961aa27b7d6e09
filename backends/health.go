package backends

import "time"

const (
	// firstExclusion is how long a server is excluded the first time. Each further
	// exclusion is twice as long, up to maxExclusion.
	firstExclusion = 300 * time.Millisecond
	maxExclusion   = 4 * time.Second
	// failuresTolerated is how many failures in a row do not exclude a server: a
	// single lost response is not evidence against it.
	failuresTolerated = 1
	// errorsTolerated is how many error responses in a row do not exclude a
	// server: some errors are caused by the request.
	errorsTolerated = 2
	// exclusionResetAfter is how long after its last failure a server that
	// responds has its exclusion time reset to firstExclusion.
	exclusionResetAfter = 5 * time.Second
)

// health tracks the results of requests to one server and excludes it from the
// choice while it fails.
type health struct {
	consecutiveFailures int
	consecutiveErrors   int
	// exclusions is the number of exclusions since the last reset.
	exclusions    int
	lastFailure   time.Time
	excludedUntil time.Time
}

// recordFailure records a failed request. connectFailed says that no connection
// could be opened, which excludes the server at the first failure.
func (h *health) recordFailure(now time.Time, connectFailed bool) {
	h.lastFailure = now
	h.consecutiveFailures++
	if !connectFailed && h.consecutiveFailures <= failuresTolerated {
		return
	}
	h.exclude(now)
}

// recordServerError records a response that reports an error of the server itself.
func (h *health) recordServerError(now time.Time) {
	h.consecutiveErrors++
	if h.consecutiveErrors > errorsTolerated {
		h.lastFailure = now
		h.exclude(now)
	}
}

// exclude excludes the server, each time for twice as long up to maxExclusion. It
// does nothing while the server is excluded already.
func (h *health) exclude(now time.Time) {
	if now.Before(h.excludedUntil) {
		return
	}
	h.excludedUntil = now.Add(min(maxExclusion, firstExclusion<<min(h.exclusions, 8)))
	h.exclusions++
}

// recordSuccess records a complete response.
func (h *health) recordSuccess(now time.Time) {
	h.consecutiveFailures, h.consecutiveErrors = 0, 0
	if now.Sub(h.lastFailure) > exclusionResetAfter {
		h.exclusions = 0
	}
}

// excluded reports whether the server gets no new requests at the given time.
func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }
