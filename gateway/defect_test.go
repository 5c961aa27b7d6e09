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

// unsealed writes a response as write does, but damages the name of the header with the seal.
func unsealed(write func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) { write(&damagingConn{c}, r) }
}

// damagingConn damages the name of the header with the seal in what is written to it.
type damagingConn struct{ net.Conn }

func (d *damagingConn) Write(b []byte) (int, error) {
	_, err := io.WriteString(d.Conn, strings.Replace(string(b), "Seal:", "S%al:", 1))
	return len(b), err
}

// large is the body of a response that is too large to buffer.
var large = strings.Repeat("x", maxBufferedBytes+100)

// successes are whole successes of servers for different routes.
var successes = map[string]struct {
	path  string
	write func(net.Conn, *http.Request)
}{
	"small":    {"/once/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") }},
	"large":    {"/once/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 201, large) }},
	"repeated": {"/again/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, large) }},
	"unframed": {"/again/x", func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, unframedHead(r, 200)+"ok")
		c.Close()
	}},
	"without a body":         {"/again/x", func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, unframedHead(r, 204)) }},
	"stream":                 {"/stream/x", func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, true) }},
	"stream without events":  {"/stream/x", func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 0, true) }},
	"no stream on its route": {"/stream/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 202, "ok") }},
}

// A server that damaged the header with its seal had its response passed on as a success, so
// that a caller took a payment for recorded on the word of no server.
func TestSuccessWithoutASealReachesNoCaller(t *testing.T) {
	for name, success := range successes {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			t.Run(method+" "+name, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.addServer("a", unsealed(success.write))
				h.start()
				resp, body, _ := h.dialCaller().send(method, success.path, "1")
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%d bytes; the request may have run", len(body))
				assert.Assert(t, strings.Contains(h.logLines("1"), "carries no seal"), h.logLines("1"))
			})
		}
	}
}

// After a success without a seal, a request that may be repeated goes to another server and
// one that may run once does not.
func TestRequestAfterASuccessWithoutASeal(t *testing.T) {
	for name, success := range successes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			a, b := addFailoverServers(h, unsealed(success.write), success.write)
			h.start()
			got := h.send(success.path)
			assert.NilError(t, got.err)
			sends := a.requestCount.Load() + b.requestCount.Load()
			if success.path == "/once/x" {
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, sends, int64(1))
				return
			}
			assert.Assert(t, isSuccess(got.status), h.logLines("1"))
			assert.Equal(t, sends, int64(2))
			assert.Assert(t, got.header.Get("Seal") != "")
		})
	}
}

// A stream that broke off was continued by a response without a seal, of which nothing shows
// that it belongs to a server.
func TestStreamIsNotContinuedWithoutASeal(t *testing.T) {
	h := newHarness(t)
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false); c.Close() },
		unsealed(func(c net.Conn, r *http.Request) { writeEvents(c, r, 4, 6, true) }))
	h.start()
	got := h.send("/stream/x")
	assert.Assert(t, got.err != nil, got.body)
	assert.Equal(t, got.body, eventText(1, 3))
}

// A server that was slow was given up for a standby whose success carried no seal.
func TestSilentServerIsKeptWhenTheOtherSendsNoSeal(t *testing.T) {
	for path, write := range map[string]struct{ slow, other func(net.Conn, *http.Request) }{
		"/stream/x": {writeEventsWithSilence, func(c net.Conn, r *http.Request) { writeEvents(c, r, 3, 4, true) }},
		"/again/x": {func(c net.Conn, r *http.Request) {
			time.Sleep(600 * time.Millisecond)
			writeResponse(c, r, 200, eventText(1, 4))
		}, func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "other") }},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, write.slow, unsealed(write.other))
			h.start()
			got := h.send(path)
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 4))
		})
	}
}

// A failure promises nothing, so it needs no seal: the caller is told the server's status.
func TestFailureWithoutASealIsDelivered(t *testing.T) {
	for _, status := range []int{400, 404, 409, 500} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", unsealed(func(c net.Conn, r *http.Request) { writeResponse(c, r, status, "no") }))
			h.start()
			got := h.send("/once/x")
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body, "no")
		})
	}
}
