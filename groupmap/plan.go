package groupmap

import (
	"math"
	"slices"
)

// Limits bound one plan.
type Limits struct {
	// Target is the load of the busiest rank over the mean at which a set needs
	// no further move.
	Target float64
	// Copies is the greatest number of experts that a plan copies.
	Copies int
	// GainPerCopy is the least gain that is worth a copy: by how much it lowers
	// the load of the busiest rank over the mean, summed over the sets.
	GainPerCopy float64
}

// Outcome is what a plan is expected to bring.
type Outcome struct {
	Map *Map
	// Before and After are the load of the busiest rank over the mean, as the
	// mean over the sets.
	Before, After float64
	Copies        int
}

// Skew is the load of the busiest rank over the mean, as the mean over the sets.
func Skew(m *Map, load [][]float64, s Shape) float64 {
	sum := 0.0
	for i := range s.Sets {
		sum += newBalance(m.Experts[i], load[i], s).skew() / float64(s.Sets)
	}
	return sum
}

// Plan improves a map for the given load of each expert, by set. It makes the
// moves that lower the busiest rank of a set most for each copy first.
func Plan(current *Map, load [][]float64, s Shape, l Limits) Outcome {
	out := Outcome{Map: current.Clone()}
	sets := make([]*balance, s.Sets)
	for i := range sets {
		sets[i] = newBalance(out.Map.Experts[i], load[i], s)
		out.Before += sets[i].skew() / float64(s.Sets)
	}
	for copies := 0; copies < l.Copies; {
		best, at := move{}, -1
		for i, b := range sets {
			if m := b.best(l.Target); m.copies > 0 && m.worth() > best.worth() {
				best, at = m, i
			}
		}
		if at < 0 || best.worth() < l.GainPerCopy || copies+best.copies > l.Copies {
			break
		}
		sets[at].apply(best)
		copies += best.copies
	}
	for i, b := range sets {
		out.Map.Experts[i] = b.held
		out.After += b.skew() / float64(s.Sets)
	}
	out.Copies = out.Map.Copies(current)
	return out
}

// balance is one set while its map is improved.
type balance struct {
	held    [][]uint16
	load    []float64
	count   []int
	rank    []float64
	mean    float64
	places  int
	spare   int
	brought []int
	// holders are the ranks of each expert.
	holders [][]int
	// saved is scratch space.
	saved []float64
	// next is the best move, as long as the set has not changed.
	next *move
}

// move gives an expert to a rank. dropped is taken from that rank and source
// gives the expert up, unless they are negative.
type move struct {
	expert, to      int
	dropped, source int
	// swapped is given to source in return, unless it is negative.
	swapped int
	copies  int
	// gain in the load of the busiest rank over the mean.
	gain float64
}

// worth is the gain of a copy.
func (m move) worth() float64 {
	if m.copies == 0 {
		return 0
	}
	return m.gain / float64(m.copies)
}

func newBalance(held [][]uint16, load []float64, s Shape) *balance {
	b := &balance{
		held:    held,
		load:    load,
		count:   make([]int, s.Experts),
		rank:    make([]float64, s.Ranks),
		places:  s.Places,
		spare:   s.Spare,
		brought: make([]int, s.Ranks),
		holders: make([][]int, s.Experts),
		saved:   make([]float64, s.Ranks),
	}
	for r, experts := range held {
		for _, e := range experts {
			b.count[e]++
			b.holders[e] = append(b.holders[e], r)
		}
	}
	for r, experts := range held {
		for _, e := range experts {
			b.rank[r] += load[e] / float64(b.count[e])
		}
	}
	for _, l := range b.rank {
		b.mean += l / float64(s.Ranks)
	}
	return b
}

// skew is the load of the busiest rank over the mean.
func (b *balance) skew() float64 {
	if b.mean == 0 {
		return 1
	}
	return slices.Max(b.rank) / b.mean
}

// best returns the move that gains most a copy; one without copies if none does.
func (b *balance) best(target float64) move {
	if b.next != nil {
		return *b.next
	}
	var best move
	b.next = &best
	if b.skew() <= target {
		return best
	}
	from := busiest(b.rank)
	for _, e := range b.held[from] {
		for to := range b.rank {
			if to == from || b.brought[to] >= b.spare || slices.Contains(b.held[to], e) {
				continue
			}
			b.consider(&best, from, int(e), to)
		}
	}
	return best
}

