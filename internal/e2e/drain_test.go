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

	"bluebellwind.example/internal/standin"
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
		// A closing listener ignores new connections before it refuses them, and a caller that
		// meets it then would only know after a second.
		other, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
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

// A request whose body arrived late in the drain of an entry was passed on, and cut without an
// answer at the end of the drain, as were requests that still ran then.
func TestRequestsLateInTheDrainOfAnEntryAreAnswered(t *testing.T) {
	c := newCluster(t, sessionRules)
	c.drainTimeout = 2 * time.Second
	engine := standin.NewEngine(5*time.Second, 0)
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(engine))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	body := chatBody("short", false, 1)
	begin := func() (conn *tls.Conn) {
		conn, err := tls.Dial("tcp", c.callerAddresses["entry-1"], &tls.Config{InsecureSkipVerify: true}) // The test is not about certificates.
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo-oakville\r\nContent-Length: %d\r\n\r\n", len(body))
		assert.NilError(t, err)
		return conn
	}
	send := func(conn *tls.Conn) {
		_, err := io.WriteString(conn, body)
		assert.NilError(t, err)
	}
	status := func(conn *tls.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "the connection was closed without an answer")
		defer response.Body.Close()
		return response.StatusCode
	}
	late, running := begin(), begin()
	send(running)
	c.eventually("the request runs", func() bool { return engine.TotalRuns() == 1 })
	c.signal("entry-1", syscall.SIGTERM)
	time.Sleep(time.Second)
	send(late)
	assert.Equal(t, status(late), http.StatusServiceUnavailable)
	assert.Equal(t, engine.TotalRuns(), 1, "a request that was refused has run")
	assert.Assert(t, status(running) >= http.StatusInternalServerError)
}
