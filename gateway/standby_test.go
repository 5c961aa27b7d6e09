package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A large answer that had begun was joined with that of a standby, which had been started
// while the first server was still silent, when the first one fell silent again or broke off.
func TestBegunLargeAnswerIsNotJoinedWithThatOfAStandby(t *testing.T) {
	half := strings.Repeat("a", maxBufferedBytes+1000)
	other := strings.Repeat("b", 100)
	for name, end := range map[string]func(net.Conn){
		"silent": func(c net.Conn) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, half)
		},
		"closes": func(c net.Conn) { c.Close() },
	} {
		for size, rest := range map[string]string{"small": other, "large": strings.Repeat(other, maxBufferedBytes/50)} {
			t.Run(name+", "+size, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.timeout = silenceTimeout
				addFailoverServers(h,
					func(c net.Conn, r *http.Request) {
						time.Sleep(400 * time.Millisecond) // A standby is started meanwhile.
						_, _ = io.WriteString(c, unframedHead(r, 200, fmt.Sprintf("Content-Length: %d", 2*len(half)))+half)
						end(c)
					},
					func(c net.Conn, r *http.Request) {
						time.Sleep(600 * time.Millisecond)
						writeResponse(c, r, 200, rest)
					})
				h.start()
				got := h.send("/again/x")
				assert.Assert(t, got.err != nil || got.body == half+half || got.body == rest, "%d bytes, %d of another server: %s", len(got.body), strings.Count(got.body, "b"), h.logLines("1"))
				assert.Assert(t, !strings.Contains(got.body, "a") || !strings.Contains(got.body, "b"), "two answers were joined")
			})
		}
	}
}
