package gateway

import "net/http"

// responseDefect is why a response of a server must not reach the caller; empty if it may.
// Its value is a label of metrics.
type responseDefect string

const (
	// defectUnsealed means that a success carries no seal, so that nothing shows that a
	// server has written it: the server damages what it sends, or another program answers.
	defectUnsealed responseDefect = "unsealed"
	// defectContradiction means that a success says that the request has not run.
	defectContradiction responseDefect = "contradiction"
)

// String returns the text for logs.
func (d responseDefect) String() string {
	switch d {
	case defectUnsealed:
		return "the success carries no seal of a server"
	case defectContradiction:
		return "the success says that the request has not run"
	}
	return string(d)
}

// defectOf returns what is wrong with a response. Failures need no seal: they promise
// nothing that a caller relies on.
func defectOf(status int, metadata ResponseMetadata) responseDefect {
	switch {
	case !isSuccess(status):
		return ""
	case metadata.NotRun:
		return defectContradiction
	case !metadata.HasSeal:
		return defectUnsealed
	}
	return ""
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
