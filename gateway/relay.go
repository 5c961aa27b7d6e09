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

// maxWhole is the size up to which an answer is read whole before its head goes
// out, so that one that breaks off can be repeated or refused, in bytes.
const maxWhole = 1 << 20

// relayWhole passes an answer on once it is whole.
func (x *exchange) relayWhole(choice *backends.Choice, answer *upstream.Answer, notes Notes) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole))
	if err == nil && len(body) == maxWhole {
		return x.relayLarge(choice, answer, notes, body)
	}
	if err != nil {
		return x.brokeOff(choice, err)
	}
	x.answered(choice, answer, notes)
	x.writeHead(answer, len(body))
	if _, err := x.w.Write(body); err != nil {
		return ended
	}
	x.g.logEnd(x, "answered", strconv.Itoa(answer.Status))
	return done
}

// relayLarge passes on an answer that is too large to be held.
func (x *exchange) relayLarge(choice *backends.Choice, answer *upstream.Answer, notes Notes, begun []byte) outcome {
	length := -1
	if answer.Length >= 0 {
		length = int(answer.Length)
	}
	x.writeHead(answer, length)
	x.headSent = true
	if _, err := x.w.Write(begun); err != nil {
		return ended
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		return x.brokeOff(choice, err)
	}
	x.answered(choice, answer, notes)
	x.g.logEnd(x, "answered", strconv.Itoa(answer.Status))
	return done
}

// answered notes a whole answer, unless it was an error, which is noted before.
func (x *exchange) answered(choice *backends.Choice, answer *upstream.Answer, notes Notes) {
	if answer.Status < http.StatusInternalServerError {
		x.g.directory.Answered(choice.ID, notes.Load, time.Now())
	}
}

// brokeOff judges an answer that ended in its middle.
func (x *exchange) brokeOff(choice *backends.Choice, err error) outcome {
	if x.ctx.Err() != nil {
		return ended
	}
	x.cause = "the answer broke off: " + err.Error()
	x.g.directory.Failed(choice.ID, false, time.Now())
	return broken
}

// writeHead sends the head of a server's answer; length is -1 if it is unknown.
func (x *exchange) writeHead(answer *upstream.Answer, length int) {
	h := x.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	dropHopHeaders(h)
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.g.markClosing(h)
	x.w.WriteHeader(answer.Status)
}

// relayStream passes events on as they arrive. The head goes out with the first
// whole event, so that a stream that breaks off before it can start elsewhere.
func (x *exchange) relayStream(choice *backends.Choice, answer *upstream.Answer, notes Notes) outcome {
	reader := newEventReader(answer)
	for {
		if !reader.buffered() {
			if err := answer.Await(x.patience(choice)); err != nil {
				return x.brokeOff(choice, err)
			}
		}
		ev, err := reader.next()
		if errors.Is(err, io.EOF) {
			return x.endStream(choice, answer, notes)
		}
		if err != nil {
			return x.brokeOff(choice, err)
		}
		choice.Progress(time.Now())
		if !x.pass(answer, ev) {
			return ended
		}
	}
}

// pass sends one event on; one that the caller has already got is left out. It
// returns false if the caller cannot be written to.
func (x *exchange) pass(answer *upstream.Answer, ev event) bool {
	if ev.hasID && x.hasLastEvent && ev.id <= x.lastEvent {
		return true
	}
	x.beginStream(answer)
	if _, err := x.w.Write(ev.raw); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	if ev.hasID {
		x.lastEvent, x.hasLastEvent = ev.id, true
	}
	x.events++
	return true
}

func (x *exchange) beginStream(answer *upstream.Answer) {
	if x.headSent {
		return
	}
	x.writeHead(answer, -1)
	x.headSent = true
	x.g.firstEvent(x)
}

func (x *exchange) endStream(choice *backends.Choice, answer *upstream.Answer, notes Notes) outcome {
	x.g.directory.Answered(choice.ID, notes.Load, time.Now())
	x.beginStream(answer)
	x.g.logEnd(x, "answered", strconv.Itoa(answer.Status))
	return done
}
