package opscmd

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sampleLogs = `  33.5 gw-1 time=2026-07-30T10:00:02.000Z level=info instance=gw-1 event=retry request=aa cause="x" why=x
time=2026-07-30T10:00:01.500Z level=info instance=gw-1 event=rank group=g0 open=false
time=2026-07-30T10:00:09.000Z level=info instance=gw-1 event=rank group=g0 open=true
time=2026-07-30T10:00:02.100Z level=info instance=gw-2 event=rank group=g1 open=false
time=2026-07-30T10:00:01.900Z level=info instance=gw-1 event=answered request=bb
nonsense
time=2026-07-30T10:00:03.000Z level=info instance=gw-1 event=answered request=aa
`

func TestStoryOfOneRequestInOrderOfTime(t *testing.T) {
	lines, err := parseLog(strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	var events []string
	for _, l := range linesAround(lines, "aa", 2*time.Second) {
		events = append(events, l.At.Format("05.000")+" "+l.Request)
	}
	assert.DeepEqual(t, events, []string{"01.500 ", "02.000 aa", "03.000 aa"})
	assert.Equal(t, len(linesAround(lines, "aa", 0)), 2)
	assert.Equal(t, len(linesAround(lines, "cc", time.Second)), 0)
}
