package upstream

import "fmt"

// Error is the failure of a request without a complete response.
type Error struct {
	// MaybeSent says that bytes of the request may have reached the server. If
	// it is false, the request has not run and never will.
	MaybeSent bool
	// Op is the operation that failed: "dial", "write" or "read".
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
