package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// unframedBody reads the body of a response with neither a length nor chunks, which
// ends with its connection. Its end is io.EOF if the body may be complete, and
// io.ErrUnexpectedEOF if it is known to have broken off.
type unframedBody struct {
	io.ReadCloser
	conn *conn
	// bodyWritten is as in Response.
	bodyWritten chan error
	eventStream bool
	// tail holds the last bytes read, maxBlankLineBytes at most.
	tail []byte
	// end is the error at the end of the body; nil before it.
	end error
}

// maxBlankLineBytes is the length of the longest end of a complete event that is looked
// at: the end of a line and a blank line.
const maxBlankLineBytes = len("\n\r\n")

// isUnframed reports whether the response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func newUnframedBody(resp *http.Response, c *conn, bodyWritten chan error) *unframedBody {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return &unframedBody{
		ReadCloser: resp.Body, conn: c, bodyWritten: bodyWritten,
		eventStream: strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream"),
	}
}

// Read implements io.Reader.
func (u *unframedBody) Read(b []byte) (int, error) {
	if u.end != nil {
		return 0, u.end
	}
	n, err := u.ReadCloser.Read(b)
	if u.eventStream {
		u.tail = append(u.tail, b[max(0, n-maxBlankLineBytes):n]...)
		u.tail = u.tail[max(0, len(u.tail)-maxBlankLineBytes):]
	}
	if err != io.EOF {
		return n, err
	}
	u.end = io.EOF
	if u.wasReset() || u.eventStream && !u.endsBetweenEvents() {
		u.end = io.ErrUnexpectedEOF
	}
	return n, u.end
}

// endsBetweenEvents reports whether the last bytes read complete an event.
func (u *unframedBody) endsBetweenEvents() bool {
	return bytes.HasSuffix(u.tail, []byte("\n\n")) || bytes.HasSuffix(u.tail, []byte("\n\r\n"))
}

// wasReset reports whether a concurrent write of the request body met a reset of the
// connection. The kernel reports a reset only once, so the read then sees an ordinary
// end. A write that is still waiting has met none and is stopped.
func (u *unframedBody) wasReset() bool {
	if u.bodyWritten == nil {
		return false
	}
	_ = u.conn.SetWriteDeadline(time.Unix(1, 0)) // Fails only if the connection is closed, which ends the write too.
	err := <-u.bodyWritten
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
