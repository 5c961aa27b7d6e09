package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// bytesPerToken is the assumed mean length of a token, used to estimate the
// tokens of a response that is not streamed.
const bytesPerToken = 4

// responseWriter writes the response to one request. It must be used by one
// goroutine only.
type responseWriter struct {
	w         http.ResponseWriter
	flush     func()
	requestID string
	// headerSent is set once the status and headers were written. After that no
	// other attempt may follow.
	headerSent bool
	eventsSent bool // At least one server-sent event was written.
	// estimatedTokens is the estimated number of tokens written so far: one for
	// each event, and one for every bytesPerToken bytes of other data.
	estimatedTokens int
	timer           *tokenTimer
	// choice, if set, is told that its server sends data, at most once every
	// progressInterval.
	choice       *routing.Choice
	lastProgress time.Time
}

// progressInterval is the minimum time between two calls of choice.RecordProgress.
const progressInterval = 250 * time.Millisecond

// setChoice sets the choice that the progress of the next attempt is reported
// to. It may be nil.
func (rw *responseWriter) setChoice(c *routing.Choice) { rw.choice, rw.lastProgress = c, time.Time{} }

// recordProgress records that a message of the response arrived.
func (rw *responseWriter) recordProgress(now time.Time) {
	if rw.choice != nil && now.Sub(rw.lastProgress) >= progressInterval {
		rw.lastProgress = now
		rw.choice.RecordProgress(now)
	}
}

func newResponseWriter(w http.ResponseWriter, requestID string) *responseWriter {
	rw := &responseWriter{w: w, requestID: requestID, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		rw.flush = f.Flush
	}
	return rw
}

// writeGracePeriod is how long after the deadline of its request a response may
// still be written.
const writeGracePeriod = 5 * time.Second

// setWriteDeadline bounds the time that a caller may take to read the response,
// so that a caller that stops reading does not occupy a server's slot.
func (rw *responseWriter) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(rw.w).SetWriteDeadline(deadline.Add(writeGracePeriod)) // Fails only in tests that have no connection.
}

func (rw *responseWriter) writeHeader(h *wire.Head) {
	rw.headerSent = true
	if h.GetContentType() != "" {
		rw.w.Header().Set("Content-Type", h.GetContentType())
	}
	if h.GetReplayed() {
		rw.w.Header().Set(headerReplayed, "true")
	}
	rw.w.WriteHeader(int(h.GetStatus()))
}

func (rw *responseWriter) writeData(chunk []byte) error {
	rw.estimatedTokens += len(chunk) / bytesPerToken
	_, err := rw.w.Write(chunk)
	return err
}

func (rw *responseWriter) writeEvent(e *wire.Event) error {
	rw.eventsSent = true
	rw.estimatedTokens++
	rw.timer.recordToken(time.Now())
	var m sse.Message
	if e.GetType() != "" {
		m.Type = sse.Type(e.GetType())
	}
	m.AppendData(e.GetData())
	if _, err := m.WriteTo(rw.w); err != nil {
		return err
	}
	rw.flush()
	return nil
}

// abort ends an incomplete response: if events were sent it adds an error
// event, then it panics with http.ErrAbortHandler. net/http closes the
// connection without the last chunk, so the caller can tell that the response is
// incomplete.
func (rw *responseWriter) abort(e *verdict.Error) {
	if rw.eventsSent {
		text, err := json.Marshal(newRefusalBody(e, rw.requestID, ""))
		if err == nil {
			_ = rw.writeEvent(&wire.Event{Type: "error", Data: string(text)})
		}
	}
	panic(http.ErrAbortHandler)
}
