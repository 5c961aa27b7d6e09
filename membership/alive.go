package membership

import (
	"cmp"
	"slices"
	"time"
)

// Alive returns the instances that showed activity within Timing.AliveTimeout,
// sorted by ID. It includes this instance. Instances that are leaving have
// Leaving set.
func (n *Node) Alive() []Instance {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alive(now)
}

// alive implements Alive. The caller holds n.mu.
func (n *Node) alive(now time.Time) []Instance {
	out := make([]Instance, 0, len(n.table.origins))
	for id, o := range n.table.origins {
		if id != n.self.ID && now.Sub(o.lastHeard) > n.timing.AliveTimeout {
			continue
		}
		if !o.hasFacts() {
			continue
		}
		i := o.instance
		i.Leaving = o.leaving(now) || n.listedByKey[i.key()].Leaving
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ZoneCount is the number of live instances in one availability zone.
type ZoneCount struct {
	Zone    string
	Entries int
	Agents  int
}

// AliveByZone returns the number of live entries and agents of each zone,
// sorted by zone.
func (n *Node) AliveByZone() []ZoneCount {
	var out []ZoneCount
	for _, i := range n.Alive() {
		at, found := slices.BinarySearchFunc(out, i.Zone, func(c ZoneCount, zone string) int {
			return cmp.Compare(c.Zone, zone)
		})
		if !found {
			out = slices.Insert(out, at, ZoneCount{Zone: i.Zone})
		}
		if i.Role == Entry {
			out[at].Entries++
		} else {
			out[at].Agents++
		}
	}
	return out
}

// assumedAlive returns the live instances. Until JoinTimeout has passed since
// the start of the node it also returns the listed instances that the node has
// not heard of yet, because it has had no time to hear of them.
func (n *Node) assumedAlive(now time.Time) []Instance {
	out := n.alive(now)
	if now.Sub(n.started) > n.timing.JoinTimeout {
		return out
	}
	return append(out, n.listedNeverHeard()...)
}

// listedNeverHeard returns the listed instances whose address belongs to no known
// origin, without those listed as leaving, sorted by key.
func (n *Node) listedNeverHeard() []Instance {
	heardAddrs := make(map[Address]bool, len(n.table.origins))
	for _, o := range n.table.origins {
		heardAddrs[o.instance.Addr] = true
	}
	var out []Instance
	for _, i := range n.listedByKey {
		if !heardAddrs[i.Addr] && !i.Leaving {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.key(), b.key()) })
	return out
}

func filter(instances []Instance, keep func(Instance) bool) []Instance {
	var out []Instance
	for _, i := range instances {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}
