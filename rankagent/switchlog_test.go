package rankagent

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

// Guards against a log line that names rank 0 as the last one prepared, as all ranks are
// unprepared once they use the map, and against a switch that is logged before it is over.
func TestSwitchTimesNameTheStagesOfASwitch(t *testing.T) {
	const late = 2
	state := groupmap.RankState{Epoch: 1, Open: true, Step: 10, MapVersion: 3}
	l := groupOfLeader(t, 0, 4, state)
	var lines bytes.Buffer
	l.agent.log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	m := groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: 4, Experts: 8})
	m.Version = 7
	assert.Assert(t, l.mapSwitch.Start(m, start))
	l.beginSwitchTimes(7, start)
	observe := func(rank int, after time.Duration, change func(*groupmap.RankState)) {
		s := state
		change(&s)
		l.mapSwitch.Observe(rank, s)
		l.noteSwitchStage(start.Add(after))
	}
	prepared := func(s *groupmap.RankState) { s.PreparedVersion = 7 }
	for _, rank := range []int{0, 1, 3} {
		observe(rank, 40*time.Millisecond, prepared)
	}
	assert.Equal(t, l.switchTimes.lastPrepared, late)
	assert.Assert(t, l.switchTimes.preparedAt.IsZero())
	observe(late, 90*time.Millisecond, prepared)
	for rank := range 4 {
		observe(rank, 120*time.Millisecond, func(s *groupmap.RankState) { s.PreparedVersion, s.ArmedVersion, s.ArmedStep = 7, 7, 13 })
	}
	assert.Equal(t, l.switchTimes.since(l.switchTimes.preparedAt), int64(90))
	assert.Equal(t, l.switchTimes.since(l.switchTimes.armedAt), int64(120))
	assert.Equal(t, l.switchTimes.lastPrepared, late)
	observe(0, 200*time.Millisecond, func(s *groupmap.RankState) { s.MapVersion, s.Step = 7, 13 })
	assert.Assert(t, strings.Contains(lines.String(), `"switched":true,"prepared_ms":90,`), lines.String())
	assert.Assert(t, strings.Contains(lines.String(), `"last_prepared":2,`), lines.String())
}
