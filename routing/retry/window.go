package retry

import (
	"sync"
	"time"
)

// windowParts is how many parts a window is counted in; a request or a retry
// counts for one part longer than the window at the most.
const windowParts = 20

// WindowConfig sets a Window.
type WindowConfig struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is how many retries one request allows.
	Ratio float64
	// Free is how many retries all processes together may make in a window
	// beside those.
	Free float64
	// Reserve is the share of both that stays unused, in [0, 1): requests
	// arrive unevenly, and counts run late.
	Reserve float64
}

// Window bounds the retries to each service within any span of time, over all
// processes, without a shared counter: each process keeps to the ratio of its
// own requests and to its even share of the free ones. It is safe for
// concurrent use.
type Window struct {
	mu     sync.Mutex
	config WindowConfig
	each   map[string]*windowCount
}

type windowCount struct {
	began    time.Time
	requests [windowParts]int
	retries  [windowParts]int
}

// NewWindow returns an empty window.
func NewWindow(c WindowConfig) *Window {
	return &Window{config: c, each: make(map[string]*windowCount)}
}

// Request counts a first request to a service.
func (w *Window) Request(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count(service, now).requests[0]++
}

// Retry reports whether a request may be sent again to a service, and counts
// it. processes is how many share the bound.
func (w *Window) Retry(service string, processes int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(service, now)
	if float64(sum(&c.retries)+1) > w.allowed(c, processes) {
		return false
	}
	c.retries[0]++
	return true
}

// Left returns how many retries to a service are left now.
func (w *Window) Left(service string, processes int, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(service, now)
	return w.allowed(c, processes) - float64(sum(&c.retries))
}

// Configure changes the bound.
func (w *Window) Configure(c WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = c
}

func (w *Window) allowed(c *windowCount, processes int) float64 {
	all := w.config.Ratio*float64(sum(&c.requests)) + w.config.Free/float64(max(1, processes))
	return (1 - w.config.Reserve) * all
}

// count returns the counts of a service, moved on to now. The lock is held.
func (w *Window) count(service string, now time.Time) *windowCount {
	c := w.each[service]
	if c == nil {
		c = &windowCount{began: now}
		w.each[service] = c
	}
	part := w.config.Span / windowParts
	parts := int(now.Sub(c.began) / part)
	if parts <= 0 {
		return c
	}
	c.began = c.began.Add(time.Duration(parts) * part)
	shift(&c.requests, parts)
	shift(&c.retries, parts)
	return c
}

func shift(counts *[windowParts]int, parts int) {
	parts = min(parts, windowParts)
	copy(counts[parts:], counts[:windowParts-parts])
	clear(counts[:parts])
}

func sum(counts *[windowParts]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
