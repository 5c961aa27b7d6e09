package groupmap

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
)

// Map says which experts each rank of a group holds in each set of layers.
type Map struct {
	// Version is 0 for the map that a group starts with.
	Version uint64
	// Experts by set and rank.
	Experts [][][]uint16
}

// Shape holds the dimensions of a group's maps.
type Shape struct {
	Sets, Ranks, Experts int
	// Places is how many experts of a set fit on a rank.
	Places int
	// Spare is how many experts of a set one map may bring to a rank.
	Spare int
}

// First returns the map that a group starts with: experts dealt in turn.
func First(s Shape) *Map {
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

// Copies returns how many experts m brings to ranks that do not hold them in
// old.
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

// Validate checks that the map fits the shape and that every expert has a rank.
func (m *Map) Validate(s Shape) error {
	if len(m.Experts) != s.Sets {
		return fmt.Errorf("groupmap: %d sets, want %d", len(m.Experts), s.Sets)
	}
	for set, ranks := range m.Experts {
		if len(ranks) != s.Ranks {
			return fmt.Errorf("groupmap: set %d has %d ranks, want %d", set, len(ranks), s.Ranks)
		}
		held := make([]bool, s.Experts)
		for r, experts := range ranks {
			if len(experts) > s.Places {
				return fmt.Errorf("groupmap: set %d: rank %d holds %d experts of %d", set, r, len(experts), s.Places)
			}
			for i, e := range experts {
				if int(e) >= s.Experts || slices.Contains(experts[:i], e) {
					return fmt.Errorf("groupmap: set %d: rank %d holds expert %d wrongly", set, r, e)
				}
				held[e] = true
			}
		}
		if e := slices.Index(held, false); e >= 0 {
			return fmt.Errorf("groupmap: set %d: no rank holds expert %d", set, e)
		}
	}
	return nil
}

// AppendBinary appends the experts of each set and rank after their number.
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

// ParseMap reads what AppendBinary wrote; the version is not part of it.
func ParseMap(b []byte) (*Map, error) {
	r := reader{b: b}
	m := &Map{Experts: make([][][]uint16, r.count())}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, r.count())
		for rank := range m.Experts[set] {
			m.Experts[set][rank] = r.experts()
		}
	}
	if r.bad || len(r.b) > 0 {
		return nil, fmt.Errorf("groupmap: a map of %d bytes cannot be read", len(b))
	}
	return m, nil
}

// AppendDifference appends the rows of m that differ from base: set, rank and
// experts of each.
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

// ApplyDifference returns the map that AppendDifference described; the version
// is that of base.
func ApplyDifference(base *Map, b []byte) (*Map, error) {
	m := base.Clone()
	r := reader{b: b}
	for len(r.b) > 0 {
		set, rank := r.number(), r.number()
		experts := r.experts()
		if r.bad || set >= len(m.Experts) || rank >= len(m.Experts[set]) {
			return nil, fmt.Errorf("groupmap: a difference of %d bytes cannot be read", len(b))
		}
		m.Experts[set][rank] = experts
	}
	return m, nil
}

// reader reads numbers; bad is set once they cannot be read.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number() int {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > math.MaxUint16 {
		r.bad = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return int(v)
}

// count reads how many items follow, each of which takes a byte at least.
func (r *reader) count() int {
	n := r.number()
	if n > len(r.b) {
		r.bad = true
		return 0
	}
	return n
}

func (r *reader) experts() []uint16 {
	out := make([]uint16, r.count())
	for i := range out {
		out[i] = uint16(r.number())
	}
	return out
}
