package connguard_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/connguard"
)

// Behind TLS the guard must count what is decrypted, and report handshakes that fail, which
// net/http no longer sees.
func TestGuardStandsOutsideOfTLS(t *testing.T) {
	const limit = 8 << 10
	failed := make(chan error, 1)
	guard := connguard.New(connguard.Options{
		Connections: 10, HeaderBytes: func() int { return limit }, Headers: connguard.NewBudget(1 << 20),
		OnHandshakeError: func(_ net.Addr, err error) { failed <- err },
	})
	served := httptest.NewTLSServer(nil) // Its certificate is used.
	defer served.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnState: guard.TrackState,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	go func() { _ = server.Serve(guard.Listener(tls.NewListener(l, served.TLS))) }() // Ends with the server.
	t.Cleanup(func() { _ = server.Close() })

	get := func(filler int) (*http.Response, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+l.Addr().String(), nil)
		assert.NilError(t, err)
		request.Header.Set("X-Filler", strings.Repeat("x", filler))
		return served.Client().Do(request)
	}
	response, err := get(limit - 500)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	response.Body.Close()
	response, err = get(4 * limit)
	if err == nil {
		assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		response.Body.Close()
	}
	assert.Assert(t, guard.Usage().HeadersRefused > 0) // The client may repeat the request.

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	assert.ErrorContains(t, <-failed, "tls")
}
