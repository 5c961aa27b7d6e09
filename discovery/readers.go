package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// readersPerZone is how many gateways of a zone read the source, each call of
	// which is priced; the others ask them.
	readersPerZone = 4
	// relyPeriod is the time between two questions to a reader.
	relyPeriod = 500 * time.Millisecond
	// relyAge is the greatest age of the proof of a gateway that relies on
	// readers: beyond it, it reads the source itself.
	relyAge = 1900 * time.Millisecond
	// relyTries is how many readers are asked before the source is.
	relyTries = 2
)

// Gateway is one of the gateways of a zone.
type Gateway struct{ ID, Address string }

// Readers returns the addresses of the gateways that read the source for self:
// the first of the zone by ID, so that all who know the same ones choose alike.
// There are none if self is one of them.
func Readers(self string, others []Gateway) []string {
	zone := append(slices.Clone(others), Gateway{ID: self})
	slices.SortFunc(zone, func(a, b Gateway) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	var out []string
	for _, g := range zone[:min(readersPerZone, len(zone))] {
		if g.ID == self {
			return nil
		}
		out = append(out, g.Address)
	}
	return out
}

// rely asks readers of the zone, and reports whether what they know is enough.
func (f *Follower) rely(ctx context.Context) bool {
	readers := f.peers.Readers()
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	enough := false
	for _, address := range readers[:min(relyTries, len(readers))] {
		if err := f.askPeer(ctx, address); err != nil {
			f.log.Debug().Str("event", "peer_unanswered").Str("peer", address).Str("cause", err.Error()).Msg("")
			continue
		}
		if age, ok := f.Age(); ok && age <= relyAge {
			enough = true
			break
		}
	}
	f.noteRelying(enough)
	return enough
}

// noteRelying logs when the gateway begins to rely on readers, and when it ends.
func (f *Follower) noteRelying(relying bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relying != relying {
		f.relying = relying
		f.log.Info().Str("event", "relying").Bool("on_readers", relying).Msg("")
	}
}
