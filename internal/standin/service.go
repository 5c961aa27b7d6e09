package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Service simulates a plain service that records pledges or clients. It does
// not detect repeated requests: each call adds a record.
type Service struct {
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration

	mu           sync.Mutex
	startedCalls int
	records      []string
}

// NewService returns a service without records.
func NewService(serviceTime time.Duration) *Service { return &Service{ServiceTime: serviceTime} }

// Records returns the bodies of all recorded calls, in order.
func (s *Service) Records() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.records...)
}

// StartedCalls returns the number of calls for a record that have started.
func (s *Service) StartedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedCalls
}

// Handler serves calls: a POST adds a record, a GET returns the number of
// records.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		writeJSON(w, map[string]any{"path": r.URL.Path, "records": len(s.Records())})
	})
	mux.HandleFunc("POST /", s.record)
	return mux
}

func (s *Service) record(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.startedCalls++
	s.mu.Unlock()
	time.Sleep(s.ServiceTime) // The record is added even if the caller disconnects.
	s.mu.Lock()
	s.records = append(s.records, string(body))
	number := len(s.records)
	s.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "{\"record\":%d}\n", number)
}
