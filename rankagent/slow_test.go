package rankagent

import (
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// An operator must see from the log which rank held its group up, and when.
func TestSlownessIsLoggedWhenItBeginsAndEnds(t *testing.T) {
	var out strings.Builder
	a := &Agent{log: &log.Logger{Writer: &log.IOWriter{Writer: &out}}}
	a.metrics = newAgentMetrics(a)
	for _, pace := range []float64{1, 1.1, 12, 12, 11, 1, 1} {
		a.recordSlowness(Report{RelativePassTime: pace})
	}
	assert.Equal(t, strings.Count(out.String(), "server_slow"), 2, out.String())
	a.recordSlowness(Report{RelativePassTime: 2.5})
	var metrics strings.Builder
	a.Metrics().WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), "bluebellwind_rank_relative_pass_time 2.5"), metrics.String())
}
