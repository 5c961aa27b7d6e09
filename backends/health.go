package backends

import "time"

const (
	// firstExclusion is how long a server is left out after its first failure
	// in a row; each further one doubles it up to maxExclusion.
	firstExclusion = 300 * time.Millisecond
	maxExclusion   = 4 * time.Second
	// failuresTolerated is how many failures in a row leave a server in choice:
	// one lost answer is no evidence against it.
	failuresTolerated = 1
	// errorsTolerated is how many answers with an error of its own in a row leave
	// a server in choice: some errors are the request's.
	errorsTolerated = 2
	// forgiveness is how long after its last failure a server that answers
	// again has its earlier failures forgotten.
	forgiveness = 5 * time.Second
)

// health is what requests showed of one server.
type health struct {
	failures    int
	errors      int
	exclusions  int
	lastFailure time.Time
	until       time.Time
}

// fail notes a failed request; hard says that the server did not even take the
// connection.
func (h *health) fail(now time.Time, hard bool) {
	h.lastFailure = now
	h.failures++
	if !hard && h.failures <= failuresTolerated {
		return
	}
	h.exclude(now)
}

// fault notes an answer with an error of the server's own.
func (h *health) fault(now time.Time) {
	h.errors++
	if h.errors > errorsTolerated {
		h.lastFailure = now
		h.exclude(now)
	}
}

// exclude leaves the server out, longer each time.
func (h *health) exclude(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.until = now.Add(min(maxExclusion, firstExclusion<<min(h.exclusions, 8)))
	h.exclusions++
}

// succeed notes a whole answer.
func (h *health) succeed(now time.Time) {
	h.failures, h.errors = 0, 0
	if now.Sub(h.lastFailure) > forgiveness {
		h.exclusions = 0
	}
}

// excluded says that the server gets no new requests for now.
func (h *health) excluded(now time.Time) bool { return now.Before(h.until) }
