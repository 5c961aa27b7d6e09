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
	body := buffer{reservation: x.g.memory.reserve(true, x.deadline)}
	defer body.reservation.release()
	expected := response.Length
	if x.r.Method == http.MethodHead {
		expected = 0 // Its length is that of another response.
	}
	whole, err := body.readFrom(response, expected, maxBufferedBytes)
	if err != nil {
		return x.handleBodyError(choice, err)
	}
	if !whole {
		return x.relayUnbuffered(choice, response, metadata, &body)
	}
	x.recordResponse(choice, response, metadata)
	length := len(body.bytes)
	if x.r.Method == http.MethodHead {
		length = int(response.Length)
	}
	response.Close() // The server is not needed any more, however slowly the caller reads.
	x.writeHeader(response, length)
	x.headerSent = true
	if _, err := x.w.Write(body.bytes); err != nil {
		return outcomeCanceled
	}
	x.g.logResponseEnd(x, "answered", strconv.Itoa(response.Status))
	return outcomeAnswered
}

// relayUnbuffered relays a response that is too large to buffer. prefix is the
// part of the body already read.
func (x *exchange) relayUnbuffered(choice *backends.Choice, response *upstream.Response, metadata ResponseMetadata, prefix *buffer) attemptOutcome {
	source := &responseReader{gateway: x.g, response: response}
	defer x.relayFrom(source, choice)()
	x.endStandby() // No other answer may follow what the caller gets from here on.
	length := -1
	if response.Length >= 0 {
		length = int(response.Length)
	}
	x.writeHeader(response, length)
	x.headerSent = true
	if err := source.writeTo(x.w, prefix.bytes, false); err != nil {
		return x.writeFailed(source)
	}
	prefix.bytes = nil
	prefix.reservation.release()
	part := make([]byte, relayPartBytes)
	for {
		n, err := source.Read(part)
		if n > 0 && source.writeTo(x.w, part[:n], false) != nil {
			return x.writeFailed(source)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.bodyFailed(choice, source, err)
		}
	}
	x.recordResponse(choice, response, metadata)
	x.g.logResponseEnd(x, "answered", strconv.Itoa(response.Status))
	return outcomeAnswered
}

// relayPartBytes is how much of a response that is too large to buffer is relayed at once.
const relayPartBytes = 32 << 10

// relayFrom begins to relay a response from source, and returns the function that ends it.
func (x *exchange) relayFrom(source *responseReader, choice *backends.Choice) (end func()) {
	source.until = x.deadline
	source.newPolicy = func() func(time.Duration) bool { return x.waitPolicy(choice) }
	// What the caller has got is past the beginning of the answer, if it blocks its connection.
	broken := brokenAttempt{server: choice.Server, call: x.call, traits: x.traits}
	source.watchCrash = func() <-chan struct{} {
		broken.at = time.Now()
		return x.g.watchCrash(broken)
	}
	control := http.NewResponseController(x.w)
	source.interruptWrite = func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) } // Fails only for a closed connection.
	x.g.responses.add(source)
	return func() {
		x.g.responses.remove(source)
		source.stop()
	}
}

// writeFailed classifies the failure of a write to the caller.
func (x *exchange) writeFailed(source *responseReader) attemptOutcome {
	if !source.gaveUp() {
		return outcomeCanceled
	}
	x.failureCause = errSlowCaller.Error()
	x.g.metrics.countSlowCaller("ended")
	return outcomeSlowCaller
}

// bodyFailed classifies an error of the response. If the response was ended because of its
// caller, the server is not to blame.
func (x *exchange) bodyFailed(choice *backends.Choice, source *responseReader, err error) attemptOutcome {
	if errors.Is(err, errSlowCaller) {
		return x.writeFailed(source)
	}
	x.watchedAhead = source.crashWatch()
	defer func() { x.watchedAhead = nil }()
	return x.handleBodyError(choice, err)
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
	if errors.Is(err, errNotContinued) {
		x.g.metrics.countDefect(defectNotContinued)
	}
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
	defer x.relayFrom(events.source, choice)()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.finishStream(choice, response, metadata)
		}
		if err != nil {
			return x.bodyFailed(choice, events.source, err)
		}
		if !ev.heartbeat {
			x.endStandby()
			x.attemptEvents++
			x.g.attempts.remove(x.current)
			choice.RecordProgress(time.Now())
		}
		if !x.forwardEvent(events.source, ev) {
			return x.writeFailed(events.source)
		}
	}
}

// forwardEvent sends one event to the caller, unless the caller already has it.
// It returns false if writing to the caller fails.
func (x *exchange) forwardEvent(source *responseReader, ev event) bool {
	if x.has(ev) {
		return true
	}
	x.startStream(source.response)
	if err := source.writeTo(x.w, ev.raw, true); err != nil {
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
	x.mediaType = mediaTypeOf(response.Header)
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
