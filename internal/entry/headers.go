package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellwind.example/rules"
	"bluebellwind.example/verdict"
)

// Request and response headers of callers. docs/INTERFACE.md describes them.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Request-Deadline"
	headerTimeout        = "X-Request-Timeout"
	headerClass          = "X-Request-Class"
	headerPriority       = "Priority"
	headerReplayed       = "Idempotency-Replayed"
)

const (
	maxHeaderValueBytes = 2048
	// defaultPriority and lowestPriority are urgencies of RFC 9218, of which 0
	// is the most urgent.
	defaultPriority = 3
	lowestPriority  = 7
)

// requestOptions holds what a caller sets by headers.
type requestOptions struct {
	idempotencyKey string
	class          rules.Class
	priority       int
	deadline       time.Time // Zero if the caller set none.
}

// maxReasonBytes bounds the reason of a refusal that quotes text of the caller.
const maxReasonBytes = 300

// invalidRequest returns the refusal of a malformed request. It truncates the
// reason to maxReasonBytes.
func invalidRequest(format string, args ...any) *verdict.Error {
	reason := truncateText(fmt.Sprintf(format, args...), maxReasonBytes)
	return verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, reason)
}

// readOptions reads the options of a request that arrived at now.
func readOptions(h http.Header, now time.Time) (requestOptions, error) {
	o := requestOptions{priority: defaultPriority}
	for _, name := range []string{headerIdempotencyKey, headerDeadline, headerTimeout, headerClass, headerPriority} {
		if len(h.Values(name)) > 1 || len(h.Get(name)) > maxHeaderValueBytes {
			return o, invalidRequest("header %s: is given more than once or is too long", name)
		}
	}
	o.idempotencyKey = h.Get(headerIdempotencyKey)
	if err := o.readClass(h.Get(headerClass)); err != nil {
		return o, err
	}
	if err := o.readPriority(h.Get(headerPriority)); err != nil {
		return o, err
	}
	return o, o.readDeadline(h, now)
}

func (o *requestOptions) readClass(value string) error {
	if value == "" {
		return nil
	}
	class, ok := rules.ParseClass(value)
	if !ok {
		return invalidRequest("header %s: %q is neither interactive nor batch", headerClass, value)
	}
	o.class = class
	return nil
}

// readPriority reads the urgency, u=0 to u=7, of a Priority header (RFC 9218)
// and ignores its other parameters.
func (o *requestOptions) readPriority(value string) error {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name != "u" {
			continue
		}
		u, err := strconv.Atoi(number)
		if err != nil || u < 0 || u > lowestPriority {
			return invalidRequest("header %s: u=%q is outside 0 to %d", headerPriority, number, lowestPriority)
		}
		o.priority = u
	}
	return nil
}

// readDeadline sets the deadline to the earlier of the timeout and deadline
// headers.
func (o *requestOptions) readDeadline(h http.Header, now time.Time) error {
	if text := h.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return invalidRequest("header %s: %q is not a time such as 2.5s", headerTimeout, text)
		}
		o.deadline = now.Add(d)
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return invalidRequest("header %s: %q is not an RFC 3339 time", headerDeadline, text)
	}
	if !t.After(now) {
		return verdict.Refuse(verdict.DeadlineExceeded, verdict.NotRun, "the deadline has passed already")
	}
	if o.deadline.IsZero() || t.Before(o.deadline) {
		o.deadline = t
	}
	return nil
}
