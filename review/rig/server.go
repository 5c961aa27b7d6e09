package rig

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in of a server of a plain service. It is safe for concurrent use.
type Server struct {
	ID, Address string
	// Work is how long it works on a request.
	Work time.Duration
	// Trouble is called for each request before it runs, with the connection's writer; it
	// returns whether it has dealt with the request. It may be nil.
	Trouble func(s *Server, w http.ResponseWriter, r *http.Request) bool

	record *Record
	mu     sync.Mutex
	runs   map[string]int
}

// StartServer starts a server on a free port of 127.0.0.1.
func StartServer(r *Record, id string, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Address: l.Addr().String(), Work: work, record: r, runs: make(map[string]int)}
	go func() { _ = http.Serve(l, s) }() // Serves until the process ends.
	return s, nil
}

// Entry is what the server publishes in the store.
func (s *Server) Entry(service, zone string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": s.Address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Bluebellwind-Attempt-Id")
	w.Header().Set("X-Bluebellwind-Attempt-Id", attempt)
	if target := r.Header.Get("X-Bluebellwind-Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("X-Bluebellwind-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Trouble != nil && s.Trouble(s, w, r) {
		return
	}
	s.Run(attempt)
	time.Sleep(s.Work)
	s.Answer(w, attempt)
}

// Run records that the server runs a request.
func (s *Server) Run(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[attempt]++
	s.record.Logf("server %s runs %s", s.ID, attempt)
}

// Answer sends the answer to a request.
func (s *Server) Answer(w http.ResponseWriter, attempt string) {
	body := Body(attempt)
	w.Header().Set("X-Bluebellwind-Server-Seal", s.Seal(attempt))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // Fails only if the caller has left.
}

// Seal returns the seal of the answer to a request.
func (s *Server) Seal(attempt string) string { return "seal-" + s.ID + "-" + attempt }

// Body returns the body of the answer to a request.
func Body(attempt string) string { return fmt.Sprintf("answer to %s\n%0400d\n", attempt, 0) }

// Runs returns how often the server has run a request.
func (s *Server) Runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}
