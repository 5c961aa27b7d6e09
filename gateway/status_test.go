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

// impossibleStatuses are those that no HTTP answer to a request has.
var impossibleStatuses = []string{"000", "001", "099", "101", "600", "999"}

// writeStatus writes a whole answer with a status line as it is given.
func writeStatus(status string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nSeal: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\ntext",
			status, r.Header.Get("Id"), r.Header.Get("Server"))
	}
}

// A caller got the answer of a server in trouble whose status was 000. It must be a failure that
// may have run, and the request goes on elsewhere where it may.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range impossibleStatuses {
		for path, served := range map[string]bool{"/once/x": false, "/again/x": true, "/stream/x": true} {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				addFailoverServers(h, writeStatus(status), func(c net.Conn, r *http.Request) {
					if strings.HasPrefix(path, "/stream") {
						writeEvents(c, r, 1, 2, true)
						return
					}
					writeResponse(c, r, 200, "ok")
				})
				h.start()
				got := h.send(path)
				if served {
					assert.Equal(t, got.status, http.StatusOK, h.logLines("1"))
					return
				}
				assert.Equal(t, got.status, http.StatusBadGateway, "it may have run")
				assert.Assert(t, !strings.Contains(got.body, "text"))
			})
		}
	}
}

// An answer whose status was 000 must be neither the rest of a stream that broke off nor that of
// one whose server fell silent.
func TestImpossibleStatusIsNoRestOfAStream(t *testing.T) {
	for _, status := range impossibleStatuses {
		t.Run(status+" after a break", func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			addFailoverServers(h, func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false); c.Close() }, writeStatus(status))
			h.start()
			got := h.send("/stream/x")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, got.err != nil, "the stream was ended as complete")
		})
		t.Run(status+" in a silence", func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, func(c net.Conn, r *http.Request) {
				writeEvents(c, r, 1, 3, false)
				time.Sleep(silentSpell)
				ev := eventText(4, 4)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(ev), ev)
			}, writeStatus(status))
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 4))
		})
	}
}

// The same for a request without a body in its answer.
func TestImpossibleStatusOfHEADIsNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 000 X\r\nId: "+r.Header.Get("Id")+"\r\nSeal: "+r.Header.Get("Server")+"\r\nContent-Length: 4\r\n\r\n")
	})
	h.start()
	req, err := http.NewRequest(http.MethodHead, h.callerServer.URL+"/once/x", nil)
	assert.NilError(t, err)
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "key")
	response, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}
