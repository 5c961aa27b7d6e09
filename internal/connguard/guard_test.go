package connguard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/internal/connguard"
)

// rig is an HTTP server behind a guard.
type rig struct {
	t       *testing.T
	guard   *connguard.Guard
	headers *connguard.Budget
	address string
	// hold keeps requests of /hold open until it is closed.
	hold chan struct{}
}

func newRig(t *testing.T, connections, headerBytes int, headerMemory int64) *rig {
	t.Helper()
	r := &rig{t: t, headers: connguard.NewBudget(headerMemory), hold: make(chan struct{})}
	r.guard = connguard.New(connguard.Options{Connections: connections, HeaderBytes: func() int { return headerBytes }, Headers: r.headers})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.address = l.Addr().String()
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 20, ConnState: r.guard.TrackState, ConnContext: connguard.ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/hold" {
				<-r.hold
				return
			}
			done := connguard.ReadingBody(req.Context())
			_, err := io.Copy(io.Discard, req.Body)
			done()
			if err != nil {
				w.WriteHeader(http.StatusTeapot)
			}
		}),
	}
	go func() { _ = server.Serve(r.guard.Listener(l)) }() // Ends with the server.
	t.Cleanup(func() { close(r.hold); _ = server.Close() })
	return r
}

// open opens a connection and writes text.
func (r *rig) open(text string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(r.t, err)
	return c
}

// status reads an answer and returns its status; 0 if the connection ends before.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // Ends a test that would otherwise wait.
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (r *rig) awaitOpen(n int) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if open := r.guard.Usage().Open; open != n {
			return poll.Continue("%d connections are open, want %d", open, n)
		}
		return poll.Success()
	})
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// A new caller was turned away, or the process ran out of descriptors, because of connections
// that had sent no request.
func TestCallerTakesThePlaceOfOneThatWaits(t *testing.T) {
	for name, waiting := range map[string]string{
		"silent": "", "part of a head": "GET / HTTP/1.1\r\nHost:", "idle": get,
		"body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbo",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 3, 1000, 1<<20)
			for range 3 {
				r.open(waiting)
			}
			r.awaitOpen(3)
			time.Sleep(2100 * time.Millisecond) // Longer than a prompt caller takes.
			assert.Equal(t, status(r.open(get)), http.StatusOK)
			r.awaitOpen(3) // The goroutine of the evicted one closes it.
			assert.Equal(t, r.guard.Usage().Evictions, uint64(1))
		})
	}
}

// A request that is being served must not be ended for a new connection.
func TestServedRequestKeepsItsConnection(t *testing.T) {
	r := newRig(t, 1, 1000, 1<<20)
	served := r.open("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	r.awaitOpen(1)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, status(r.open(get)), 0, "a connection over the limit was accepted")
	assert.Equal(t, r.guard.Usage().Refused, uint64(1))
	r.hold <- struct{}{}
	assert.Equal(t, status(served), http.StatusOK)
}

// Requests on kept connections must be served at the limit while their callers are prompt.
func TestKeptConnectionServesManyRequests(t *testing.T) {
	r := newRig(t, 1, 1000, 1<<20)
	c := r.open("")
	reader := bufio.NewReader(c)
	for range 100 {
		_, err := io.WriteString(c, get)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, r.headers.Held(), int64(0))
}

// The largest header that is allowed must be served, and one over it be refused without being
// kept.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	const limit = 16 << 10
	r := newRig(t, 10, limit, 1<<20)
	head := func(size int) string { return "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", size) }
	assert.Equal(t, status(r.open(head(limit-100)+"\r\n\r\n")), http.StatusOK)
	c := r.open("")
	go func() { _, _ = io.WriteString(c, head(2*limit)) }() // The connection may end first.
	got := status(c)
	assert.Assert(t, got == http.StatusRequestHeaderFieldsTooLarge || got == 0, "%d", got)
	r.awaitOpen(0 + 1) // That of the first request is idle.
}

// shortLines returns lines of a head with different names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

// Many callers with large heads held more than the process has. The one that holds most makes
// room, and callers with small heads are served.
func TestHeadersOfAllCallersAreBoundedTogether(t *testing.T) {
	const memory = 1 << 20
	r := newRig(t, 100, 64<<10, memory)
	for range 20 {
		r.open("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(1000))
		assert.Assert(t, r.headers.Held() <= memory)
	}
	assert.Equal(t, status(r.open(get)), http.StatusOK)
	assert.Equal(t, status(r.open("GET / HTTP/1.1\r\nHost: h\r\n"+shortLines(500)+"\r\n")), http.StatusOK)
	assert.Assert(t, r.headers.Held() <= memory)
	assert.Assert(t, r.guard.Usage().Evictions+r.guard.Usage().HeadersRefused >= 15)
}

// A caller that pipelines requests and reads nothing kept its connection for good.
func TestCallerThatReadsNothingMakesRoom(t *testing.T) {
	r := newRig(t, 1, 64<<10, 1<<20)
	c := r.open("")
	go func() {
		for _, err := io.WriteString(c, strings.Repeat(get, 100)); err == nil; _, err = io.WriteString(c, strings.Repeat(get, 100)) {
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := status(r.open(get)); got != http.StatusOK {
			return poll.Continue("status %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// A connection that has proved who it is counts no more, and one that was evicted fails to read.
func TestTrustedConnectionsDoNotCount(t *testing.T) {
	guard := connguard.New(connguard.Options{Connections: 1})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := guard.Listener(plain)
	defer func() { _ = l.Close() }()
	accept := func() *connguard.Conn {
		c, err := net.Dial("tcp", plain.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		accepted, err := l.Accept()
		assert.NilError(t, err)
		return accepted.(*connguard.Conn)
	}
	trusted := accept()
	trusted.Trust()
	stranger := accept()
	time.Sleep(300 * time.Millisecond)
	accept()
	_, err = stranger.Read(make([]byte, 1))
	assert.ErrorIs(t, err, connguard.ErrEvicted)
	assert.NilError(t, trusted.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = trusted.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, stranger.Close())
	assert.NilError(t, trusted.Close())
	assert.Equal(t, guard.Usage().Open, 1)
}
