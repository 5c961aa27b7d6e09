package harness

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run. EntryRetries, Refusal,
// RetryAfterRefusals and Second.Goodput include every request. The other fields
// include only requests that arrived after the warm-up, and Imbalance is
// sampled only after it.
type Result struct {
	Scenario Scenario
	// FirstToken and FirstTokenInteractive hold the times from a caller's first
	// attempt to its first token, in microseconds.
	FirstToken            *hdrhistogram.Histogram
	FirstTokenInteractive *hdrhistogram.Histogram
	// Refusal holds the times from a caller's attempt to its refusal, in
	// microseconds.
	Refusal *hdrhistogram.Histogram
	Arrived int
	// Answered counts requests whose caller got the complete answer before it
	// gave up.
	Answered int
	// Failed counts requests whose caller used up its attempts without a
	// complete answer.
	Failed int
	// Attempts counts the attempts of callers, EntryRetries the retries by
	// entries.
	Attempts, EntryRetries int
	// Started counts requests that got a first token, PrefixHits those of them
	// whose prefix was in the server's cache.
	PrefixHits, Started int
	// LightArrived and LightAnswered count the requests of all but the heavy
	// organisation.
	LightArrived, LightAnswered int
	// RetryAfterRefusals counts refusals that stated a retry delay.
	// StartedAfterRetryAfter counts requests that got a first token after such
	// a refusal.
	RetryAfterRefusals, StartedAfterRetryAfter int
	// Imbalance summarises the distribution of load over the servers, sampled
	// during the run.
	Imbalance Imbalance
	// Seconds holds the goodput and the times to first token of each second.
	Seconds []Second
}

// Second holds the measurements of one second of a run.
type Second struct {
	// Goodput is the work of answers that were completed before their caller
	// gave up, as a share of the servers' capacity.
	Goodput float64
	// FirstAttempt holds the times to the first token of callers' first
	// attempts, in microseconds.
	FirstAttempt *hdrhistogram.Histogram
}

// Merge adds the counts of o, a run of the same scenario with another seed.
// Seconds stays that of r.
func (r *Result) Merge(o *Result) {
	r.FirstToken.Merge(o.FirstToken)
	r.FirstTokenInteractive.Merge(o.FirstTokenInteractive)
	r.Refusal.Merge(o.Refusal)
	r.Arrived += o.Arrived
	r.Answered += o.Answered
	r.Failed += o.Failed
	r.Attempts += o.Attempts
	r.EntryRetries += o.EntryRetries
	r.PrefixHits += o.PrefixHits
	r.Started += o.Started
	r.LightArrived += o.LightArrived
	r.LightAnswered += o.LightAnswered
	r.RetryAfterRefusals += o.RetryAfterRefusals
	r.StartedAfterRetryAfter += o.StartedAfterRetryAfter
	r.Imbalance.samples += o.Imbalance.samples
	r.Imbalance.deviationSum += o.Imbalance.deviationSum
	r.Imbalance.maxSum += o.Imbalance.maxSum
}

// Imbalance holds sums over all samples of the standard deviation and the
// maximum of the servers' loads, each divided by the mean load.
type Imbalance struct {
	samples              int
	deviationSum, maxSum float64
}

// Deviation returns the mean over the samples of the standard deviation divided
// by the mean load.
func (s *Imbalance) Deviation() float64 { return s.deviationSum / float64(max(1, s.samples)) }

// Max returns the mean over the samples of the highest load divided by the mean
// load.
func (s *Imbalance) Max() float64 { return s.maxSum / float64(max(1, s.samples)) }

func (s *Imbalance) addSample(loads []float64) {
	var sum, squares, highest float64
	for _, l := range loads {
		sum += l
		squares += l * l
		highest = max(highest, l)
	}
	if sum == 0 {
		return
	}
	n := float64(len(loads))
	mean := sum / n
	s.samples++
	s.deviationSum += math.Sqrt(max(0, squares/n-mean*mean)) / mean
	s.maxSum += highest / mean
}

// newHistogram returns a histogram from 1 µs to 5 min with two significant
// digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (5 * time.Minute).Microseconds(), 2)
}

func newResult(s Scenario) *Result {
	r := &Result{
		Scenario:              s,
		FirstToken:            newHistogram(),
		FirstTokenInteractive: newHistogram(),
		Refusal:               newHistogram(),
	}
	for range int(s.Duration/time.Second) + 1 {
		r.Seconds = append(r.Seconds, Second{FirstAttempt: newHistogram()})
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// Quantile returns the p-th percentile of h, p from 0 to 100.
func Quantile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}
