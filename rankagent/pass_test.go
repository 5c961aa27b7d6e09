package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

func TestPassesAreTimedWhileTheRankWorks(t *testing.T) {
	var p passTimer
	now := time.Unix(1000, 0)
	observe := func(step uint64, running int) {
		p.observe(Report{Running: running, State: groupmap.RankState{Epoch: 1, Step: step}}, now)
	}
	observe(10, 3)
	for i := range uint64(10) {
		now = now.Add(300 * time.Millisecond)
		observe(10+3*(i+1), 3)
	}
	assert.Equal(t, p.meanDuration, 100*time.Millisecond)
	now = now.Add(time.Minute)
	observe(41, 0)
	assert.Equal(t, p.meanDuration, time.Duration(0), "an idle group makes no passes")
}

// A group that is held or has lost a rank begins no pass for seconds. That is no long
// pass: taken for one, it would leave slots unused long after the group goes on.
func TestStandstillIsNoPass(t *testing.T) {
	var p passTimer
	now := time.Unix(1000, 0)
	step := uint64(0)
	observe := func(passes uint64, elapsed time.Duration) {
		step += passes
		now = now.Add(elapsed)
		p.observe(Report{Running: 3, State: groupmap.RankState{Epoch: 1, Step: step}}, now)
	}
	observe(0, 0)
	for range 5 {
		observe(6, 300*time.Millisecond)
	}
	assert.Equal(t, p.meanDuration, 50*time.Millisecond)
	for range 20 {
		observe(0, 200*time.Millisecond)
	}
	observe(1, 50*time.Millisecond)
	assert.Equal(t, p.meanDuration, 50*time.Millisecond)
	observe(6, 300*time.Millisecond)
	assert.Equal(t, p.meanDuration, 50*time.Millisecond)
}
