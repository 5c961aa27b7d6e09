package rankagent

import (
	"math"
	"time"

	"bluebellwind.example/groupmap"
)

const (
	// popularityMemory is the time in which the weight of a choice falls to 1/e,
	// and recentMemory the same for what was chosen just now.
	popularityMemory = 450 * time.Millisecond
	recentMemory     = 120 * time.Millisecond
	// shiftSkew is by how much the busiest rank must carry more, over the mean, of
	// what was chosen just now than of what was lately, for the latter to be
	// forgotten: other experts are in demand.
	shiftSkew = 0.3
)

// popularity is how often the requests of a group chose each expert lately. It
// also knows the experts that each rank holds. It is not safe for concurrent use.
type popularity struct {
	epoch uint64
	sets  int
	// load and recent are choices by set and expert.
	load   []float64
	recent []float64
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
		p.recent = make([]float64, len(s.counts))
	}
	p.fade(now)
	for i, c := range s.counts {
		chosen := float64(c) * float64(s.unit)
		p.load[i] += chosen
		p.recent[i] += chosen
	}
	p.heard[s.rank] = now
	p.held[s.rank] = s.held
	p.inUse[s.rank] = s.inUse
}

// fade lets what was chosen earlier count for less.
func (p *popularity) fade(now time.Time) {
	if !p.faded.IsZero() {
		scale(p.load, now.Sub(p.faded), popularityMemory)
		scale(p.recent, now.Sub(p.faded), recentMemory)
	}
	p.faded = now
}

func scale(load []float64, passed, memory time.Duration) {
	factor := math.Exp(-passed.Seconds() / memory.Seconds())
	for i := range load {
		load[i] *= factor
	}
}

// covers says that counts are known of every expert.
func (p *popularity) covers(s groupmap.Shape) bool { return p.sets == s.Sets && p.perSet == s.Experts }

// loads returns the load of each expert by set; nil while little is known. The
// map in use shows whether other experts are in demand than lately.
func (p *popularity) loads(current *groupmap.Map, shape groupmap.Shape) [][]float64 {
	lately, justNow := p.bySet(p.load), p.bySet(p.recent)
	if lately == nil || justNow == nil {
		return lately
	}
	if groupmap.Skew(current, justNow, shape) > groupmap.Skew(current, lately, shape)+shiftSkew {
		copy(p.load, p.recent)
	}
	return lately
}

// bySet cuts a load into sets; nil if nothing was chosen.
func (p *popularity) bySet(load []float64) [][]float64 {
	total := 0.0
	for _, l := range load {
		total += l
	}
	if p.sets == 0 || total == 0 {
		return nil
	}
	out := make([][]float64, p.sets)
	for set := range out {
		out[set] = load[set*p.perSet : (set+1)*p.perSet]
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
