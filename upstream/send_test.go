package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/upstream"
)

const idHeader = "X-Id"

// startBackend accepts connections and calls handle for each.
func startBackend(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// readRequest reads one request. It returns nil at the end of the connection.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func newRequest(address, id string) *upstream.Request {
	return &upstream.Request{
		Address: address, Method: http.MethodPost, Target: "/a?b=c", Host: "h.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("body"), MaxIdle: time.Minute, ID: id,
		Matches: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func sendAndRead(t *testing.T, p *upstream.Pool, r *upstream.Request) (string, error) {
	t.Helper()
	response, err := p.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\nContent-Length: "+
		string(rune('0'+len(body)))+"\r\n\r\n"+body)
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	address, accepted := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			writeResponse(c, req.Header.Get(idHeader), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := sendAndRead(t, p, newRequest(address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, accepted.Load(), int64(1))
}

// A faulty server sends a second response to an earlier request, which arrives
// where the response to the next request is expected.
func TestAnswerOfAnotherRequestIsNeverTaken(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		writeResponse(c, "1", "one")
		readRequest(r)
		writeResponse(c, "1", "one")
		writeResponse(c, "2", "two")
		readRequest(r)
	})
	p := upstream.NewPool()
	body, err := sendAndRead(t, p, newRequest(address, "1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, err = sendAndRead(t, p, newRequest(address, "2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

// A second, late copy of a response was taken for the response to a later request with the
// same ID.
func TestLateCopyWithTheSameIDIsNeverTaken(t *testing.T) {
	var requests atomic.Int64
	address, accepted := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		last := ""
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if last != "" {
				writeResponse(c, req.Header.Get(idHeader), last)
			}
			last = strconv.FormatInt(requests.Add(1), 10)
			writeResponse(c, req.Header.Get(idHeader), last)
		}
	})
	p := upstream.NewPool()
	if os.Getenv("BBW_WITHOUT") == "carried-ids" {
		p.ReuseForAnyID()
	}
	for n := 1; n <= 4; n++ {
		body, err := sendAndRead(t, p, newRequest(address, "same"))
		assert.NilError(t, err)
		assert.Equal(t, body, strconv.Itoa(n))
	}
	assert.Equal(t, accepted.Load(), int64(4))
}

func TestBytesAfterAWholeAnswerPoisonTheConnection(t *testing.T) {
	address, accepted := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		writeResponse(c, req.Header.Get(idHeader), "ok")
		_, _ = io.WriteString(c, "garbage")
		readRequest(r)
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := sendAndRead(t, p, newRequest(address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, accepted.Load(), int64(2))
}

// The server closes an idle connection. The request must go to a new connection,
// and no request may be sent twice.
func TestClosedIdleConnectionIsNotWrittenTo(t *testing.T) {
	var seen atomic.Int64
	address, accepted := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		if req := readRequest(r); req != nil {
			seen.Add(1)
			writeResponse(c, req.Header.Get(idHeader), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		_, err := sendAndRead(t, p, newRequest(address, id))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, accepted.Load(), int64(2))
	assert.Equal(t, seen.Load(), int64(2))
}

func TestErrorsSayWhetherAnythingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	p := upstream.NewPool()
	_, err = sendAndRead(t, p, newRequest(closed, "1"))
	var failure *upstream.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.MaybeSent)

	var seen atomic.Int64
	address, _ := startBackend(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			seen.Add(1)
		}
	})
	_, err = sendAndRead(t, p, newRequest(address, "1"))
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.MaybeSent)
	assert.Equal(t, seen.Load(), int64(1))
}

func TestAnswerThatIsResetIsNotWhole(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := sendAndRead(t, upstream.NewPool(), newRequest(address, "1"))
	assert.Assert(t, err != nil)
}

func TestSilenceIsGivenUpWhenAsked(t *testing.T) {
	address, _ := startBackend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	r := newRequest(address, "1")
	r.KeepWaiting = func(silence time.Duration) bool { return silence < 250*time.Millisecond }
	began := time.Now()
	_, err := sendAndRead(t, upstream.NewPool(), r)
	assert.ErrorIs(t, err, upstream.ErrSilent)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// The end of a chunked body may arrive together with its last bytes. Nothing must then
// be waited for.
func TestEndThatCameWithTheLastBytesIsNotWaitedFor(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlast\r\n0\r\n\r\n")
		readRequest(r)
	})
	r := newRequest(address, "1")
	r.KeepWaiting = func(time.Duration) bool { return false }
	body, err := sendAndRead(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "last")
}

