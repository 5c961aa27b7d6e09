package rules

import (
	"fmt"
	"sort"
)

// Severity distinguishes problems that make a file unusable from warnings.
type Severity uint8

const (
	// Error makes the file unusable.
	Error Severity = iota
	// Warning marks a rule that is valid but probably not what was intended.
	Warning
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// MarshalText encodes a Severity as its name.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Problem is one error or warning about a rules file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is the keyword or part of the line that the problem is about.
	Field    string   `json:"field"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String formats the problem as "file:line: field: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// HasErrors reports whether any of the problems is an Error.
func HasErrors(problems []Problem) bool {
	for _, p := range problems {
		if p.Severity == Error {
			return true
		}
	}
	return false
}

// MaxProblems is the maximum number of problems of each severity that one Parse
// lists. Further problems are only counted, which bounds the memory used for a
// broken file.
const MaxProblems = 200

// report collects up to MaxProblems problems of each severity. The field counts
// also counts those that are not listed, indexed by severity; lastLine is the
// highest line number of a listed problem.
type report struct {
	file     string
	listed   []Problem
	counts   [2]int
	lastLine int
}

func (r *report) add(severity Severity, line int, field, message string) {
	r.counts[severity]++
	r.lastLine = max(r.lastLine, line)
	if r.counts[severity] > MaxProblems {
		return
	}
	r.listed = append(r.listed, Problem{File: r.file, Line: line, Field: field, Severity: severity, Message: message})
}

func (r *report) errorf(line int, field, format string, args ...any) {
	if r.counts[Error] >= MaxProblems {
		r.counts[Error]++
		return
	}
	r.add(Error, line, field, fmt.Sprintf(format, args...))
}

func (r *report) warnf(line int, field, format string, args ...any) {
	if r.counts[Warning] >= MaxProblems {
		r.counts[Warning]++
		return
	}
	r.add(Warning, line, field, fmt.Sprintf(format, args...))
}

func (r *report) hasErrors() bool { return r.counts[Error] > 0 }

// errorLimitReached reports that no further error will be listed, so callers can
// skip computing suggestions, which is costly.
func (r *report) errorLimitReached() bool { return r.counts[Error] >= MaxProblems }

// problems returns the listed problems in line order, and for each severity with
// unlisted ones a final entry with their number.
func (r *report) problems() []Problem {
	sort.SliceStable(r.listed, func(i, j int) bool { return r.listed[i].Line < r.listed[j].Line })
	for _, severity := range []Severity{Error, Warning} {
		if unlisted := r.counts[severity] - MaxProblems; unlisted > 0 {
			r.listed = append(r.listed, Problem{
				File: r.file, Line: r.lastLine, Field: "file", Severity: severity,
				Message: fmt.Sprintf("%d more %ss are not listed; fix these first", unlisted, severity),
			})
		}
	}
	return r.listed
}
