package mesh

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is the role of a process in the system.
type Role uint32

// The roles of processes.
const (
	// Gateway is a process that serves the requests of callers.
	Gateway Role = 1
	// RankAgent is a process that runs beside one model server, reports its
	// status and passes orders to it.
	RankAgent Role = 2
)

// Peer describes a process of the mesh.
type Peer struct {
	ID string
	// Address is where the process receives datagrams, IP:port.
	Address string
	Role    Role
	// Zone is the availability zone.
	Zone string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// LastSeen is when the process was last known to be alive, on the local
	// clock.
	LastSeen time.Time
}

// PeerSet is the set of known processes. It is not safe for concurrent use.
type PeerSet struct {
	self Peer
	// byID holds the other processes by ID, and ids their IDs in order.
	byID map[string]Peer
	ids  []string
	// counts holds the number of other processes by role.
	counts map[Role]int
	// lifetime is how long a peer counts as alive after it was last seen.
	lifetime time.Duration
	// limit is the greatest number of other processes.
	limit int
}

// maxTextBytes bounds the ID, address and zone of a peer, in bytes each.
const maxTextBytes = 256

// NewPeerSet returns a set that contains only self. Other peers expire after
// lifetime, and limit is the greatest number of them.
func NewPeerSet(self Peer, lifetime time.Duration, limit int) *PeerSet {
	return &PeerSet{self: self, byID: make(map[string]Peer), counts: make(map[Role]int), lifetime: lifetime, limit: limit}
}

// Update adds or updates a peer, and reports whether it was unknown before or has started
// again. It ignores self, information that is older than what is known, older incarnations,
// peers whose lifetime has passed, those that are described at more length than any process is,
// and new ones over the limit.
func (s *PeerSet) Update(peer Peer, now time.Time) bool {
	if peer.ID == "" || peer.ID == s.self.ID || now.Sub(peer.LastSeen) > s.lifetime {
		return false
	}
	if max(len(peer.ID), len(peer.Address), len(peer.Zone)) > maxTextBytes {
		return false
	}
	old, found := s.byID[peer.ID]
	if !found && len(s.byID) >= s.limit {
		return false
	}
	if found && (old.Incarnation > peer.Incarnation || old.LastSeen.After(peer.LastSeen)) {
		return false
	}
	if found {
		s.counts[old.Role]--
	} else {
		i, _ := slices.BinarySearch(s.ids, peer.ID)
		s.ids = slices.Insert(s.ids, i, peer.ID)
	}
	s.counts[peer.Role]++
	s.byID[peer.ID] = peer
	return !found || peer.Incarnation > old.Incarnation
}

// Expire removes the peers whose lifetime has passed, and returns them.
func (s *PeerSet) Expire(now time.Time) []Peer {
	var expired []Peer
	for id, peer := range s.byID {
		if now.Sub(peer.LastSeen) > s.lifetime {
			expired = append(expired, peer)
			delete(s.byID, id)
			s.counts[peer.Role]--
		}
	}
	if len(expired) > 0 {
		s.ids = slices.DeleteFunc(s.ids, func(id string) bool { _, known := s.byID[id]; return !known })
	}
	return expired
}

// WithRole returns the other processes with the given role, sorted by ID.
func (s *PeerSet) WithRole(role Role) []Peer {
	peers := make([]Peer, 0, s.counts[role])
	for _, id := range s.ids {
		if peer := s.byID[id]; peer.Role == role {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Count returns the number of processes with the given role, including this one.
func (s *PeerSet) Count(role Role) int {
	count := s.counts[role]
	if s.self.Role == role {
		count++
	}
	return count
}

// Sample returns up to n other processes, drawn at random. It draws from a sorted list, so
// that the result depends on rng and not on the order of the map.
func (s *PeerSet) Sample(n int, rng *rand.Rand) []Peer {
	n = min(n, len(s.ids))
	peers := make([]Peer, 0, n)
	drawn := slices.Clone(s.ids)
	for i := range n {
		j := i + rng.IntN(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
		peers = append(peers, s.byID[drawn[i]])
	}
	return peers
}
