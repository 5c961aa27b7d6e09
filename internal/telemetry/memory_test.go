package telemetry_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/telemetry"
)

const (
	organisations = 2200
	// maxBytes is the part of an entry's memory limit of 64 MB that its
	// histograms may use.
	maxBytes = 8 << 20
)

var classes = []string{"interactive", "batch"}

// TestHistogramsOfAllOrganisationsStayBounded measures the memory of the three
// histogram families of an entry at the target load: all organisations send
// requests of both classes, with values over three decades.
func TestHistogramsOfAllOrganisationsStayBounded(t *testing.T) {
	before := heapBytes()
	set := metrics.NewSet()
	labelSet := telemetry.NewOrganisationLabels(telemetry.MaxOrganisations)
	var families []*telemetry.HistogramFamily
	for _, name := range []string{"first", "between", "whole"} {
		families = append(families, telemetry.NewHistogramFamily(set, labelSet, name))
	}
	for i := range organisations {
		for _, class := range classes {
			for _, f := range families {
				for _, v := range []float64{0.004, 0.05, 0.6} {
					f.Histogram(fmt.Sprintf("organisation-%d", i), class).Update(v)
				}
			}
		}
	}
	grown := heapBytes() - before
	var page bytes.Buffer
	set.WritePrometheus(&page)
	t.Logf("%d organisations use %.1f MB of heap, and their metrics page has %.1f MB", organisations, float64(grown)/(1<<20), float64(page.Len())/(1<<20))
	assert.Assert(t, grown < maxBytes, "heap grew by %d bytes", grown)
	series := strings.Count(page.String(), "first_count")
	assert.Equal(t, series, (telemetry.MaxOrganisations+1)*len(classes))
	assert.Assert(t, strings.Contains(page.String(),
		fmt.Sprintf(`first_count{organisation="other",class="batch"} %d`, 3*(organisations-telemetry.MaxOrganisations))))
	runtime.KeepAlive(families)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
