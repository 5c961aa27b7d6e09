package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or a change in a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_revision,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. It is linearizable, keeps its whole history and
// loses nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

// put writes a value as JSON. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	changed := item{Key: key, Value: encoded, Revision: s.revision, Created: s.items[key].Created}
	if changed.Created == 0 {
		changed.Created = s.revision
	}
	s.items[key] = changed
	s.append(changed)
}

// remove removes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

// append adds a change to the history and wakes the watches. The caller holds mu.
func (s *store) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case "/bluebellwind/kv-key":
		s.serveItem(w, query.Get("key"))
	case "/bluebellwind/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/bluebellwind/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveItem(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, found)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "truncated": false, "as_of": s.revision})
}

// serveWatch serves a watch.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events, revision, changed := s.eventsAfter(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": revision})
		return
	}
}

// eventsAfter returns the changes after a revision. The caller holds mu.
func (s *store) eventsAfter(prefix string, after int64) []item {
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}
