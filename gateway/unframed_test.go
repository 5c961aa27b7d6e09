package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// unframedHead returns the header of a response with neither a length nor chunks.
func unframedHead(r *http.Request, status int, extra ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSeal: %s\r\n", status, r.Header.Get("Id"), r.Header.Get("Server"))
	for _, line := range extra {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// endConnection closes a connection: with a FIN, or with a reset that follows once
// the sent bytes have been read.
func endConnection(c net.Conn, reset bool) {
	if reset {
		awaitDelivery(c)
		time.Sleep(30 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // On failure, the test sees a FIN and fails.
	}
	c.Close()
}

// awaitDelivery waits until the peer's kernel has all sent bytes. A reset discards what is
// still to be sent, and on a busy machine that was the part of a large response beyond what
// is buffered: the gateway then refused the request, as it should, and the test failed.
func awaitDelivery(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for range 500 {
		unsent := 0
		err = raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil || unsent == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// writeUnframed writes a response that ends with its connection.
func writeUnframed(c net.Conn, r *http.Request, status int, body string, reset bool, extra ...string) {
	_, _ = io.WriteString(c, unframedHead(r, status, extra...)+body)
	endConnection(c, reset)
}

const eventStream = "Content-Type: text/event-stream"

// keptConn is a caller's connection that is kept for several requests.
type keptConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (h *harness) dialCaller() *keptConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.callerServer.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &keptConn{t: h.t, Conn: c, reader: bufio.NewReader(c)}
}

// send sends one request and reads its response. The error is that of the body.
func (c *keptConn) send(method, path, id string) (*http.Response, string, error) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: key\r\nContent-Length: 0\r\n\r\n", method, path, id)
	assert.NilError(c.t, err)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// assertClosed checks that the connection has ended and that no bytes are left on it.
func (c *keptConn) assertClosed() {
	c.t.Helper()
	rest, err := c.reader.ReadByte()
	assert.Assert(c.t, err != nil, "the connection goes on with byte %q", rest)
}

func TestUnframedAnswerIsFramedForTheCaller(t *testing.T) {
	for size, body := range map[string]string{"empty": "", "small": "ok", "large": strings.Repeat("0123456789abcdef", 90_000)} {
		t.Run(size, func(t *testing.T) {
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				status, _ := strconv.Atoi(r.URL.RawQuery)
				writeUnframed(c, r, status, body, false)
			})
			h.start()
			caller := h.dialCaller()
			for i, target := range []string{"/once/x?200", "/once/x?404", "/once/x?500", "/again/x?201", "/again/x?404", "/stream/x?404"} {
				id := strconv.Itoa(i)
				resp, got, err := caller.send(http.MethodPost, target, id)
				assert.NilError(t, err)
				assert.Assert(t, strings.HasSuffix(target, strconv.Itoa(resp.StatusCode)), "%s: %d", target, resp.StatusCode)
				assert.Equal(t, resp.Header.Get("Id"), id)
				assert.Assert(t, got == body, "%d bytes of %d", len(got), len(body))
				assert.Assert(t, resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
				assert.Assert(t, !resp.Close)
			}
		})
	}
}

func TestHeadersOfUnframedAnswers(t *testing.T) {
	for name, extra := range map[string]string{"close": "Connection: close", "keep-alive": "Connection: keep-alive", "own": "X-Own: 1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, "ok", false, extra) })
			h.start()
			caller := h.dialCaller()
			for _, id := range []string{"1", "2"} {
				resp, got, err := caller.send(http.MethodPost, "/once/x", id)
				assert.NilError(t, err)
				assert.Equal(t, got, "ok")
				assert.Assert(t, !resp.Close)
			}
		})
	}
}

func TestOldAnswerWithoutLengthIsWhole(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.Replace(unframedHead(r, 200), "HTTP/1.1", "HTTP/1.0", 1)+"ok")
		c.Close()
	})
	h.start()
	got := h.send("/once/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "ok")
}

// The header arrives in two parts, the body in two parts, and the connection ends
// some time after the last byte.
func TestUnframedAnswerArrivesInParts(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		head := unframedHead(r, 200)
		for _, part := range []string{head[:9], head[9:30], head[30:], "ha", "lf"} {
			_, _ = io.WriteString(c, part)
			time.Sleep(60 * time.Millisecond)
		}
		c.Close()
	})
	h.start()
	got := h.send("/once/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "half")
}

func TestAnswersWithoutABodyNeedNoLength(t *testing.T) {
	for _, status := range []int{200, 204, 304} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, status, "", false) })
			h.start()
			for _, route := range []string{"/once/x", "/stream/x"} {
				caller := h.dialCaller()
				for _, id := range []string{"1", "2"} {
					resp, got, err := caller.send(http.MethodHead, route, id)
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, status)
					assert.Equal(t, resp.Header.Get("Content-Length"), "", "the server stated no length")
					assert.Equal(t, got, "")
				}
			}
		})
	}
}

func TestHeadKeepsTheLengthThatTheServerStates(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, unframedHead(r, 200, "Content-Length: 5"))
	})
	h.start()
	resp, _, err := h.dialCaller().send(http.MethodHead, "/once/x", "1")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Content-Length"), "5")
}

