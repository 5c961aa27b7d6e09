package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/upstream"
)

// maxBufferedBytes is the size, in bytes, below which a response is read whole
// before its header is sent, so that the request can still be retried or refused
// if the response breaks off.
const maxBufferedBytes = 1 << 20

// relayBuffered reads the whole response before it sends it to the caller.
func (x *exchange) relayBuffered(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata) attemptOutcome {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		return x.relayUnbuffered(choice, response, metadata, body)
	}
	if err != nil {
		return x.handleBodyError(choice, err)
	}
	x.recordResponse(choice, response, metadata)
	length := len(body)
	if x.r.Method == http.MethodHead {
		length = int(response.Length)
	}
	x.writeHeader(response, length)
	if _, err := x.w.Write(body); err != nil {
		return outcomeCanceled
	}
	x.g.logResponseEnd(x, "answered", strconv.Itoa(response.Status))
	return outcomeAnswered
}

// relayUnbuffered relays a response that is too large to buffer. prefix is the
// part of the body already read.
func (x *exchange) relayUnbuffered(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata, prefix []byte) attemptOutcome {
	length := -1
	if response.Length >= 0 {
		length = int(response.Length)
	}
	x.writeHeader(response, length)
	x.headerSent = true
	if _, err := x.w.Write(prefix); err != nil {
		return outcomeCanceled
	}
	if _, err := io.Copy(x.w, response); err != nil {
		return x.handleBodyError(choice, err)
	}
	x.recordResponse(choice, response, metadata)
	x.g.logResponseEnd(x, "answered", strconv.Itoa(response.Status))
	return outcomeAnswered
}

// recordResponse records a complete response of a server. Server errors are left
// out, since sendTo has already recorded them.
func (x *exchange) recordResponse(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata) {
	if response.Status < http.StatusInternalServerError {
		x.g.directory.RecordSuccess(choice.ID, metadata.Load, time.Now())
	}
	if response.Status < http.StatusMultipleChoices {
		x.recordCompleted()
	}
}

// handleBodyError records and classifies a response that broke off in its body.
func (x *exchange) handleBodyError(choice *backends.Choice, err error) attemptOutcome {
	if x.ctx.Err() != nil {
		return outcomeCanceled
	}
	if x.quarantined() {
		return outcomeQuarantined
	}
	x.failureCause, x.serverGivenUp = "the answer broke off: "+err.Error(), errors.Is(err, upstream.ErrSilent)
	x.g.directory.RecordFailure(choice.ID, false, time.Now())
	x.watchBroken(choice, err, true)
	return outcomeFailed
}

// writeHeader sends the header of a server's response; length is -1 if unknown.
func (x *exchange) writeHeader(response *upstream.Response, length int) {
	h := x.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.g.setConnectionClose(h)
	x.w.WriteHeader(response.Status)
}

// relayStream forwards events as they arrive. The header is sent with the first
// complete event, so that a stream that breaks off earlier can start again at
// another server.
func (x *exchange) relayStream(choice *backends.Choice, response *upstream.Response, events *eventReader, metadata ResponseMetadata) attemptOutcome {
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.finishStream(choice, response, metadata)
		}
		if err != nil {
			return x.handleBodyError(choice, err)
		}
		if !ev.heartbeat {
			x.endStandby()
			x.attemptEvents++
			x.g.attempts.remove(x.current)
			choice.RecordProgress(time.Now())
		}
		if !x.forwardEvent(response, ev) {
			return outcomeCanceled
		}
	}
}

// forwardEvent sends one event to the caller, unless the caller already has it.
// It returns false if writing to the caller fails.
func (x *exchange) forwardEvent(response *upstream.Response, ev event) bool {
	if x.has(ev) {
		return true
	}
	x.startStream(response)
	if _, err := x.w.Write(ev.raw); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	if !ev.heartbeat {
		x.recordEvent(ev, time.Now())
	}
	return true
}

// startStream sends the header of a stream unless it has been sent.
func (x *exchange) startStream(response *upstream.Response) {
	if x.headerSent {
		return
	}
	x.writeHeader(response, -1)
	x.headerSent = true
	x.g.recordFirstEvent(x)
}

// finishStream records a stream that the server completed. It sends the header if
// the stream had no events.
func (x *exchange) finishStream(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata) attemptOutcome {
	x.g.directory.RecordSuccess(choice.ID, metadata.Load, time.Now())
	if x.eventCount > 0 {
		x.recordCompleted()
	}
	x.startStream(response)
	x.g.logResponseEnd(x, "answered", strconv.Itoa(response.Status))
	return outcomeAnswered
}
