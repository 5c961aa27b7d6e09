package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/routing/retry"
)

// longSilence is longer than the gateway waits for a server that it may replace.
const longSilence = maxStall + 200*time.Millisecond

// writeEventsSlowly writes the events 1..4 and is silent after the second one.
func writeEventsSlowly(c net.Conn, r *http.Request) {
	writeEvents(c, r, 1, 2, false)
	time.Sleep(longSilence)
	rest := eventText(3, 4)
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
}

// A stream of a sound server was broken off because no other server took it over.
func TestSilentServerIsNotGivenUpBeforeAnotherTakesOver(t *testing.T) {
	others := map[string]func(h *harness) func(net.Conn, *http.Request){
		"there is no other server": func(*harness) func(net.Conn, *http.Request) { return nil },
		"the other server refuses": func(*harness) func(net.Conn, *http.Request) {
			return func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "Not-Run: 1") }
		},
		"the other server closes": func(*harness) func(net.Conn, *http.Request) {
			return func(c net.Conn, _ *http.Request) { c.Close() }
		},
	}
	for name, other := range others {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			if rest := other(h); rest == nil {
				h.addServer("a", writeEventsSlowly)
			} else {
				addFailoverServers(h, writeEventsSlowly, rest)
			}
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 4))
		})
	}
}

// A stream of a sound server was broken off because nothing might be sent to the server
// that was to take it over.
func TestSilentServerIsNotGivenUpWhileTheProofIsStale(t *testing.T) {
	h := newHarness(t)
	h.maxProofAge = shortProofAge
	addFailoverServers(h, writeEventsSlowly, func(c net.Conn, r *http.Request) { writeEvents(c, r, 3, 4, true) })
	h.start()
	time.AfterFunc(300*time.Millisecond, h.stopSource)
	got := h.send("/stream/x")
	assert.NilError(t, got.err, h.logLines("1"))
	assert.Equal(t, got.body, eventText(1, 4))
}

// Streams of sound servers were broken off because several gave up at once and the
// retry budget was enough for one.
func TestServerIsGivenUpOnlyWithARetry(t *testing.T) {
	h := newHarness(t)
	a := h.addServer("a", answering)
	h.addServer("b", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
	h.start()
	h.gateway.Reload(Limits{MaxProofAge: longProofAge, RetryWindow: retry.WindowConfig{Span: 10 * time.Second, FreeRetries: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	standbys := 0
	for range 2 {
		x := &exchange{
			g: h.gateway, r: httptest.NewRequest(http.MethodPost, "/stream/x", nil), ctx: ctx,
			request:  request{serviceName: "svc", route: &ingress.Route{Repeat: ingress.Stream, Resumable: true, MaxAttempts: 2}},
			attempts: attempts{sendCount: 1, mayHaveRun: true},
			answer:   answer{headerSent: true, eventCount: 1, hasLastEventID: true, lastEventHasID: true},
		}
		assert.Check(t, x.waitPolicy(&backends.Choice{Server: a.Server})(maxStall), "the silent server was given up")
		if x.standby != nil {
			standbys++
			defer x.endStandby()
		}
	}
	assert.Equal(t, standbys, 1)
}

// A stream that had begun was cut shortly before the time that its caller gave it.
func TestBegunStreamIsNotCutBeforeItsTimeout(t *testing.T) {
	h := newHarness(t)
	h.timeout = 500 * time.Millisecond
	h.addServer("a", func(c net.Conn, r *http.Request) {
		for i := 1; i < 100; i++ {
			writeEvents(&bodyConn{Conn: c, skipHead: i > 1}, r, i, i, false)
			time.Sleep(20 * time.Millisecond)
		}
	})
	h.start()
	began := time.Now()
	got := h.send("/stream/x")
	assert.Assert(t, got.err != nil)
	assert.Assert(t, time.Since(began) >= h.timeout, "%v", time.Since(began))
}

// bodyConn leaves out the head of a response that is written to it.
type bodyConn struct {
	net.Conn
	skipHead bool
}

func (c *bodyConn) Write(p []byte) (int, error) {
	if c.skipHead && strings.HasPrefix(string(p), "HTTP/1.1 ") {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// After a first standby had failed, the failure of another was not recorded: its response was
// never closed, so that its connection counted as open for ever.
func TestFailureOfEachStandbyIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.maxAttempts = 3
	var requests atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		h.addServer(id, func(c net.Conn, r *http.Request) {
			if requests.Add(1) > 1 {
				writeResponse(c, r, http.StatusInternalServerError, "")
				return
			}
			time.Sleep(1200 * time.Millisecond)
			writeResponse(c, r, http.StatusOK, "late")
		})
	}
	h.start()
	response := h.send("/again/x")
	assert.NilError(t, response.err)
	assert.Equal(t, response.body, "late")
	lines := h.logLines("1")
	assert.Equal(t, strings.Count(lines, "standby_failed"), 2, lines)
	assert.Equal(t, strings.Count(lines, `cause="the server returned status 500"`), 2, lines)
}
