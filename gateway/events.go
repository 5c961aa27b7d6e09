package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("gateway: an event of the stream is too large")

// event is one event of a stream, as the server wrote it.
type event struct {
	raw []byte
	// id is the event's id; hasID is false without one or with one that is not
	// a number.
	id    uint64
	hasID bool
}

// eventReader cuts a stream into events.
type eventReader struct {
	r   *bufio.Reader
	raw []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 1<<10)}
}

// next returns the next whole event; its bytes hold until the next call. At the
// end of the stream the error is io.EOF, and io.ErrUnexpectedEOF in the middle
// of an event.
func (e *eventReader) next() (event, error) {
	var ev event
	e.raw = e.raw[:0]
	begin := 0
	for {
		part, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return ev, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(e.raw) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		line := bytes.TrimRight(e.raw[begin:], "\r\n")
		begin = len(e.raw)
		if len(line) == 0 {
			ev.raw = e.raw
			return ev, nil
		}
		ev.readID(line)
	}
}

func (ev *event) readID(line []byte) {
	text, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	if err == nil {
		ev.id, ev.hasID = id, true
	}
}

// buffered says that bytes of the next event are already here.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }
