package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bluebellwind.example/verdict"
)

// refusalBody is the JSON body of every refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code      verdict.Code    `json:"code"`
	Verdict   verdict.Verdict `json:"verdict"`
	Reason    string          `json:"reason"`
	RequestID string          `json:"request_id"`
	// Ticket, if set, is for the caller to send as the Idempotency-Key of the
	// next attempt.
	Ticket string `json:"ticket,omitempty"`
}

// httpStatus is the HTTP status of each refusal code.
var httpStatus = map[verdict.Code]int{
	verdict.InvalidRequest:   http.StatusBadRequest,
	verdict.Unauthenticated:  http.StatusUnauthorized,
	verdict.NoRoute:          http.StatusNotFound,
	verdict.TooLarge:         http.StatusRequestEntityTooLarge,
	verdict.DeadlineExceeded: http.StatusGatewayTimeout,
	verdict.LimitExceeded:    http.StatusTooManyRequests,
	verdict.Overloaded:       http.StatusServiceUnavailable,
	verdict.Unavailable:      http.StatusServiceUnavailable,
	verdict.TicketRequired:   http.StatusPreconditionRequired,
	verdict.TicketExpired:    http.StatusConflict,
	verdict.TicketConflict:   http.StatusUnprocessableEntity,
	verdict.Quarantined:      http.StatusUnprocessableEntity,
	verdict.Interrupted:      http.StatusBadGateway,
	verdict.Internal:         http.StatusInternalServerError,
}

func newRefusalBody(e *verdict.Error, requestID, ticket string) refusalBody {
	return refusalBody{Error: refusalError{
		Code:      e.Code,
		Verdict:   e.Verdict,
		Reason:    e.Reason,
		RequestID: requestID,
		Ticket:    ticket,
	}}
}

// writeRefusal writes the response to a refused request. An unknown code gets
// status 500.
func writeRefusal(w http.ResponseWriter, e *verdict.Error, requestID, ticket string) {
	status, ok := httpStatus[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	if ticket != "" {
		h.Set(headerIdempotencyKey, ticket)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newRefusalBody(e, requestID, ticket)) // Fails if the caller has closed the connection.
}

// retryAfterSeconds returns d in whole seconds, rounded up because a retry that
// comes early is refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
