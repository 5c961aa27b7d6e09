package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// errTwoHeads means that a server broke off the head of one response and went on with that of
// another. What the first one said is not known to be about the request of the second.
var errTwoHeads = errors.New("the heads of two answers run together")

// holdsStatusLine reports whether the status line of another response stands in the head.
func holdsStatusLine(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether text contains the beginning of a status line, such as
// "HTTP/1.1 200".
func containsStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if len(rest) >= 5 && rest[1] == ' ' && isDigits(rest[2:5]) {
			return true
		}
		text = rest
	}
}

// isHTTPStatus reports whether a status code is one that HTTP defines or leaves to extensions.
func isHTTPStatus(code int) bool { return code >= http.StatusContinue && code <= maxHTTPStatus }

const maxHTTPStatus = 599

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}

// oldWithCoding reports whether the next response is older than HTTP/1.1 and names a
// transfer coding, so that its framing is unknown. net/http ignores the coding there.
func (c *conn) oldWithCoding() bool {
	const oldVersion = "HTTP/1.0"
	if start, _ := c.reader.Peek(len(oldVersion)); string(start) != oldVersion {
		return false
	}
	for size := c.reader.Buffered(); ; size = c.reader.Buffered() + 1 {
		head, err := c.reader.Peek(size)
		head, _, whole := bytes.Cut(head, []byte("\r\n\r\n"))
		if whole || err != nil {
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
		}
	}
}
