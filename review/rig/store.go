package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store. It is safe for concurrent use.
type Store struct {
	Address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// StartStore starts a store on a free port of 127.0.0.1.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }() // Serves until the process ends.
	return s, nil
}

// Put writes a value, which is encoded as JSON unless it is a string.
func (s *Store) Put(key string, value any) {
	b, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		b = string(encoded)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: []byte(b), Revision: s.revision, CreateRevision: s.revision}
	if old, found := s.items[key]; found {
		it.CreateRevision = old.CreateRevision
	}
	s.items[key] = it
	s.note(it)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/bluebellwind/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/bluebellwind/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/bluebellwind/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body) // Fails only if the caller has left.
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, found := s.items[key]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, asOf})
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, map[string]any{"items": items, "truncated": false, "as_of": asOf})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}
