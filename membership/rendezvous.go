package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvousOrder sorts instances by a hash of the purpose and the instance key
// (rendezvous hashing). Instances that see the same set get the same order, and
// the loss of an instance does not change the relative order of the others.
func rendezvousOrder(purpose string, instances []Instance) []Instance {
	type scored struct {
		score    uint64
		instance Instance
	}
	all := make([]scored, 0, len(instances))
	for _, i := range instances {
		all = append(all, scored{score: mix64(xxhash.Sum64String(purpose) ^ xxhash.Sum64String(i.key())), instance: i})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.key(), b.instance.key()))
	})
	out := make([]Instance, len(all))
	for i, s := range all {
		out[i] = s.instance
	}
	return out
}

// mix64 is the 64-bit finalizer of MurmurHash3.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
