package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the configured idle timeout, so that a request sent just
// before the timeout does not reach a closed connection.
const idleGrace = time.Second

// idleCloser closes callers' connections that stay idle for too long. Unlike the
// idle timeout of http.Server, its limit may change at any time. It is safe for
// concurrent use.
type idleCloser struct {
	// limit returns the current idle timeout; zero means none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// trackState is the ConnState hook of http.Server. It starts a timer when a
// connection becomes idle and stops it at any other change.
func (i *idleCloser) trackState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	limit := i.limit()
	if state == http.StateIdle && limit > 0 {
		i.timers[c] = time.AfterFunc(limit+idleGrace, func() { c.Close() })
	}
}
