package rankagent

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// agentMetrics are the metrics of one agent.
type agentMetrics struct {
	set *metrics.Set
	// switches counts the switches that were started.
	switches *metrics.Counter
	// ordersRepeated counts the orders to prepare a map that were repeated because the
	// local server did not answer.
	ordersRepeated *metrics.Counter
	// preparesRepeated counts the orders to prepare a map that this agent sent again as
	// the initiator, ordersForwarded those that it passed on as a relay, and
	// ordersUnforwarded those that it could not pass on.
	preparesRepeated, ordersForwarded, ordersUnforwarded *metrics.Counter
	// switchSeconds is the time from the start of a switch until a rank uses the map.
	switchSeconds *metrics.Histogram
	// digestsSent counts the digests of the group that were sent to gateways.
	digestsSent *metrics.Counter
	// copiedBytes counts the bytes of experts that the switches started copy.
	copiedBytes *metrics.Counter
	// skew is the skew of the map in use at the last plan, see groupmap.Skew, in
	// thousandths.
	skew atomic.Int64
	// relativePassTime is that of the last report, in units of 1/paceUnit.
	relativePassTime atomic.Int64
}

func newAgentMetrics(a *Agent) *agentMetrics {
	set := metrics.NewSet()
	m := &agentMetrics{
		set: set, switches: set.NewCounter("bluebellwind_map_switches_total"),
		ordersRepeated: set.NewCounter("bluebellwind_rank_orders_repeated_total"),
		copiedBytes:    set.NewCounter("bluebellwind_map_copied_bytes_total"),
	}
	m.preparesRepeated = set.NewCounter("bluebellwind_map_prepares_repeated_total")
	m.ordersForwarded = set.NewCounter("bluebellwind_map_orders_forwarded_total")
	m.ordersUnforwarded = set.NewCounter("bluebellwind_map_orders_unforwarded_total")
	m.switchSeconds = set.NewHistogram("bluebellwind_map_switch_seconds")
	m.digestsSent = set.NewCounter("bluebellwind_status_digests_sent_total")
	set.NewGauge("bluebellwind_status_subscribers", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(len(a.relay.subscribers))
	})
	set.NewGauge("bluebellwind_rank_skew", func() float64 { return float64(m.skew.Load()) / 1000 })
	set.NewGauge("bluebellwind_rank_relative_pass_time", func() float64 { return float64(m.relativePassTime.Load()) / paceUnit })
	set.NewGauge("bluebellwind_rank_up", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.up {
			return 1
		}
		return 0
	})
	return m
}

// countPlan counts a plan by what became of it.
func (m *agentMetrics) countPlan(result planResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_map_plans_total{result=%q}", string(result))).Inc()
}

func (m *agentMetrics) countOrder(kind string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_rank_orders_total{kind=%q,result=%q}", kind, result)).Inc()
}

// Metrics returns the metrics of the agent.
func (a *Agent) Metrics() *metrics.Set { return a.metrics.set }
