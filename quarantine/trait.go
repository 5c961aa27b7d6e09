package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a trait.
type Kind uint8

// The kinds of traits.
const (
	// PromptPart is a part of a prompt that several requests share.
	PromptPart Kind = 1
	// WholeRequest is all of a request; only repeats of it share the trait.
	WholeRequest Kind = 2
)

// Trait is something that requests have in common. It holds a hash and no content. All
// processes compute the same trait from the same request.
type Trait struct {
	Kind Kind
	Hash uint64
}

// NewTrait returns the trait of a kind that the fields identify together.
func NewTrait(kind Kind, fields ...[]byte) Trait {
	digest := xxhash.New()
	for _, field := range fields {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:]) // Write of a digest never fails.
		_, _ = digest.Write(field)
	}
	return Trait{Kind: kind, Hash: digest.Sum64()}
}
