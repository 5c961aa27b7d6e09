package callerconn_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/callerconn"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	caller, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = caller.Close(), server.Close() })
	return caller, server
}

// A request that had arrived before the stop but had not been read by the busy process was
// not read any more, and its caller got nothing.
func TestRequestThatHasArrivedIsReadAfterTheStop(t *testing.T) {
	for name, state := range map[string]http.ConnState{"new": http.StateNew, "idle": http.StateIdle} {
		t.Run(name, func(t *testing.T) {
			caller, server := connect(t)
			set := callerconn.NewSet(func() time.Duration { return 0 })
			set.TrackState(server, state)
			_, err := io.WriteString(caller, "request")
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			set.Stop()
			time.Sleep(600 * time.Millisecond) // The process does not run.
			b := make([]byte, 16)
			n, err := server.Read(b)
			assert.NilError(t, err)
			assert.Equal(t, string(b[:n]), "request")
		})
	}
}

// A connection without a request must still be ended.
func TestConnectionWithoutARequestEndsAfterTheStop(t *testing.T) {
	_, server := connect(t)
	set := callerconn.NewSet(func() time.Duration { return 0 })
	set.TrackState(server, http.StateIdle)
	set.Stop()
	_, err := server.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
}

// Connections that were established but not yet returned by Accept when the listener was
// closed were reset, with the requests that their callers had sent.
func TestConnectionsBeforeTheCloseOfTheListenerAreAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const callers = 20
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "request")
		assert.NilError(t, err)
	}
	var read atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			time.Sleep(10 * time.Millisecond) // The process is busy.
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := io.ReadFull(c, make([]byte, len("request"))); err == nil {
				read.Add(1)
			}
			c.Close()
		}
	}()
	assert.NilError(t, callerconn.CloseListener(l))
	<-ended
	assert.Equal(t, read.Load(), int64(callers))
}

// While a listener closes, each caller must either be refused or accepted: none may be
// connected and then reset.
func TestCallersOfAClosingListenerAreAcceptedOrRefused(t *testing.T) {
	l, err := callerconn.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
					_, _ = c.Write([]byte{1})
				}
			}()
		}
	}()
	var lost, answered atomic.Int64
	ended := make(chan struct{}, 16)
	for range cap(ended) {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
				if err != nil {
					return
				}
				_, writeErr := c.Write([]byte{1})
				_, err = io.ReadFull(c, make([]byte, 1))
				if err != nil || writeErr != nil {
					lost.Add(1)
				} else {
					answered.Add(1)
				}
				c.Close()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, callerconn.CloseListener(l))
	for range cap(ended) {
		<-ended
	}
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, lost.Load(), int64(0), "of %d callers", answered.Load())
}
