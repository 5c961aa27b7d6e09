package gateway

import (
	"net/http"

	"bluebellwind.example/upstream"
)

// responseDefect is why a response of a server must not reach the caller; empty if it may.
// Its value is a label of metrics.
type responseDefect string

const (
	// defectUnsealed means that a success carries no seal, so that nothing shows that a
	// server has written it: the server damages what it sends, or another program answers.
	defectUnsealed responseDefect = "unsealed"
	// defectContradiction means that a success says that the request has not run.
	defectContradiction responseDefect = "contradiction"
	// defectNotContinued means that the response does not go on with the stream that the
	// caller has begun to receive.
	defectNotContinued responseDefect = "not_continued"
)

// String returns the text for logs.
func (d responseDefect) String() string {
	switch d {
	case defectUnsealed:
		return "the success carries no seal of a server"
	case defectContradiction:
		return "the success says that the request has not run"
	case defectNotContinued:
		return "the server did not resume the stream"
	}
	return string(d)
}

// defectOf returns what is wrong with a response. Failures need no seal: they promise
// nothing that a caller relies on. resumed is nil unless the response has to go on with a
// stream.
func defectOf(response *upstream.Response, metadata ResponseMetadata, resumed *continuation) responseDefect {
	switch {
	case !isSuccess(response.Status):
		return ""
	case metadata.NotRun:
		return defectContradiction
	case !metadata.HasSeal:
		return defectUnsealed
	case resumed != nil && !resumed.acceptsHeader(response.Header):
		return defectNotContinued
	}
	return ""
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
