package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/upstream"
)

const idHeader = "X-Id"

// backend accepts connections and serves each with handle.
func backend(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int64) {
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

// readRequest reads one request; nil at the end of the connection.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func request(address, id string) *upstream.Request {
	return &upstream.Request{
		Address: address, Method: http.MethodPost, Target: "/a?b=c", Host: "h.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("body"), MaxIdle: time.Minute,
		Mine: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func ask(t *testing.T, p *upstream.Pool, r *upstream.Request) (string, error) {
	t.Helper()
	a, err := p.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func answer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\nContent-Length: "+
		string(rune('0'+len(body)))+"\r\n\r\n"+body)
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	address, accepted := backend(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			answer(c, req.Header.Get(idHeader), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := ask(t, p, request(address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, accepted.Load(), int64(1))
}

// A late second answer to an earlier request stands where the next is expected.
func TestAnswerOfAnotherRequestIsNeverTaken(t *testing.T) {
	address, _ := backend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		answer(c, "1", "one")
		readRequest(r)
		answer(c, "1", "one")
		answer(c, "2", "two")
		readRequest(r)
	})
	p := upstream.NewPool()
	body, err := ask(t, p, request(address, "1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, err = ask(t, p, request(address, "2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

func TestBytesAfterAWholeAnswerPoisonTheConnection(t *testing.T) {
	address, accepted := backend(t, func(c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		answer(c, req.Header.Get(idHeader), "ok")
		_, _ = io.WriteString(c, "garbage")
		readRequest(r)
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := ask(t, p, request(address, id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, accepted.Load(), int64(2))
}

// The server closes a kept connection: nothing was sent on it, so a new one is
// opened without harm, and never the same request twice.
func TestClosedIdleConnectionIsNotWrittenTo(t *testing.T) {
	var seen atomic.Int64
	address, accepted := backend(t, func(c net.Conn, r *bufio.Reader) {
		if req := readRequest(r); req != nil {
			seen.Add(1)
			answer(c, req.Header.Get(idHeader), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		_, err := ask(t, p, request(address, id))
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
	_, err = ask(t, p, request(closed, "1"))
	var failure *upstream.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)

	var seen atomic.Int64
	address, _ := backend(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			seen.Add(1)
		}
	})
	_, err = ask(t, p, request(address, "1"))
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
	assert.Equal(t, seen.Load(), int64(1))
}

func TestAnswerThatIsResetIsNotWhole(t *testing.T) {
	address, _ := backend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := ask(t, upstream.NewPool(), request(address, "1"))
	assert.Assert(t, err != nil)
}

func TestSilenceIsGivenUpWhenAsked(t *testing.T) {
	address, _ := backend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	r := request(address, "1")
	r.Wait = func(silence time.Duration) bool { return silence < 250*time.Millisecond }
	began := time.Now()
	_, err := ask(t, upstream.NewPool(), r)
	assert.ErrorIs(t, err, upstream.ErrSilent)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// The end of a chunked body may arrive together with its last bytes.
func TestEndThatCameWithTheLastBytesIsNotWaitedFor(t *testing.T) {
	address, _ := backend(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlast\r\n0\r\n\r\n")
		readRequest(r)
	})
	r := request(address, "1")
	never := func(time.Duration) bool { return false }
	a, err := upstream.NewPool().Send(context.Background(), r)
	assert.NilError(t, err)
	defer a.Close()
	_, err = io.ReadAll(a)
	assert.NilError(t, err)
	assert.NilError(t, a.Await(never))
}

func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := backend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := upstream.NewPool().Send(ctx, request(address, "1"))
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server still sees an open connection")
	}
}

// Seen on the day leader-agents-die: requests lay before a frozen server and
// reached it after their callers had left.
func TestAbandonedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = upstream.NewPool().Send(ctx, request(l.Addr().String(), "1"))
	assert.ErrorIs(t, err, context.Canceled)
	time.Sleep(20 * time.Millisecond)
	c, err := l.Accept() // The server looks at its connections only now.
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
	r := request(l.Addr().String(), "1")
	r.Wait = func(time.Duration) bool { return false }
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
	address, accepted := backend(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	p := upstream.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go func() { _, _ = p.Send(ctx, request(address, "1")) }()
	}
	for accepted.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	r := request(address, "2")
	r.MaxConnections = 2
	_, err := p.Send(ctx, r)
	assert.ErrorIs(t, err, upstream.ErrBusy)
}

func TestLargeBodyIsWrittenWhileTheAnswerIsRead(t *testing.T) {
	address, _ := backend(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r) // The body stays unread.
		answer(c, "1", "early")
		time.Sleep(100 * time.Millisecond)
	})
	r := request(address, "1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	body, err := ask(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
}
