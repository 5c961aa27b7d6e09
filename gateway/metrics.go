package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/internal/telemetry"
)

// meters are the counters and histograms of one gateway. Organisations and
// services are few, and bounded by telemetry.
type meters struct {
	set     *metrics.Set
	active  atomic.Int64
	answers *telemetry.Family
	firsts  *telemetry.Family
}

func newMeters(g *Gateway) *meters {
	set := metrics.NewSet()
	organisations := telemetry.NewOrganisations(telemetry.MaxOrganisations)
	m := &meters{
		set:     set,
		answers: telemetry.NewFamily(set, organisations, "bluebellwind_answer_seconds"),
		firsts:  telemetry.NewFamily(set, organisations, "bluebellwind_first_event_seconds"),
	}
	set.NewGauge("bluebellwind_active_requests", func() float64 { return float64(m.active.Load()) })
	set.NewGauge("bluebellwind_config_proof_age_seconds", func() float64 {
		age, _ := g.follower.Age()
		return age.Seconds()
	})
	set.NewGauge("bluebellwind_source_calls", func() float64 {
		sent, _ := g.follower.Calls()
		return float64(sent)
	})
	set.NewGauge("bluebellwind_source_calls_failed", func() float64 {
		_, failed := g.follower.Calls()
		return float64(failed)
	})
	set.NewGauge("bluebellwind_server_connections_opened", func() float64 { return float64(g.pool.Dials()) })
	return m
}

func (m *meters) began() { m.active.Add(1) }

func (m *meters) ended() { m.active.Add(-1) }

func (m *meters) refused(code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_refusals_total{code=%q}", code)).Inc()
}

func (m *meters) retried(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_tries_failed_total{then=%q}", event)).Inc()
}

func (m *meters) finished(x *exchange, event string, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_answers_total{end=%q}", event)).Inc()
	m.answers.Of(x.organisation, x.name).Update(elapsed.Seconds())
}

func (m *meters) first(x *exchange, elapsed time.Duration) {
	m.firsts.Of(x.organisation, x.name).Update(elapsed.Seconds())
}

// Metrics returns the metrics of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics.set }
