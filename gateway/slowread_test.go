package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// applySwitch switches off the mechanism that BBW_WITHOUT names.
func applySwitch(h *harness) {
	switch os.Getenv("BBW_WITHOUT") {
	case "read-ahead":
		h.gateway.noReadAhead = true
	case "memory-bound":
		h.gateway.memory.unbounded = true
	}
}

// setMemory sets the limits of the gateway's memory.
func setMemory(h *harness, limits MemoryLimits) { h.gateway.memory.configure(limits) }

// slowCaller is a caller's connection with a small receive buffer.
type slowCaller struct {
	t *testing.T
	net.Conn
}

func dialSlowCaller(h *harness) *slowCaller {
	h.t.Helper()
	c, err := net.Dial("tcp", h.callerServer.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(h.t, c.(*net.TCPConn).SetReadBuffer(128<<10))
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &slowCaller{t: h.t, Conn: c}
}

// request sends a request without reading its response.
func (c *slowCaller) request(path, id string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: key\r\nContent-Length: 0\r\n\r\n", path, id)
	assert.NilError(c.t, err)
}

// read reads the response.
func (c *slowCaller) read() (*http.Response, string, error) {
	c.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// largeEvent returns an event of about 32 KiB.
func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat(strconv.Itoa(id%10), 32<<10))
}

func largeEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(largeEvent(id))
	}
	return b.String()
}

// writeLargeEvents writes the events from..to of a stream. It returns an error if the
// connection ends.
func writeLargeEvents(c net.Conn, r *http.Request, from, to int) error {
	writeEvents(c, r, 1, 0, false)
	for id := from; id <= to; id++ {
		ev := largeEvent(id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return err
		}
	}
	return nil
}

// manyEvents is the number of large events that exceed what the sockets between a server, the
// gateway and a caller hold.
const manyEvents = 700

// A caller that read slowly stalled its server, which cut the response off.
func TestSlowCallerDoesNotStallItsServer(t *testing.T) {
	for _, path := range []string{"/stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = 20 * time.Second
			written := make(chan error, 1)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				_ = c.SetWriteDeadline(time.Now().Add(4 * time.Second)) // The server cuts off what stays unread.
				err := writeLargeEvents(c, r, 1, manyEvents)
				_, _ = io.WriteString(c, "0\r\n\r\n")
				written <- err
			})
			h.start()
			applySwitch(h)
			setMemory(h, MemoryLimits{ReadAhead: 64 << 20, Total: 256 << 20})
			c := dialSlowCaller(h)
			c.request(path, "1")
			assert.NilError(t, <-written, "the server was stalled")
			resp, body, err := c.read()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Assert(t, body == largeEvents(1, manyEvents), "%d bytes", len(body))
			poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) })
		})
	}
}

func nothingHeld(h *harness) poll.Result {
	if held, _ := h.gateway.memory.usage(); held != 0 || h.gateway.metrics.activeRequests.Load() != 0 {
		return poll.Continue("%d bytes are held by %d requests", held, h.gateway.metrics.activeRequests.Load())
	}
	return poll.Success()
}

