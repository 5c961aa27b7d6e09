package connguard

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds the state of the guard to a set of metrics, under the name of its listener.
func (g *Guard) Register(set *metrics.Set, listener string) {
	for name, value := range map[string]func(Usage) float64{
		"bluebellwind_guarded_connections":       func(u Usage) float64 { return float64(u.Open) },
		"bluebellwind_connections_refused_total": func(u Usage) float64 { return float64(u.Refused) },
		"bluebellwind_connections_evicted_total": func(u Usage) float64 { return float64(u.Evictions) },
		"bluebellwind_headers_refused_total":     func(u Usage) float64 { return float64(u.HeadersRefused) },
	} {
		set.NewGauge(fmt.Sprintf("%s{listener=%q}", name, listener), func() float64 { return value(g.Usage()) })
	}
}
