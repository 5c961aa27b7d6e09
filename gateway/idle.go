package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than the operators' limit a connection may stay
// idle, so that a request sent just in time does not meet a closed connection.
const idleSlack = time.Second

// idleConnections closes callers' connections that stay without a request. The
// limit may change at any time, which http.Server does not offer. It is safe
// for concurrent use.
type idleConnections struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConnections(limit func() time.Duration) *idleConnections {
	return &idleConnections{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// note is the ConnState hook of http.Server.
func (i *idleConnections) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	limit := i.limit()
	if state == http.StateIdle && limit > 0 {
		i.timers[c] = time.AfterFunc(limit+idleSlack, func() { c.Close() })
	}
}
