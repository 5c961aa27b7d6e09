package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// readersPerZone is the number of gateways in an availability zone that read
	// the source.
	// Every call to the source has a cost, so the other gateways query these.
	readersPerZone = 4
	// readerPollInterval is the time between two rounds of queries to readers.
	readerPollInterval = 500 * time.Millisecond
	// maxReaderProofAge is the greatest age of the freshness proof up to which
	// a gateway depends on readers. With an older proof it reads the source
	// itself.
	maxReaderProofAge = 1900 * time.Millisecond
	// maxReaderAttempts is the greatest number of readers that are queried
	// before the gateway falls back to the source.
	maxReaderAttempts = 2
)

// Gateway identifies a gateway of a zone and the address, IP:port, at which it
// serves its peers.
type Gateway struct{ ID, Address string }

// SelectReaders returns the addresses of the gateways that read the source on
// behalf of self. These are the first gateways of the zone by ID, so that all
// gateways with the same view of the zone select the same readers. The result
// is empty if self is itself a reader.
func SelectReaders(self string, peers []Gateway) []string {
	zone := append(slices.Clone(peers), Gateway{ID: self})
	slices.SortFunc(zone, func(a, b Gateway) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	var addresses []string
	for _, g := range zone[:min(readersPerZone, len(zone))] {
		if g.ID == self {
			return nil
		}
		addresses = append(addresses, g.Address)
	}
	return addresses
}

// refreshFromReaders queries readers of the zone, and reports whether the
// freshness proof is recent enough afterwards to do without the source.
func (f *Follower) refreshFromReaders(ctx context.Context) bool {
	readers := f.peers.Readers()
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	fresh := false
	for _, address := range readers[:min(maxReaderAttempts, len(readers))] {
		if err := f.queryPeer(ctx, address); err != nil {
			f.log.Debug().Str("event", "peer_unanswered").Str("peer", address).Str("cause", err.Error()).Msg("")
			continue
		}
		if age, ok := f.ProofAge(); ok && age <= maxReaderProofAge {
			fresh = true
			break
		}
	}
	f.setUsingReaders(fresh)
	return fresh
}

// setUsingReaders records whether the gateway depends on readers, and logs each
// change.
func (f *Follower) setUsingReaders(usingReaders bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.usingReaders != usingReaders {
		f.usingReaders = usingReaders
		f.log.Info().Str("event", "relying").Bool("on_readers", usingReaders).Msg("")
	}
}
