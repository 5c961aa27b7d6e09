// Package trace keeps the events of the most recent requests of one entry in
// memory.
package trace

import (
	"sync"
	"time"

	"bluebellwind.example/internal/operatorpb"
)

// DefaultCapacity is the capacity of an entry's ring, in events. A request that
// is answered has three events, and an event uses less than 1 KB.
const DefaultCapacity = 8192

// Ring is a ring buffer that holds the newest events. It is safe for concurrent
// use.
type Ring struct {
	mu     sync.Mutex
	events []*operatorpb.Event
	next   int
}

// NewRing returns a ring with a capacity of size events, or 1 if size is less.
func NewRing(size int) *Ring {
	return &Ring{events: make([]*operatorpb.Event, max(1, size))}
}

// Add sets the time of event to now and adds it, overwriting the oldest event if the
// ring is full. The event must not be changed after the call. It must not hold
// content of requests or secrets, because operators can read it.
func (r *Ring) Add(event *operatorpb.Event, now time.Time) {
	event.AtUnixMs = now.UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the events of a request, oldest first. It scans the whole ring,
// which is acceptable because only operators call it, and rarely.
func (r *Ring) Events(requestID string) []*operatorpb.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*operatorpb.Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event != nil && event.GetRequestId() == requestID {
			out = append(out, event)
		}
	}
	return out
}
