package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller that used an ID twice got the late second copy of the response to its first
// request, because the connection to the server was reused and the IDs matched.
func TestLateCopyOfAResponseWithTheSameIDIsNotDelivered(t *testing.T) {
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			var requests atomic.Int64
			var lastOn sync.Map // The last request of each connection.
			h.addServer("a", func(c net.Conn, r *http.Request) {
				n := requests.Add(1)
				answer := func(n int64) {
					if path == "/stream/x" {
						writeEvents(c, r, int(n), int(n), true)
						return
					}
					writeResponse(c, r, 200, fmt.Sprint("answer ", n))
				}
				if last, reused := lastOn.Swap(c, n); reused {
					answer(last.(int64)) // It arrives after the next request has been sent.
				}
				answer(n)
			})
			h.start()
			want := func(n int) string {
				if path == "/stream/x" {
					return eventText(n, n)
				}
				return fmt.Sprint("answer ", n)
			}
			for n := 1; n <= 4; n++ {
				got := h.send(path, "Id", "same")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, want(n))
			}
		})
	}
}

// The second copy of a response arrived between two requests, around the moment at which
// the next request was sent, or in two parts before and after that moment.
func TestLateCopyAtAnyMomentReachesNoCaller(t *testing.T) {
	for _, split := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 100 * time.Microsecond, 500 * time.Microsecond, time.Millisecond, 3 * time.Millisecond} {
			t.Run(fmt.Sprintf("split=%t,%v", split, delay), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.addServer("a", func(c net.Conn, r *http.Request) {
					id := r.Header.Get("Id")
					text := fmt.Sprintf("HTTP/1.1 200 X\r\nSeal: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					_, _ = io.WriteString(c, text)
					time.Sleep(delay)
					if !split {
						_, _ = io.WriteString(c, text)
						return
					}
					_, _ = io.WriteString(c, text[:len(text)/2])
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(c, text[len(text)/2:])
				})
				h.start()
				delivered := 0
				for i := range 60 {
					id := fmt.Sprintf("%06d", i)
					got := h.send("/again/x", "Id", id)
					assert.NilError(t, got.err)
					if got.status == 200 {
						assert.Equal(t, got.body, id)
						delivered++
					}
				}
				assert.Assert(t, delivered >= 30, "%d of 60 requests were answered", delivered)
			})
		}
	}
}

// A late copy of the response to HEAD states a length without a body. The response to the
// next request was read as that body, and text inside it as a response.
func TestLateCopyOfAResponseToHeadIsNotFramedWrongly(t *testing.T) {
	h := newHarness(t)
	inner := "HTTP/1.1 200 X\r\nSeal: s\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong"
	h.addServer("a", func(c net.Conn, r *http.Request) {
		if r.Method == http.MethodHead {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nSeal: s\r\nId: 1\r\nContent-Length: 60\r\n\r\n")
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 X\r\nSeal: s\r\nId: 2\r\nContent-Length: %d\r\n\r\n", len(inner))
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 X\r\nSeal: s\r\nId: 1\r\nContent-Length: %d\r\n\r\n", len(head))+head+inner)
	})
	h.start()
	caller := h.dialCaller()
	_, _, err := caller.send(http.MethodHead, "/public/x", "1")
	assert.NilError(t, err)
	resp, body, err := caller.send(http.MethodPost, "/public/x", "2")
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode == http.StatusBadGateway || body == inner, "%d %q", resp.StatusCode, body)
}

// Stalled streams whose server sent a byte, a blank line or a comment now and then counted
// as alive, so that no other server took them over.
func TestStreamThatTricklesWithoutEventsGoesOnElsewhere(t *testing.T) {
	for name, trickle := range map[string]string{"bytes of an event": "x", "blank lines": "\n", "comments": ": busy\n\n"} {
		for _, begun := range []int{0, 2} {
			t.Run(fmt.Sprint(name, ", events ", begun), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.timeout = 6 * time.Second
				addFailoverServers(h, func(c net.Conn, r *http.Request) {
					writeEvents(c, r, 1, begun, false)
					trickleChunks(c, trickle)
				}, func(c net.Conn, r *http.Request) { writeEvents(c, r, begun+1, 4, true) })
				h.start()
				began := time.Now()
				got := h.send("/stream/x")
				assert.NilError(t, got.err, h.logLines("1"))
				events := strings.ReplaceAll(got.body, ": busy\n\n", "")
				events = regexp.MustCompile(`\n{3,}`).ReplaceAllString(events, "\n\n")
				assert.Equal(t, strings.TrimLeft(events, "\n"), eventText(1, 4))
				assert.Assert(t, time.Since(began) < 4*time.Second, "%v", time.Since(began))
			})
		}
	}
}

