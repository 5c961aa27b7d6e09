package gateway

import (
	"net/http"
	"time"

	"bluebellwind.example/backends"
)

// Call is what a request says of itself.
type Call struct {
	// ID of this attempt of the caller; each has its own.
	ID string
	// Key of the organisation; empty if none was sent.
	Key string
	// Remaining is how long the caller will wait; zero if it does not say.
	Remaining time.Duration
	// PromptTokens and MaxTokens size a generation; zero if not stated.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the tokens of the answer.
	LengthHint int
	// LastEvent is the last event of the stream that the caller has; empty at
	// the start.
	LastEvent string
}

// Outgoing is what a request to a backend server is marked with.
type Outgoing struct {
	// Server is the ID of the server that is meant; any other refuses.
	Server string
	// Organisation that the request is for; empty if the route is public.
	Organisation string
	// Remaining is how long the server may work; zero means that the caller set
	// no bound.
	Remaining time.Duration
	// LastEvent is the event after which a stream goes on; empty at the start.
	LastEvent string
	// Urgency orders the waiting requests of a server, 0 to 9; 0 is first.
	Urgency int
}

// Notes are what a backend server says beside its answer.
type Notes struct {
	// NotRun is the server's promise that it did not run the request.
	NotRun bool
	// Load is nil if the server does not state it.
	Load *backends.Load
	// Faulty is the server that a refusal blames; empty if none.
	Faulty string
	// Sealed says that the answer is one of a backend server.
	Sealed bool
}

// Format reads and writes the headers of callers and backend servers. It
// decides nothing. Implementations are safe for concurrent use.
type Format interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) Call
	// MarkRequest turns a copy of the caller's headers into those of a request
	// to a server. It takes the key out.
	MarkRequest(h http.Header, o Outgoing)
	// Answers says whether an answer with these headers is one to the call.
	Answers(h http.Header, id string) bool
	// ReadNotes reads the status and headers of a server's answer.
	ReadNotes(status int, h http.Header) Notes
	// MarkRefusal marks an answer of the gateway's own. retryAfter is zero when
	// the caller should not come back.
	MarkRefusal(h http.Header, id string, retryAfter time.Duration)
}
