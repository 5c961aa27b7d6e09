package soak

import (
	"fmt"
	"time"
)

// maxEvacuationDelay is the time from the acknowledgement of an evacuation by which no
// gateway may send requests to the zone: half of the usual bound.
const maxEvacuationDelay = 2500 * time.Millisecond

// evacuation is a period in which the zone of these servers is evacuated. end is zero while
// it lasts.
type evacuation struct {
	zone       string
	servers    map[string]bool
	begin, end time.Time
}

// evacuateZone evacuates a zone until the returned function is called.
func (r *testbed) evacuateZone(zone string) func() func() {
	return func() func() {
		r.store.Evacuate(zone)
		end := r.history.beginEvacuation(zone, r.serversIn(zone))
		return func() { end(); r.store.EndEvacuation(zone) }
	}
}

// serversIn returns the IDs of the servers in a zone.
func (r *testbed) serversIn(name string) map[string]bool {
	out := make(map[string]bool)
	for _, s := range r.plainServers {
		if s.entry.Zone == name {
			out[s.ID] = true
		}
	}
	for i, s := range r.ranks {
		if zone(i) == name {
			out[s.ID] = true
		}
	}
	return out
}

func (h *history) beginEvacuation(zone string, servers map[string]bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.evacuations)
	h.evacuations = append(h.evacuations, evacuation{zone: zone, servers: servers, begin: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.evacuations[index].end = time.Now()
	}
}

// sentToEvacuated finds requests that reached a server of an evacuated zone too late. No
// fault of a gateway excuses them.
func (h *history) sentToEvacuated() []string {
	var out []string
	for _, e := range h.evacuations {
		for _, a := range h.attempts {
			for _, got := range a.arrivals {
				late := got.At.Sub(e.begin)
				if e.servers[got.Server] && late > maxEvacuationDelay && (e.end.IsZero() || got.At.Before(e.end)) {
					out = append(out, fmt.Sprintf("%s of %s reached %s in %s %v after the evacuation", a.AttemptID, a.gateway, got.Server, e.zone, late))
				}
			}
		}
	}
	return out
}

// lastSentToEvacuated returns the longest time after the acknowledgement of an evacuation
// at which a request reached a server of the zone.
func (h *history) lastSentToEvacuated() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Duration
	for _, e := range h.evacuations {
		for _, a := range h.attempts {
			for _, got := range a.arrivals {
				if e.servers[got.Server] && (e.end.IsZero() || got.At.Before(e.end)) {
					last = max(last, got.At.Sub(e.begin))
				}
			}
		}
	}
	return last
}