// While one server is read ahead of its caller and falls silent, another takes the stream
// over.
func TestStreamThatIsReadAheadGoesOnElsewhere(t *testing.T) {
	h := newHarness(t)
	h.timeout = 20 * time.Second
	_, b := addFailoverServers(h,
		func(c net.Conn, r *http.Request) {
			_ = writeLargeEvents(c, r, 1, manyEvents)
			time.Sleep(5 * time.Second)
		},
		func(c net.Conn, r *http.Request) {
			_ = writeLargeEvents(c, r, manyEvents+1, manyEvents+3)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
	h.start()
	setMemory(h, MemoryLimits{ReadAhead: 64 << 20, Total: 256 << 20})
	c := dialSlowCaller(h)
	c.request("/stream/x", "1")
	time.Sleep(time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	events := make([]byte, len(largeEvents(1, manyEvents)))
	_, err = io.ReadFull(resp.Body, events)
	assert.NilError(t, err, h.logLines("1"))
	silentSince := time.Now() // Reading 22 MiB before takes seconds on a busy machine.
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, h.logLines("1"))
	assert.Assert(t, string(events)+string(rest) == largeEvents(1, manyEvents+3), "%d bytes", len(events)+len(rest))
	assert.Equal(t, b.requestCount.Load(), int64(1))
	assert.Assert(t, time.Since(silentSince) < 4*time.Second, "%v", time.Since(silentSince))
}

// A caller that reads nothing took memory without bounds, or held its request for ever. The
// response must end before the server cuts it off, and look broken.
func TestResponseOfACallerThatReadsNothingEnds(t *testing.T) {
	for _, path := range []string{"/stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = 20 * time.Second
			ended := make(chan time.Duration, 1)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				began := time.Now()
				_ = writeLargeEvents(c, r, 1, 100*manyEvents)
				ended <- time.Since(began)
			})
			h.start()
			applySwitch(h)
			setMemory(h, MemoryLimits{ReadAhead: 64 << 10, Total: 8 << 20})
			c := dialSlowCaller(h)
			c.request(path, "1")
			select {
			case after := <-ended:
				assert.Assert(t, after < 4*time.Second, "%v", after)
			case <-time.After(6 * time.Second):
				t.Fatal("the response goes on")
			}
			_, body, err := c.read()
			assert.Assert(t, err != nil, "%d bytes look complete", len(body))
			_, peak := h.gateway.memory.usage()
			assert.Assert(t, peak <= 64<<10+maxBufferedBytes*2, "%d bytes", peak)
			assertLogged(t, h.logLines("1"), "event=broken_off", "the caller reads too slowly")
			poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) })
		})
	}
}

// What is held for many slow callers stays below the bound of the process.
func TestMemoryForSlowCallersIsBounded(t *testing.T) {
	const total = 2 << 20
	h := newHarness(t)
	h.timeout = 20 * time.Second
	h.addServer("a", func(c net.Conn, r *http.Request) { _ = writeLargeEvents(c, r, 1, 100*manyEvents) })
	h.start()
	applySwitch(h)
	h.gateway.maxUnread = 500 * time.Millisecond
	setMemory(h, MemoryLimits{ReadAhead: 512 << 10, Total: total})
	var callers sync.WaitGroup
	for i := range 24 {
		c := dialSlowCaller(h)
		callers.Go(func() {
			c.request([]string{"/stream/x", "/again/x"}[i%2], strconv.Itoa(i))
			time.Sleep(3 * time.Second)
		})
	}
	callers.Wait()
	_, peak := h.gateway.memory.usage()
	assert.Assert(t, peak > 0 && peak <= total, "%d bytes", peak)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) })
}

// A caller that read nothing of a response that was complete held its request for ever.
func TestRequestOfACallerThatReadsNothingEndsAtItsDeadline(t *testing.T) {
	h := newHarness(t)
	h.timeout = time.Second
	h.addServer("a", func(c net.Conn, r *http.Request) { _ = writeLargeEvents(c, r, 1, 100*manyEvents) })
	h.start()
	h.gateway.maxUnread = time.Minute
	c := dialSlowCaller(h)
	c.request("/stream/x", "1")
	time.Sleep(h.timeout)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) }, poll.WithTimeout(2*time.Second))
}

// Callers that read at normal speed must cost no goroutine and no copy.
func TestNothingIsReadAheadOfNormalCallers(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		for i := 1; i <= 40; i++ {
			writeEvents(&bodyConn{Conn: c, skipHead: i > 1}, r, i, i, false)
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.start()
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			got := h.send("/stream/x", "Id", strconv.Itoa(i))
			assert.Check(t, got.err)
			assert.Check(t, got.body == eventText(1, 40))
		})
	}
	callers.Wait()
	var text strings.Builder
	h.gateway.Metrics().WritePrometheus(&text)
	assert.Assert(t, !strings.Contains(text.String(), "bluebellwind_slow_callers_total"), text.String())
}

