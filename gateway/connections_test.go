package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addForgetfulServer adds a server that states a long idle timeout, but has closed each
// connection that was idle for longer than keep when the next request arrives on it.
func (h *harness) addForgetfulServer(id string, keep time.Duration) *stubServer {
	var mu sync.Mutex
	lastUsed := make(map[net.Conn]time.Time)
	return h.addServer(id, func(c net.Conn, r *http.Request) {
		mu.Lock()
		last, used := lastUsed[c]
		lastUsed[c] = time.Now()
		mu.Unlock()
		if used && time.Since(last) > keep {
			_ = c.Close() // The request is lost.
			return
		}
		writeResponse(c, r, http.StatusOK, "ok", "Keep-Alive: timeout=20")
	})
}

// Connections are kept for as long as servers state. A request that may run once would be lost
// on one that the server closes at that moment.
func TestRequestThatMayRunOnceUsesNoOldConnection(t *testing.T) {
	h := newHarness(t)
	server := h.addForgetfulServer("a", maxIdleNonRepeatable+50*time.Millisecond)
	h.start()
	for i := range 3 {
		response := h.send("/once/x", "Id", fmt.Sprint(i)) // A connection carries each ID once.
		assert.NilError(t, response.err)
		assert.Equal(t, response.status, http.StatusOK)
		time.Sleep(maxIdleNonRepeatable + 100*time.Millisecond)
	}
	assert.Equal(t, server.requestCount.Load(), int64(3))
	assert.Equal(t, h.gateway.pool.Reuses(), int64(0))
}

// A request that may be repeated is sent again if the server has closed the connection.
func TestRequestOnAConnectionThatTheServerHasClosedIsSentAgain(t *testing.T) {
	h := newHarness(t)
	h.addForgetfulServer("a", 50*time.Millisecond)
	h.addForgetfulServer("b", 50*time.Millisecond)
	h.start()
	for i := range 6 {
		response := h.send("/again/x", "Id", fmt.Sprint(i))
		assert.NilError(t, response.err)
		assert.Equal(t, response.status, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, h.gateway.pool.Reuses() > 0)
}

// Guards against a choice that takes another server although a connection to an equally good
// one is open, and against reuse that operators can't see.
func TestOpenConnectionIsPreferredAndReported(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		h.addServer(id, func(c net.Conn, r *http.Request) { writeResponse(c, r, http.StatusOK, "ok") })
	}
	h.start()
	var logged strings.Builder
	for i := range 40 {
		id := fmt.Sprintf("%d0", i) // Requests with such IDs are always logged.
		assert.Equal(t, h.send("/again/x", "Id", id).status, http.StatusOK)
		logged.WriteString(h.logLines(id))
	}
	opened, reused := h.gateway.pool.DialAttempts(), h.gateway.pool.Reuses()
	// A connection becomes idle a moment after the caller has the response.
	assert.Assert(t, opened <= 10, "%d opened", opened)
	assert.Equal(t, opened+reused, int64(40))
	assert.Assert(t, strings.Contains(logged.String(), "reused=true"))
	var metrics strings.Builder
	h.gateway.Metrics().WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), fmt.Sprintf("bluebellwind_server_connections_reused %d\n", reused)), metrics.String())
}
