package backends

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellwind.example/verdict"
)

const (
	// A caller that is refused because the evacuated zones are not known yet is told to
	// retry after zonesRetryAfter plus a random delay below zonesRetryJitter. The delay
	// is short, as the retry goes to another gateway.
	zonesRetryAfter  = 100 * time.Millisecond
	zonesRetryJitter = 300 * time.Millisecond
)

// AwaitEvacuations makes Pick refuse all requests until SetEvacuated is called.
func (d *Directory) AwaitEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitsEvacuations = true
}

// SetEvacuated sets the evacuated zones. Their servers get no new requests; those that run
// there go on.
func (d *Directory) SetEvacuated(zones []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitsEvacuations = false
	d.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		d.evacuated[zone] = true
	}
	for _, t := range d.tables {
		t.outdated = true
	}
}

// EvacuatedZones returns the evacuated zones that KnowsZone knows, sorted.
func (d *Directory) EvacuatedZones() []string {
	var known []string
	for _, zone := range d.evacuatedZones() {
		if d.KnowsZone(zone) {
			known = append(known, zone)
		}
	}
	return known
}

func (d *Directory) evacuatedZones() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// Evacuated reports whether the zone of a chosen server is evacuated. The evacuation may
// have begun since the server was chosen.
func (d *Directory) Evacuated(s *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated[s.Zone]
}

// KnowsZone reports whether a zone is the own one, that of a server, or one with a region.
func (d *Directory) KnowsZone(zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone == d.zone {
		return true
	}
	for _, e := range d.servers {
		if e.Zone == zone {
			return true
		}
	}
	return d.regions[zone] != ""
}

// checkServers returns a refusal if the evacuated zones are not known yet, or if the service
// has servers but none that the request may use, because of their regions or because their
// zones are evacuated. It is not known when that ends, so that refusal has no retry time.
// The caller holds the lock.
func (d *Directory) checkServers(r *PickRequest) error {
	if d.awaitsEvacuations {
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the evacuated zones are not known yet").
			WithRetryAfter(d.withJitter(zonesRetryAfter, zonesRetryJitter))
	}
	if len(d.evacuated) == 0 && r.HomeRegions == nil {
		return nil
	}
	servers, allowed := 0, 0
	for _, e := range d.servers {
		if e.Service != r.ServiceName || e.Draining || d.withdrawals.isLeaving(&e.Server) {
			continue
		}
		servers++
		if !d.allowed(r, e) {
			continue
		}
		if !d.evacuated[e.Zone] {
			return nil
		}
		allowed++
	}
	switch {
	case servers == 0:
		return nil
	case allowed == 0:
		cause := fmt.Errorf("%d servers, allowed regions: %q", servers, r.HomeRegions)
		return verdict.Wrap(verdict.RegionNotAllowed, verdict.NotRun, "no server of the service is in a region that is allowed for this request", cause)
	}
	return verdict.Refuse(verdict.ZoneEvacuated, verdict.NotRun, "all zones with servers for this request are evacuated")
}
