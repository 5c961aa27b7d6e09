package gateway

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/admission"
	"bluebellwind.example/backends"
	"bluebellwind.example/internal/panics"
	"bluebellwind.example/internal/telemetry"
	"bluebellwind.example/verdict"
)

// gatewayMetrics holds the metrics of one gateway. The number of time series
// stays small: there are few organisations and services, and telemetry limits
// them.
type gatewayMetrics struct {
	set               *metrics.Set
	activeRequests    atomic.Int64
	answerSeconds     *telemetry.HistogramFamily
	firstEventSeconds *telemetry.HistogramFamily
}

func newGatewayMetrics(g *Gateway) *gatewayMetrics {
	set := metrics.NewSet()
	organisations := telemetry.NewOrganisationLabels(telemetry.MaxOrganisations)
	m := &gatewayMetrics{
		set:               set,
		answerSeconds:     telemetry.NewHistogramFamily(set, organisations, "bluebellwind_answer_seconds"),
		firstEventSeconds: telemetry.NewHistogramFamily(set, organisations, "bluebellwind_first_event_seconds"),
	}
	set.NewGauge("bluebellwind_active_requests", func() float64 { return float64(m.activeRequests.Load()) })
	set.NewGauge("bluebellwind_config_proof_age_seconds", func() float64 {
		age, _ := g.follower.ProofAge()
		return age.Seconds()
	})
	set.NewGauge("bluebellwind_source_calls", func() float64 {
		sent, _ := g.follower.SourceCalls()
		return float64(sent)
	})
	set.NewGauge("bluebellwind_source_calls_failed", func() float64 {
		_, failed := g.follower.SourceCalls()
		return float64(failed)
	})
	set.NewGauge("bluebellwind_quarantine_held_traits", func() float64 { return float64(g.quarantine.HeldCount(time.Now())) })
	set.NewGauge("bluebellwind_held_server_tokens", func() float64 { return float64(g.directory.HeldTokens()) })
	set.NewGauge("bluebellwind_held_bytes", func() float64 {
		held, _ := g.memory.usage()
		return float64(held)
	})
	set.NewGauge("bluebellwind_held_bytes_peak", func() float64 {
		_, peak := g.memory.usage()
		return float64(peak)
	})
	g.callerGuard.Register(set, "callers")
	g.probeGuard.Register(set, "ready")
	set.NewGauge("bluebellwind_held_header_bytes", func() float64 { return float64(g.headerMemory.Held()) })
	set.NewGauge("bluebellwind_panics_caught", func() float64 { return float64(panics.Count()) })
	set.NewGauge("bluebellwind_limited_servers", func() float64 { return float64(g.directory.LimitedServers()) })
	set.NewGauge("bluebellwind_evacuated_zones", func() float64 { return float64(len(g.directory.EvacuatedZones())) })
	set.NewGauge("bluebellwind_cold_servers", func() float64 {
		known, _ := g.directory.ColdServers(time.Now())
		return float64(known)
	})
	set.NewGauge("bluebellwind_budgeted_servers", func() float64 {
		_, budgeted := g.directory.ColdServers(time.Now())
		return float64(budgeted)
	})
	set.NewGauge("bluebellwind_server_connections_opened", func() float64 { return float64(g.pool.DialAttempts()) })
	set.NewGauge("bluebellwind_server_connections_reused", func() float64 { return float64(g.pool.Reuses()) })
	return m
}

func (m *gatewayMetrics) requestStarted() { m.activeRequests.Add(1) }

func (m *gatewayMetrics) requestEnded() { m.activeRequests.Add(-1) }

// countRefusal counts a refusal by the gateway itself. Those for load have the priority and
// the rule that refused them.
func (m *gatewayMetrics) countRefusal(x *exchange, e *verdict.Error) {
	labels := fmt.Sprintf("code=%q", e.Code)
	var overload *backends.Overload
	if errors.As(e.Err, &overload) {
		labels += fmt.Sprintf(",priority=\"%d\",rule=%q", admission.ClampPriority(x.priority), overload.Rule)
		m.observeAdmission(x.priority, overload.ExpectedWait, overload.Reserve)
		if overload.Rule == backends.RuleShare {
			m.set.GetOrCreateGauge(fmt.Sprintf("bluebellwind_organisation_share_per_second{priority=\"%d\"}", admission.ClampPriority(x.priority)), nil).
				Set(overload.Share.MaxPerSecond)
		}
	}
	m.set.GetOrCreateCounter("bluebellwind_refusals_total{" + labels + "}").Inc()
}

