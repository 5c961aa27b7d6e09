package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a window is divided. A
// request or a retry counts for the length of the window or up to one bucket
// less, because the oldest bucket is dropped as a whole.
const windowBuckets = 20

// WindowConfig configures a Window.
type WindowConfig struct {
	// Span is the length of the window; it must be positive.
	Span time.Duration
	// Ratio is the number of retries that one request allows.
	Ratio float64
	// FreeRetries is the number of additional retries that all processes together may
	// make in a window, independent of their requests.
	FreeRetries float64
	// Reserve is the share of the allowed retries that is left unused, in [0,
	// 1), because requests arrive unevenly and counts lag behind.
	Reserve float64
}

// Window limits the retries to each service within any span of time over all
// processes, without a shared counter. Each process limits itself to the ratio
// of its own requests plus an equal share of the free retries. It is safe for
// concurrent use.
type Window struct {
	mu              sync.Mutex
	config          WindowConfig
	countsByService map[string]*bucketCounts
}

// bucketCounts holds the counts of one service by bucket, newest first.
// bucketStart is the start time of the newest bucket.
type bucketCounts struct {
	bucketStart time.Time
	requests    [windowBuckets]int
	retries     [windowBuckets]int
}

// NewWindow returns an empty Window.
func NewWindow(c WindowConfig) *Window {
	return &Window{config: c, countsByService: make(map[string]*bucketCounts)}
}

// RecordRequest counts the first attempt of a request to a service.
func (w *Window) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(service, now).requests[0]++
}

// AllowRetry reports whether a request may be sent to a service again, and if so
// counts the retry. processes is the number of processes that share the limit.
func (w *Window) AllowRetry(service string, processes int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(service, now)
	if float64(total(&c.retries)+1) > w.allowedRetries(c, processes) {
		return false
	}
	c.retries[0]++
	return true
}

// RemainingRetries returns the number of retries that remain for a service at
// now. It is negative if more retries were made than the requests still in the
// window allow.
func (w *Window) RemainingRetries(service string, processes int, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(service, now)
	return w.allowedRetries(c, processes) - float64(total(&c.retries))
}

// Configure replaces the configuration and keeps the counts.
func (w *Window) Configure(c WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = c
}

// allowedRetries returns the number of retries that c allows this process
// within the window.
func (w *Window) allowedRetries(c *bucketCounts, processes int) float64 {
	retries := w.config.Ratio*float64(total(&c.requests)) + w.config.FreeRetries/float64(max(1, processes))
	return (1 - w.config.Reserve) * retries
}

// advance returns the counts of a service after moving its newest bucket to
// now. The caller must hold the mutex.
func (w *Window) advance(service string, now time.Time) *bucketCounts {
	c := w.countsByService[service]
	if c == nil {
		c = &bucketCounts{bucketStart: now}
		w.countsByService[service] = c
	}
	bucketSpan := w.config.Span / windowBuckets
	elapsed := int(now.Sub(c.bucketStart) / bucketSpan)
	if elapsed <= 0 {
		return c
	}
	c.bucketStart = c.bucketStart.Add(time.Duration(elapsed) * bucketSpan)
	shiftBuckets(&c.requests, elapsed)
	shiftBuckets(&c.retries, elapsed)
	return c
}

// shiftBuckets makes room for the given number of new, empty buckets and drops
// the oldest.
func shiftBuckets(counts *[windowBuckets]int, buckets int) {
	buckets = min(buckets, windowBuckets)
	copy(counts[buckets:], counts[:windowBuckets-buckets])
	clear(counts[:buckets])
}

func total(counts *[windowBuckets]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
