package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// silentSpell is longer than the gateway waits for an event before it tries another
	// server.
	silentSpell = maxStall + 300*time.Millisecond
	// silenceTimeout is the timeout of routes whose servers are silent for a while.
	silenceTimeout = 6 * time.Second
)

// writeEventsWithSilence writes a whole stream of four events, with a silent spell
// after the second.
func writeEventsWithSilence(c net.Conn, r *http.Request) {
	writeEvents(c, r, 1, 2, false)
	time.Sleep(silentSpell)
	for i := 3; i <= 4; i++ {
		ev := eventText(i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	_, _ = c.Write([]byte("0\r\n\r\n"))
}

// A stream whose server was silent for a while was broken off because the server that
// should have taken over refused it.
func TestSilentServerIsKeptWhenTheOtherRefuses(t *testing.T) {
	refusals := map[string]func(net.Conn, *http.Request){
		"refuses": func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "Not-Run: 1") },
		"closes":  func(c net.Conn, _ *http.Request) { c.Close() },
		"fails":   func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "no") },
		"silent":  func(net.Conn, *http.Request) { time.Sleep(silenceTimeout) },
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, writeEventsWithSilence, refuse)
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 4))
		})
	}
}

// A stream whose server was silent for a while was broken off because no other server
// could take over.
func TestSilentServerIsKeptWithoutAnother(t *testing.T) {
	h := newHarness(t)
	h.timeout = silenceTimeout
	h.addServer("a", writeEventsWithSilence)
	h.start()
	got := h.send("/stream/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 4))
}

// Streams that fell silent together were broken off because each had seen the same last
// retry of the budget.
func TestSilentServersAreKeptWhenTheBudgetIsTaken(t *testing.T) {
	h := newHarness(t)
	h.timeout = silenceTimeout
	h.freeRetries = 1
	h.addServer("a", writeEventsWithSilence)
	h.addServer("b", writeEventsWithSilence)
	h.start()
	var callers sync.WaitGroup
	for i := range 48 {
		callers.Go(func() {
			got := h.send("/stream/x", "Id", fmt.Sprint(i))
			assert.Check(t, got.err)
			assert.Check(t, got.body == eventText(1, 4), got.body)
		})
	}
	callers.Wait()
}

// A server that refuses at last promises nothing for the standby, which may have run.
func TestRefusalAfterAStandbyPromisesOnlyWhatIsTrue(t *testing.T) {
	standbys := map[string]struct {
		handle func(net.Conn, *http.Request)
		want   int
	}{
		"may have run": {func(c net.Conn, _ *http.Request) { c.Close() }, http.StatusBadGateway},
		"refused too":  {func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "Not-Run: 1") }, http.StatusServiceUnavailable},
	}
	for name, test := range standbys {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) {
					time.Sleep(time.Second)
					writeResponse(c, r, 503, "", "Not-Run: 1")
				}, test.handle)
			h.start()
			got := h.send("/again/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.want)
		})
	}
}

// A caller got a failure because its slow server was given up for one that refused.
func TestSlowServerIsKeptWhenTheOtherRefuses(t *testing.T) {
	h := newHarness(t)
	h.timeout = silenceTimeout
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) {
			time.Sleep(600 * time.Millisecond)
			writeResponse(c, r, 200, "slow")
		},
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "Not-Run: 1") })
	h.start()
	got := h.send("/again/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "slow")
}

// A stream whose server was silent for a while was broken off, or held up, because
// another server that had begun to answer was taken for an answer, or waited for.
func TestSilentServerIsKeptUntilTheOtherHasAnEvent(t *testing.T) {
	head := func(c net.Conn, r *http.Request, status, rest string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nSeal: s\r\nId: %s\r\n%s", status, r.Header.Get("Id"), rest)
	}
	others := map[string]func(net.Conn, *http.Request){
		"closes after its header": func(c net.Conn, r *http.Request) {
			head(c, r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n")
			c.Close()
		},
		"closes within its first event": func(c net.Conn, r *http.Request) {
			head(c, r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 3\n\r\n")
			c.Close()
		},
		"is silent within its first event": func(c net.Conn, r *http.Request) {
			head(c, r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 3\n\r\n")
			time.Sleep(silenceTimeout)
		},
		"is silent within its refusal": func(c net.Conn, r *http.Request) {
			head(c, r, "503 X", "Not-Run: 1\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(silenceTimeout)
		},
		"is silent within its failure": func(c net.Conn, r *http.Request) {
			head(c, r, "500 X", "Content-Length: 4\r\n\r\n")
			time.Sleep(silenceTimeout)
		},
	}
	for name, other := range others {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, writeEventsWithSilence, other)
			h.start()
			began := time.Now()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 4))
			assert.Assert(t, time.Since(began) < silentSpell+time.Second, "%v", time.Since(began))
		})
	}
}

// A large plain answer whose server was silent within it was joined with that of another
// server, since the caller had named an event although the route has none.
func TestBegunPlainAnswerIsNotJoinedWithAnother(t *testing.T) {
	half := strings.Repeat("a", maxBufferedBytes+1000)
	write := func(c net.Conn, r *http.Request, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(body), body)
	}
	firsts := map[string]func(net.Conn, *http.Request){
		"silent": func(c net.Conn, r *http.Request) {
			write(c, r, half)
			time.Sleep(time.Second)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(half), half)
		},
		"closes": func(c net.Conn, r *http.Request) {
			write(c, r, half)
			c.Close()
		},
	}
	for name, first := range firsts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, first, func(c net.Conn, r *http.Request) {
				write(c, r, strings.Repeat("b", 2*len(half)))
				_, _ = c.Write([]byte("0\r\n\r\n"))
			})
			h.start()
			got := h.send("/again/x", "Last", "3")
			assert.Assert(t, got.err != nil || got.body == half+half, "an answer of %d bytes, %d of another server", len(got.body), strings.Count(got.body, "b"))
		})
	}
}

// A request that may be sent to three servers waited to its end for two silent ones.
func TestThirdServerIsTriedWhenTwoAreSilent(t *testing.T) {
	h := newHarness(t)
	h.timeout = silenceTimeout
	h.maxAttempts = 3
	var count atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		h.addServer(id, func(c net.Conn, r *http.Request) {
			if count.Add(1) <= 2 {
				time.Sleep(silenceTimeout)
				return
			}
			writeResponse(c, r, 200, "ok")
		})
	}
	h.start()
	got := h.send("/again/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, h.logLines("1"))
	assert.Equal(t, count.Load(), int64(3))
}

// A gateway that stopped said that a request had not run, though a standby was at work on
// it, if its first server had refused but not ended its refusal.
func TestRefusalAtTheStopPromisesNothingForAStandby(t *testing.T) {
	h := newHarness(t)
	h.timeout = silenceTimeout
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Id"))
			time.Sleep(silenceTimeout)
		},
		func(net.Conn, *http.Request) { time.Sleep(silenceTimeout) })
	h.start()
	time.AfterFunc(time.Second, h.gateway.endRequests)
	got := h.send("/again/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, h.logLines("1"))
}

// A slow server was given up for one whose answer could not be passed on, since it said "not
// run" of a request that the slow one was running.
func TestSlowServerIsKeptWhenTheOtherSaysNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) {
					time.Sleep(600 * time.Millisecond)
					writeResponse(c, r, 200, "slow")
				},
				func(c net.Conn, r *http.Request) { writeResponse(c, r, status, "no") })
			h.start()
			got := h.send("/again/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "slow")
		})
	}
}
