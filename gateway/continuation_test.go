package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noContinuations are answers of another server that do not go on after the third event of a
// stream whose events are numbered from 1.
func noContinuations() map[string]func(net.Conn, *http.Request) {
	answers := map[string]func(net.Conn, *http.Request){
		"nothing":            func(c net.Conn, _ *http.Request) { c.Close() },
		"no further event":   func(c net.Conn, r *http.Request) { writeEvents(c, r, 4, 3, true) },
		"only events before": func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, true) },
		"a gap":              func(c net.Conn, r *http.Request) { writeEvents(c, r, 5, 6, true) },
		"another media type": func(c net.Conn, r *http.Request) {
			writeResponse(c, r, 200, eventText(4, 6), "Content-Type: text/html")
		},
		"a text without events": func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "upstream error", eventStream) },
		"a text that ends like an event": func(c net.Conn, r *http.Request) {
			writeResponse(c, r, 200, "upstream error\n\n", eventStream)
		},
		"an event without an ID": func(c net.Conn, r *http.Request) {
			writeResponse(c, r, 200, "event: error\ndata: no\n\n", eventStream)
		},
		"an event without an ID before the next": func(c net.Conn, r *http.Request) {
			writeResponse(c, r, 200, "data: no\n\n"+eventText(4, 6), eventStream)
		},
		"an error after events that the caller has": func(c net.Conn, r *http.Request) {
			writeResponse(c, r, 200, eventText(2, 3)+"data: no\n\n", eventStream)
		},
		"only comments": func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, ": no\n\n: no\n\n", eventStream) },
		"an empty text": func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "") },
		"an unframed text": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200)+"upstream error\n\n")
			c.Close()
		},
		"an unframed stream without events": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200, eventStream))
			c.Close()
		},
		"an unframed stream of two answers": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nno\n\n")
			c.Close()
		},
	}
	for _, status := range []int{201, 204, 206, 301, 304, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		for name, extra := range map[string]string{"": "X: 1", ", not run": "Not-Run: 1", ", as a stream": eventStream} {
			answers[fmt.Sprint("status ", status, name)] = func(c net.Conn, r *http.Request) {
				body := eventText(4, 6)
				if status == 204 || status == 304 {
					body = ""
				}
				writeResponse(c, r, status, body, extra)
			}
		}
	}
	return answers
}

// A stream that had broken off went on with the text of another server's error, or ended as
// if it were complete, because whatever that server answered counted as its rest.
func TestBrokenStreamIsContinuedOnlyByItsRest(t *testing.T) {
	breaks := map[string]func(net.Conn, *http.Request){
		"closed": func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false); c.Close() },
		"within an event": func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+eventText(1, 3)+"id: 4\nda")
			endConnection(c, true)
		},
	}
	for name, answer := range noContinuations() {
		for kind, begin := range breaks {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				addFailoverServers(h, begin, answer)
				h.start()
				got := h.send("/stream/x")
				assert.Equal(t, got.body, eventText(1, 3))
				assert.Assert(t, got.err != nil, "the stream was ended as complete")
				assert.Assert(t, strings.Contains(h.logLines("1"), "event=broken_off"), h.logLines("1"))
			})
		}
	}
}

// A stream whose server was silent for a while was taken over by an answer that is not its
// rest.
func TestSilentStreamIsTakenOverOnlyByItsRest(t *testing.T) {
	for name, answer := range noContinuations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.timeout = silenceTimeout
			addFailoverServers(h, func(c net.Conn, r *http.Request) {
				writeEvents(c, r, 1, 3, false)
				time.Sleep(silentSpell)
				ev := eventText(4, 4)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(ev), ev)
			}, answer)
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 4), h.logLines("1"))
		})
	}
}

// Streams whose IDs are not consecutive go on at the next one that the other server has, and
// comments and events that the caller has do not keep a stream from going on.
func TestRestOfAStreamIsTaken(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: " + id + "\n\n" }
	for name, stream := range map[string]struct{ first, rest, want string }{
		"IDs that are not consecutive": {event("10") + event("20"), event("35"), event("10") + event("20") + event("35")},
		"events that the caller has":   {eventText(1, 2), eventText(1, 3), eventText(1, 3)},
		"a comment before":             {eventText(1, 2), ": x\n" + eventText(3, 3), eventText(1, 2) + ": x\n" + eventText(3, 3)},
		"an event without ID after":    {eventText(1, 2), eventText(3, 3) + "data: end\n\n", eventText(1, 3) + "data: end\n\n"},
		"the first ID is 0":            {event("0"), event("1"), event("0") + event("1")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			addFailoverServers(h,
				func(c net.Conn, r *http.Request) {
					_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+stream.first)
					endConnection(c, true)
				},
				func(c net.Conn, r *http.Request) {
					writeResponse(c, r, 200, stream.rest, eventStream+"; charset=utf-8")
				})
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, stream.want)
		})
	}
}

// After an event without an ID it is not known where the stream would have to go on: the
// other server sent that event once more.
func TestStreamIsNotResumedAfterAnEventWithoutID(t *testing.T) {
	first := eventText(1, 2) + "data: no ID\n\n"
	for _, header := range [][]string{nil, {"Last", "0"}} {
		h := newHarness(t)
		addFailoverServers(h,
			func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+first)
				endConnection(c, true)
			},
			func(c net.Conn, r *http.Request) {
				writeResponse(c, r, 200, "id: 3\ndata: no ID\n\n"+eventText(4, 4), eventStream)
			})
		h.start()
		got := h.send("/stream/x", header...)
		assert.Assert(t, got.err != nil, got.body)
		assert.Equal(t, got.body, first)
	}
}

// The head and text of an error, or the framing of a stream whose header had been damaged, got
// into a stream as if they were events, within one answer of one server.
func TestForeignTextInAStreamReachesNoCaller(t *testing.T) {
	for name, text := range map[string]string{
		"head":                         "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nno\n\n",
		"head within a name":           "daHTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nno\n\n",
		"head within data":             "id: 4\ndata: eHTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nno\n\n",
		"text":                         "upstream error\n\n",
		"size of a chunk":              "1f\r\nid: 4\ndata: e4\n\n",
		"text after the next event":    eventText(4, 4) + "upstream error\n\n",
		"page":                         "<html><body>error</body></html>\n\n",
		"page with attributes":         "<p style=\"color:red\">error</p>\n\n",
		"JSON":                         "{\"error\": \"no\"}\n\n",
		"answer to an earlier request": "HTTP/1.1 503 X\r\nId: 9\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			addFailoverServers(h, func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, unframedHead(r, 200, eventStream)+eventText(1, 3)+text)
				c.Close()
			}, func(c net.Conn, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				writeEvents(c, r, last+1, 6, true)
			})
			h.start()
			got := h.send("/stream/x")
			assert.NilError(t, got.err, h.logLines("1"))
			assert.Equal(t, got.body, eventText(1, 6))
		})
	}
}
