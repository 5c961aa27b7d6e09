package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bluebellwind.example/internal/nettimeout"
)

// maxInlineBodyBytes is the size up to which a request body is written before the
// response is read. Larger bodies are written concurrently, because a server may
// respond before it has read the whole body.
const maxInlineBodyBytes = 16 << 10

// longBodyUnackedTimeout replaces unackedTimeout while a body of more than
// maxInlineBodyBytes is written: the kernel also counts the time in which a server that is
// sound reads nothing of it.
const longBodyUnackedTimeout = 12 * time.Second

// maxMismatchedResponses is how many responses to other requests are skipped on a
// connection before it is closed.
const maxMismatchedResponses = 1

// Request is a request to a particular server.
type Request struct {
	// Address is the IP:port of the server.
	Address string
	// ServerStarted is when the server started, in any unit. A connection that was opened
	// for another start of it is not used again: if its host was lost, the server has
	// not closed it.
	ServerStarted int64
	Method        string
	// Target is the path and query in the form in which the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a reused connection may have been idle.
	MaxIdle time.Duration
	// MaxConnections bounds the open connections to the server; 0 means no bound.
	MaxConnections int
	// ID identifies the request; empty if it has no ID. It is sent on no connection that has
	// carried a request with the same ID.
	ID string
	// Matches reports whether a response belongs to this request; nil accepts every
	// response.
	Matches func(http.Header) bool
	// KeepWaiting is called every waitPollInterval while the server sends nothing of
	// use, from when the request is sent to the end of the response, with the time since
	// the silence began: anything but a whole header, then any part of the body, see
	// also Response.CountRecords. The read fails when it returns false; nil waits
	// without limit. It is called by the goroutine that reads.
	KeepWaiting func(silence time.Duration) bool
	// BeforeSend is called once the connection is open and before anything is
	// sent. If it returns an error, nothing is sent.
	BeforeSend func() error
}

// Response is the response of a server. The caller must read and close it. It
// is not safe for concurrent use.
type Response struct {
	// Status is the HTTP status code.
	Status int
	Header http.Header
	// Length is the size of the body in bytes, or -1 if the server does not state it.
	Length int64
	// Reused says that the connection had carried another request before.
	Reused bool

	body io.ReadCloser
	conn *conn
	pool *Pool
	// stopAbort cancels the abort at the end of the context. It returns false if the
	// abort has already started.
	stopAbort func() bool
	// bodyWritten receives the result of a concurrent write of the body; nil if the
	// body was written before the response was read.
	bodyWritten chan error
	// reusable says that the connection may carry another request, complete that the
	// body has been read to its end.
	reusable bool
	complete bool
	closed   bool
}

// Send sends a request and returns the response once its header has arrived.
// The error is an *Error, or the error of Request.BeforeSend. The connection is
// closed as soon as ctx ends.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{Op: "dial", Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.release(c)
			return nil, err
		}
	}
	if c.reused {
		p.countReuse()
	}
	c.patience = headPatience(r.KeepWaiting)
	stopAbort := context.AfterFunc(ctx, c.abort)
	response, failure := p.roundTrip(c, r)
	if failure != nil {
		stopAbort()
		c.abort()
		p.discard(c)
		if ctx.Err() != nil {
			failure.Err = errors.Join(ctx.Err(), failure.Err)
		} else {
			p.closeIdleTo(r.Address)
		}
		return nil, failure
	}
	response.stopAbort = stopAbort
	return response, nil
}

func (p *Pool) roundTrip(c *conn, r *Request) (*Response, *Error) {
	bodyWritten, err := c.writeRequest(r)
	if err != nil {
		return nil, &Error{MaybeSent: true, Op: "write", Err: err}
	}
	resp, skipped, err := c.readHead(r)
	if err != nil {
		return nil, &Error{MaybeSent: true, Op: "read", Err: err}
	}
	c.patience = bodyPatience(r.KeepWaiting)
	c.applyKeepAlive(resp.Header)
	body := resp.Body
	if isUnframed(resp) {
		body = newUnframedBody(resp, c, bodyWritten)
	}
	return &Response{
		Status:      resp.StatusCode,
		Header:      resp.Header,
		Length:      resp.ContentLength,
		Reused:      c.reused,
		body:        body,
		conn:        c,
		pool:        p,
		bodyWritten: bodyWritten,
		reusable:    skipped == 0 && !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0),
	}, nil
}

