package expertmap

import "math"

// Skew describes how unequal the rank times of one layer, or of a whole step,
// are. The mean is the ideal rank time: the total load over the total speed.
type Skew struct {
	// MaxOverMean is the greatest rank time over the mean. It is at least 1 up
	// to rounding errors.
	MaxOverMean float64
	// SpreadOverMean is the greatest minus the least rank time, over the mean.
	SpreadOverMean float64
}

// LayerSkew returns the skew of one layer for the given popularity of each
// expert. The tokens of an expert are split among its replicas by the shares in
// the map, and the time of a rank is its load over its speed. Ranks that are
// not alive are ignored.
func LayerSkew(m *Map, layer int, share []float64, ranks []Rank) Skew {
	times := make([]float64, len(ranks))
	return layerSkew(m, layer, share, ranks, times)
}

// layerSkew is LayerSkew with a caller-provided buffer of one element per rank.
func layerSkew(m *Map, layer int, share []float64, ranks []Rank, times []float64) Skew {
	clear(times)
	for i, c := range m.Layer(layer) {
		if c.Expert != NoExpert {
			times[i/m.Slots] += share[c.Expert] * float64(c.Share) / ShareUnit
		}
	}
	var totalLoad, totalSpeed float64
	fastest, slowest := math.Inf(1), 0.0
	for r := range ranks {
		if !ranks[r].Alive {
			continue
		}
		totalLoad += times[r]
		totalSpeed += ranks[r].Speed
		t := times[r] / ranks[r].Speed
		fastest = min(fastest, t)
		slowest = max(slowest, t)
	}
	mean := totalLoad / totalSpeed
	return Skew{MaxOverMean: slowest / mean, SpreadOverMean: (slowest - fastest) / mean}
}

// StepSkew returns the skew of a step from those of its layers: their mean,
// since the layers run in sequence and each waits for its slowest rank. There
// must be at least one layer.
func StepSkew(layers []Skew) Skew {
	var s Skew
	for _, l := range layers {
		s.MaxOverMean += l.MaxOverMean
		s.SpreadOverMean += l.SpreadOverMean
	}
	s.MaxOverMean /= float64(len(layers))
	s.SpreadOverMean /= float64(len(layers))
	return s
}

// LowerBound returns a lower bound on MaxOverMean for any placement and any
// split of tokens in a layer with the given slots. Let T be a limit on the rank
// time in units of the mean. A replica serves at most T times the greatest
// speed, so an expert with load p needs at least p/(T·speed) replicas, rounded
// up, and at least one. The total must not exceed the number of slots, and no
// expert can have more replicas than there are live ranks. The bound is the
// least T >= 1 that meets these conditions, found by bisection to within 1e-6,
// or infinity if none does.
func LowerBound(share []float64, ranks []Rank) float64 {
	alive, slots := 0, 0
	var speed, fastest, load float64
	for _, r := range ranks {
		if r.Alive {
			alive++
			slots += r.Slots
			speed += r.Speed
			fastest = max(fastest, r.Speed)
		}
	}
	for _, p := range share {
		load += p
	}
	feasible := func(t float64) bool {
		needed := 0
		for _, p := range share {
			n := max(1, int(math.Ceil(p/load*speed/(t*fastest)-1e-9)))
			if n > alive {
				return false
			}
			needed += n
		}
		return needed <= slots
	}
	low, high := 1.0, 1.0
	for !feasible(high) {
		low, high = high, 2*high
		if high > float64(len(ranks))*2 {
			return math.Inf(1)
		}
	}
	for high-low > 1e-6 {
		mid := (low + high) / 2
		if feasible(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}
