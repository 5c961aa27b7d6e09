package connguard

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// promptTime is within what a caller sends a request once it has connected. Connections that
	// have waited for less are evicted last.
	promptTime = 200 * time.Millisecond
	// slowTime is how long the body of a request, or the reader of a response, may keep a
	// connection waiting before it may be evicted.
	slowTime = 2 * time.Second
	// maxClosing is how many evicted connections may be open that their goroutines have not
	// closed yet; Accept waits for them closingPoll at a time, closingTime at most.
	maxClosing  = 32
	closingPoll = 2 * time.Millisecond
	closingTime = 500 * time.Millisecond
)

// Options are the bounds of a Guard.
type Options struct {
	// Connections is the greatest number of open connections; at least 1.
	Connections int
	// HeaderBytes returns the greatest size of the header of a request; nil if the connections
	// do not carry HTTP.
	HeaderBytes func() int
	// Headers bounds the memory of the headers of all connections together; nil if HeaderBytes
	// is.
	Headers *Budget
	// OnHandshakeError is called if the TLS handshake of a connection fails, by its goroutine; it
	// may be nil.
	OnHandshakeError func(from net.Addr, err error)
	// Lifetime bounds how long a connection may be open; zero for no bound.
	Lifetime time.Duration
}

// Guard bounds the connections of a listener. It is safe for concurrent use.
type Guard struct {
	options Options

	mu sync.Mutex
	// connections may change at any time, unlike the one of options.
	connections int
	// open counts the connections that are neither closed nor evicted, closing the evicted ones
	// that are not closed.
	open, closing int
	// orders hold the connections of the phases fresh, idle and body, the oldest first.
	orders [gone]list.List
	// conns are the open connections, and holders those with a reservation for a header.
	conns, holders map[*Conn]struct{}
	// usage counts what Usage returns, but for Open.
	usage Usage
}

// New returns a guard without connections.
func New(o Options) *Guard {
	return &Guard{options: o, connections: o.Connections, conns: make(map[*Conn]struct{}), holders: make(map[*Conn]struct{})}
}

// SetConnections replaces Options.Connections. Connections that are open stay.
func (g *Guard) SetConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections = n
}

// Usage is the state of a Guard.
type Usage struct {
	// Open is the number of open connections.
	Open int
	// Refused is the number of connections that were closed at once, Evictions that of
	// connections that made room for others, HeadersRefused that of headers over a bound.
	Refused, Evictions, HeadersRefused uint64
}

// Usage returns the state of the guard.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := g.usage
	usage.Open = g.open + g.closing
	return usage
}

// Listener returns a listener whose connections are those of l, guarded.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. The connection is a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.guard.awaitClosing()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.admit(c); guarded != nil {
			return guarded, nil
		}
		c.Close()
	}
}

// awaitClosing waits until most evicted connections are closed, so that their descriptors are
// free.
func (g *Guard) awaitClosing() {
	for end := time.Now().Add(closingTime); time.Now().Before(end); time.Sleep(closingPoll) {
		g.mu.Lock()
		closing := g.closing
		g.mu.Unlock()
		if closing <= maxClosing {
			return
		}
	}
}

// admit guards a new connection. It returns nil if there is no room for it.
func (g *Guard) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, phase: gone}
	if g.options.Lifetime > 0 {
		_ = raw.SetDeadline(time.Now().Add(g.options.Lifetime)) // Fails only for a closed connection.
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.connections {
		if !g.makeRoom(time.Now()) {
			g.usage.Refused++
			return nil
		}
	}
	g.open++
	g.conns[c] = struct{}{}
	g.enter(c, fresh)
	return c
}

// makeRoom evicts the connection that is missed least. It returns false if there is none. The
// caller holds the lock.
func (g *Guard) makeRoom(now time.Time) bool {
	return g.evictOldest(fresh, promptTime, now) || g.evictOldest(idle, 0, now) || g.evictOldest(body, slowTime, now) ||
		g.evictUnread(now) || g.evictOldest(body, promptTime, now) || g.evictOldest(fresh, 0, now)
}

// evictOldest evicts the connection that has been in a phase for longest, if that is not less
// than age. The caller holds the lock.
func (g *Guard) evictOldest(p phase, age time.Duration, now time.Time) bool {
	oldest := g.orders[p].Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*Conn)
	if now.Sub(c.since) < age {
		return false
	}
	g.evict(c)
	return true
}

