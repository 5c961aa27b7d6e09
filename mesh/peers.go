package mesh

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Role of a process.
type Role uint32

// The roles.
const (
	// Gateway takes requests of callers.
	Gateway Role = 1
	// RankAgent stands beside one model server.
	RankAgent Role = 2
)

// Peer is another process.
type Peer struct {
	ID          string
	Address     string
	Role        Role
	Zone        string
	Incarnation uint64
	// Heard is when it was last known to be alive, on the caller's clock.
	Heard time.Time
}

// Peers is the set of processes that are known. It is not safe for concurrent
// use.
type Peers struct {
	self  Peer
	known map[string]Peer
	// lifetime is how long a peer counts as alive without news.
	lifetime time.Duration
}

// NewPeers returns a set that knows self only.
func NewPeers(self Peer, lifetime time.Duration) *Peers {
	return &Peers{self: self, known: make(map[string]Peer), lifetime: lifetime}
}

// Learn takes news of a peer and reports whether it was unknown before. Older
// news and older incarnations are ignored.
func (p *Peers) Learn(peer Peer, now time.Time) bool {
	if peer.ID == "" || peer.ID == p.self.ID || now.Sub(peer.Heard) > p.lifetime {
		return false
	}
	old, known := p.known[peer.ID]
	if known && (old.Incarnation > peer.Incarnation || old.Heard.After(peer.Heard)) {
		return false
	}
	p.known[peer.ID] = peer
	return !known
}

// Expire forgets the peers of which nothing was heard for the lifetime, and
// returns them.
func (p *Peers) Expire(now time.Time) []Peer {
	var gone []Peer
	for id, peer := range p.known {
		if now.Sub(peer.Heard) > p.lifetime {
			gone = append(gone, peer)
			delete(p.known, id)
		}
	}
	return gone
}

// Of returns the peers in a role, sorted by ID.
func (p *Peers) Of(role Role) []Peer {
	var out []Peer
	for _, peer := range p.known {
		if peer.Role == role {
			out = append(out, peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Count returns how many processes in a role are alive, this one included.
func (p *Peers) Count(role Role) int {
	n := 0
	for _, peer := range p.known {
		if peer.Role == role {
			n++
		}
	}
	if p.self.Role == role {
		n++
	}
	return n
}

// Sample returns up to n peers drawn at random.
func (p *Peers) Sample(n int, rng *rand.Rand) []Peer {
	out := make([]Peer, 0, len(p.known))
	for _, peer := range p.known {
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
