// Package cli holds what the commands of the operators' client share: input and
// output, the output format and exit codes.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
)

// Exit codes of all commands.
const (
	// CodeYes means that the command succeeded and its result is positive.
	CodeYes = 0
	// CodeNegativeResult means that the command ran to its end and its result is
	// negative.
	CodeNegativeResult = 1
	// CodeFailure means that the command failed: the command line is invalid, a
	// file cannot be read, or an instance cannot be reached.
	CodeFailure = 2
)

// Globals are the flags that all commands accept.
type Globals struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// Env holds the input, the output and the output format of a command. It is not
// safe for concurrent use.
type Env struct {
	In   io.Reader
	Out  io.Writer
	JSON bool
}

// Print writes value as JSON if e.JSON is set; otherwise it calls text, which
// writes the human-readable form.
func (e *Env) Print(value any, text func(w io.Writer)) error {
	if !e.JSON {
		text(e.Out)
		return nil
	}
	encoder := json.NewEncoder(e.Out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return Failure(fmt.Errorf("write output: %w", err))
	}
	return nil
}

// ExitError is an error of a command with the exit code of the process.
type ExitError struct {
	Code int
	// Err is the error to print, or nil if the command has already printed the
	// reason.
	Err error
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Unwrap returns e.Err.
func (e *ExitError) Unwrap() error { return e.Err }

// Failure returns an ExitError with CodeFailure that prints err.
func Failure(err error) error { return &ExitError{Code: CodeFailure, Err: err} }

// NegativeResult returns an ExitError with CodeNegativeResult that prints
// nothing, for a command that has already printed its result.
func NegativeResult() error { return &ExitError{Code: CodeNegativeResult} }
