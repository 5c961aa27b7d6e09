package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pause is longer than the gateway once let a server pause within an answer or event.
const pause = 1650 * time.Millisecond

// An answer of a sound server was cut because the server paused within it.
func TestServerThatPausesWithinItsAnswerIsNotCut(t *testing.T) {
	sizes := map[string]int{"small": 100, "large": 2 * maxBufferedBytes}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			body := strings.Repeat("x", size)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				writePaused(c, fmt.Sprintf("HTTP/1.1 200 X\r\nSeal: s\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, body), 50)
			})
			h.start()
			got := h.send("/once/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.status, 200, h.logLines("1"))
			assert.Assert(t, got.body == body)
		})
	}
}

// A stream of a sound server was broken off because the server paused within an event.
func TestServerThatPausesWithinAnEventIsNotCut(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		second := eventText(2, 2)
		writePaused(c, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(second), second), 12)
	})
	h.start()
	got := h.send("/stream/x")
	assert.NilError(t, got.err, h.logLines("1"))
	assert.Equal(t, got.body, eventText(1, 2))
}

// writePaused writes text with a pause before the last bytes.
func writePaused(c net.Conn, text string, last int) {
	_, _ = io.WriteString(c, text[:len(text)-last])
	time.Sleep(pause)
	_, _ = io.WriteString(c, text[len(text)-last:])
}
