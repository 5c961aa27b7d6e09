package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/upstream"
)

const unframedHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"

func keepWaiting(time.Duration) bool { return true }

// startUnframed starts a server that answers with head and body and then ends the
// connection, with a reset if reset is set. It leaves the request's body unread if
// early is set.
func startUnframed(t *testing.T, answer string, reset, early bool) string {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		if early {
			_, _ = http.ReadRequest(r)
		} else {
			readRequest(r)
		}
		_, _ = io.WriteString(c, answer)
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0) // On failure, the test sees a FIN and fails.
			return
		}
		if early {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(200 * time.Millisecond)
		}
	})
	return address
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	for _, body := range []string{"", "whole", strings.Repeat("x", 100_000)} {
		response, err := upstream.NewPool().Send(context.Background(), newRequest(startUnframed(t, unframedHead+body, false, false), "1"))
		assert.NilError(t, err)
		assert.Equal(t, response.Length, int64(-1))
		got, err := io.ReadAll(response)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
		response.Close()
	}
}

// The end of the connection is the end of such an answer, and no failure.
func TestTheEndOfAnUnframedAnswerIsWaitedFor(t *testing.T) {
	address := startUnframed(t, unframedHead+"whole", false, false)
	r := newRequest(address, "1")
	r.KeepWaiting = keepWaiting
	response, err := upstream.NewPool().Send(context.Background(), r)
	assert.NilError(t, err)
	defer response.Close()
	_, err = io.ReadFull(response, make([]byte, 5))
	assert.NilError(t, err)
	_, err = response.Read(make([]byte, 5))
	assert.ErrorIs(t, err, io.EOF)
}

func TestTheEndOfTheConnectionIsNoEndOfOtherAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 9\r\n\r\nwhole", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startUnframed(t, strings.TrimSuffix(unframedHead, "\r\n")+head, false, false)
			r := newRequest(address, "1")
			r.KeepWaiting = keepWaiting
			response, err := upstream.NewPool().Send(context.Background(), r)
			assert.NilError(t, err)
			defer response.Close()
			_, err = io.ReadFull(response, make([]byte, 5))
			assert.NilError(t, err)
			_, err = response.Read(make([]byte, 5))
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// The write of a large request may meet the reset first. The kernel reports it once,
// and the read that follows sees an ordinary end.
func TestResetThatMeetsTheRequestBodyIsNoEnd(t *testing.T) {
	address := startUnframed(t, unframedHead+"half", true, true)
	for range 60 {
		r := newRequest(address, "1")
		r.Body = make([]byte, 8<<20)
		body, err := sendAndRead(t, upstream.NewPool(), r)
		assert.Assert(t, err != nil, "a reset answer was taken as whole: %q", body)
	}
}

// A server may end its answer and leave the rest of the request unread.
func TestUnframedAnswerThatEndsBeforeTheRequestIsWhole(t *testing.T) {
	r := newRequest(startUnframed(t, unframedHead+"early", false, true), "1")
	r.Body = make([]byte, 8<<20)
	body, err := sendAndRead(t, upstream.NewPool(), r)
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
}

// The server sends nothing in the middle of its body for longer than partialReadTimeout.
func TestSilenceInABodyIsWaitedOutWhileAllowed(t *testing.T) {
	for name, patient := range map[string]bool{"patient": true, "impatient": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha")
				time.Sleep(1700 * time.Millisecond)
				_, _ = io.WriteString(c, "lf\r\n0\r\n\r\n")
			})
			r := newRequest(address, "1")
			r.KeepWaiting = func(silence time.Duration) bool { return patient || silence < time.Second }
			body, err := sendAndRead(t, upstream.NewPool(), r)
			if !patient {
				assert.ErrorIs(t, err, upstream.ErrSilent)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, "half")
		})
	}
}
