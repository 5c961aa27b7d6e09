package gateway

import (
	"net/http"
	"time"

	"bluebellwind.example/backends"
)

// Call holds what a caller's request states in its headers.
type Call struct {
	// ID identifies this attempt of the caller; each attempt has a different one.
	ID string
	// Key authenticates the organisation; empty if none was sent.
	Key string
	// Remaining is how long the caller will still wait; zero if not stated.
	Remaining time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of
	// the generated answer, in tokens; zero if not stated.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the length of the answer that the caller expects, in tokens;
	// zero if not stated.
	LengthHint int
	// LastEventID is the ID of the last stream event that the caller has received;
	// empty if the stream starts at its beginning.
	LastEventID string
	// Model is the model that the request is for; empty if not stated.
	Model string
	// SharedParts are the IDs of the parts of the prompt that other requests may share,
	// in their order.
	SharedParts []string
}

// RequestMetadata holds what the gateway states in the headers of a request to a
// backend server.
type RequestMetadata struct {
	// Server is the ID of the intended server; any other server refuses the
	// request.
	Server string
	// Organisation is the name of the caller's organisation; empty if the request
	// needs no key.
	Organisation string
	// Remaining is how long the server may take; zero if the request has no
	// deadline.
	Remaining time.Duration
	// LastEventID is the ID of the event after which a stream resumes; empty if it
	// starts at its beginning.
	LastEventID string
	// Priority orders the requests waiting at a server, from 0 to 9; 0 is served
	// first.
	Priority int
}

// ResponseMetadata holds what a backend server states in the status and headers
// of its response.
type ResponseMetadata struct {
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Load is the server's load; nil if not stated.
	Load *backends.Load
	// FaultyServer is the server that a refusal names as broken; empty if none.
	FaultyServer string
	// Leaving is set if the server says that it is about to stop.
	Leaving bool
	// Backoff is how long a server that turned the request away wants no other
	// requests; zero if not stated.
	Backoff time.Duration
	// RequestLimit is how many requests a second the server takes from all gateways
	// together; nil if not stated.
	RequestLimit *float64
	// ColdRemaining is for how long the server stays cold; zero if not stated.
	ColdRemaining time.Duration
	// MalformedCold names the header with ColdRemaining if it could not be read.
	MalformedCold string
	// Malformed names another header that could not be read and was ignored; empty if
	// there was none.
	Malformed string
	// HasSeal is set if the response carries the seal of a backend server.
	HasSeal bool
}

// HeaderCodec reads and writes the headers exchanged with callers and backend
// servers. It makes no decisions. Implementations are safe for concurrent use.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) Call
	// SetRequestHeaders turns a copy of the caller's headers into the headers of a
	// request to a server. It removes the key.
	SetRequestHeaders(h http.Header, m RequestMetadata)
	// MatchesRequest reports whether a response with these headers belongs to
	// the call with this ID.
	MatchesRequest(h http.Header, id string) bool
	// ParseResponse reads the status and headers of a server's response.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// SetRefusalHeaders sets the headers of a refusal by the gateway itself.
	// retryAfter is zero if the caller should not retry.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}
