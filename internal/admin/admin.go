// Package admin serves metrics, health and readiness probes over HTTP.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
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

// Listen starts a server for h at address, which runs until Close.
func Listen(address string, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
	go func() { _ = s.http.Serve(listener) }() // Close makes it return.
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
