package limits_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/limits"
)

// TestFirstBurstMeetsASavedShare guards against refusing the first burst of an
// organisation. Its bucket must fill from the start of the entry, not only from
// the first request.
func TestFirstBurstMeetsASavedShare(t *testing.T) {
	l := limits.NewLimiter(limits.View{Self: "a", Alive: []string{"a", "b"}, ConfiguredCount: 2})
	l.SetLimits([]limits.Limit{{Organisation: "school", Requests: 60}})
	now := time.Unix(1_800_000_000, 0)
	for range 3 {
		l.DueReports(now)
		now = now.Add(limits.ReportPeriod)
	}
	admitted := 0
	for range 100 {
		if ok, _ := l.Admit("school", limits.Cost{Requests: 1}, now); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 60, "%d of a share of 30 a second", admitted)
}
