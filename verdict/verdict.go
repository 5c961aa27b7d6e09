// Package verdict defines the error type of refused requests, which states
// whether the request may have run.
//
// Every refusal sent to a caller carries a Verdict. NotRun guarantees that the
// request has not started and that no process can still start it. MayHaveRun is
// used whenever that cannot be guaranteed.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells a caller whether its request may have run.
type Verdict uint8

const (
	// MayHaveRun means that the request may have run or may still run. It is
	// the zero value, so that an unset verdict is the safe one.
	MayHaveRun Verdict = iota
	// NotRun guarantees that the request has not started and never will.
	NotRun
	// Ran means that the request ran; the answer may still be incomplete.
	Ran
)

// String returns the text used in refusals and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// MarshalText implements encoding.TextMarshaler with the text of String.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for the text that
// MarshalText returns.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not run":
		*v = NotRun
	case "ran":
		*v = Ran
	case "may have run":
		*v = MayHaveRun
	default:
		return fmt.Errorf("verdict: unknown verdict %q", text)
	}
	return nil
}

// Code classifies a refusal for programs. Its values are stable.
type Code string

// The codes of refusals. docs/INTERFACE.md lists the HTTP status of each.
const (
	InvalidRequest   Code = "invalid_request"
	Unauthenticated  Code = "unauthenticated"
	NoRoute          Code = "no_route"
	TooLarge         Code = "too_large"
	DeadlineExceeded Code = "deadline_exceeded"
	LimitExceeded    Code = "limit_exceeded"
	Overloaded       Code = "overloaded"
	Unavailable      Code = "unavailable"
	TicketRequired   Code = "ticket_required"
	TicketExpired    Code = "ticket_expired"
	TicketConflict   Code = "ticket_conflict"
	Quarantined      Code = "quarantined"
	Interrupted      Code = "interrupted"
	ZoneEvacuated    Code = "zone_evacuated"
	RegionNotAllowed Code = "region_not_allowed"
	Internal         Code = "internal"
)

// Error is a refusal. On the request path, refusals cross package boundaries
// only as this type. It is immutable after creation and safe for concurrent use.
type Error struct {
	Code    Code
	Verdict Verdict
	// Reason is a sentence for the caller. It never contains request content.
	Reason string
	// RetryAfter is the time after which the caller may try again, or zero if a
	// later attempt is not expected to succeed.
	RetryAfter time.Duration
	// Err is the cause. It is only logged.
	Err error
}

// Refuse returns an Error without a cause.
func Refuse(code Code, v Verdict, reason string) *Error {
	return &Error{Code: code, Verdict: v, Reason: reason}
}

// Wrap returns an Error with a cause.
func Wrap(code Code, v Verdict, reason string, err error) *Error {
	return &Error{Code: code, Verdict: v, Reason: reason, Err: err}
}

// WithRetryAfter returns a copy of e that tells the caller to try again after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, verdict, reason and cause as one line for logs.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Reason)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the Verdict of the first *Error that err wraps, and MayHaveRun if
// there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// AsError returns the first *Error that err wraps. If there is none, it wraps err
// in an *Error with the code Internal and the verdict MayHaveRun.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, MayHaveRun, "internal error", err)
}