// trickleChunks writes text every 50 ms until the connection is closed.
func trickleChunks(c net.Conn, text string) {
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A stalled stream must end at the timeout of its route, also if no other server can take
// it over, and must look broken.
func TestStreamThatTricklesEndsAtItsTimeout(t *testing.T) {
	for name, trickle := range map[string]string{"bytes of an event": "x", "comments": ": busy\n\n"} {
		for _, begun := range []int{0, 2} {
			t.Run(fmt.Sprint(name, ", events ", begun), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.timeout = time.Second
				h.addServer("a", func(c net.Conn, r *http.Request) {
					writeEvents(c, r, 1, begun, false)
					trickleChunks(c, trickle)
				})
				h.start()
				began := time.Now()
				got := h.send("/stream/x")
				assert.Assert(t, got.err != nil || got.status == http.StatusGatewayTimeout, "%d", got.status)
				assert.Assert(t, time.Since(began) < h.timeout+500*time.Millisecond, "%v", time.Since(began))
			})
		}
	}
}

// A stream without a deadline whose server trickles bytes never ended.
func TestStalledStreamWithoutADeadlineEnds(t *testing.T) {
	h := newHarness(t)
	h.timeout = 0
	h.addServer("a", func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 1, false)
		trickleChunks(c, "x")
	})
	h.start()
	h.gateway.maxSilence = time.Second
	ended := make(chan callerResponse, 1)
	go func() { ended <- h.send("/stream/x") }()
	select {
	case got := <-ended:
		assert.Assert(t, got.err != nil, "the stream looks complete")
	case <-time.After(4 * time.Second):
		t.Fatal("the stream goes on")
	}
}

// A stream with a complete event every 400 ms, whose bytes come one at a time, must reach
// its end.
func TestSlowStreamOfWholeEventsIsNotCut(t *testing.T) {
	h := newHarness(t)
	h.timeout = 8 * time.Second
	h.addServer("a", func(c net.Conn, r *http.Request) {
		writeEvents(c, r, 1, 0, false)
		for i := 1; i <= 8; i++ {
			text := eventText(i, i)
			for j := range len(text) {
				_, _ = fmt.Fprintf(c, "1\r\n%s\r\n", text[j:j+1])
				time.Sleep(400 * time.Millisecond / time.Duration(len(text)))
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.start()
	got := h.send("/stream/x")
	assert.NilError(t, got.err, h.logLines("1"))
	assert.Equal(t, got.body, eventText(1, 8))
}

// Responses that break off, or whose stated sizes are wrong, must not reach a caller as
// complete, whatever the route.
func TestResponseThatBreaksOffNeverLooksComplete(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+100)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	event := eventText(1, 1)
	bodies := map[string]struct{ header, body string }{
		"half of the length":         {"Content-Length: 40", event},
		"no chunk":                   {"Transfer-Encoding: chunked", ""},
		"no last chunk":              {"Transfer-Encoding: chunked", chunk(event)},
		"last chunk without its end": {"Transfer-Encoding: chunked", chunk(event) + "0\r\n"},
		"half of a chunk":            {"Transfer-Encoding: chunked", "ff\r\n" + event},
		"half of a chunk size":       {"Transfer-Encoding: chunked", chunk(event) + "f"},
		"wrong chunk size":           {"Transfer-Encoding: chunked", "3\r\n" + event + "\r\n0\r\n\r\n"},
		"no chunk size":              {"Transfer-Encoding: chunked", event},
		"two lengths":                {"Content-Length: 3\r\nContent-Length: 40", event},
		"large, half of the length":  {fmt.Sprintf("Content-Length: %d", 2*len(large)), large},
		"large, no last chunk":       {"Transfer-Encoding: chunked", chunk(large)},
	}
	for name, answer := range bodies {
		for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, " reset=", reset), func(t *testing.T) {
					t.Parallel()
					h := newHarness(t)
					h.addServer("a", func(c net.Conn, r *http.Request) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nSeal: s\r\nId: 1\r\n"+answer.header+"\r\n\r\n"+answer.body)
						if reset {
							time.Sleep(20 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						c.Close()
					})
					h.start()
					got := h.send(path)
					assert.Assert(t, got.err != nil || got.status != 200, "status 200 with %d bytes", len(got.body))
				})
			}
		}
	}
}

