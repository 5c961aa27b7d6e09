package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reportSlowRank publishes statuses of two groups in which rank 2 of group 0 has the
// given relative pass time, and the passes of group 0 take passTime.
func reportSlowRank(d *Directory, relativePassTime float64, passTime time.Duration) {
	for g := range 2 {
		for rank := range 4 {
			s := rankStatus(g, rank, 1, true, true, start)
			s.RelativePassTime, s.PassTime = 1, 60*time.Millisecond
			if g == 0 {
				s.PassTime = passTime
			}
			if g == 0 && rank == 2 {
				s.RelativePassTime = relativePassTime
			}
			d.UpdateStatus(rankServer(g, rank, 1, true).Address, s)
		}
	}
}

// A pass lasts as long as the slowest rank needs for its own requests. Requests that
// keep landing on one slow rank delay all streams of its group.
func TestSlowRankGetsNoRequests(t *testing.T) {
	d := newTwoGroupDirectory()
	reportSlowRank(d, 6, 60*time.Millisecond)
	chosen := make(map[string]int)
	for range 64 {
		c, err := d.Pick(newPickRequest(), start)
		assert.NilError(t, err)
		chosen[c.ID]++
		c.Release()
	}
	assert.Equal(t, chosen["g0-2"], 0)
	assert.Assert(t, chosen["g0-1"] > 0, "the other ranks of the group must be used: %v", chosen)
}

func TestSlowRankGetsWhatItHandlesInTheTimeOfTheOthers(t *testing.T) {
	e := newRequest(1).Service.Engine
	assert.Equal(t, slotsOfSlowRank(e, 10, 1.2, 1), 10, "a small difference is noise")
	assert.Equal(t, slotsOfSlowRank(e, 10, 6, 6), 10, "the others are as slow")
	assert.Equal(t, slotsOfSlowRank(e, 10, 6, 0), 10, "nothing is known of the others")
	assert.Equal(t, slotsOfSlowRank(e, 10, 12, 1), 0)
	some := slotsOfSlowRank(e, 10, 1.5, 1)
	assert.Assert(t, some > 0 && some < 10, "%d", some)
}

// Streams that began on a rank before it became slow hold up their group until they
// end. They are moved only while that delays others past the pause limit.
func TestStreamsOfASlowRankAreMovedWhileTheyDelayTheGroup(t *testing.T) {
	d := newTwoGroupDirectory()
	service := newPickRequest().Service
	slow, other := rankServer(0, 2, 1, true), rankServer(0, 1, 1, true)
	const maxPause = 120 * time.Millisecond
	reportSlowRank(d, 6, 400*time.Millisecond)
	assert.Assert(t, d.SlowsGroup(&slow, service, maxPause))
	assert.Assert(t, !d.SlowsGroup(&other, service, maxPause))
	assert.Assert(t, !d.SlowsGroup(&slow, service, 0), "there is no pause limit")
	assert.Assert(t, !d.SlowsGroup(&slow, nil, maxPause))
	reportSlowRank(d, 6, 100*time.Millisecond)
	assert.Assert(t, !d.SlowsGroup(&slow, service, maxPause), "the passes are short enough")
	reportSlowRank(d, 1, 400*time.Millisecond)
	assert.Assert(t, !d.SlowsGroup(&slow, service, maxPause), "the passes are long for another reason")
}
