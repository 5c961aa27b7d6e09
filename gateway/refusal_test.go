package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server that writes the refusal of an earlier request once more on a kept connection must
// not make the gateway take the next request for refused: that one runs.
func TestEarlierRefusalIsNotTakenForALaterOne(t *testing.T) {
	const between = 2 * time.Millisecond
	copies := map[string]func(c net.Conn, refusal, answer string){
		"before":      func(c net.Conn, refusal, answer string) { _, _ = io.WriteString(c, refusal+answer) },
		"twice":       func(c net.Conn, refusal, answer string) { _, _ = io.WriteString(c, refusal+refusal+answer) },
		"after":       func(c net.Conn, refusal, answer string) { _, _ = io.WriteString(c, answer+refusal) },
		"and no more": func(c net.Conn, refusal, _ string) { _, _ = io.WriteString(c, refusal); c.Close() },
		"in two parts": func(c net.Conn, refusal, answer string) {
			_, _ = io.WriteString(c, refusal[:len(refusal)/2])
			time.Sleep(between)
			_, _ = io.WriteString(c, refusal[len(refusal)/2:]+answer)
		},
		"within its head, and the answer": func(c net.Conn, refusal, answer string) {
			_, _ = io.WriteString(c, refusal[:len(refusal)/2]+answer)
			c.Close()
		},
	}
	for name, write := range copies {
		for _, status := range []int{408, 421, 429, 503} {
			for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
				t.Run(fmt.Sprint(name, " ", status, path), func(t *testing.T) {
					t.Parallel()
					checkEarlierRefusal(t, status, path, write)
				})
			}
		}
	}
}

// A server that ran a request and answered with a status that means "not run", without saying
// that it has not run it, made the gateway tell the caller of a payment to pay again.
func TestStatusThatSaysNotRunNeedsTheWordOfTheServer(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, body := range []string{"full", large} {
			t.Run(fmt.Sprint(status, " ", len(body)), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				a := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, status, body) })
				h.start()
				got := h.send("/once/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get("Seal"), "", "another status than that of the server")
				assert.Equal(t, a.requestCount.Load(), int64(1))
				if status < 500 { // Others are sent again first.
					got = h.send("/again/x", "Id", "2")
					assert.Equal(t, got.status, status, "a request that may run again gets the server's own status")
				}
			})
		}
	}
}

// A success that says that it has not run contradicts itself; the request was sent to another
// server, although it may have run.
func TestSuccessThatSaysNotRunMayHaveRun(t *testing.T) {
	h := newHarness(t)
	a, b := addFailoverServers(h,
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok", "Not-Run: 1") },
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	got := h.send("/once/x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, a.requestCount.Load()+b.requestCount.Load(), int64(1))
}

// checkEarlierRefusal sends requests of which a server refuses every second one, and writes
// that refusal once more at the next.
func checkEarlierRefusal(t *testing.T, status int, path string, write func(c net.Conn, refusal, answer string)) {
	h := newHarness(t)
	h.timeout = time.Second
	var refusals, runs sync.Map // The last refusal of each connection; how often each request ran.
	serve := func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Id")
		refusal, refused := refusals.LoadAndDelete(c)
		if !refused {
			text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", status, id)
			refusals.Store(c, text)
			_, _ = io.WriteString(c, text)
			return
		}
		count, _ := runs.LoadOrStore(id, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		body := "id: 1\ndata: " + id + "\n\n"
		write(c, refusal.(string), fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSeal: a\r\n%s\r\nContent-Length: %d\r\n\r\n%s", id, eventStream, len(body), body))
	}
	h.addServer("a", serve)
	h.start()
	for i := range 12 {
		id := fmt.Sprint(i)
		got := h.send(path, "Id", id)
		count, ran := runs.Load(id)
		if !ran {
			continue
		}
		assert.Assert(t, got.err != nil || !saysNotRun(got.status), "status %d of a request that ran", got.status)
		assert.Assert(t, got.err != nil || got.status != 200 || strings.Contains(got.body, "data: "+id+"\n"), got.body)
		assert.Assert(t, path != "/once/x" || count.(*atomic.Int64).Load() == 1, "it ran %v times", count)
	}
}

// A server without a group that refused every request with the name of a server at fault was
// chosen again at once, since only its group would have been left out: callers waited for the
// retry, and the retry budget was used up.
func TestServerThatOnlyRefusesIsLeftOut(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			refusing := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, status, "", "Not-Run: 1", "Faulty: a") })
			h.addServer("b", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
			h.start()
			const requests = 40
			for i := range requests {
				got := h.send("/again/x", "Id", fmt.Sprint(i))
				assert.Equal(t, got.status, http.StatusOK)
				time.Sleep(25 * time.Millisecond) // A second in all, in which it is left out twice.
			}
			assert.Assert(t, refusing.requestCount.Load() <= 4, "%d of %d requests went to it", refusing.requestCount.Load(), requests)
		})
	}
}