// evictUnread closes a connection whose caller reads nothing. The caller holds the lock.
func (g *Guard) evictUnread(now time.Time) bool {
	var slowest *Conn
	since := now.Add(-slowTime).UnixNano()
	for c := range g.conns {
		if began := c.writingSince.Load(); began > 0 && began < since && !c.evicted.Load() {
			slowest, since = c, began
		}
	}
	if slowest == nil {
		return false
	}
	g.evict(slowest)
	_ = slowest.SetWriteDeadline(time.Unix(1, 0)) // Fails only for a closed connection.
	return true
}

// evict makes the reads of a connection fail, upon which its goroutine closes it. It does not
// close it: a request may just have been read. The caller holds the lock.
func (g *Guard) evict(c *Conn) {
	g.enter(c, gone)
	g.open--
	g.closing++
	g.usage.Evictions++
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))         // Fails only for a closed connection.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime)) // As above.
}

// enter sets the phase of a connection. The caller holds the lock.
func (g *Guard) enter(c *Conn, p phase) {
	if c.place != nil {
		g.orders[c.phase].Remove(c.place)
		c.place = nil
	}
	c.phase, c.since = p, time.Now()
	if p != active && p != gone && !c.evicted.Load() {
		c.place = g.orders[p].PushBack(c)
	}
}

// forget releases what a connection holds.
func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case c.trusted:
	case c.evicted.Load() && !c.serving:
		g.closing--
	default:
		g.open--
	}
	g.enter(c, gone)
	g.releaseHeader(c)
	delete(g.conns, c)
}

// trust takes a connection out of the bounds, unless it has been evicted.
func (g *Guard) trust(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted.Load() || c.trusted {
		return
	}
	c.trusted = true
	g.open--
	g.enter(c, active)
	_ = c.Conn.SetDeadline(time.Time{}) // Fails only for a closed connection.
}

// releaseHeader releases what is reserved for a header. The caller holds the lock.
func (g *Guard) releaseHeader(c *Conn) {
	if c.held == 0 {
		return
	}
	g.options.Headers.Release(c.held)
	c.held = 0
	delete(g.holders, c)
}

// TrackState is the ConnState hook of http.Server. The connection must be a *Conn.
func (g *Guard) TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		g.serve(c, true)
		g.enter(c, active)
	case http.StateIdle:
		c.headerBytes, c.lines, c.parts = 0, 0, 0
		g.releaseHeader(c)
		g.enter(c, idle)
		g.serve(c, false)
	}
}

// serve records that an evicted connection begins or ends to serve a request that it had received
// by then, for which it may read. The caller holds the lock.
func (g *Guard) serve(c *Conn, serving bool) {
	if !c.evicted.Load() || c.serving == serving {
		return
	}
	c.serving = serving
	deadline := time.Time{}
	if serving {
		g.closing--
		g.open++
	} else {
		g.closing++
		g.open--
		deadline = time.Unix(1, 0)
	}
	_ = c.Conn.SetReadDeadline(deadline) // Fails only for a closed connection.
}

// countRead counts bytes that were read. It returns an error if they are part of a header that is
// over a bound.
func (g *Guard) countRead(c *Conn, b []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.options.HeaderBytes == nil || c.phase == active || c.phase == body {
		return nil
	}
	if c.phase == idle {
		g.enter(c, fresh)
	}
	c.countHeader(b)
	if c.headerBytes > g.options.HeaderBytes()+headerSlack {
		g.usage.HeadersRefused++
		return errHeaderTooLarge
	}
	missing := c.headerCost() - c.held
	if missing <= 0 {
		return nil
	}
	for !g.options.Headers.Reserve(missing) {
		if !g.evictLargest(c) {
			g.usage.HeadersRefused++
			return errHeadersFull
		}
	}
	c.held += missing
	g.holders[c] = struct{}{}
	return nil
}

// evictLargest evicts the connection that holds most of a header that is not whole, if that is
// more than c would hold, and releases its memory. The caller holds the lock.
func (g *Guard) evictLargest(c *Conn) bool {
	var largest *Conn
	for holder := range g.holders {
		if holder.phase == fresh && (largest == nil || holder.held > largest.held) {
			largest = holder
		}
	}
	if largest == nil || largest == c || largest.held <= c.headerCost() {
		return false
	}
	g.evict(largest)
	g.releaseHeader(largest)
	return true
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the hook of that name of http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ReadingBody says that the body of the request with this context is being read, until the
// function is called that it returns. The connection may then be evicted once that takes long:
// reads of the body fail with ErrEvicted.
func ReadingBody(ctx context.Context) (done func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	c.guard.changePhase(c, active, body)
	return func() { c.guard.changePhase(c, body, active) }
}

// changePhase changes the phase of a connection from one to another, unless it has another one.
func (g *Guard) changePhase(c *Conn, from, to phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == from {
		g.enter(c, to)
	}
}
