package suspects

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// sketchSlots is the number of slots in a Sketch. It is a power of two.
	sketchSlots = 32
	// minEqualSlots is the number of equal slots from which two sketches count as
	// similar. It corresponds to a little more than a third of all shingles in
	// common.
	minEqualSlots = 12
	// shingleBytes is the length of a shingle, one of the overlapping substrings
	// by which texts are compared.
	shingleBytes = 8
)

// Sketch is a one-permutation MinHash of the text of a request with one byte for
// each slot.
type Sketch [sketchSlots]byte

// SimilarTo says whether at least minEqualSlots slots of the two sketches are
// equal.
func (s Sketch) SimilarTo(t Sketch) bool {
	equal := 0
	for i := range s {
		if s[i] == t[i] {
			equal++
		}
	}
	return equal >= minEqualSlots
}

// Fingerprint identifies a request of one organisation and allows comparing it with
// others. It holds none of the request's content.
type Fingerprint struct {
	// Organisation is a hash of the organisation's name. Neither it nor Sketch
	// depends on the salt; see Fingerprinter.hash.
	Organisation uint64
	// ID is a salted hash of the organisation's name and the text.
	ID     uint64
	Sketch Sketch
}

// SimilarTo says whether two fingerprints have the same organisation and the same or
// similar text.
func (p Fingerprint) SimilarTo(q Fingerprint) bool {
	if p.Organisation != q.Organisation {
		return false
	}
	return p.ID == q.ID || p.Sketch.SimilarTo(q.Sketch)
}

// Fingerprinter computes fingerprints. All processes of a fleet must use the same salt.
// It is immutable and safe for concurrent use.
type Fingerprinter struct {
	salt uint64
}

// NewFingerprinter returns a Fingerprinter that uses the fleet's secret salt.
func NewFingerprinter(salt string) *Fingerprinter {
	return &Fingerprinter{salt: xxhash.Sum64String(salt)}
}

// Fingerprint returns the fingerprint of a request. The text should be the part that is
// specific to the request: the caller's own messages without the instructions
// that all requests of the organisation share, or the whole body if the two
// cannot be told apart.
func (f *Fingerprinter) Fingerprint(organisation string, text []byte) Fingerprint {
	org := f.hash(f.salt, []byte(organisation))
	return Fingerprint{
		Organisation: org,
		ID:           f.hash(org, text),
		Sketch:       f.sketch(org, text),
	}
}

// hash returns the hash of data, seeded with seed XOR the fleet's salt. If seed is
// the salt itself, as for Fingerprint.Organisation, the two cancel each other and
// the hash is unsalted.
func (f *Fingerprinter) hash(seed uint64, data []byte) uint64 {
	d := xxhash.NewWithSeed(seed ^ f.salt)
	_, _ = d.Write(data)
	return d.Sum64()
}

// sketch computes the minimum hash of the shingles in each slot. It sets bit 0x20
// of every byte before hashing, so that the case of ASCII letters is ignored.
func (f *Fingerprinter) sketch(seed uint64, text []byte) Sketch {
	if len(text) < shingleBytes {
		padded := make([]byte, shingleBytes)
		copy(padded, text)
		text = padded
	}
	const lowerCase = 0x2020202020202020
	var minHashes [sketchSlots]uint64
	for i := range minHashes {
		minHashes[i] = ^uint64(0)
	}
	for i := 0; i+shingleBytes <= len(text); i++ {
		h := mix(binary.LittleEndian.Uint64(text[i:])|lowerCase, seed)
		slot := h % sketchSlots
		if h < minHashes[slot] {
			minHashes[slot] = h
		}
	}
	return sketchFromHashes(minHashes)
}

// sketchFromHashes takes one byte of each minimum hash. An empty slot takes the
// value of the next filled slot plus the distance to it, so that sketches of
// short texts, which leave slots empty, can be compared, too.
func sketchFromHashes(minHashes [sketchSlots]uint64) Sketch {
	var s Sketch
	for i := range s {
		j := i
		for minHashes[j] == ^uint64(0) {
			j = (j + 1) % sketchSlots
		}
		s[i] = byte(minHashes[j]>>8) + byte(j-i)
	}
	return s
}

// mix is a 64-bit hash of one word. It twice multiplies to 128 bits and combines
// the two halves of the product with XOR.
func mix(v, seed uint64) uint64 {
	hi, lo := bits.Mul64(v^seed, 0x9E3779B97F4A7C15)
	hi, lo = bits.Mul64(hi^lo^seed, 0xD6E8FEB86659FD93)
	return hi ^ lo
}
