// Package telemetry provides metrics with a bounded number of time series per
// process, regardless of the number of organisations that send requests.
package telemetry

import (
	"fmt"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// MaxOrganisations is the number of organisations that get their own histograms
// in one process: the first ones that send requests. All others share the
// histograms with the label Other.
const MaxOrganisations = 200

// Other is the organisation label of the histograms that organisations without
// their own histograms share. An organisation with this name also uses them.
const Other = "other"

// HistogramLabels holds the label values of one histogram.
type HistogramLabels struct {
	Organisation string
	Class        string
}

// OrganisationLabels selects the organisations that get their own histograms. It
// is safe for concurrent use.
type OrganisationLabels struct {
	limit int

	mu     sync.RWMutex
	labels map[string]string
}

// NewOrganisationLabels returns an empty set that holds up to limit
// organisations.
func NewOrganisationLabels(limit int) *OrganisationLabels {
	return &OrganisationLabels{limit: limit, labels: map[string]string{}}
}

// label returns the label for an organisation: its name if it is in the set or
// can still be added, or else Other.
func (o *OrganisationLabels) label(name string) string {
	o.mu.RLock()
	label, ok := o.labels[name]
	full := len(o.labels) >= o.limit
	o.mu.RUnlock()
	if ok {
		return label
	}
	if full {
		return Other
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.labels) >= o.limit {
		return Other
	}
	name = strings.Clone(name) // A substring would keep the whole rules file in memory.
	o.labels[name] = name
	return name
}

// HistogramFamily is a metric with one histogram per organisation and class. It
// is safe for concurrent use.
type HistogramFamily struct {
	name          string
	set           *metrics.Set
	organisations *OrganisationLabels

	mu         sync.RWMutex
	histograms map[HistogramLabels]*metrics.Histogram
}

// NewHistogramFamily returns a family whose histograms, in seconds, are
// registered in set.
func NewHistogramFamily(set *metrics.Set, organisations *OrganisationLabels, name string) *HistogramFamily {
	return &HistogramFamily{name: name, set: set, organisations: organisations, histograms: map[HistogramLabels]*metrics.Histogram{}}
}

// Histogram returns the histogram for an organisation and class.
func (f *HistogramFamily) Histogram(organisation, class string) *metrics.Histogram {
	key := HistogramLabels{Organisation: f.organisations.label(organisation), Class: class}
	f.mu.RLock()
	h := f.histograms[key]
	f.mu.RUnlock()
	if h != nil {
		return h
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if h = f.histograms[key]; h == nil {
		h = f.set.GetOrCreateHistogram(fmt.Sprintf("%s{organisation=%q,class=%q}", f.name, key.Organisation, key.Class))
		f.histograms[key] = h
	}
	return h
}

// Refusals counts refusals by code and verdict, both of which have few values.
type Refusals struct {
	name string
	set  *metrics.Set
}

// NewRefusals returns refusal counters that are registered in set.
func NewRefusals(set *metrics.Set, name string) *Refusals { return &Refusals{name: name, set: set} }

// Add counts one refusal.
func (r *Refusals) Add(code, verdict string) {
	r.set.GetOrCreateCounter(fmt.Sprintf("%s{code=%q,verdict=%q}", r.name, code, verdict)).Inc()
}

// RegisterBoolGauge registers a gauge in set that is 1 if value returns true, or
// else 0.
func RegisterBoolGauge(set *metrics.Set, name string, value func() bool) {
	set.NewGauge(name, func() float64 {
		if value() {
			return 1
		}
		return 0
	})
}
