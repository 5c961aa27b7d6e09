package rankagent

import (
	"math"
	"time"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
)

const (
	// popularityDecayTime is the least time in which the weight of a count in load
	// falls to 1/e. recentDecayTime is the same for recentLoad.
	popularityDecayTime = 450 * time.Millisecond
	recentDecayTime     = 120 * time.Millisecond
	// popularityDecayPeriods and recentDecayPeriods are the same times in periods in
	// which each rank of a large group sends its counts once.
	popularityDecayPeriods = 0.4
	recentDecayPeriods     = 0.15
	// shiftSkewThreshold is how much greater the skew under recentLoad must be
	// than under load for older counts to be discarded: the difference shows that
	// other experts are in demand than before.
	shiftSkewThreshold = 0.3
)

// popularity tracks how often the requests of a group chose each expert in the
// recent past, and the experts that each rank holds. It is not safe for
// concurrent use.
type popularity struct {
	epoch uint64
	sets  int
	// load and recentLoad are decayed counts, set by set.
	load       []float64
	recentLoad []float64
	decayedAt  time.Time
	// period is the time in which each rank sends its counts once.
	period time.Duration
	// reportedAt is when each rank last reported counts, and mapVersions the
	// version that its heldExperts belong to.
	reportedAt  []time.Time
	heldExperts [][][]uint16 // Indexed by rank and set.
	mapVersions []uint64
	setSize     int // Number of experts of one set.
	// lifetime and patterns are learnt over all epochs: popularity does not depend on
	// them.
	lifetime groupmap.Lifetime
	patterns groupmap.Patterns
}

// rankCounts are the expert counts of one rank since its previous message.
type rankCounts struct {
	epoch uint64
	rank  int
	// counts are multiples of unit.
	counts []uint32
	unit   uint32
	// mapVersion is the version of the map that heldExperts belongs to.
	mapVersion  uint64
	heldExperts [][]uint16
}

func (p *popularity) reset(epoch uint64, size int) {
	*p = popularity{lifetime: p.lifetime, patterns: p.patterns, epoch: epoch, reportedAt: make([]time.Time, size), heldExperts: make([][][]uint16, size), mapVersions: make([]uint64, size)}
}

// add adds the counts of one rank.
func (p *popularity) add(s rankCounts, size int, now time.Time) {
	if s.epoch > p.epoch || len(p.reportedAt) != size {
		p.reset(s.epoch, size)
	}
	if s.epoch < p.epoch || s.rank < 0 || s.rank >= size || len(s.heldExperts) == 0 || len(s.counts)%len(s.heldExperts) != 0 {
		return
	}
	p.sets = len(s.heldExperts)
	p.setSize = len(s.counts) / p.sets
	if len(p.load) != len(s.counts) {
		p.load = make([]float64, len(s.counts))
		p.recentLoad = make([]float64, len(s.counts))
	}
	p.decay(now)
	for i, c := range s.counts {
		chosen := float64(c) * float64(s.unit)
		p.load[i] += chosen
		p.recentLoad[i] += chosen
	}
	p.reportedAt[s.rank] = now
	p.setHeld(s.epoch, s.rank, s.mapVersion, s.heldExperts)
}

// setHeld records the experts that a rank holds in a map of the present epoch.
func (p *popularity) setHeld(epoch uint64, rank int, mapVersion uint64, heldExperts [][]uint16) {
	if epoch != p.epoch || rank < 0 || rank >= len(p.heldExperts) || len(heldExperts) != p.sets {
		return
	}
	p.heldExperts[rank], p.mapVersions[rank] = heldExperts, mapVersion
}

// decay reduces the weight of earlier counts.
func (p *popularity) decay(now time.Time) {
	if !p.decayedAt.IsZero() {
		decayLoad(p.load, now.Sub(p.decayedAt), max(popularityDecayTime, time.Duration(popularityDecayPeriods*float64(p.period))))
		decayLoad(p.recentLoad, now.Sub(p.decayedAt), max(recentDecayTime, time.Duration(recentDecayPeriods*float64(p.period))))
	}
	p.decayedAt = now
}

func decayLoad(load []float64, elapsed, decayTime time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	for i := range load {
		load[i] *= factor
	}
}

// fits reports whether the counts have the dimensions of s.
func (p *popularity) fits(s groupmap.Shape) bool { return p.sets == s.Sets && p.setSize == s.Experts }

// loadBySet returns the load of each expert, indexed by set and expert, or nil
// if there are no counts. If the skew of the current map shows that other
// experts are in demand than before, it discards older counts first.
func (p *popularity) loadBySet(current *groupmap.Map, shape groupmap.Shape, now time.Time) [][]float64 {
	average, recent := p.splitSets(p.load), p.splitSets(p.recentLoad)
	if average == nil || recent == nil {
		return average
	}
	p.lifetime.Begin(now)
	if groupmap.Skew(current, groupmap.Demand{Load: recent}, shape) > groupmap.Skew(current, groupmap.Demand{Load: average}, shape)+shiftSkewThreshold {
		p.lifetime.Shift(now)
		copy(p.load, p.recentLoad) // The slices of average share the memory of p.load.
	}
	return average
}

// demand returns the load to plan for, given the present one: it remembers the present
// popularity and considers earlier ones, unless copies cannot be weighed.
func (p *popularity) demand(load [][]float64, e ingress.Experts, now time.Time) [][]float64 {
	if !weighable(e) {
		return cloneLoad(load)
	}
	p.patterns.Remember(load, p.lifetime.Age(now), now)
	return p.patterns.Anticipate(load)
}

// splitSets splits a load into its sets. It returns nil if the total is zero.
func (p *popularity) splitSets(load []float64) [][]float64 {
	total := 0.0
	for _, l := range load {
		total += l
	}
	if p.sets == 0 || total == 0 {
		return nil
	}
	out := make([][]float64, p.sets)
	for set := range out {
		out[set] = load[set*p.setSize : (set+1)*p.setSize]
	}
	return out
}

// mapInUse returns the map with the given version if all ranks have reported
// their experts of that version, which do not change within an epoch; otherwise nil.
func (p *popularity) mapInUse(version uint64) *groupmap.Map {
	m := &groupmap.Map{Version: version, Experts: make([][][]uint16, p.sets)}
	for set := range m.Experts {
		m.Experts[set] = make([][]uint16, len(p.heldExperts))
	}
	for r, experts := range p.heldExperts {
		if len(experts) != p.sets || p.sets == 0 || p.mapVersions[r] != version {
			return nil
		}
		for set := range experts {
			m.Experts[set][r] = experts[set]
		}
	}
	return m
}
