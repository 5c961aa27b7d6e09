package backends

import (
	"slices"
	"strings"

	"bluebellwind.example/routing"
)

// SetRegions sets the region of each zone. A zone that is missing has no known region.
func (d *Directory) SetRegions(regionsByZone map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.regions = regionsByZone
	for _, t := range d.tables {
		t.outdated = true
	}
}

// KnowsRegion reports whether a zone is in the region.
func (d *Directory) KnowsRegion(region string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.regions {
		if known == region && region != "" {
			return true
		}
	}
	return false
}

// allowed reports whether the server is in a region that the request allows. The caller
// holds the lock.
func (d *Directory) allowed(r *PickRequest, e *serverState) bool {
	if r.HomeRegions == nil {
		return true
	}
	region := d.regions[e.Zone]
	return region != "" && slices.Contains(r.HomeRegions, region)
}

// usable reports whether neither the region of the server nor an evacuation keeps the
// request from it. The caller holds the lock.
func (d *Directory) usable(r *PickRequest, e *serverState) bool {
	return !d.evacuated[e.Zone] && d.allowed(r, e)
}

// serversElsewhere returns the IDs of the servers of the service that are in no region that
// the request allows. The caller holds the lock.
func (d *Directory) serversElsewhere(r *PickRequest) []string {
	if r.HomeRegions == nil {
		return nil
	}
	var out []string
	for id, e := range d.servers {
		if e.Service == r.ServiceName && !d.allowed(r, e) {
			out = append(out, id)
		}
	}
	return out
}

// loadsFor returns the loads of the groups that the request may use, counting only servers
// in regions that it allows. The caller holds the lock.
func (d *Directory) loadsFor(r *PickRequest, t *serviceTable) map[string]groupLoad {
	if r.HomeRegions == nil {
		return t.groupLoads
	}
	key := strings.Join(r.HomeRegions, "\x00")
	if loads, ok := t.regionLoads[key]; ok {
		return loads
	}
	var candidates []routing.Candidate
	for i := range t.candidates {
		if e := d.servers[t.candidates[i].Server]; e != nil && d.allowed(r, e) {
			candidates = append(candidates, t.candidates[i])
		}
	}
	loads := d.groupLoads(r, candidates, t.updatedAt)
	t.regionLoads[key] = loads
	return loads
}
