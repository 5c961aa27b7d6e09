// Package panics keeps a panic in one piece of work, such as the handling of one message of
// a peer, from ending the process.
//
// It may be used only where a panic leaves nothing behind that others wait for: locks must
// be released by deferred calls.
package panics

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// caught counts the panics that became errors.
var caught atomic.Int64

// Count returns the number of panics that became errors since the process started.
func Count() int64 { return caught.Load() }

// Error is a panic that became an error.
type Error struct {
	// Work names what was being done.
	Work string
	// Cause is the value of the panic.
	Cause any
	Stack []byte
}

// Error implements error. The text contains the stack, so that the log shows it.
func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v\n%s", e.Work, e.Cause, e.Stack) }

// ToError sets err if the surrounding function panics. It must be deferred.
func ToError(work string, err *error) {
	if cause := recover(); cause != nil {
		caught.Add(1)
		*err = &Error{Work: work, Cause: cause, Stack: debug.Stack()}
	}
}

// Do calls f and returns its panic as an error.
func Do(work string, f func()) (err error) {
	defer ToError(work, &err)
	f()
	return nil
}