// countAdmitted counts a request for which a server was chosen.
func (m *gatewayMetrics) countAdmitted(x *exchange, choice *backends.Choice) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_admitted_total{priority=\"%d\"}", admission.ClampPriority(x.priority))).Inc()
	m.observeAdmission(x.priority, choice.ExpectedWait, choice.Reserve)
}

// observeAdmission records the latest decision of admission control about a priority.
func (m *gatewayMetrics) observeAdmission(priority int, expectedWait time.Duration, reserve float64) {
	label := fmt.Sprintf("{priority=\"%d\"}", admission.ClampPriority(priority))
	m.set.GetOrCreateGauge("bluebellwind_expected_wait_seconds"+label, nil).Set(expectedWait.Seconds())
	m.set.GetOrCreateGauge("bluebellwind_reserved_slots"+label, nil).Set(reserve)
}

func (m *gatewayMetrics) countFailedAttempt(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_tries_failed_total{then=%q}", event)).Inc()
}

// countDefect counts a response that was not passed on to the caller.
func (m *gatewayMetrics) countDefect(defect responseDefect) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_defective_answers_total{defect=%q}", string(defect))).Inc()
}

// countBrokenOff counts a response that was cut after its header had been sent.
// serverGivenUp says that its last server was silent but had not failed.
func (m *gatewayMetrics) countBrokenOff(serverGivenUp bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_answers_broken_off_total{given_up=\"%t\"}", serverGivenUp)).Inc()
}

// countCrash counts a request whose server crashed at the beginning of the answer. begun
// says that the server had begun to answer.
func (m *gatewayMetrics) countCrash(begun bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_requests_on_crashed_servers_total{begun=\"%t\"}", begun)).Inc()
}

// countBrokenAttempt counts an attempt that broke off at its beginning by what was found
// out about its server.
func (m *gatewayMetrics) countBrokenAttempt(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_broken_attempts_total{result=%q}", result)).Inc()
}

// countProbe counts a request that was admitted although it has held traits.
func (m *gatewayMetrics) countProbe() {
	m.set.GetOrCreateCounter("bluebellwind_quarantine_probes_total").Inc()
}

// countBudgetDenial counts a request that was not sent to the server chosen for it because of
// the budget of the server.
func (m *gatewayMetrics) countBudgetDenial() {
	m.set.GetOrCreateCounter("bluebellwind_budget_denials_total").Inc()
}

func (m *gatewayMetrics) countPanic() {
	m.set.GetOrCreateCounter("bluebellwind_panics_total").Inc()
}

// countSlowCaller counts a response whose caller reads slowly, by what was done: it was read
// ahead, or ended.
func (m *gatewayMetrics) countSlowCaller(then string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_slow_callers_total{then=%q}", then)).Inc()
}

// countMemoryRefusal counts a request that was refused because memory was full.
func (m *gatewayMetrics) countMemoryRefusal() {
	m.set.GetOrCreateCounter("bluebellwind_memory_refusals_total").Inc()
}

// countWithdrawal counts a server that wants no requests, for good or for a time.
func (m *gatewayMetrics) countWithdrawal(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_server_withdrawals_total{kind=%q}", kind)).Inc()
}

// observeResponseEnd counts a response by how it ended and, if it was late, by what it
// missed and by the priority of its request.
func (m *gatewayMetrics) observeResponseEnd(x *exchange, event string, late lateness, elapsed time.Duration) {
	if late != onTime {
		m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_late_answers_total{missed=%q,priority=\"%d\"}", late, x.priority)).Inc()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("bluebellwind_answers_total{end=%q}", event)).Inc()
	m.answerSeconds.Histogram(x.organisation, x.serviceName).Update(elapsed.Seconds())
}

func (m *gatewayMetrics) observeFirstEvent(x *exchange, elapsed time.Duration) {
	m.firstEventSeconds.Histogram(x.organisation, x.serviceName).Update(elapsed.Seconds())
}

// Metrics returns the metrics of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics.set }