// writeRequest sends the request. If the body is written concurrently, the returned
// channel receives the result of that write; otherwise it is nil.
func (c *conn) writeRequest(r *Request) (chan error, error) {
	w := c.writer
	w.Reset(c.Conn)
	if r.ID != "" {
		c.carried.add(r.ID)
	}
	c.carriedHead = c.carriedHead || r.Method == http.MethodHead
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
	if len(r.Body) <= maxInlineBodyBytes {
		if _, err := w.Write(r.Body); err != nil {
			return nil, err
		}
		return nil, w.Flush()
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	if err := nettimeout.Set(c.Conn, longBodyUnackedTimeout); err != nil {
		return nil, err
	}
	bodyWritten := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		bodyWritten <- err
	}()
	return bodyWritten, nil
}

// readHead reads the header of the response to r. It skips a response to another
// request, which a faulty server may send late, and returns how many it has skipped. It skips
// none if a request on the connection was HEAD, as it is not known then whether the other
// response has a body.
func (c *conn) readHead(r *Request) (resp *http.Response, skipped int, err error) {
	for {
		if c.oldWithCoding() {
			return nil, skipped, errors.New("an answer older than HTTP/1.1 names a transfer coding")
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, skipped, err
		}
		if holdsStatusLine(resp) {
			return nil, skipped, errTwoHeads
		}
		if !isHTTPStatus(resp.StatusCode) || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, skipped, fmt.Errorf("no answer has status %03d", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, skipped, nil
		}
		if skipped++; skipped > maxMismatchedResponses || resp.Close || c.carriedHead {
			return nil, skipped, errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, skipped, err
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.patience.read(c.Conn, b) }

// SetKeepWaiting replaces Request.KeepWaiting for the rest of the response.
func (r *Response) SetKeepWaiting(keepWaiting func(silence time.Duration) bool) {
	r.conn.patience.keepWaiting = keepWaiting
	r.conn.patience.recordProgress()
}

// CountRecords makes bytes no longer end the silence of the server, only RecordProgress.
func (r *Response) CountRecords() { r.conn.patience.bytesCount = false }

// RecordProgress records that the server has sent something of use. It must be called by
// the goroutine that reads.
func (r *Response) RecordProgress() { r.conn.patience.recordProgress() }

// Read implements io.Reader on the body. io.EOF means that the body is complete, as far
// as that can be told: one with neither a length nor chunks is taken as complete if the
// server ended its connection in order and, if it is an event stream, between two events.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Drain reads the rest of the body, if it is short, so that the connection can be reused.
func (r *Response) Drain() error {
	if !r.reusable {
		return nil
	}
	r.conn.patience = drainPatience()
	_, err := io.Copy(io.Discard, r)
	return err
}

// Abort resets the connection at once: a Read in progress fails. It may be called by any
// goroutine.
func (r *Response) Abort() { r.conn.abort() }

// Close closes the response. The connection is reused only if the body was read to
// its end.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notAborted := r.stopAbort()
	if !r.complete {
		r.conn.abort() // First, because closing the body reads the rest of it.
	}
	r.body.Close()
	if !r.complete || !r.reusable || !notAborted || !r.requestSent() || r.conn.reader.Buffered() > 0 {
		r.pool.discard(r.conn)
		return
	}
	if err := r.conn.reset(r.bodyWritten != nil); err != nil {
		r.pool.discard(r.conn)
		return
	}
	r.pool.release(r.conn)
}

// reset prepares the connection for another request. longBody says that the last one had a
// body that was written concurrently.
func (c *conn) reset(longBody bool) error {
	c.patience = patience{}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if !longBody {
		return nil
	}
	return nettimeout.Set(c.Conn, unackedTimeout)
}

// requestSent reports whether the whole request has been written.
func (r *Response) requestSent() bool {
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}
