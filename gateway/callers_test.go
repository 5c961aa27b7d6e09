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

// A refused request whose body did not come kept its connection, and its refusal, for good.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"no route":    {"POST /none/x" + callerHead + "key", http.StatusNotFound},
		"unknown key": {"POST /once/x" + callerHead + "other", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.start()
			got, rest := h.statusOf(c.head + "\r\nContent-Length: 1000\r\n\r\nbody")
			assert.Equal(t, got, c.want)
			_, err := rest.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "what follows would be read as another request")
		})
	}
}

// A refused request whose body comes must keep its connection.
func TestRefusalAfterTheBodyKeepsTheConnection(t *testing.T) {
	h := newHarness(t)
	h.start()
	request := "POST /none/x" + callerHead + "key\r\nContent-Length: 4\r\n\r\nbody"
	got, rest := h.statusOf(request + request)
	assert.Equal(t, got, http.StatusNotFound)
	second, err := http.ReadResponse(rest, nil)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusNotFound)
	second.Body.Close()
}

// The body of a request without a deadline was waited for without end.
func TestBodyOfARequestWithoutADeadlineIsNotWaitedForWithoutEnd(t *testing.T) {
	h := newHarness(t)
	h.timeout = 0
	h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	h.gateway.maxBodyTime = 300 * time.Millisecond
	got, _ := h.statusOf("POST /once/x" + callerHead + "key\r\nContent-Length: 1000\r\n\r\nbody")
	assert.Equal(t, got, http.StatusServiceUnavailable)
	held, _ := h.gateway.memory.usage()
	assert.Equal(t, held, int64(0))
}

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
