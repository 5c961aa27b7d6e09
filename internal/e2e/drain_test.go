package e2e

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request on a connection that was accepted shortly before an entry stopped got nothing.
func TestRequestOnAConnectionAcceptedBeforeAnEntryStopsIsAnswered(t *testing.T) {
	c, _ := newDraftCluster(t, 1, time.Millisecond)
	address := c.callerAddresses["entry-1"]
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true}) // The test is not about certificates.
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	c.signal("entry-1", syscall.SIGTERM)
	c.eventually("the entry accepts no connections", func() bool {
		other, err := net.Dial("tcp", address)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, !strings.Contains(c.processes["entry-1"].log(), "event=drained"), "the entry has ended")
	body := chatBody("short", false, 1)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-oakville\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the connection was closed without an answer")
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable, "%d %s", response.StatusCode, text)
}
