package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleGrace is added to the configured idle timeout, so that a request sent just
	// before the timeout does not reach a closed connection.
	idleGrace = time.Second
	// newConnGrace is how long a connection without a request stays open once the
	// gateway accepts no more connections.
	newConnGrace = 400 * time.Millisecond
	// endReadsInterval is the interval at which the reads of a connection are ended
	// again until its state changes: http.Server takes the deadline back when it begins
	// to wait for a request, which may be after its report of the state.
	endReadsInterval = 20 * time.Millisecond
	// emptyPollInterval is the interval at which awaitEmpty looks for open connections.
	emptyPollInterval = 10 * time.Millisecond
)

// callerConns ends callers' connections that wait for a request. It never closes them:
// a request may just have been read that http.Server has not reported yet. It makes
// the next read fail instead, after which http.Server closes the connection; a
// request that has been read is served. It is safe for concurrent use.
type callerConns struct {
	// limit returns the current idle timeout; zero means none. Unlike the one of
	// http.Server it may change at any time.
	limit func() time.Duration

	mu sync.Mutex
	// open holds the open connections.
	open map[net.Conn]*callerConn
	// stopping is set once no further requests are wanted.
	stopping bool
}

// callerConn is the state of one connection.
type callerConn struct {
	state http.ConnState
	// timer ends the reads of the connection while it waits for a request; nil if it does
	// not wait, or has no limit.
	timer *time.Timer
}

func newCallerConns(limit func() time.Duration) *callerConns {
	return &callerConns{limit: limit, open: make(map[net.Conn]*callerConn)}
}

// trackState is the ConnState hook of http.Server.
func (k *callerConns) trackState(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if previous := k.open[c]; previous != nil && previous.timer != nil {
		previous.timer.Stop()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(k.open, c)
		return
	}
	conn := &callerConn{state: state}
	k.open[c] = conn
	switch state {
	case http.StateActive:
		_ = c.SetReadDeadline(time.Time{}) // Undoes an end of the reads; a closed connection has none.
	case http.StateIdle:
		if k.stopping {
			k.endReads(c, conn)
		} else if limit := k.limit(); limit > 0 {
			k.endReadsAfter(c, conn, limit+idleGrace)
		}
	case http.StateNew:
		if k.stopping {
			k.endReadsAfter(c, conn, newConnGrace)
		}
	}
}

// stop ends the connections that wait for a request, new ones after newConnGrace.
func (k *callerConns) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopping = true
	for c, conn := range k.open {
		switch conn.state {
		case http.StateIdle:
			k.endReads(c, conn)
		case http.StateNew:
			k.endReadsAfter(c, conn, newConnGrace)
		}
	}
}

// endReadsAfter ends the reads of a connection after the given time unless its state has
// changed until then. The caller holds the lock.
func (k *callerConns) endReadsAfter(c net.Conn, conn *callerConn, after time.Duration) {
	if conn.timer != nil {
		conn.timer.Stop()
	}
	conn.timer = time.AfterFunc(after, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.open[c] == conn {
			k.endReads(c, conn)
		}
	})
}

// endReads makes the reads of a connection fail until its state changes. The caller holds
// the lock.
func (k *callerConns) endReads(c net.Conn, conn *callerConn) {
	_ = c.SetReadDeadline(time.Unix(1, 0)) // It fails only for a closed connection.
	k.endReadsAfter(c, conn, endReadsInterval)
}

// awaitEmpty waits until no connection is open. It returns false after the timeout.
func (k *callerConns) awaitEmpty(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for {
		if k.count() == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(emptyPollInterval)
	}
}

func (k *callerConns) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open)
}
