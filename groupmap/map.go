package groupmap

import (
	"fmt"
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

// AppendBinary appends the experts, two bytes each, with their numbers by set
// and rank before them.
func (m *Map) AppendBinary(b []byte) []byte {
	b = append(b, byte(len(m.Experts)>>8), byte(len(m.Experts)))
	for _, ranks := range m.Experts {
		b = append(b, byte(len(ranks)>>8), byte(len(ranks)))
		for _, experts := range ranks {
			b = append(b, byte(len(experts)))
			for _, e := range experts {
				b = append(b, byte(e>>8), byte(e))
			}
		}
	}
	return b
}

// ParseMap reads what AppendBinary wrote; the version is not part of it.
func ParseMap(b []byte) (*Map, error) {
	r := reader{b: b}
	m := &Map{Experts: make([][][]uint16, r.u16())}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, r.u16())
		for rank := range m.Experts[set] {
			experts := make([]uint16, r.u8())
			for i := range experts {
				experts[i] = uint16(r.u16())
			}
			m.Experts[set][rank] = experts
		}
		if r.short {
			break
		}
	}
	if r.short || len(r.b) > 0 {
		return nil, fmt.Errorf("groupmap: a map of %d bytes cannot be read", len(b))
	}
	return m, nil
}

// reader reads big-endian numbers; short is set once the bytes do not suffice.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) u8() int {
	if len(r.b) < 1 {
		r.short = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return int(v)
}

func (r *reader) u16() int { return r.u8()<<8 | r.u8() }