// consider looks at the ways to give expert e of rank from to rank to.
func (b *balance) consider(best *move, from, e, to int) {
	if len(b.held[to]) < b.places {
		b.try(best, move{expert: e, to: to, dropped: -1, source: -1, swapped: -1, copies: 1})
		if b.count[e] == 1 {
			b.try(best, move{expert: e, to: to, dropped: -1, source: from, swapped: -1, copies: 1})
		}
		return
	}
	for _, d := range b.held[to] {
		switch {
		case b.count[d] > 1:
			b.try(best, move{expert: e, to: to, dropped: int(d), source: -1, swapped: -1, copies: 1})
			b.try(best, move{expert: e, to: to, dropped: int(d), source: from, swapped: -1, copies: 1})
		case b.brought[from] < b.spare && !slices.Contains(b.held[from], d):
			b.try(best, move{expert: e, to: to, dropped: int(d), source: from, swapped: int(d), copies: 2})
		}
	}
}

// try keeps m if it gains more a copy than the best so far. The gain is that of
// the potential, which also rewards moves that leave another rank as the
// busiest.
func (b *balance) try(best *move, m move) {
	before := b.potential()
	copy(b.saved, b.rank)
	counts := [2]int{b.count[m.expert], 0}
	if m.dropped >= 0 {
		counts[1] = b.count[m.dropped]
	}
	b.shift(m)
	m.gain = before - b.potential()
	copy(b.rank, b.saved)
	b.count[m.expert] = counts[0]
	if m.dropped >= 0 {
		b.count[m.dropped] = counts[1]
	}
	if m.worth() > best.worth() {
		*best = m
	}
}

// potential is the fourth root of the mean fourth power of the ranks' loads,
// over the mean load, scaled to the busiest rank.
func (b *balance) potential() float64 {
	var sum, most float64
	for _, l := range b.rank {
		x := l / b.mean
		sum += x * x * x * x
		most = max(most, x)
	}
	const busiestWeight = 0.7
	return busiestWeight*most + (1-busiestWeight)*math.Sqrt(math.Sqrt(sum/float64(len(b.rank))))
}

// shift moves the load of m.
func (b *balance) shift(m move) {
	if m.dropped >= 0 {
		if m.swapped >= 0 {
			b.rank[m.to] -= b.load[m.dropped]
			b.rank[m.source] += b.load[m.dropped]
		} else {
			b.recount(m.dropped, -1, m.to, -1)
		}
	}
	if m.source >= 0 {
		share := b.load[m.expert] / float64(b.count[m.expert])
		b.rank[m.source] -= share
		b.rank[m.to] += share
		return
	}
	b.recount(m.expert, m.to, -1, 1)
}

// recount changes the number of replicas of an expert: rank added gets one,
// rank removed loses one, as far as they are not negative.
func (b *balance) recount(e, added, removed, by int) {
	before := b.load[e] / float64(b.count[e])
	b.count[e] += by
	after := b.load[e] / float64(b.count[e])
	for _, r := range b.holders[e] {
		if r == removed {
			b.rank[r] -= before
			continue
		}
		b.rank[r] += after - before
	}
	if added >= 0 {
		b.rank[added] += after
	}
}

// apply carries m out.
func (b *balance) apply(m move) {
	b.shift(m)
	if m.dropped >= 0 {
		b.take(m.dropped, m.to)
	}
	if m.source >= 0 {
		b.take(m.expert, m.source)
	}
	if m.swapped >= 0 {
		b.give(m.swapped, m.source)
	}
	b.give(m.expert, m.to)
	b.next = nil
}

// give adds an expert to a rank.
func (b *balance) give(e, rank int) {
	b.held[rank] = append(b.held[rank], uint16(e))
	b.holders[e] = append(b.holders[e], rank)
	b.brought[rank]++
}

// take removes an expert from a rank.
func (b *balance) take(e, rank int) {
	if i := slices.Index(b.held[rank], uint16(e)); i >= 0 {
		b.held[rank] = slices.Delete(b.held[rank], i, i+1)
	}
	if i := slices.Index(b.holders[e], rank); i >= 0 {
		b.holders[e] = slices.Delete(b.holders[e], i, i+1)
	}
}

func busiest(load []float64) int {
	at := 0
	for r, l := range load {
		if l > load[at] {
			at = r
		}
	}
	return at
}
