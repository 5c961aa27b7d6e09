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
