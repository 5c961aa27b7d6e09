package backends

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSubset is the least number of servers in the subset of a gateway. A gateway with
	// ten streams at a time finds a server in it that is as good as any other.
	minSubset = 16
	// minSubsetsPerServer is the least number of gateways in whose subset each server is.
	// With fewer, the load of a server would depend on the callers of a few gateways.
	minSubsetsPerServer = 4
)

// subset is the set of servers of one service that this gateway prefers among equally good
// ones, so that its idle connections are used again.
type subset struct {
	// servers has the IDs; it is nil if all servers are preferred alike.
	servers map[string]bool
	// The subset was derived from these.
	memberDigest       uint64
	position, gateways int
}

// updateSubset derives the subset of this gateway for a service if the servers or the
// gateways have changed. The caller holds the lock.
func (d *Directory) updateSubset(t *serviceTable, service string, now time.Time) {
	position, gateways := d.limits.Position(now)
	s := subset{memberDigest: d.memberDigest, position: position, gateways: gateways}
	if s.memberDigest == t.subset.memberDigest && s.position == t.subset.position && s.gateways == t.subset.gateways {
		return
	}
	var servers []*Server
	for _, e := range d.servers {
		if e.Service == service {
			servers = append(servers, &e.Server)
		}
	}
	s.servers = subsetOf(servers, position, gateways)
	t.subset = s
}

// subsetOf returns the IDs of the servers in the subset of the gateway at a position among
// so many gateways; nil if there are too few servers or gateways for subsets. Each server is
// in the subset of equally many gateways, plus or minus one, and each subset has its share
// of every group and zone. If a gateway or server comes or goes, each subset changes by one
// or two servers.
func subsetOf(servers []*Server, position, gateways int) map[string]bool {
	size := max(minSubset, (minSubsetsPerServer*len(servers)+gateways-1)/gateways)
	if size >= len(servers) || position < 0 {
		return nil
	}
	spreadServers(servers)
	first := position * len(servers) / gateways
	ids := make(map[string]bool, size)
	for i := range size {
		ids[servers[(first+i)%len(servers)].ID] = true
	}
	return ids
}

// spreadServers orders the servers so that those of each group and zone are spread evenly.
// The order is the same in all gateways.
func spreadServers(servers []*Server) {
	class := func(s *Server) [2]string { return [2]string{s.Group.Name, s.Zone} }
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Group.Name, b.Group.Name), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	sizes := make(map[[2]string]int)
	for _, s := range servers {
		sizes[class(s)]++
	}
	// at is where in the order, from 0 to 1, the server should be.
	at := make(map[string]float64, len(servers))
	seen := make(map[[2]string]int)
	for _, s := range servers {
		at[s.ID] = (float64(seen[class(s)]) + 0.5) / float64(sizes[class(s)])
		seen[class(s)]++
	}
	slices.SortStableFunc(servers, func(a, b *Server) int { return cmp.Compare(at[a.ID], at[b.ID]) })
}

// connectedServers returns the IDs of the servers of a service at the given addresses. The
// caller holds the lock.
func (d *Directory) connectedServers(service string, addresses map[string]bool) []string {
	if len(addresses) == 0 {
		return nil
	}
	var ids []string
	for id, e := range d.servers {
		if e.Service == service && addresses[e.Address] {
			ids = append(ids, id)
		}
	}
	return ids
}