// sendBody sends a request with a body of size bytes.
func (h *harness) sendBody(id string, size int) callerResponse {
	h.t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.callerServer.URL+"/once/x", strings.NewReader(strings.Repeat("x", size)))
	assert.NilError(h.t, err)
	req.Header.Set("Id", id)
	req.Header.Set("Key", "key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// Bodies of requests took memory without a bound. A request without room is refused as not
// run, with a time at which there is room.
func TestRequestIsRefusedWhenMemoryIsFull(t *testing.T) {
	h := newHarness(t)
	h.timeout = 1500 * time.Millisecond
	h.addServer("a", func(c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "1" {
			time.Sleep(h.timeout + 300*time.Millisecond)
		}
		writeResponse(c, r, 200, "ok")
	})
	b := h.addServer("b", func(c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "1" {
			time.Sleep(h.timeout + 300*time.Millisecond)
		}
		writeResponse(c, r, 200, "ok")
	})
	_ = b
	h.start()
	applySwitch(h)
	setMemory(h, MemoryLimits{Total: 100 << 10})
	first := make(chan callerResponse, 1)
	go func() { first <- h.sendBody("1", 60<<10) }()
	time.Sleep(200 * time.Millisecond)
	got := h.sendBody("2", 60<<10)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0.5 && seconds <= h.timeout.Seconds(), "%v", seconds)
	assert.Equal(t, h.sendBody("3", 30<<10).status, 200, "a smaller body has room")
	time.Sleep(time.Duration(seconds*float64(time.Second)) + 50*time.Millisecond)
	assert.Equal(t, h.sendBody("4", 60<<10).status, 200, "the time was not true")
	<-first
	got = h.sendBody("5", 200<<10)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "", "it will never have room")
	poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) })
}

// A body that never arrives whole must not hold its request beyond its time.
func TestBodyThatDoesNotArriveEndsInTime(t *testing.T) {
	h := newHarness(t)
	h.timeout = 500 * time.Millisecond
	h.start()
	c, err := net.Dial("tcp", h.callerServer.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: key\r\nContent-Length: 400\r\n\r\nbody")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return nothingHeld(h) })
}

// The sum of all reservations is what is held, and stays within the limits.
func TestReservationsAddUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	limits := MemoryLimits{Total: 10_000}
	m := newMemory(limits)
	var reservations []*reservation
	for range 20 {
		reservations = append(reservations, m.reserve(rng.IntN(2) == 0, time.Unix(rng.Int64N(100), 0)))
	}
	var refused atomic.Int64
	for range 20_000 {
		r := reservations[rng.IntN(len(reservations))]
		switch rng.IntN(3) {
		case 0:
			if !r.grow(rng.Int64N(1000)) {
				refused.Add(1)
			}
		case 1:
			r.shrink(rng.Int64N(r.bytes + 1))
		case 2:
			if rng.IntN(5) == 0 {
				r.release()
			}
		}
		var sum, responses int64
		for _, r := range reservations {
			sum += r.bytes
			if r.response {
				responses += r.bytes
			}
		}
		assert.Equal(t, m.held, sum)
		assert.Equal(t, m.heldByResponses, responses)
		assert.Assert(t, sum <= limits.Total && responses <= limits.Total/2)
		need := rng.Int64N(12_000)
		if at, ok := m.availableAt(need); ok && m.held+need > limits.Total {
			var left int64
			for _, r := range reservations {
				if r.until.After(at) {
					left += r.bytes
				}
			}
			assert.Assert(t, left+need <= limits.Total, "%d bytes are held at %v", left, at)
		}
	}
	assert.Assert(t, refused.Load() > 0)
}

// A crash of a server was not noticed if the caller read slowly: the server was back when the
// caller had read what the gateway had read ahead.
func TestCrashIsNoticedWhileTheCallerReadsSlowly(t *testing.T) {
	h := newHarness(t)
	h.timeout = 20 * time.Second
	written := make(chan error, 1)
	h.addRestartingServer("a", func(c net.Conn, r *http.Request) (crash bool) {
		written <- writeLargeEvents(c, r, 1, manyEvents)
		time.Sleep(100 * time.Millisecond) // The gateway has read ahead.
		return true
	})
	h.maxAttempts = 1
	h.start()
	setMemory(h, MemoryLimits{ReadAhead: 64 << 20, Total: 256 << 20})
	c := dialSlowCaller(h)
	c.request("/stream/x", "1")
	assert.NilError(t, <-written)
	time.Sleep(4 * serverRestartTime)
	crashes := func() int { return strings.Count(h.logLines("1"), "event=server_crashed") }
	assert.Equal(t, crashes(), 1, "the crash must be noticed before the caller has read what was read ahead")
	_, body, _ := c.read()
	assert.Assert(t, strings.HasPrefix(body, largeEvents(1, manyEvents)), "%d bytes", len(body))
	time.Sleep(crashConfirmTimeout / 4)
	assert.Equal(t, crashes(), 1, "a crash counts once")
}
