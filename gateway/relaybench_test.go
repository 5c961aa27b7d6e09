package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkStream relays streams of 500 events, flushed one by one, to a caller that reads
// at once.
func BenchmarkStream(b *testing.B) {
	t := &testing.T{}
	h := newHarness(t)
	const events = 500
	h.addServer("a", func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= events; i++ {
			ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	h.start()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		req, _ := http.NewRequest(http.MethodPost, h.callerServer.URL+"/stream/x", strings.NewReader("body"))
		req.Header.Set("Id", strconv.Itoa(n))
		req.Header.Set("Key", "key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		size, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // The error of reading counts.
		if err != nil || size < events {
			b.Fatal(size, err)
		}
	}
}
