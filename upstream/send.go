package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// inlineBody is the size up to which a body is written before the answer is
// read; larger ones are written beside, for a server may answer early.
const inlineBody = 16 << 10

// waitPeriod is the time between two questions whether to wait on.
const waitPeriod = 100 * time.Millisecond

// partTimeout bounds a read that has begun to bring bytes.
const partTimeout = 1500 * time.Millisecond

// ErrSilent says that the server sent nothing and the caller waits no longer.
var ErrSilent = errors.New("the server is silent")

// maxForeign is how many answers of other requests are skipped on a connection
// before it is given up.
const maxForeign = 1

// Request is one request to one server.
type Request struct {
	// Address of the server, IP:port.
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest that a reused connection may have been idle.
	MaxIdle time.Duration
	// MaxConnections bounds the open connections to the server; 0 is no bound.
	MaxConnections int
	// Mine says whether an answer belongs to this request; nil takes every one.
	Mine func(http.Header) bool
	// Wait is asked each waitPeriod while the server sends nothing; the request is
	// given up when it returns false. Nil waits on.
	Wait func(silence time.Duration) bool
	// Before is asked when the connection stands and nothing is sent yet; with
	// an error nothing is sent.
	Before func() error
}

// Answer is the answer of a server. Its body must be read and closed. It is
// not safe for concurrent use.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, -1 if it is not stated.
	Length int64

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	stop    func() bool
	written chan error
	keep    bool
	whole   bool
	closed  bool
}

// Send sends a request and returns the head of its answer. The error is an
// *Error. The connection is closed as soon as ctx ends.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.take(ctx, r.Address, r.MaxIdle, r.MaxConnections)
	if err != nil {
		return nil, &Error{Op: "dial", Err: err}
	}
	if r.Before != nil {
		if err := r.Before(); err != nil {
			p.give(c)
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, failure := p.exchange(c, r)
	if failure != nil {
		stop()
		c.abort()
		p.drop(c)
		if ctx.Err() != nil {
			failure.Err = errors.Join(ctx.Err(), failure.Err)
		}
		return nil, failure
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r *Request) (*Answer, *Error) {
	written, err := c.write(r)
	if err != nil {
		return nil, &Error{Sent: true, Op: "write", Err: err}
	}
	resp, err := c.readHead(r)
	if err != nil {
		return nil, &Error{Sent: true, Op: "read", Err: err}
	}
	c.noteKeepAlive(resp.Header)
	return &Answer{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		body:    resp.Body,
		conn:    c,
		pool:    p,
		written: written,
		keep:    !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0),
	}, nil
}

// write sends the request. Where the body is written beside, the channel gives
// the outcome.
func (c *conn) write(r *Request) (chan error, error) {
	w := c.writer
	w.Reset(c.Conn)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.Write(w); err != nil {
		return nil, err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return nil, err
	}
	if len(r.Body) <= inlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return nil, err
		}
		return nil, w.Flush()
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return written, nil
}

// readHead reads the head of the answer to r. An answer to another request,
// which a faulty server may send late, is skipped.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for skipped := 0; ; {
		if err := c.await(r.Wait); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if skipped++; skipped > maxForeign || resp.Close {
			return nil, errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// await returns when the server has sent something, and bounds the read of it.
func (c *conn) await(wait func(time.Duration) bool) error {
	if wait == nil {
		return nil
	}
	began := time.Now()
	for c.reader.Buffered() == 0 {
		if err := c.SetReadDeadline(time.Now().Add(waitPeriod)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !wait(time.Since(began)) {
			return ErrSilent
		}
	}
	return c.SetReadDeadline(time.Now().Add(partTimeout))
}

// Await returns when the server has sent more of the body, or its end. The
// error is ErrSilent once wait returns false.
func (a *Answer) Await(wait func(silence time.Duration) bool) error {
	if a.whole {
		return nil
	}
	return a.conn.await(wait)
}

// Read implements io.Reader on the body. io.EOF says that it is whole.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. The connection is kept only if the body was read to
// its end.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.body.Close()
	undisturbed := a.stop()
	if !a.whole {
		a.conn.abort()
	}
	if !a.whole || !a.keep || !undisturbed || !a.sent() || a.conn.reader.Buffered() > 0 {
		a.pool.drop(a.conn)
		return
	}
	if err := a.conn.SetReadDeadline(time.Time{}); err != nil {
		a.pool.drop(a.conn)
		return
	}
	a.pool.give(a.conn)
}

// sent says that the whole request is out.
func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