func TestUnframedAnswerThatIsResetIsNoAnswer(t *testing.T) {
	for _, status := range []int{200, 404} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			a, b := addFailoverServers(h,
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, status, "half", true) },
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, status, "whole", false) })
			h.start()
			got := h.send("/again/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body, "whole")
			assert.Equal(t, a.requestCount.Load()+b.requestCount.Load(), int64(2))
		})
	}
}

func TestUnframedAnswerThatIsResetPromisesNothing(t *testing.T) {
	for _, body := range []string{"", "half"} {
		h := newHarness(t)
		a := h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, body, true) })
		h.start()
		got := h.send("/once/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get("Seal"), "")
		assert.Equal(t, a.requestCount.Load(), int64(1))
	}
}

func TestLargeUnframedAnswerThatIsResetLooksBroken(t *testing.T) {
	for _, route := range []string{"/once/x", "/public/x", "/stream/x"} {
		status := 200
		if route == "/stream/x" {
			status = 404 // A stream's success is passed on event by event.
		}
		h := newHarness(t)
		h.addServer("a", func(c net.Conn, r *http.Request) {
			writeUnframed(c, r, status, strings.Repeat("x", 1<<20+5000), true)
		})
		h.start()
		caller := h.dialCaller()
		_, _, err := caller.send(http.MethodPost, route, "1")
		assert.Assert(t, err != nil, "the incomplete answer was ended as complete")
		caller.assertClosed()
	}
}

// A caller may send the header that resumes streams with any request.
func TestLargeAnswerIsNotResumedLikeAStream(t *testing.T) {
	h := newHarness(t)
	body := strings.Repeat("x", 1<<20+5000)
	h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, body, true) })
	b := h.addServer("b", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, body, true) })
	h.start()
	got := h.send("/again/x", "Last", "3")
	assert.Assert(t, got.err != nil, "an answer of %d bytes was ended as complete", len(got.body))
	assert.Assert(t, len(got.body) <= len(body), "two answers were joined: %d bytes of %d", len(got.body), len(body))
	assert.Assert(t, b.requestCount.Load() <= 1)
}

func TestUnframedRefusalIsNotRun(t *testing.T) {
	for name, reset := range map[string]bool{"whole": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, 503, "full", reset, "Not-Run: 1") },
				func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
			h.start()
			assert.Equal(t, h.send("/again/x").body, "ok")
		})
	}
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 503, "full", false, "Not-Run: 1") })
	h.start()
	assert.Equal(t, h.send("/once/x").status, http.StatusServiceUnavailable)
}

// The header of a refusal says everything. Its server does not close the connection.
func TestUnframedRefusalIsNotWaitedFor(t *testing.T) {
	h := newHarness(t)
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 503, "Not-Run: 1")+"full")
			time.Sleep(3 * time.Second)
		},
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	start := time.Now()
	assert.Equal(t, h.send("/again/x").body, "ok")
	assert.Assert(t, time.Since(start) < 900*time.Millisecond, "retried after %v", time.Since(start))
}

// A server fails and says nothing more in the middle of its answer.
func TestFailureThatStopsHalfwayIsNotWaitedFor(t *testing.T) {
	h := newHarness(t)
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 500, "Content-Length: 9")+"half")
			time.Sleep(3 * time.Second)
		},
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	start := time.Now()
	assert.Equal(t, h.send("/again/x").body, "ok")
	assert.Assert(t, time.Since(start) < 900*time.Millisecond, "retried after %v", time.Since(start))
}

// The pause is longer than the upstream package allows between two reads.
func TestSilenceInAnAnswerThatCannotBeRetriedIsWaitedOut(t *testing.T) {
	for name, head := range map[string]string{"unframed": "X-Own: 1", "length": "Content-Length: 4"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, unframedHead(r, 200, head)+"ha")
				time.Sleep(1700 * time.Millisecond)
				_, _ = io.WriteString(c, "lf")
				c.Close()
			})
			h.start()
			got := h.send("/once/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200, h.logOutput.String())
			assert.Equal(t, got.body, "half")
		})
	}
}

func TestHeadersThatContradictTheFramingAreNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"coding": "Transfer-Encoding: gzip", "identity": "Transfer-Encoding: identity", "two codings": "Transfer-Encoding: gzip, chunked",
		"no number": "Content-Length: many", "negative": "Content-Length: -1", "no length": "Content-Length: ",
		"two lengths": "Content-Length: 2\r\nContent-Length: 3", "list": "Content-Length: 2, 3",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			a := h.addServer("a", func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, "ok", false, line) })
			h.start()
			got := h.send("/once/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, a.requestCount.Load(), int64(1))
		})
	}
}

// Before HTTP/1.1 there were no chunks, so the framing of such an answer is unknown.
func TestOldAnswerWithChunksIsNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		head := strings.Replace(unframedHead(r, 200, "Transfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1)
		_, _ = io.WriteString(c, head+"2\r\nok\r\n0\r\n\r\n")
		c.Close()
	})
	h.start()
	got := h.send("/once/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, "body %q", got.body)
}