// A caller of HTTP/1.0 sees the end of the connection as the end of a stream. A stream that
// broke off looked complete to it.
func TestBrokenStreamLooksBrokenToAnOldCaller(t *testing.T) {
	for _, path := range []string{"/stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addServer("a", func(c net.Conn, r *http.Request) {
				if path == "/stream/x" {
					writeEvents(c, r, 1, 2, false)
				} else {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nSeal: s\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*maxBufferedBytes)
					_, _ = io.WriteString(c, strings.Repeat("x", maxBufferedBytes+1))
				}
				time.Sleep(100 * time.Millisecond)
				c.Close()
			})
			h.start()
			c, err := net.Dial("tcp", h.callerServer.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(c, "POST "+path+" HTTP/1.0\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			body, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "the response looks complete after %d bytes", len(body))
		})
	}
}

// After a response was lost, the caller was told that its request had not run, because a
// second server answered with a status that says so.
func TestStatusThatSaysNotRunIsNotRelayedAfterALostResponse(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, path := range []string{"/again/x", "/stream/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				addFailoverServers(h,
					func(c net.Conn, _ *http.Request) { c.Close() },
					func(c net.Conn, r *http.Request) { writeResponse(c, r, status, "no") })
				h.start()
				got := h.send(path)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, got.body)
			})
		}
	}
}

// A request that may run once only was sent again, or called not run, after its response
// was lost in some way.
func TestLostResponseOfAnAtMostOnceRequest(t *testing.T) {
	for name, lose := range map[string]func(c net.Conn, r *http.Request){
		"closed":             func(c net.Conn, _ *http.Request) { c.Close() },
		"reset":              func(c net.Conn, _ *http.Request) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"half of the header": func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nId: 1"); c.Close() },
		"malformed":          func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "\x00\xff garbage\r\n\r\n"); c.Close() },
		"another response": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nId: 9\r\nContent-Length: 0\r\n\r\n")
			c.Close()
		},
		"not run, of another request": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nId: 9\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			c.Close()
		},
		"silence": func(net.Conn, *http.Request) { time.Sleep(1500 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = time.Second
			a, b := h.addServer("a", lose), h.addServer("b", lose)
			h.start()
			got := h.send("/once/x")
			assert.NilError(t, got.err)
			assert.Assert(t, got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "%d", got.status)
			assert.Equal(t, a.requestCount.Load()+b.requestCount.Load(), int64(1))
		})
	}
}

// panickingCodec panics at a response with the header Panic.
type panickingCodec struct{ testHeaderCodec }

func (panickingCodec) MatchesRequest(h http.Header, id string) bool {
	if h.Get("Panic") != "" {
		panic("cannot read this header")
	}
	return testHeaderCodec{}.MatchesRequest(h, id)
}

// A panic in the goroutine of a standby ended the process, and with it all streams.
func TestPanicOfAStandbyLosesOnlyThatAttempt(t *testing.T) {
	h := newHarness(t)
	h.timeout = 5 * time.Second
	_, b := addFailoverServers(h, writeEventsSlowly,
		func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "", "Panic: 1") })
	h.start()
	h.gateway.headerCodec = panickingCodec{}
	got := h.send("/stream/x")
	assert.NilError(t, got.err, h.logLines("1"))
	assert.Equal(t, got.body, eventText(1, 4))
	assert.Equal(t, b.requestCount.Load(), int64(1))
}
