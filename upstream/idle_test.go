package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/upstream"
)

// startKeepingBackend answers all requests of a connection, with the given Keep-Alive header
// if it is not empty.
func startKeepingBackend(t *testing.T, keepAlive string) (address string, accepted func() int64) {
	address, count := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			header := ""
			if keepAlive != "" {
				header = "Keep-Alive: " + keepAlive + "\r\n"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", idHeader, req.Header.Get(idHeader), header)
		}
	})
	return address, count.Load
}

// Idle connections were closed after 4 s although servers stated that they keep them longer,
// so that nearly every request opened one.
func TestIdleConnectionsAreKeptAsLongAsTheServerAllows(t *testing.T) {
	cases := []struct {
		keepAlive    string
		kept, closed time.Duration
	}{
		{"timeout=20", 19 * time.Second, 19600 * time.Millisecond},
		{"timeout=20, max=100", 19 * time.Second, 19600 * time.Millisecond},
		{"timeout=2", time.Second, 1600 * time.Millisecond},
		{"timeout=300", 29 * time.Second, 31 * time.Second},
		{"timeout=9223372036854775807", 29 * time.Second, 31 * time.Second},
		{"", 3 * time.Second, 4100 * time.Millisecond},
		{"timeout=soon", 3 * time.Second, 4100 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.keepAlive, func(t *testing.T) {
			address, accepted := startKeepingBackend(t, test.keepAlive)
			p := upstream.NewPool()
			_, err := sendAndRead(t, p, newRequest(address, "1"))
			assert.NilError(t, err)
			p.CloseIdle(time.Now().Add(test.kept))
			assert.Assert(t, p.IdleServers(time.Minute)[address])
			_, err = sendAndRead(t, p, newRequest(address, "2"))
			assert.NilError(t, err)
			assert.Equal(t, accepted(), int64(1))
			assert.Equal(t, p.Reuses(), int64(1))
			p.CloseIdle(time.Now().Add(test.closed))
			assert.Assert(t, !p.IdleServers(time.Minute)[address])
		})
	}
	for _, keepAlive := range []string{"timeout=0", "timeout=-7"} {
		address, _ := startKeepingBackend(t, keepAlive)
		p := upstream.NewPool()
		_, err := sendAndRead(t, p, newRequest(address, "1"))
		assert.NilError(t, err)
		assert.Assert(t, !p.IdleServers(time.Minute)[address], keepAlive)
	}
}

// A request that may run once is lost if the server closes its idle connection at that
// moment, so it must use only a connection that was used just now.
func TestOldIdleConnectionIsNotUsedForARequestThatMayRunOnce(t *testing.T) {
	address, accepted := startKeepingBackend(t, "timeout=20")
	p := upstream.NewPool()
	_, err := sendAndRead(t, p, newRequest(address, "1"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond)
	once := newRequest(address, "2")
	once.MaxIdle = 50 * time.Millisecond
	assert.Assert(t, !p.IdleServers(once.MaxIdle)[address])
	_, err = sendAndRead(t, p, once)
	assert.NilError(t, err)
	assert.Equal(t, accepted(), int64(2))
}

// The host of a server may be lost without closing its connections, and another start of the
// server may get its address.
func TestConnectionToAnotherStartOfAServerIsNotUsed(t *testing.T) {
	address, accepted := startKeepingBackend(t, "timeout=20")
	p := upstream.NewPool()
	for started := range int64(3) {
		for i := range 2 {
			r := newRequest(address, fmt.Sprintf("%d-%d", started, i)) // A connection carries each ID once.
			r.ServerStarted = started
			_, err := sendAndRead(t, p, r)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, accepted(), int64(3))
	assert.Equal(t, p.Reuses(), int64(3))
}

// After one connection to a server has failed, each of the other idle ones cost a request of
// its own.
func TestFailureClosesTheIdleConnectionsToTheServer(t *testing.T) {
	broken := make(chan struct{})
	address, accepted := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			select {
			case <-broken:
				return // The request gets no answer.
			default:
				writeResponse(c, req.Header.Get(idHeader), "ok")
			}
		}
	})
	p := upstream.NewPool()
	var open []*upstream.Response
	for range 3 {
		response, err := p.Send(t.Context(), newRequest(address, "1"))
		assert.NilError(t, err)
		open = append(open, response)
	}
	for _, response := range open {
		_, err := io.ReadAll(response)
		assert.NilError(t, err)
		response.Close()
	}
	assert.Equal(t, accepted.Load(), int64(3))
	assert.Assert(t, p.IdleServers(time.Minute)[address])
	close(broken)
	_, err := sendAndRead(t, p, newRequest(address, "2"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !p.IdleServers(time.Minute)[address])
}
