package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statusOf sends text on a new connection and returns the status of the answer; 0 if the
// connection ends before, or no answer comes. It also returns a reader of what follows.
func (h *harness) statusOf(text string) (int, *bufio.Reader) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.callerServer.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(h.t, err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // Ends a test that would otherwise wait.
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, reader
	}
	_, _ = io.Copy(io.Discard, response.Body) // The status decides.
	response.Body.Close()
	return response.StatusCode, reader
}

const callerHead = " HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: "

// The limit on a header is that of the configuration: what it allows is served, and more is
// refused.
func TestLimitOnHeadersIsThatOfTheConfiguration(t *testing.T) {
	for _, limit := range []int{8 << 10, 200 << 10} {
		h := newHarness(t)
		h.headerBytes = limit
		h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
		h.start()
		request := func(size int) string {
			head := "GET /again/x" + callerHead + "key\r\nX-Filler: "
			return head + strings.Repeat("x", size-len(head)-4) + "\r\n\r\n"
		}
		got, _ := h.statusOf(request(limit))
		assert.Equal(t, got, http.StatusOK, "%d bytes", limit)
		got, _ = h.statusOf(request(limit + 12<<10))
		assert.Assert(t, got == http.StatusRequestHeaderFieldsTooLarge || got == 0, "%d", got)
	}
}
