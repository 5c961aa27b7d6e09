package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// rankMetrics holds the metrics of one rank group as observed by this agent.
type rankMetrics struct {
	switched, failed            *metrics.Counter
	plans, movedBytes           *metrics.Counter
	maxOverMean, spreadOverMean *metrics.Gauge
}

func newRankMetrics(group string) rankMetrics {
	labels := fmt.Sprintf("{group=%q}", group)
	switchCounter := func(result string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("bluebellwind_map_switches_total{group=%q,result=%q}", group, result))
	}
	return rankMetrics{
		switched:       switchCounter("switched"),
		failed:         switchCounter("failed"),
		plans:          metrics.GetOrCreateCounter("bluebellwind_map_plans_total" + labels),
		movedBytes:     metrics.GetOrCreateCounter("bluebellwind_map_moved_bytes_total" + labels),
		maxOverMean:    metrics.GetOrCreateGauge("bluebellwind_rank_time_max_over_mean"+labels, nil),
		spreadOverMean: metrics.GetOrCreateGauge("bluebellwind_rank_time_spread_over_mean"+labels, nil),
	}
}
