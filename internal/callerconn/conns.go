// Package callerconn ends the connections of callers that wait for a request, without losing
// one.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"bluebellwind.example/internal/nettimeout"
)

const (
	// IdleGrace is added to the configured idle timeout, so that a request sent just
	// before the timeout does not reach a closed connection.
	IdleGrace = time.Second
	// newConnGrace is how long a connection without a request stays open once the
	// gateway accepts no more connections.
	newConnGrace = 400 * time.Millisecond
	// endReadsInterval is the interval at which the reads of a connection are ended
	// again until its state changes: http.Server takes the deadline back when it begins
	// to wait for a request, which may be after its report of the state.
	endReadsInterval = 20 * time.Millisecond
	// emptyPollInterval is the interval at which AwaitEmpty looks for open connections.
	emptyPollInterval = 10 * time.Millisecond
)

// Set ends callers' connections that wait for a request. It never closes them:
// a request may just have been read that http.Server has not reported yet. It makes
// the next read fail instead, after which http.Server closes the connection; a
// request that has been read is served. Connections carry HTTP/1.1. It is safe for concurrent
// use.
type Set struct {
	// limit returns the current idle timeout. Unlike the one of http.Server it may change
	// at any time.
	limit func() time.Duration

	mu sync.Mutex
	// open holds the open connections.
	open map[net.Conn]*conn
	// stopping is set once no further requests are wanted.
	stopping bool
}

// conn is the state of one connection.
type conn struct {
	state http.ConnState
	// timer ends the reads of the connection while it waits for a request; nil if it does
	// not wait, or has no limit.
	timer *time.Timer
}

// NewSet returns an empty set. limit returns the current idle timeout; zero means none.
func NewSet(limit func() time.Duration) *Set {
	return &Set{limit: limit, open: make(map[net.Conn]*conn)}
}

// TrackState is the ConnState hook of http.Server.
func (s *Set) TrackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.open[c]; previous != nil && previous.timer != nil {
		previous.timer.Stop()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
		return
	}
	tracked := &conn{state: state}
	s.open[c] = tracked
	switch state {
	case http.StateActive:
		_ = c.SetReadDeadline(time.Time{}) // Undoes an end of the reads; a closed connection has none.
	case http.StateIdle:
		if s.stopping {
			s.endReads(c, tracked)
		} else if limit := s.limit(); limit > 0 {
			s.endReadsAfter(c, tracked, limit+IdleGrace)
		}
	case http.StateNew:
		if s.stopping {
			s.endReadsAfter(c, tracked, newConnGrace)
		}
	}
}

// Stop ends the connections that wait for a request, new ones after newConnGrace.
func (s *Set) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c, tracked := range s.open {
		switch tracked.state {
		case http.StateIdle:
			s.endReads(c, tracked)
		case http.StateNew:
			s.endReadsAfter(c, tracked, newConnGrace)
		}
	}
}

// endReadsAfter ends the reads of a connection after the given time unless its state has
// changed until then. The caller holds the lock.
func (s *Set) endReadsAfter(c net.Conn, tracked *conn, after time.Duration) {
	if tracked.timer != nil {
		tracked.timer.Stop()
	}
	tracked.timer = time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.open[c] == tracked {
			s.endReads(c, tracked)
		}
	})
}

// endReads makes the reads of a connection fail until its state changes, unless bytes have
// arrived that have not been read: a busy process may not have come to read a request that
// its caller has sent long ago. The caller holds the lock.
func (s *Set) endReads(c net.Conn, tracked *conn) {
	deadline := time.Unix(1, 0)
	if hasUnread(c) && disabled != "unread-requests" {
		deadline = time.Time{}
	}
	_ = c.SetReadDeadline(deadline) // It fails only for a closed connection.
	s.endReadsAfter(c, tracked, endReadsInterval)
}

// hasUnread reports whether bytes have arrived on a connection that have not been read.
// For a connection that is not TCP it returns false.
func hasUnread(c net.Conn) bool {
	tcp, ok := nettimeout.TCP(c)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// Control, unlike Read, does not wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) // An error means that there is nothing.
	})
	return err == nil && unread > 0
}

// AwaitEmpty waits until no connection is open. It returns false after the timeout.
func (s *Set) AwaitEmpty(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for {
		if s.count() == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(emptyPollInterval)
	}
}

func (s *Set) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