// The server starts a second response where the first has no body or a stated end.
func TestBytesAfterAnAnswerReachNoCaller(t *testing.T) {
	second := func(r *http.Request) string { return unframedHead(r, 200, "Content-Length: 5") + "wrong" }
	for name, answer := range map[string]func(c net.Conn, r *http.Request){
		"no body": func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, unframedHead(r, 204)+second(r)) },
		"length": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200, "Content-Length: 2")+"ok"+second(r))
		},
		"late": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200, "Content-Length: 2")+"ok")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, second(r))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", answer)
			h.start()
			caller := h.dialCaller()
			for _, id := range []string{"1", "2", "3"} {
				resp, body, err := caller.send(http.MethodPost, "/public/x", id)
				assert.NilError(t, err)
				assert.Equal(t, resp.Header.Get("Id"), id)
				assert.Assert(t, body == "ok" || resp.StatusCode == http.StatusNoContent, body)
			}
		})
	}
}

func TestUnframedStreamIsWhole(t *testing.T) {
	crlf := "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	for name, body := range map[string]string{"events": eventText(1, 3), "crlf": crlf, "comment": eventText(1, 1) + ": end\n\n"} {
		for _, pause := range []time.Duration{0, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(name, pause), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				a := h.addServer("a", func(c net.Conn, r *http.Request) {
					_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+body)
					time.Sleep(pause)
					c.Close()
				})
				h.start()
				caller := h.dialCaller()
				for _, id := range []string{"1", "2"} {
					resp, got, err := caller.send(http.MethodPost, "/stream/x", id)
					assert.NilError(t, err)
					assert.Equal(t, got, body)
					assert.Assert(t, len(resp.TransferEncoding) > 0)
				}
				assert.Equal(t, a.requestCount.Load(), int64(2), "a whole stream was fetched again")
			})
		}
	}
}

// brokenStreams holds ways in which a server ends an unframed stream too early. Each
// stream has the events 1 and 2 whole.
var brokenStreams = map[string]struct {
	rest  string
	reset bool
}{
	"in a field":         {rest: "id: 3\nda"},
	"without blank line": {rest: "id: 3\ndata: e3\n"},
	"in a line end":      {rest: "id: 3\r\ndata: e3\r\n\r"},
	"reset in an event":  {rest: "id: 3\nda", reset: true},
	"reset between":      {reset: true},
}

func TestBrokenUnframedStreamGoesOnElsewhere(t *testing.T) {
	for name, broken := range brokenStreams {
		for _, framedFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(name, framedFirst), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				addFailoverServers(h,
					func(c net.Conn, r *http.Request) {
						if framedFirst {
							writeEvents(c, r, 1, 2, false)
							c.Close()
							return
						}
						writeUnframed(c, r, 200, eventText(1, 2)+broken.rest, broken.reset, eventStream)
					},
					func(c net.Conn, r *http.Request) {
						if framedFirst {
							writeUnframed(c, r, 200, eventText(3, 4), false, eventStream)
							return
						}
						writeEvents(c, r, 3, 4, true)
					})
				h.start()
				caller := h.dialCaller()
				_, got, err := caller.send(http.MethodPost, "/stream/x", "1")
				assert.NilError(t, err)
				assert.Equal(t, got, eventText(1, 4))
			})
		}
	}
}

func TestBrokenUnframedStreamLooksBroken(t *testing.T) {
	for name, broken := range brokenStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				if r.Header.Get("Last") == "" {
					writeUnframed(c, r, 200, eventText(1, 2)+broken.rest, broken.reset, eventStream)
					return
				}
				writeUnframed(c, r, 200, broken.rest, broken.reset, eventStream)
			})
			h.start()
			caller := h.dialCaller()
			_, got, err := caller.send(http.MethodPost, "/stream/x", "1")
			assert.Assert(t, err != nil, "the incomplete stream was ended as complete: %q", got)
			assert.Equal(t, got, eventText(1, 2))
			caller.assertClosed()
		})
	}
}

func TestUnframedStreamWithoutEventsStartsElsewhere(t *testing.T) {
	for name, broken := range map[string]struct {
		body  string
		reset bool
	}{"nothing": {}, "nothing, reset": {reset: true}, "part of an event": {body: "id: 1\nda"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, broken.body, broken.reset, eventStream) },
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, eventText(1, 2), false, eventStream) })
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 2))
		})
	}
}

// An event stream on a plain route ends between two events as well.
func TestUnframedEventStreamOnAPlainRouteEndsBetweenEvents(t *testing.T) {
	for _, size := range []int{3, 100_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			h := newHarness(t)
			whole := eventText(1, size)
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, whole+"id: 9\nda", false, eventStream) },
				func(c net.Conn, r *http.Request) { writeUnframed(c, r, 200, whole, false, eventStream) })
			h.start()
			caller := h.dialCaller()
			_, got, err := caller.send(http.MethodPost, "/public/x", "1")
			if len(whole) > maxBufferedBytes {
				assert.Assert(t, err != nil, "the incomplete answer was ended as complete")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, whole)
		})
	}
}
