package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"bluebellwind.example/upstream"
)

// maxEventBytes is the maximum size of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("gateway: stream event exceeds the maximum size")
	// errForeignLine means that text of something else has got into the stream, such as the
	// head of another response where the end of the stream is that of its connection.
	errForeignLine = errors.New("gateway: the stream holds a line that is no field of an event")
)

// event is one event of a server-sent event stream, as the server wrote it.
type event struct {
	raw []byte
	// id is the event's ID. hasID is false if the event has no ID or one that is
	// not a number.
	id    uint64
	hasID bool
	// heartbeat says that there are only comments and blank lines, which are no event.
	heartbeat bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
	// source is what r reads; nil if that is not a response.
	source *responseReader
	// onEvent is called for each complete event, but not for heartbeats; it may be nil.
	onEvent func()
	// begun is set once an event has been read.
	begun bool
	// resumed is what the stream must be like to go on with another one; nil if it need not,
	// or once that is known.
	resumed *continuation
	// onlyFields is set if each line must be a comment or a field of an event.
	onlyFields bool
	// buf holds the bytes of the current event.
	buf []byte
	// awaited is set if awaitedEvent and awaitedErr are the result of the next call of
	// next.
	awaited      bool
	awaitedEvent event
	awaitedErr   error
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 1<<10)}
}

// newResponseEvents returns a reader of the events of a response. Only complete events end
// the silence of the server. resumed is nil unless the response has to go on with a stream.
func newResponseEvents(g *Gateway, response *upstream.Response, resumed *continuation) *eventReader {
	response.CountRecords()
	source := &responseReader{gateway: g, response: response, records: true}
	e := newEventReader(source)
	e.source, e.onEvent = source, source.RecordProgress
	e.resumed = resumed
	e.onlyFields = mediaTypeOf(response.Header) == eventStreamType
	return e
}

// awaitEvent returns once next returns an event that the caller does not have, or an error,
// without waiting. It returns the error of next, but nil at the end of the stream.
func (e *eventReader) awaitEvent() error {
	resumed := e.resumed
	for {
		e.awaitedEvent, e.awaitedErr = e.next()
		if resumed == nil || e.awaitedErr != nil || !resumed.hasEvent(e.awaitedEvent) {
			break
		}
	}
	e.awaited = true
	if errors.Is(e.awaitedErr, io.EOF) {
		return nil
	}
	return e.awaitedErr
}

// next returns the next complete event, or a heartbeat. Heartbeats before the first event
// are returned as part of it, or alone at the end of a stream without events. The bytes are
// valid until the following call. The error is io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, and wraps errNotContinued if it has
// to go on with another one and does not.
func (e *eventReader) next() (event, error) {
	if e.awaited {
		e.awaited = false
		return e.awaitedEvent, e.awaitedErr
	}
	for {
		ev, err := e.read()
		switch {
		case e.resumed == nil:
			return ev, err
		case errors.Is(err, io.EOF):
			return ev, errNoFurtherEvent
		case err != nil || e.resumed.hasEvent(ev):
			return ev, err
		case ev.heartbeat:
			continue
		}
		if err := e.resumed.checkFirst(ev); err != nil {
			return ev, err
		}
		e.resumed = nil
		return ev, nil
	}
}

// read reads the next event or heartbeat as next returns it, whether it goes on with another
// stream or not.
func (e *eventReader) read() (event, error) {
	ev := event{heartbeat: true}
	e.buf = e.buf[:0]
	lineStart, recordEnd := 0, 0
	for {
		chunk, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, chunk...)
		if len(e.buf) > maxEventBytes {
			return ev, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && recordEnd > 0 && recordEnd == len(e.buf) {
			ev.raw = e.buf
			return ev, nil
		}
		if err == io.EOF && len(e.buf) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		line := bytes.TrimRight(e.buf[lineStart:], "\r\n")
		lineStart = len(e.buf)
		if len(line) > 0 {
			if e.onlyFields && !isField(line) {
				return ev, errForeignLine
			}
			ev.heartbeat = ev.heartbeat && line[0] == ':'
			ev.parseID(line)
			continue
		}
		if ev.heartbeat && !e.begun {
			recordEnd = len(e.buf)
			continue
		}
		ev.raw = e.buf
		if !ev.heartbeat {
			e.recordEvent()
		}
		return ev, nil
	}
}

func (e *eventReader) recordEvent() {
	e.begun = true
	if e.onEvent != nil {
		e.onEvent()
	}
}

// parseID sets the event's ID if line is an ID field with a number.
func (ev *event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		ev.id, ev.hasID = id, true
	}
}

// byteOrderMark may stand at the beginning of a stream.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// isField reports whether a line is a comment or a field of an event. Names that are not
// known are ignored by readers of events, so they may occur; those that are known are in
// lower case, and only they may stand without a colon.
func isField(line []byte) bool {
	name, _, hasColon := bytes.Cut(bytes.TrimPrefix(line, byteOrderMark), []byte(":"))
	if !hasColon {
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
