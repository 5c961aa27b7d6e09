package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The bytes of a server, whatever they are, must not end the process, and a body must not be
// longer than the response states.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 99999999999999999999\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 204 No\r\nX-Id: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200\r\nKeep-Alive: timeout=-99999999999999\r\nX-Id: 1\r\n\r\n",
		"\x00\xff\r\n\r\n", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		go func() {
			_, _ = io.Copy(io.Discard, theirs)
		}()
		go func() {
			_, _ = theirs.Write(data)
			theirs.Close()
		}()
		p := NewPool()
		c := &conn{Conn: ours, address: "a", writer: bufio.NewWriter(ours), idleLimit: idleTimeout, idleSince: time.Now()}
		c.reader = bufio.NewReader(c)
		p.servers["a"] = &serverConns{idle: []*conn{c}, openCount: 1}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		response, err := p.Send(ctx, &Request{
			Address: "a", Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: time.Minute, ID: "1",
			Matches: func(h http.Header) bool { return h.Get("X-Id") == "1" },
		})
		if err != nil {
			return
		}
		defer response.Close()
		n, err := io.Copy(io.Discard, response)
		if err == nil && response.Length >= 0 && n != response.Length {
			t.Fatalf("%d of %d bytes are taken for the whole body", n, response.Length)
		}
	})
}
