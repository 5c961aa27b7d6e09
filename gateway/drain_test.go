package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/internal/callerconn"
)

// lag is how long a busy gateway may take to handle what it has read. It is longer
// than the time in which a connection may be closed without an answer.
const lag = 300 * time.Millisecond

// laggingListener hands over what its connections have read after lag, while enabled.
type laggingListener struct {
	net.Listener
	enabled atomic.Bool
	// received gets a value for each read that lags.
	received chan struct{}
}

func (l *laggingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &laggingConn{Conn: c, listener: l}, err
}

type laggingConn struct {
	net.Conn
	listener *laggingListener
}

func (c *laggingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.enabled.Load() {
		c.listener.received <- struct{}{}
		time.Sleep(lag)
	}
	return n, err
}

// listen serves callers with a server of the gateway, through a laggingListener.
func listen(h *harness) (*http.Server, *laggingListener) {
	h.t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	l := &laggingListener{Listener: raw, received: make(chan struct{}, 16)}
	server := h.gateway.newCallerServer()
	go func() { _ = server.Serve(l) }()
	h.t.Cleanup(func() { _ = server.Close() })
	return server, l
}

// caller is a connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, l net.Listener) *caller {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return &caller{t: t, Conn: c, reader: bufio.NewReader(c)}
}

// send sends a whole request in one piece.
func (c *caller) send(path string) {
	c.t.Helper()
	_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(c.t, err)
}

// status reads a whole response and returns its status.
func (c *caller) status() (int, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// startDrain drains the gateway in the background with the given timeout.
func startDrain(h *harness, server *http.Server, l net.Listener, timeout time.Duration) {
	h.gateway.limits.Store(&Limits{MaxProofAge: longProofAge, DrainTimeout: timeout})
	go h.gateway.drain(server, func() { _ = l.Close() })
}

// answering is a server that answers at once.
func answering(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") }

// A request on a connection that was accepted shortly before the gateway stopped got
// nothing.
func TestRequestOnAConnectionAcceptedBeforeTheStopIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", answering)
	h.start()
	server, l := listen(h)
	c := dialCaller(t, l)
	time.Sleep(50 * time.Millisecond) // It is accepted.
	startDrain(h, server, l, 2*time.Second)
	time.Sleep(50 * time.Millisecond) // The listener is closed.
	c.send("/once/x")
	status, err := c.status()
	assert.NilError(t, err, "the connection was closed without an answer")
	assert.Assert(t, status == 200 || status == 503, "%d", status)
}

// A busy gateway had read a request from an idle connection and then closed it.
func TestRequestReadFromAnIdleConnectionSurvivesTheStop(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", answering)
	h.start()
	server, l := listen(h)
	c := dialCaller(t, l)
	c.send("/once/x")
	_, err := c.status()
	assert.NilError(t, err)
	l.enabled.Store(true)
	c.send("/once/x")
	<-l.received
	startDrain(h, server, l, 2*time.Second)
	status, err := c.status()
	assert.NilError(t, err, "the connection was closed without an answer")
	assert.Assert(t, status == 200 || status == 503, "%d", status)
}

// A request that still waited for its server when the drain ended got nothing.
func TestRequestThatWaitsAtTheEndOfTheDrainIsAnswered(t *testing.T) {
	for _, path := range []string{"once", "again", "stream"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
			h.start()
			server, l := listen(h)
			c := dialCaller(t, l)
			c.send("/" + path + "/x")
			time.Sleep(50 * time.Millisecond)
			startDrain(h, server, l, 150*time.Millisecond)
			status, err := c.status()
			assert.NilError(t, err, "the connection was closed without an answer")
			assert.Assert(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "%d", status)
		})
	}
}

// A busy gateway had read a request from an idle connection whose time then ended.
func TestRequestReadAsTheIdleTimeEndsIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", answering)
	h.idleTimeout = 100 * time.Millisecond
	h.start()
	_, l := listen(h)
	c := dialCaller(t, l)
	c.send("/once/x")
	_, err := c.status()
	assert.NilError(t, err)
	l.enabled.Store(true)
	time.Sleep(h.idleTimeout + callerconn.IdleGrace - lag/2)
	c.send("/once/x")
	status, err := c.status()
	assert.NilError(t, err, "the connection was closed without an answer")
	assert.Equal(t, status, 200)
}

// A connection whose stream ended during the drain was kept, and the next request on it was
// cut at the end of the drain.
func TestConnectionThatBecomesIdleDuringTheDrainIsClosed(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.start()
	server, l := listen(h)
	c := dialCaller(t, l)
	c.send("/stream/x")
	time.Sleep(100 * time.Millisecond)
	startDrain(h, server, l, 2*time.Second)
	_, err := c.status()
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(500*time.Millisecond)))
	_, err = c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A request that arrived late in the drain and might last longer than it was cut.
func TestRequestThatMayOutlastTheDrainIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	a := h.addServer("a", answering)
	h.start()
	server, l := listen(h)
	c := dialCaller(t, l)
	time.Sleep(20 * time.Millisecond)
	startDrain(h, server, l, time.Second) // Routes give a request two seconds.
	time.Sleep(50 * time.Millisecond)
	c.send("/once/x")
	status, err := c.status()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, a.requestCount.Load(), int64(0))
}

// Under load, requests on connections that the kernel had accepted just before the listener
// was closed got nothing.
func TestNoRequestIsLostAtAStopUnderLoad(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", answering)
	h.start()
	address := freeAddress(t)
	h.gateway.options.CallerAddress, h.gateway.options.ReadinessAddress, h.gateway.options.ReadinessPath = address, freeAddress(t), "/ready"
	h.gateway.limits.Store(&Limits{MaxProofAge: longProofAge, DrainDelay: 100 * time.Millisecond, DrainTimeout: 3 * time.Second})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- h.gateway.Serve(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("not listening yet")
		}
		c.Close()
		return poll.Success()
	})
	var answered, lost atomic.Int64
	var callers sync.WaitGroup
	for range 12 {
		callers.Go(func() {
			for {
				err := requestOnce(address)
				switch {
				case err == nil:
					answered.Add(1)
				case errors.Is(err, errNotConnected):
					return
				default:
					lost.Add(1)
					t.Log(err)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	callers.Wait()
	assert.NilError(t, <-served)
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, lost.Load(), int64(0), "of %d requests", answered.Load())
}

var errNotConnected = errors.New("not connected")

// requestOnce sends one request on a new connection and reads its response.
func requestOnce(address string) error {
	c, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
	if err != nil {
		return errNotConnected
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// freeAddress returns a local address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
