package expertmap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NoExpert marks a slot that holds no expert.
const NoExpert = ^uint16(0)

// ShareUnit is the sum of the shares of all replicas of an expert in one layer.
const ShareUnit = 1 << 14

// Maximum dimensions of a Map, which bound the memory that ParseMap allocates.
const (
	MaxLayers  = 1024
	MaxExperts = 4096
	MaxRanks   = 4096
	MaxSlots   = 64
	maxCells   = 1 << 22
)

// headerBytes is the encoded size of the ID and the four dimensions of a map.
const headerBytes = 8 + 4*2

// slotBytes is the encoded size of a slot.
const slotBytes = 4

// ErrInvalidMap is wrapped by every error about a map that is malformed or
// violates the constraints that Map.Validate checks.
var ErrInvalidMap = errors.New("expertmap: invalid map")

// Slot is the place for one expert of one layer on one rank.
type Slot struct {
	// Expert is in [0, Experts) or NoExpert.
	Expert uint16
	// Share of the expert's tokens that are routed to this replica, in
	// [0, ShareUnit]. A replica with share zero is loaded but gets no tokens.
	Share uint16
}

// Map assigns an expert to each slot of each rank in every layer. It must not be
// modified once published, so that readers can share it.
type Map struct {
	// ID increases by one with each new map of a group. The planner never
	// assigns zero.
	ID uint64
	// Layers, Experts (per layer), Ranks and Slots (per rank and layer) are the
	// dimensions of the map.
	Layers, Experts, Ranks, Slots int
	// Cells holds the slots, ordered by layer, then rank, then slot number.
	Cells []Slot
}

// NewMap returns a map with every slot empty.
func NewMap(layers, experts, ranks, slots int) *Map {
	m := &Map{Layers: layers, Experts: experts, Ranks: ranks, Slots: slots}
	m.Cells = make([]Slot, layers*ranks*slots)
	for i := range m.Cells {
		m.Cells[i].Expert = NoExpert
	}
	return m
}

// Layer returns the slots of one layer, ordered by rank. The slice shares memory
// with the map.
func (m *Map) Layer(layer int) []Slot {
	n := m.Ranks * m.Slots
	return m.Cells[layer*n : (layer+1)*n]
}

// Clone returns a deep copy of the map.
func (m *Map) Clone() *Map {
	c := *m
	c.Cells = slices.Clone(m.Cells)
	return &c
}

// AppendBinary appends the canonical encoding of the map: ID, dimensions and
// slots, all big-endian. The error is always nil.
func (m *Map) AppendBinary(b []byte) ([]byte, error) {
	b = slices.Grow(b, headerBytes+slotBytes*len(m.Cells))
	b = binary.BigEndian.AppendUint64(b, m.ID)
	for _, d := range []int{m.Layers, m.Experts, m.Ranks, m.Slots} {
		b = binary.BigEndian.AppendUint16(b, uint16(d))
	}
	for _, c := range m.Cells {
		b = binary.BigEndian.AppendUint16(b, c.Expert)
		b = binary.BigEndian.AppendUint16(b, c.Share)
	}
	return b, nil
}

// ParseMap decodes the encoding of AppendBinary and validates the map. Errors
// wrap ErrInvalidMap.
func ParseMap(b []byte) (*Map, error) {
	if len(b) < headerBytes {
		return nil, fmt.Errorf("%w: %d bytes are shorter than the header", ErrInvalidMap, len(b))
	}
	m := &Map{ID: binary.BigEndian.Uint64(b)}
	for i, d := range []*int{&m.Layers, &m.Experts, &m.Ranks, &m.Slots} {
		*d = int(binary.BigEndian.Uint16(b[8+2*i:]))
	}
	if err := m.validateSize(); err != nil {
		return nil, err
	}
	body := b[headerBytes:]
	n := m.Layers * m.Ranks * m.Slots
	if len(body) != n*slotBytes {
		return nil, fmt.Errorf("%w: slots take %d bytes, want %d", ErrInvalidMap, len(body), n*slotBytes)
	}
	m.Cells = make([]Slot, n)
	for i := range m.Cells {
		m.Cells[i].Expert = binary.BigEndian.Uint16(body[i*slotBytes:])
		m.Cells[i].Share = binary.BigEndian.Uint16(body[i*slotBytes+2:])
	}
	return m, m.Validate()
}

// Digest returns a hash of the ID and the content of a map. Equal maps have
// equal digests on all machines and in all releases with the same encoding.
func (m *Map) Digest() uint64 {
	b, _ := m.AppendBinary(nil)
	return xxhash.Sum64(b)
}

// Label returns the ID and the digest of the map as a short text.
func (m *Map) Label() string {
	return fmt.Sprintf("%d-%016x", m.ID, m.Digest())
}

func (m *Map) validateSize() error {
	if m.Layers < 1 || m.Experts < 1 || m.Ranks < 1 || m.Slots < 1 {
		return fmt.Errorf("%w: a dimension is less than 1", ErrInvalidMap)
	}
	if m.Layers > MaxLayers || m.Experts > MaxExperts || m.Ranks > MaxRanks || m.Slots > MaxSlots {
		return fmt.Errorf("%w: a dimension exceeds its maximum", ErrInvalidMap)
	}
	if m.Layers*m.Ranks*m.Slots > maxCells {
		return fmt.Errorf("%w: more than %d slots", ErrInvalidMap, maxCells)
	}
	return nil
}

// Validate checks the dimensions, and that in each layer every expert has a
// replica, the replicas of an expert are on different ranks, and their shares
// sum to ShareUnit. The error wraps ErrInvalidMap.
func (m *Map) Validate() error {
	if err := m.validateSize(); err != nil {
		return err
	}
	if len(m.Cells) != m.Layers*m.Ranks*m.Slots {
		return fmt.Errorf("%w: %d slots do not match the dimensions", ErrInvalidMap, len(m.Cells))
	}
	shareSums := make([]int, m.Experts)
	lastRank := make([]int, m.Experts)
	for l := range m.Layers {
		if err := m.validateLayer(l, shareSums, lastRank); err != nil {
			return fmt.Errorf("layer %d: %w", l, err)
		}
	}
	return nil
}

// validateLayer checks one layer. The slices shareSums and lastRank are buffers
// with one element per expert.
func (m *Map) validateLayer(layer int, shareSums, lastRank []int) error {
	for e := range shareSums {
		shareSums[e], lastRank[e] = 0, -1
	}
	for i, c := range m.Layer(layer) {
		if c.Expert == NoExpert {
			if c.Share != 0 {
				return fmt.Errorf("%w: slot %d has a share but no expert", ErrInvalidMap, i)
			}
			continue
		}
		rank := i / m.Slots
		if int(c.Expert) >= m.Experts {
			return fmt.Errorf("%w: slot %d holds unknown expert %d", ErrInvalidMap, i, c.Expert)
		}
		if lastRank[c.Expert] == rank {
			return fmt.Errorf("%w: rank %d holds expert %d twice", ErrInvalidMap, rank, c.Expert)
		}
		lastRank[c.Expert] = rank
		shareSums[c.Expert] += int(c.Share)
	}
	for e, sum := range shareSums {
		if lastRank[e] < 0 {
			return fmt.Errorf("%w: expert %d has no replica", ErrInvalidMap, e)
		}
		if sum != ShareUnit {
			return fmt.Errorf("%w: shares of expert %d sum to %d", ErrInvalidMap, e, sum)
		}
	}
	return nil
}
