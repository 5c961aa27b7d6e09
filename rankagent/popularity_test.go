package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

// addCounts adds the same counts for both ranks of a group in each of several
// periods.
func addCounts(p *popularity, now time.Time, periods int, counts ...uint32) time.Time {
	for range periods {
		now = now.Add(countsPeriod)
		for rank := range 2 {
			p.add(rankCounts{epoch: 1, rank: rank, counts: counts, unit: 1, mapVersion: 4, heldExperts: [][]uint16{{0}}}, 2, now)
		}
	}
	return now
}

// Guards against plans for outdated demand: when the demand moves to other
// experts at once, older counts must be discarded. Without such a shift counts
// must be averaged, because plans that follow noise cost more than they gain.
func TestPopularityIsForgottenAtAShift(t *testing.T) {
	shape := groupmap.Shape{Sets: 1, Ranks: 2, Experts: 4, MaxExpertsPerRank: 3, MaxCopiesPerRank: 2}
	first := groupmap.InitialMap(shape)
	var p popularity
	now := addCounts(&p, time.Unix(100, 0), 8, 50, 50, 50, 50)
	now = addCounts(&p, now, 1, 55, 50, 50, 45)
	assert.Assert(t, p.loadBySet(first, shape, now)[0][3] > 45, "a small change must not discard older counts")
	now = addCounts(&p, now, 1, 90, 5, 90, 5)
	load := p.loadBySet(first, shape, now)[0]
	assert.Assert(t, load[0] > 4*load[1], "%v", load)
}
