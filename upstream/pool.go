package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellwind.example/internal/nettimeout"
)

const (
	// dialTimeout bounds the TCP handshake; the round trip to a server takes at
	// most a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 1200 * time.Millisecond
	// idleTimeout is how long an unused connection is kept open if the server does not
	// state its own timeout.
	idleTimeout = 4 * time.Second
	// maxIdleTimeout is how long an unused connection is kept open if the server states a
	// longer timeout. Each costs this process some 10 KB.
	maxIdleTimeout = 30 * time.Second
	// keepAliveMargin is how long before a server's own idle timeout a connection
	// is no longer used, so that no request is sent while the server closes it.
	keepAliveMargin = 500 * time.Millisecond
	// maxKeepAliveSeconds bounds the timeout that a server states, so that it fits into a
	// duration.
	maxKeepAliveSeconds = 3600
	// maxIdlePerServer bounds the number of idle connections to one server.
	maxIdlePerServer = 16
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// ErrBusy says that all connections that this process may open to the server are
// in use. Pool.Send returns it as the cause of an *Error.
var ErrBusy = errors.New("all connections to the server are in use")

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	// anyID makes the pool reuse connections whatever IDs they have carried; set by tests
	// only.
	anyID bool

	mu           sync.Mutex
	servers      map[string]*serverConns
	dialAttempts int64
	reuses       int64
}

// serverConns tracks the connections to one server; openCount includes the idle ones
// and those that are being opened.
type serverConns struct {
	idle      []*conn
	openCount int
}

type conn struct {
	net.Conn
	address string
	// serverStarted is Request.ServerStarted of the request for which it was opened.
	serverStarted int64
	reader        *bufio.Reader
	writer        *bufio.Writer
	idleSince     time.Time
	// idleLimit is how long the connection may stay idle.
	idleLimit time.Duration
	// reused says that the connection has carried another request before.
	reused bool
	// patience bounds what is read from the server.
	patience patience
	// carried holds the IDs of the last requests on the connection. carriedHead is set if
	// one of its requests was HEAD.
	carried     idRing
	carriedHead bool
}

// maxCarriedIDs is the number of requests for which a connection remembers its IDs.
const maxCarriedIDs = 64

// idRing holds hashes of the IDs of the last maxCarriedIDs requests.
type idRing struct {
	hashes []uint64
	next   int
}

func (r *idRing) add(id string) {
	h := xxhash.Sum64String(id)
	if len(r.hashes) < maxCarriedIDs {
		r.hashes = append(r.hashes, h)
		return
	}
	r.hashes[r.next] = h
	r.next = (r.next + 1) % maxCarriedIDs
}

func (r *idRing) contains(id string) bool { return slices.Contains(r.hashes, xxhash.Sum64String(id)) }

// fits reports whether the connection may carry a request with this ID. A late second
// copy of a response to an earlier request with the same ID could not be told from the
// response to this one.
func (c *conn) fits(id string) bool { return id == "" || !c.carried.contains(id) }

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer:  nettimeout.Dialer(dialTimeout, unackedTimeout),
		servers: make(map[string]*serverConns),
	}
}

// DialAttempts returns how many connections the pool has tried to open so far.
func (p *Pool) DialAttempts() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialAttempts
}

// Reuses returns how many requests were sent on a connection that had been used before.
func (p *Pool) Reuses() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuses
}

func (p *Pool) countReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuses++
}

// IdleServers returns the addresses of the servers to which a connection is open that has
// been idle for at most maxIdle and may still be used.
func (p *Pool) IdleServers(maxIdle time.Duration) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	addresses := make(map[string]bool)
	for address, s := range p.servers {
		if len(s.idle) == 0 {
			continue
		}
		latest := s.idle[len(s.idle)-1]
		if idle := now.Sub(latest.idleSince); idle < latest.idleLimit && idle <= maxIdle {
			addresses[address] = true
		}
	}
	return addresses
}

// closeIdleTo closes the idle connections to a server to which one has just failed: it may
// have restarted or become unreachable without closing them.
func (p *Pool) closeIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		return
	}
	for _, c := range s.idle {
		c.Close()
		s.openCount--
	}
	s.idle = nil
}

// Refuses reports whether the address refuses connections. An error means that this is
// not known.
func (p *Pool) Refuses(ctx context.Context, address string) (bool, error) {
	p.mu.Lock()
	p.dialAttempts++
	p.mu.Unlock()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return false, c.Close()
}

// CloseIdle closes connections that have been idle for too long. It must be called
// periodically.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			c.Close()
			s.openCount--
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if s.openCount == 0 {
			delete(p.servers, address)
		}
	}
}

// acquire returns a connection that has been idle for at most r.MaxIdle and may carry r, or
// opens a new one.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, err := p.reuseOrReserve(r)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, r)
		}
		if (p.anyID || c.fits(r.ID)) && c.usable() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
}

// reuseOrReserve returns an idle connection. A nil connection without an error
// means that the caller may open a new one, which is already counted as open.
func (p *Pool) reuseOrReserve(r *Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[r.Address]
	if s == nil {
		s = &serverConns{}
		p.servers[r.Address] = s
	}
	now := time.Now()
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		idle := now.Sub(c.idleSince)
		sameServer := c.serverStarted == r.ServerStarted
		if sameServer && idle < c.idleLimit && idle <= r.MaxIdle {
			s.idle[len(s.idle)-1] = nil
			s.idle = s.idle[:len(s.idle)-1]
			return c, nil
		}
		if sameServer && idle < c.idleLimit && (r.MaxConnections == 0 || s.openCount < r.MaxConnections) {
			break // Kept for requests that allow older idle connections.
		}
		s.idle = s.idle[:len(s.idle)-1]
		c.Close()
		s.openCount--
	}
	if r.MaxConnections > 0 && s.openCount >= r.MaxConnections {
		return nil, ErrBusy
	}
	s.openCount++
	p.dialAttempts++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, r *Request) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.decrementOpen(r.Address)
		return nil, err
	}
	c := &conn{
		Conn: raw, address: r.Address, serverStarted: r.ServerStarted, writer: bufio.NewWriterSize(raw, writeBufferBytes), idleLimit: idleTimeout,
	}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// release returns a connection to the pool. It must carry no unfinished request or
// response.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	s := p.servers[c.address]
	if s != nil && len(s.idle) < maxIdlePerServer {
		s.idle = append(s.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.decrementOpen(c.address)
}

func (p *Pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		s.openCount--
	}
}

// abort resets the connection, so that data still in transit to the server is
// discarded instead of being processed after the caller has left.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // On failure, Close still ends the connection.
	}
	c.Close()
}

// usable reports whether the server has neither closed the idle connection nor sent
// anything on it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(recvErr, syscall.EAGAIN)
		return true // Done after one check; do not wait for readability.
	})
	return err == nil && usable
}

// applyKeepAlive sets idleLimit from the idle timeout that the server states in its
// Keep-Alive header, less keepAliveMargin and at most maxIdleTimeout.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		c.idleLimit = max(0, min(maxIdleTimeout, time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second-keepAliveMargin))
	}
}

var _ io.Closer = (*conn)(nil)
