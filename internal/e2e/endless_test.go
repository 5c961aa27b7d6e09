package e2e

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/crowd"
)

// serveEndlessly serves GET /health, and to all other requests writes first and then repeated
// until the caller closes the connection.
func (c *cluster) serveEndlessly(first, repeated string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for _, err = conn.Write([]byte(first)); err == nil; _, err = conn.Write([]byte(repeated)) {
		}
	}))
	c.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

// peakMegabytes returns the most memory that a process has held, which must not have ended.
func (p *process) peakMegabytes(t *testing.T) int {
	t.Helper()
	peak := crowd.Process{PID: p.cmd.Process.Pid}.PeakMB()
	assert.Assert(t, peak > 0, "%s has ended", p.name)
	return peak
}

// An engine that sends bytes without end must not use up the memory of its agent or of the entry:
// each call kept up to ten megabytes of a head.
func TestEngineThatSendsBytesWithoutEndUsesUpNoMemory(t *testing.T) {
	const maxMB = 152 // The memory of the instance of an agent.
	for name, answer := range map[string][2]string{
		"head":         {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"},
		"line of head": {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 4096)},
		"event":        {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, sessionRules)
			c.slots = 64
			c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEndlessly(answer[0], answer[1]))
			c.addEntry("entry-1", "ga-1")
			c.publish()
			until := time.Now().Add(4 * time.Second)
			var callers sync.WaitGroup
			for range 64 {
				callers.Go(func() {
					for time.Now().Before(until) {
						_, _, _ = c.call("entry-1", http.MethodPost, "/v1/chat/completions", "demo-oakville", chatBody("short", true, 1))
					}
				})
			}
			callers.Wait()
			for name, p := range c.processes {
				peak := p.peakMegabytes(t)
				t.Logf("%s held at most %d MB", name, peak)
				assert.Check(t, peak < maxMB, "%s: %d MB", name, peak)
			}
		})
	}
}
