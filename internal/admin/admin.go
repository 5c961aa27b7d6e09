// Package admin serves metrics, health and readiness probes over HTTP.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/connguard"
)

const (
	// readTimeout bounds the time to read a request, and writeTimeout that from its header to
	// the end of its response.
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	// idleTimeout is how long a connection may be idle. Metrics are read at intervals of a
	// minute at most.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// shutdownTimeout bounds the wait for requests in flight in Close.
	shutdownTimeout = 2 * time.Second
)

// Server is a running admin listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewMux returns the handlers that all processes share. ready is called for each
// readiness probe.
func NewMux(ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /-/healthy", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("healthy\n"))
	})
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// Limits bound what the connections of a Server make the process hold.
type Limits struct {
	// Connections is the greatest number of open connections; at least 1.
	Connections int
	// Headers bounds the memory of the headers of all requests together, in bytes.
	Headers int64
}

// defaultHeaderMemory bounds the memory of headers where no setting does.
const defaultHeaderMemory = 8 << 20

// LimitsOf returns the limits for a process whose connections are bounded by c.
func LimitsOf(c config.Connections) Limits {
	return Limits{Connections: c.Control, Headers: defaultHeaderMemory}
}

// Listen starts a server for h at address, which runs until Close.
func Listen(address string, limits Limits, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	guard := connguard.New(connguard.Options{
		Connections: limits.Connections, HeaderBytes: func() int { return maxHeaderBytes }, Headers: connguard.NewBudget(limits.Headers),
	})
	s := &Server{listener: listener, http: &http.Server{
		Handler: h, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: guard.TrackState,
	}}
	go func() { _ = s.http.Serve(guard.Listener(listener)) }() // Close makes it return.
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server after waiting for requests in flight for a limited time.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
