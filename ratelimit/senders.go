package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A server has at most savedSpan times its limit plus savedRequests senders: all of
	// them may have saved up one request and send it at the same moment.
	savedSpan     = 1500 * time.Millisecond
	savedRequests = 4
	// goneMemory is how long a gateway that is no longer heard of keeps its share: it may
	// only be cut off from this one, and still send.
	goneMemory = time.Minute
)

// fleet is the set of gateways that share limits.
type fleet struct {
	self string
	// goneAt has the other gateways by ID, with the time at which each was last no longer
	// heard of; zero while it is heard of.
	goneAt map[string]time.Time
	// memory is how long a gateway that is no longer heard of is still counted.
	memory time.Duration
	// ordered and position are the result of the last update, at updatedAt.
	ordered   []string
	position  int
	updatedAt time.Time
}

// maxOrderAge is how long the order of gateways is used.
const maxOrderAge = 500 * time.Millisecond

// setAlive records whether another gateway is heard of.
func (f *fleet) setAlive(id string, alive bool, now time.Time) {
	f.updatedAt = time.Time{}
	if alive {
		f.goneAt[id] = time.Time{}
	} else {
		f.goneAt[id] = now
	}
}

// order returns the position of this gateway among those that may send, and their number.
// The order is the same in all gateways and independent of their zones.
func (f *fleet) order(now time.Time) (position, gateways int) {
	if f.updatedAt.IsZero() || now.Sub(f.updatedAt) >= maxOrderAge {
		f.ordered, f.updatedAt = f.members(now), now
		f.position = slices.Index(f.ordered, f.self)
	}
	return f.position, len(f.ordered)
}

// members returns this gateway and those that may still send, in their order.
func (f *fleet) members(now time.Time) []string {
	type member struct {
		hash uint64
		id   string
	}
	members := []member{{xxhash.Sum64String(f.self), f.self}}
	for id, gone := range f.goneAt {
		if gone.IsZero() || now.Sub(gone) < f.memory {
			members = append(members, member{xxhash.Sum64String(id), id})
		} else {
			delete(f.goneAt, id)
		}
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(members))
	for i := range members {
		ids[i] = members[i].id
	}
	return ids
}

// sendInterval returns the time between two requests of the gateway at the position among
// so many gateways to a server; zero if the gateway is no sender. index is the position of
// the server among the servers of its service. Each gateway is a sender of one of them at
// least.
func sendInterval(perSecond float64, position, gateways, index, servers int) time.Duration {
	senders := int(savedSpan.Seconds()*perSecond) + savedRequests
	senders = min(gateways, max(senders, (gateways+servers-1)/servers))
	first := index * gateways / servers
	if (position-first+gateways)%gateways >= senders {
		return 0
	}
	return time.Duration(float64(senders) / max(perSecond, minLimit) * float64(time.Second))
}
