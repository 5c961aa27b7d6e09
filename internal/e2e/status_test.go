package e2e

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// serveStatus serves GET /health, and answers all other requests with a status line as it is
// given.
func (c *cluster) serveStatus(status string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		writeStatus(conn, status, r)
	}))
	c.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

func writeStatus(conn net.Conn, status string, r *http.Request) {
	const body = `{"id":"x"}`
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nX-Request-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Request-Id"), len(body), body)
}

// A caller got the answer of a server in trouble whose status was 000, or no answer at all: the
// entry could not write it. It must be told that its request may have run.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			c := newCluster(t, sessionRules)
			backend := c.serveStatus(status)
			c.addAgent("draft-1", "ga-1", "drafts", "", backend)
			c.addAgent("pledge-1", "ga-1", "", "pledges", backend)
			c.addEntry("entry-1", "ga-1")
			c.publish()
			ticket := c.requestTicket("entry-1", "/pledges", "{}")
			for name, request := range map[string]struct {
				method, path, body string
				headers            []string
			}{
				"draft":             {http.MethodPost, "/v1/chat/completions", chatBody("short", false, 1), nil},
				"stream":            {http.MethodPost, "/v1/chat/completions", chatBody("other", true, 1), nil},
				"call":              {http.MethodGet, "/pledges/all", "", nil},
				"call once":         {http.MethodPost, "/pledges", "{}", []string{"Idempotency-Key", ticket}},
				"call once, again":  {http.MethodPost, "/pledges", "{}", []string{"Idempotency-Key", ticket}},
				"call without body": {http.MethodHead, "/pledges/all", "", nil},
			} {
				res, body, err := c.call("entry-1", request.method, request.path, "demo-oakville", request.body, request.headers...)
				if name == "call without body" && err == nil && res.StatusCode == http.StatusNotFound {
					continue // The rules have no route for HEAD.
				}
				assert.NilError(t, err, name)
				assert.Check(t, res.StatusCode >= 500 && res.StatusCode < 600, "%s: status %d, %s", name, res.StatusCode, body)
				assert.Check(t, request.method == http.MethodHead || strings.Contains(body, `"verdict":"may have run"`), "%s: %s", name, body)
			}
		})
	}
}
