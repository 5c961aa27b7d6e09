package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bluebellwind.example/internal/nettimeout"
)

const (
	// dialTimeout bounds the handshake; servers are at most a few milliseconds away.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	unackedTimeout = 1200 * time.Millisecond
	// idleTimeout closes connections that no one used for this long.
	idleTimeout = 4 * time.Second
	// idleMargin is how long before a server's own idle timeout a connection is
	// given up, so that a request does not cross the close.
	idleMargin = 500 * time.Millisecond
	// maxIdleEach bounds the idle connections to one server.
	maxIdleEach = 16
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// ErrBusy says that all connections that this process may open are in use.
var ErrBusy = errors.New("all connections to the server are in use")

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu      sync.Mutex
	servers map[string]*server
	dials   int64
}

type server struct {
	idle []*conn
	open int
}

type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleFor is how long the connection may stay idle.
	idleFor time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer:  nettimeout.Dialer(dialTimeout, unackedTimeout),
		servers: make(map[string]*server),
	}
}

// Dials returns how many connections were opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// CloseIdle closes connections that have been idle for too long. Call it now
// and then.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) < c.idleFor {
				kept = append(kept, c)
				continue
			}
			c.Close()
			s.open--
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if s.open == 0 {
			delete(p.servers, address)
		}
	}
}

// take returns an idle connection that was used at most maxIdle ago, or opens
// one. limit bounds the open connections to the server, 0 means no bound.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration, limit int) (*conn, error) {
	for {
		c, err := p.reuse(address, maxIdle, limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

// reuse returns an idle connection; nil without an error means that one may be
// opened, which is then counted.
func (p *Pool) reuse(address string, maxIdle time.Duration, limit int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		s = &server{}
		p.servers[address] = s
	}
	now := time.Now()
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		idle := now.Sub(c.idleSince)
		if idle < c.idleFor && idle <= maxIdle {
			s.idle[len(s.idle)-1] = nil
			s.idle = s.idle[:len(s.idle)-1]
			return c, nil
		}
		if idle < c.idleFor && (limit == 0 || s.open < limit) {
			break // Kept for requests that may be repeated.
		}
		s.idle = s.idle[:len(s.idle)-1]
		c.Close()
		s.open--
	}
	if limit > 0 && s.open >= limit {
		return nil, ErrBusy
	}
	s.open++
	p.dials++
	return nil, nil
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	return &conn{
		Conn:    raw,
		address: address,
		reader:  bufio.NewReaderSize(raw, readBuffer),
		writer:  bufio.NewWriterSize(raw, writeBuffer),
		idleFor: idleTimeout,
	}, nil
}

// give returns a connection after a whole answer.
func (p *Pool) give(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	s := p.servers[c.address]
	if s != nil && len(s.idle) < maxIdleEach {
		s.idle = append(s.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.forget(c.address)
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		s.open--
	}
}

// abort resets the connection, so that what is still on its way to the server is
// lost instead of arriving after the caller has left.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The close follows in any case.
	}
	c.Close()
}

// quiet says that the server has neither closed the idle connection nor sent
// anything on it.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true // One look is enough; do not wait for bytes.
	})
	return err == nil && quiet
}

// noteKeepAlive takes the idle timeout that the server states.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		c.idleFor = max(0, min(idleTimeout, time.Duration(seconds)*time.Second-idleMargin))
	}
}

var _ io.Closer = (*conn)(nil)
