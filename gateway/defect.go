package gateway

import "net/http"

// responseDefect is why a response of a server must not reach the caller; empty if it may.
// Its value is a label of metrics.
type responseDefect string

// defectUnsealed means that a success carries no seal, so that nothing shows that a server
// has written it: the server damages what it sends, or another program answers.
const defectUnsealed responseDefect = "unsealed"

// String returns the text for logs.
func (d responseDefect) String() string {
	switch d {
	case defectUnsealed:
		return "the success carries no seal of a server"
	}
	return string(d)
}

// defectOf returns what is wrong with a response. Failures need no seal: they promise
// nothing that a caller relies on.
func defectOf(status int, metadata ResponseMetadata) responseDefect {
	if isSuccess(status) && !metadata.HasSeal {
		return defectUnsealed
	}
	return ""
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