// A response whose body paused for longer than 1.5 s was cut although nobody had asked
// for that.
func TestPauseInABodyIsWaitedFor(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 8\r\n\r\nhalf")
		time.Sleep(1700 * time.Millisecond)
		_, _ = io.WriteString(c, "half")
	})
	r := newRequest(address, "1")
	r.KeepWaiting = func(time.Duration) bool { return true }
	body, err := sendAndRead(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "halfhalf")
}

func TestSilenceInABodyIsGivenUpWhenAsked(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 8\r\n\r\nhalf")
		readRequest(r)
	})
	r := newRequest(address, "1")
	r.KeepWaiting = func(silence time.Duration) bool { return silence < 250*time.Millisecond }
	_, err := sendAndRead(t, upstream.NewPool(), r)
	assert.ErrorIs(t, err, upstream.ErrSilent)
}

func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startBackend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := upstream.NewPool().Send(ctx, newRequest(address, "1"))
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open at the server")
	}
}

// Found in the scenario leader-agents-die: requests that were queued in the socket
// of a frozen server were processed after their callers had left.
func TestAbandonedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = upstream.NewPool().Send(ctx, newRequest(l.Addr().String(), "1"))
	assert.ErrorIs(t, err, context.Canceled)
	time.Sleep(20 * time.Millisecond)
	c, err := l.Accept() // The server accepts the connection only now.
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.ReadAll(c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestSilentServerIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := newRequest(l.Addr().String(), "1")
	r.KeepWaiting = func(time.Duration) bool { return false }
	_, err = upstream.NewPool().Send(context.Background(), r)
	assert.ErrorIs(t, err, upstream.ErrSilent)
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.ReadAll(c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestOpenConnectionsToAServerAreBounded(t *testing.T) {
	address, accepted := startBackend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	p := upstream.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go func() { _, _ = p.Send(ctx, newRequest(address, "1")) }()
	}
	for accepted.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	r := newRequest(address, "2")
	r.MaxConnections = 2
	_, err := p.Send(ctx, r)
	assert.ErrorIs(t, err, upstream.ErrBusy)
}

func TestLargeBodyIsWrittenWhileTheAnswerIsRead(t *testing.T) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r) // The body stays unread.
		writeResponse(c, "1", "early")
		time.Sleep(100 * time.Millisecond)
	})
	r := newRequest(address, "1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	body, err := sendAndRead(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
}

// The gateway is held up by a slow caller while the server sends on. The answer was cut
// as if the server had stopped.
func TestAnswerThatIsReadSlowlyIsNotCut(t *testing.T) {
	const size = 64 << 10 // It does not fit into the read buffer.
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("x", size))
		_, _ = io.Copy(io.Discard, r)
	})
	r := newRequest(address, "1")
	r.KeepWaiting = func(time.Duration) bool { return true }
	response, err := upstream.NewPool().Send(context.Background(), r)
	assert.NilError(t, err)
	defer response.Close()
	time.Sleep(1600 * time.Millisecond)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
}

// A server that answers late and reads a long body only then is sound. Its connection was
// ended after 1.2 s in which it read nothing.
func TestServerThatReadsALongBodyLateIsNotCut(t *testing.T) {
	const size = 64 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
		time.Sleep(2500 * time.Millisecond)
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 20)
		readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 4\r\n\r\nread")
	}()
	r := newRequest(l.Addr().String(), "1")
	r.Method, r.Body = "POST", []byte(strings.Repeat("x", size))
	body, err := sendAndRead(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "read")
}

func TestRefusesTellsAClosedAddressFromAnOpenOne(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := upstream.NewPool()
	refuses, err := p.Refuses(context.Background(), l.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, !refuses)
	assert.NilError(t, l.Close())
	refuses, err = p.Refuses(context.Background(), l.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, refuses)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.Refuses(ended, l.Addr().String())
	assert.ErrorIs(t, err, context.Canceled)
}
