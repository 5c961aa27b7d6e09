package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/internal/telemetry"
)

// entryMetrics are the metrics of one entry. They are safe for concurrent use.
type entryMetrics struct {
	set *metrics.Set
	// firstToken, betweenTokens and responseTime are histograms in seconds for
	// each organisation and class: the time to the first token, the time between
	// two tokens, and the time to the complete response.
	firstToken    *telemetry.HistogramFamily
	betweenTokens *telemetry.HistogramFamily
	responseTime  *telemetry.HistogramFamily
	refusals      *telemetry.Refusals
	attempts      *metrics.Counter
	retries       *metrics.Counter
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	labels := telemetry.NewOrganisationLabels(telemetry.MaxOrganisations)
	family := func(name string) *telemetry.HistogramFamily { return telemetry.NewHistogramFamily(set, labels, name) }
	return &entryMetrics{
		set:           set,
		firstToken:    family("bluebellwind_first_token_seconds"),
		betweenTokens: family("bluebellwind_between_tokens_seconds"),
		responseTime:  family("bluebellwind_whole_answer_seconds"),
		refusals:      telemetry.NewRefusals(set, "bluebellwind_refusals_total"),
		attempts:      set.NewCounter("bluebellwind_attempts_total"),
		retries:       set.NewCounter("bluebellwind_retries_total"),
	}
}

// registerMetrics registers the metrics of the entry, which the admin listener
// serves, until the returned function is called.
func (e *Entry) registerMetrics() func() {
	set := e.metrics.set
	set.NewGauge("bluebellwind_rules_revision", func() float64 {
		return float64(e.peering.Store.Current().Number)
	})
	set.NewGauge("bluebellwind_requests_active", func() float64 { return float64(e.activeCount()) })
	telemetry.RegisterBoolGauge(set, "bluebellwind_draining", e.isDraining)
	metrics.RegisterSet(set)
	return func() { metrics.UnregisterSet(set, true) }
}

// tokenTimer measures the token times of one stream. It must be used by one
// goroutine only. A nil tokenTimer records nothing.
type tokenTimer struct {
	start, lastToken          time.Time
	firstToken, betweenTokens *metrics.Histogram
}

func (m *entryMetrics) newTokenTimer(organisation, class string, start time.Time) *tokenTimer {
	return &tokenTimer{
		start:         start,
		firstToken:    m.firstToken.Histogram(organisation, class),
		betweenTokens: m.betweenTokens.Histogram(organisation, class),
	}
}

// recordToken records that the next token of the stream is written to the
// caller's connection at now.
func (t *tokenTimer) recordToken(now time.Time) {
	if t == nil {
		return
	}
	if t.lastToken.IsZero() {
		t.firstToken.Update(now.Sub(t.start).Seconds())
	} else {
		t.betweenTokens.Update(now.Sub(t.lastToken).Seconds())
	}
	t.lastToken = now
}
