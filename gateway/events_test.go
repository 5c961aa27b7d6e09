package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventsAreCutAtBlankLines(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n"))
	var raw []string
	var ids []uint64
	for {
		ev, err := r.next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		raw = append(raw, string(ev.raw))
		if ev.hasID {
			ids = append(ids, ev.id)
		}
	}
	assert.DeepEqual(t, raw, []string{"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", "data: no id\n\n"})
	assert.DeepEqual(t, ids, []uint64{1, 2})
}

func TestEndInTheMiddleOfAnEventIsNoEnd(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	_, err := r.next()
	assert.NilError(t, err)
	_, err = r.next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestLongLinesAreOneEvent(t *testing.T) {
	text := "id: 9\ndata: " + strings.Repeat("x", 50_000) + "\n\n"
	ev, err := newEventReader(strings.NewReader(text)).next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.raw), text)
	assert.Equal(t, ev.id, uint64(9))
}

// Lines that readers of events accept must not break a stream.
func TestFieldsOfEvents(t *testing.T) {
	for _, line := range []string{"data: a", "data:", "data", "id: 1", "retry", ": comment", ":", "x-version: 3", "\xEF\xBB\xBFid: 1", "\xEF\xBB\xBF: x"} {
		assert.Assert(t, isField([]byte(line)), "%q", line)
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "Content-Type: text/plain", "1f", "error", "{", "<a:b>", "da ta: x"} {
		assert.Assert(t, !isField([]byte(line)), "%q", line)
	}
}
