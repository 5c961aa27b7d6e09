package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

// demand lets a group of two ranks choose four experts for a while.
func demand(p *popularity, from time.Time, spans int, counts ...uint32) time.Time {
	for range spans {
		from = from.Add(countsPeriod)
		for rank := range 2 {
			p.add(share{epoch: 1, rank: rank, counts: counts, unit: 1, inUse: 4, held: [][]uint16{{0}}}, 2, from)
		}
	}
	return from
}

// Other experts are in demand from one moment to the next: what was chosen before
// is forgotten, so that the plan is made for what is chosen now. Without a shift
// choices are averaged, as plans that follow noise cost more than they bring.
func TestPopularityIsForgottenAtAShift(t *testing.T) {
	shape := groupmap.Shape{Sets: 1, Ranks: 2, Experts: 4, MaxExpertsPerRank: 3, MaxCopiesPerRank: 2}
	first := groupmap.First(shape)
	var p popularity
	now := demand(&p, time.Unix(100, 0), 8, 50, 50, 50, 50)
	now = demand(&p, now, 1, 55, 50, 50, 45)
	assert.Assert(t, p.loads(first, shape)[0][3] > 45, "little changed: choices are averaged")
	demand(&p, now, 1, 90, 5, 90, 5)
	load := p.loads(first, shape)[0]
	assert.Assert(t, load[0] > 4*load[1], "%v", load)
}
