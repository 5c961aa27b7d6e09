package connguard

import (
	"bytes"
	"container/list"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrEvicted is the error of reads from a connection that made room for another one.
var ErrEvicted = errors.New("connguard: the connection made room for another one")

var (
	errHeaderTooLarge = errors.New("connguard: the header is larger than the limit")
	errHeadersFull    = errors.New("connguard: the memory for headers is full")
)

const (
	// refusalTime bounds the last write to a connection that is refused.
	refusalTime = time.Second
	// headerSlack is by how much the bytes that are read of a header may be over its limit:
	// 4 KiB of what follows may have arrived with it, and the limit leaves out the request line.
	headerSlack = 8 << 10
	// freeHeaderBytes and freeLines are what a header may have without a reservation. They are
	// part of the memory of each connection.
	freeHeaderBytes = 4 << 10
	freeLines       = 48
)

// What a process holds of a header, in bytes: for each byte, for each line, which is a field of a
// map that is copied for the server, and for each part of a list.
const (
	costPerByte = 3
	costPerLine = 384
	costPerPart = 64
)

// phase is what a connection is waiting for.
type phase uint8

const (
	// fresh connections have sent no whole header since they were opened, or have sent a part of
	// one since their last request.
	fresh phase = iota
	// idle connections have sent nothing since their last request.
	idle
	// active connections have a request that is being served.
	active
	// body connections have a request whose body is being read.
	body
	// gone connections are closed, or their reads fail so that they soon will be.
	gone
)

// Conn is a guarded connection. It is safe for concurrent use as far as the connection is that
// it guards.
type Conn struct {
	net.Conn
	guard *Guard

	// Guarded by guard.mu.
	phase phase
	// since is when the phase began, and place where the connection stands in the order of its
	// phase; nil if the phase has none.
	since time.Time
	place *list.Element
	// serving says that an evicted connection serves a request that it had received by then.
	serving bool
	// trusted connections do not count any more.
	trusted bool

	// headerBytes, lines and parts count what was read of the current header. They are used by
	// the goroutine that reads.
	headerBytes, lines, parts int
	// held is what is reserved for the header; guarded by guard.mu.
	held int64

	// evicted says that the connection is closed as soon as it serves no request.
	evicted atomic.Bool
	// writingSince is when the write began that is in progress, as Unix nanoseconds; zero if none
	// is.
	writingSince atomic.Int64
	closeOnce    sync.Once
}

// NetConn returns the connection that is guarded.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite shuts down the writing side, as http.Server does before it closes a connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn. It fails once the connection has been evicted, and when a header is
// over a bound, of which the caller is told.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if refused := c.guard.countRead(c, b[:n]); refused != nil {
			return 0, c.refuse(refused)
		}
	}
	if err != nil {
		c.reportHandshake(err)
	}
	if err != nil && c.evicted.Load() {
		return n, &net.OpError{Op: "read", Err: ErrEvicted}
	}
	return n, err
}

// reportHandshake reports the error of a read that was that of a TLS handshake.
func (c *Conn) reportHandshake(err error) {
	secure, ok := c.Conn.(*tls.Conn)
	if !ok || c.guard.options.OnHandshakeError == nil || secure.ConnectionState().HandshakeComplete {
		return
	}
	c.guard.options.OnHandshakeError(c.RemoteAddr(), err)
}

// refuse tells the caller why its header is not read any further, and returns the error of the
// read, upon which http.Server closes the connection without another answer.
func (c *Conn) refuse(reason error) error {
	status := http.StatusServiceUnavailable
	if errors.Is(reason, errHeaderTooLarge) {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime)) // Fails only for a closed connection, as do the writes.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	_ = c.CloseWrite()
	return &net.OpError{Op: "read", Err: reason}
}

// Write implements net.Conn. The caller of an evicted connection gets less time to read.
func (c *Conn) Write(b []byte) (int, error) {
	if c.evicted.Load() {
		_ = c.SetWriteDeadline(time.Now().Add(slowTime)) // Fails only for a closed connection.
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. The reads of an evicted connection keep failing unless it
// serves a request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted.Load() && !c.serving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.guard.forget(c) })
	return c.Conn.Close()
}

// Trust takes a connection whose caller has proved its identity out of the bounds.
func (c *Conn) Trust() { c.guard.trust(c) }

// countHeader counts what was read of a header.
func (c *Conn) countHeader(b []byte) {
	c.headerBytes += len(b)
	c.lines += bytes.Count(b, []byte{'\n'})
	c.parts += bytes.Count(b, []byte{','})
}

// headerCost returns what the process holds of the current header beyond what each connection
// has, in bytes.
func (c *Conn) headerCost() int64 {
	cost := max(0, c.headerBytes-freeHeaderBytes)*costPerByte + max(0, c.lines-freeLines)*costPerLine + c.parts*costPerPart
	return int64(cost)
}
