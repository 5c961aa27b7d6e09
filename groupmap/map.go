package groupmap

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
)

// Map lists the experts that each rank of a group holds in each set of layers.
// The layers of the model are divided into sets, and the experts of each set
// are placed separately.
type Map struct {
	// Version is 0 for the map that a group starts with. It identifies a map
	// within one epoch.
	Version uint64
	// Experts holds expert numbers, indexed by set and rank.
	Experts [][][]uint16
}

// Shape holds the dimensions of a group's maps. Experts is the number of experts
// of one set.
type Shape struct {
	Sets, Ranks, Experts int
	// MaxExpertsPerRank is the greatest number of experts of one set that a rank
	// can hold.
	MaxExpertsPerRank int
	// MaxCopiesPerRank is the greatest number of experts of one set that a rank
	// can receive in one change of map.
	MaxCopiesPerRank int
}

// InitialMap returns the map that a group starts with: experts are assigned to
// ranks round-robin.
func InitialMap(s Shape) *Map {
	m := &Map{Experts: make([][][]uint16, s.Sets)}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, s.Ranks)
		for e := range s.Experts {
			r := e % s.Ranks
			m.Experts[set][r] = append(m.Experts[set][r], uint16(e))
		}
	}
	return m
}

// Clone returns a deep copy.
func (m *Map) Clone() *Map {
	c := &Map{Version: m.Version, Experts: make([][][]uint16, len(m.Experts))}
	for set, ranks := range m.Experts {
		c.Experts[set] = make([][]uint16, len(ranks))
		for r, experts := range ranks {
			c.Experts[set][r] = slices.Clone(experts)
		}
	}
	return c
}

// Copies returns the number of experts that must be copied to change from old
// to m, counting one for each rank that holds an expert in m but not in old. Both
// maps must have the same sets and ranks.
func (m *Map) Copies(old *Map) int {
	n := 0
	for set, ranks := range m.Experts {
		for r, experts := range ranks {
			for _, e := range experts {
				if !slices.Contains(old.Experts[set][r], e) {
					n++
				}
			}
		}
	}
	return n
}

// Validate checks that the map fits the shape and that every expert is held by
// at least one rank.
func (m *Map) Validate(s Shape) error {
	if len(m.Experts) != s.Sets {
		return fmt.Errorf("groupmap: map has %d sets, want %d", len(m.Experts), s.Sets)
	}
	for set, ranks := range m.Experts {
		if len(ranks) != s.Ranks {
			return fmt.Errorf("groupmap: set %d has %d ranks, want %d", set, len(ranks), s.Ranks)
		}
		assigned := make([]bool, s.Experts)
		for r, experts := range ranks {
			if len(experts) > s.MaxExpertsPerRank {
				return fmt.Errorf("groupmap: set %d: rank %d holds %d experts, at most %d fit", set, r, len(experts), s.MaxExpertsPerRank)
			}
			for i, e := range experts {
				if int(e) >= s.Experts || slices.Contains(experts[:i], e) {
					return fmt.Errorf("groupmap: set %d: rank %d lists expert %d twice or out of range", set, r, e)
				}
				assigned[e] = true
			}
		}
		if e := slices.Index(assigned, false); e >= 0 {
			return fmt.Errorf("groupmap: set %d: no rank holds expert %d", set, e)
		}
	}
	return nil
}

// AppendBinary appends the encoded map to b: the number of sets, for each set
// the number of ranks, and for each rank the number of its experts and the
// experts. The version is not encoded.
func (m *Map) AppendBinary(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(m.Experts)))
	for _, ranks := range m.Experts {
		b = binary.AppendUvarint(b, uint64(len(ranks)))
		for _, experts := range ranks {
			b = appendExperts(b, experts)
		}
	}
	return b
}

func appendExperts(b []byte, experts []uint16) []byte {
	b = binary.AppendUvarint(b, uint64(len(experts)))
	for _, e := range experts {
		b = binary.AppendUvarint(b, uint64(e))
	}
	return b
}

// ParseMap decodes the output of AppendBinary. The version of the returned map
// is 0. It returns an error if b is malformed; Validate checks the content.
func ParseMap(b []byte) (*Map, error) {
	d := mapDecoder{data: b}
	m := &Map{Experts: make([][][]uint16, d.readLength())}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, d.readLength())
		for rank := range m.Experts[set] {
			m.Experts[set][rank] = d.readExperts()
		}
	}
	if d.failed || len(d.data) > 0 {
		return nil, fmt.Errorf("groupmap: malformed map of %d bytes", len(b))
	}
	return m, nil
}

// AppendDifference appends the rows of m that differ from base to b. A row
// consists of the set, the rank and the experts that the rank holds. base must
// have the same sets and ranks as m.
func (m *Map) AppendDifference(b []byte, base *Map) []byte {
	for set, ranks := range m.Experts {
		for r, experts := range ranks {
			if slices.Equal(experts, base.Experts[set][r]) {
				continue
			}
			b = binary.AppendUvarint(b, uint64(set))
			b = binary.AppendUvarint(b, uint64(r))
			b = appendExperts(b, experts)
		}
	}
	return b
}

// ApplyDifference applies the output of AppendDifference to a copy of base. The
// copy keeps the version of base. It returns an error if b is malformed or
// names a set or rank that base lacks.
func ApplyDifference(base *Map, b []byte) (*Map, error) {
	m := base.Clone()
	d := mapDecoder{data: b}
	for len(d.data) > 0 {
		set, rank := d.readUint16(), d.readUint16()
		experts := d.readExperts()
		if d.failed || set >= len(m.Experts) || rank >= len(m.Experts[set]) {
			return nil, fmt.Errorf("groupmap: malformed map difference of %d bytes", len(b))
		}
		m.Experts[set][rank] = experts
	}
	return m, nil
}

// mapDecoder reads variable-length integers. failed is set at the first one
// that is malformed or out of range.
type mapDecoder struct {
	data   []byte
	failed bool
}

func (d *mapDecoder) readUint16() int {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || v > math.MaxUint16 {
		d.failed = true
		d.data = nil
		return 0
	}
	d.data = d.data[n:]
	return int(v)
}

// readLength reads the number of items that follow. Each item takes at least
// one byte, so a length above the number of remaining bytes is rejected.
func (d *mapDecoder) readLength() int {
	n := d.readUint16()
	if n > len(d.data) {
		d.failed = true
		return 0
	}
	return n
}

func (d *mapDecoder) readExperts() []uint16 {
	out := make([]uint16, d.readLength())
	for i := range out {
		out[i] = uint16(d.readUint16())
	}
	return out
}
