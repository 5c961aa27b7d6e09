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
	// CodeNo means that the command ran to its end and its result is negative.
	CodeNo = 1
	// CodeTrouble means that the command failed: the command line is invalid, a
	// file cannot be read, or an instance cannot be reached.
	CodeTrouble = 2
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
		return Trouble(fmt.Errorf("write output: %w", err))
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

// Trouble returns an ExitError with CodeTrouble that prints err.
func Trouble(err error) error { return &ExitError{Code: CodeTrouble, Err: err} }

// No returns an ExitError with CodeNo that prints nothing, for a command that has
// already printed its result.
func No() error { return &ExitError{Code: CodeNo} }
