package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc"

	"bluebellwind.example/internal/operators"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/telemetry"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// operatorAccess holds what operators use to observe and control the agent: its
// metrics and its RPC service for operators.
type operatorAccess struct {
	metricSet *metrics.Set
	// queueTimes records in seconds how long requests waited for a slot, by
	// organisation and class.
	queueTimes   *telemetry.HistogramFamily
	refusals     *telemetry.Refusals
	attemptCount *metrics.Counter

	operatorServer *operators.Server
	// requestDrain ends the context of Serve, which then drains the agent.
	requestDrain context.CancelFunc
}

func newOperatorAccess() operatorAccess {
	metricSet := metrics.NewSet()
	organisations := telemetry.NewOrganisationLabels(telemetry.MaxOrganisations)
	return operatorAccess{
		metricSet:    metricSet,
		queueTimes:   telemetry.NewHistogramFamily(metricSet, organisations, "bluebellwind_queue_seconds"),
		refusals:     telemetry.NewRefusals(metricSet, "bluebellwind_refusals_total"),
		attemptCount: metricSet.NewCounter("bluebellwind_attempts_total"),
	}
}

// registerMetrics exposes the metrics on the admin listener until the returned
// function is called.
func (a *Agent) registerMetrics() func() {
	a.metricSet.NewGauge("bluebellwind_rules_revision", func() float64 {
		return float64(a.peering.Store.Current().Number)
	})
	a.metricSet.NewGauge("bluebellwind_requests_active", func() float64 { return float64(a.activeCallCount()) })
	telemetry.RegisterBoolGauge(a.metricSet, "bluebellwind_draining", a.isDraining)
	metrics.RegisterSet(a.metricSet)
	return func() { metrics.UnregisterSet(a.metricSet, true) }
}

// recordQueueTime records how long a request waited for its slot.
func (a *Agent) recordQueueTime(s *wire.Start, waited time.Duration) {
	a.queueTimes.Histogram(s.GetOrganisation(), s.GetClass()).Update(waited.Seconds())
}

func (a *Agent) recordAttempt(err error) {
	a.attemptCount.Inc()
	if err != nil {
		refusal := verdict.AsError(err)
		a.refusals.Add(string(refusal.Code), refusal.Verdict.String())
	}
}

// newOperatorHandler returns the RPC handler for peers in the operator role. It
// must be called after a.peering is set.
func (a *Agent) newOperatorHandler() (drpc.Handler, error) {
	a.operatorServer = operators.NewServer(operators.Options{
		Name:        a.settings.Name,
		Incarnation: a.incarnation,
		Peering:     a.peering,
		Drain:       a.requestDrain,
		Active:      a.activeCallCount,
		Draining:    a.isDraining,
	})
	handler, err := a.operatorServer.Handler()
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	return handler, nil
}

func (a *Agent) setInstanceList(list platform.InstanceList) { a.operatorServer.SetInstanceList(list) }
