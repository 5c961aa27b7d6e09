package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/upstream"
)

// cutAnswers are whole answers to the request with the ID 2, of different framing.
var cutAnswers = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok",
	"length last":   "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Seal: s\r\nX-Id: 2\r\n\r\nok 123456789",
	"chunks":        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unframed":      "HTTP/1.1 200 OK\r\nX-Id: 2\r\nConnection: close\r\n\r\nok",
	"old":           "HTTP/1.0 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok",
	"interim first": "HTTP/1.1 100 Continue\r\nX-Id: 2\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok",
	"bare newlines": "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 2\n\nok",
	"folded":        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Long: a\r\n  b\r\nContent-Length: 2\r\n\r\nok",
	"after another": "HTTP/1.1 503 X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok",
}

// headEnd returns the length of everything in answer up to the end of its last head.
func headEnd(answer string) int {
	for i := len(answer) - 2; i > 0; i-- {
		if answer[i:i+2] == "\n\n" {
			return i + 2
		}
		if i+4 <= len(answer) && answer[i:i+4] == "\r\n\r\n" && answer[i+4:] != "" {
			return i + 4
		}
	}
	return len(answer)
}

// A server that stopped in the middle of the head of its answer and closed must not make an
// answer: callers of other systems got a short or empty success, framed as whole.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, answer := range cutAnswers {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", method, " reset=", reset), func(t *testing.T) {
					t.Parallel()
					checkCutHeads(t, method, answer, reset)
				})
			}
		}
	}
}

// checkCutHeads sends a request for each point in the head of the answer at which its server
// can stop, on new and on kept connections.
func checkCutHeads(t *testing.T, method, answer string, reset bool) {
	address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if req.Header.Get(idHeader) == "1" {
				writeResponse(c, "1", "ok")
				continue
			}
			n, _ := strconv.Atoi(req.Header.Get("Cut"))
			_, _ = io.WriteString(c, answer[:n])
			if reset {
				time.Sleep(time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0) // Without it, the connection ends in order.
			}
			return
		}
	})
	p := upstream.NewPool()
	for cut := range headEnd(answer) {
		for _, kept := range []bool{false, true} {
			if kept {
				_, err := sendAndRead(t, p, newRequest(address, "1"))
				assert.NilError(t, err)
			}
			r := newRequest(address, "2")
			r.Method = method
			r.Header.Set("Cut", strconv.Itoa(cut))
			body, err := sendAndRead(t, p, r)
			var sendErr *upstream.Error
			assert.Assert(t, errors.As(err, &sendErr), "cut at %d: body %q, error %v", cut, body, err)
			assert.Assert(t, sendErr.MaybeSent, "cut at %d", cut)
		}
	}
}

// A server broke off the head of a late copy and went on with the answer to the next request
// on the same connection. The two heads were read as one, so that the next request counted as
// refused although it ran.
func TestHeadsThatRunTogetherAreNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok"
	copies := map[string]string{
		"refusal":           "HTTP/1.1 503 X\r\nNot-Run: 1\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal, ID first": "HTTP/1.1 503 X\r\nX-Id: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"folded":            "HTTP/1.1 503 X\r\nNot-Run: 1\r\n a\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"success":           "HTTP/1.1 201 X\r\nA: b\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, late := range copies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
				if req := readRequest(r); req != nil {
					n, _ := strconv.Atoi(req.Header.Get("Cut"))
					_, _ = io.WriteString(c, late[:n]+answer)
				}
			})
			for cut := range len(late) {
				r := newRequest(address, "2")
				r.Header.Set("Cut", strconv.Itoa(cut))
				response, err := upstream.NewPool().Send(t.Context(), r)
				if err != nil {
					continue
				}
				assert.Equal(t, response.Status, http.StatusOK, "cut at %d: %q", cut, late[:cut])
				body, err := io.ReadAll(response)
				assert.Assert(t, err != nil || string(body) == "ok", "cut at %d: %q", cut, body)
				response.Close()
			}
		})
	}
}

// A caller got a status that no HTTP answer has, or the switch to another protocol, which
// nobody had asked for.
func TestStatusThatIsNoAnswerIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address, _ := startBackend(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
				writeResponse(c, "1", "ok")
			})
			_, err := sendAndRead(t, upstream.NewPool(), newRequest(address, "1"))
			var sendErr *upstream.Error
			assert.Assert(t, errors.As(err, &sendErr) && sendErr.MaybeSent, "%v", err)
		})
	}
}
