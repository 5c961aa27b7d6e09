package rankagent

import (
	"math"
	"time"

	"bluebellwind.example/groupmap"
)

// popularityMemory is the time in which the weight of a choice falls to 1/e.
// Popularity changes within seconds.
const popularityMemory = 450 * time.Millisecond

// popularity is how often the requests of a group chose each expert lately. It
// also knows the experts that each rank holds. It is not safe for concurrent use.
type popularity struct {
	epoch  uint64
	sets   int
	load   []float64
	faded  time.Time
	heard  []time.Time
	held   [][][]uint16 // By rank and set.
	inUse  []uint64
	perSet int
}

// share is what one rank adds.
type share struct {
	epoch uint64
	rank  int
	// counts of choices in units of unit.
	counts []uint32
	unit   uint32
	// inUse is the version of the map that held is of.
	inUse uint64
	held  [][]uint16
}

func (p *popularity) reset(epoch uint64, size int) {
	*p = popularity{epoch: epoch, heard: make([]time.Time, size), held: make([][][]uint16, size), inUse: make([]uint64, size)}
}

// add takes the choices of one rank in.
func (p *popularity) add(s share, size int, now time.Time) {
	if s.epoch > p.epoch || len(p.heard) != size {
		p.reset(s.epoch, size)
	}
	if s.epoch < p.epoch || s.rank < 0 || s.rank >= size || len(s.held) == 0 || len(s.counts)%len(s.held) != 0 {
		return
	}
	p.sets = len(s.held)
	p.perSet = len(s.counts) / p.sets
	if len(p.load) != len(s.counts) {
		p.load = make([]float64, len(s.counts))
	}
	p.fade(now)
	for i, c := range s.counts {
		p.load[i] += float64(c) * float64(s.unit)
	}
	p.heard[s.rank] = now
	p.held[s.rank] = s.held
	p.inUse[s.rank] = s.inUse
}

// fade lets what was chosen earlier count for less.
func (p *popularity) fade(now time.Time) {
	if !p.faded.IsZero() {
		factor := math.Exp(-now.Sub(p.faded).Seconds() / popularityMemory.Seconds())
		for i := range p.load {
			p.load[i] *= factor
		}
	}
	p.faded = now
}

// loads returns the load of each expert by set; nil while little is known.
func (p *popularity) loads() [][]float64 {
	total := 0.0
	for _, l := range p.load {
		total += l
	}
	if p.sets == 0 || total == 0 {
		return nil
	}
	out := make([][]float64, p.sets)
	for set := range out {
		out[set] = p.load[set*p.perSet : (set+1)*p.perSet]
	}
	return out
}

// current returns the map in use if all ranks have told theirs of version
// lately.
func (p *popularity) current(version uint64, now time.Time, fresh time.Duration) *groupmap.Map {
	m := &groupmap.Map{Version: version, Experts: make([][][]uint16, p.sets)}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, len(p.held))
	}
	for r, held := range p.held {
		if len(held) != p.sets || p.sets == 0 || p.inUse[r] != version || now.Sub(p.heard[r]) > fresh {
			return nil
		}
		for set := range held {
			m.Experts[set][r] = held[set]
		}
	}
	return m
}
