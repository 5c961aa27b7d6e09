package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/routing/retry"
)

// TestRetriesOfAllProcessesStayInTheBudget runs seven processes with uneven
// traffic that lose half of their servers at the same time and retry every
// request. No window of ten seconds may hold more retries than the ratio of its
// requests plus the free retries.
func TestRetriesOfAllProcessesStayInTheBudget(t *testing.T) {
	const (
		span      = 10 * time.Second
		ratio     = 0.2
		free      = 90.0
		processes = 7
		tick      = 20 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(5, 6))
	windows := make([]*retry.Window, processes)
	for i := range windows {
		windows[i] = retry.NewWindow(retry.WindowConfig{Span: span * 11 / 10, Ratio: ratio, FreeRetries: free, Reserve: 0.1})
	}
	var requests, retries []time.Duration
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		serversLost := at%(15*time.Second) > 8*time.Second
		for i, w := range windows {
			if rng.IntN(3*(i+1)) != 0 {
				continue
			}
			w.RecordRequest("s", start.Add(at))
			requests = append(requests, at)
			for range 3 {
				if serversLost && w.AllowRetry("s", processes, start.Add(at)) {
					retries = append(retries, at)
				}
			}
		}
	}
	assert.Assert(t, len(retries) > 100)
	for end := span; end < 60*time.Second; end += 50 * time.Millisecond {
		retried := countWithin(retries, end-span, end)
		allowed := ratio*float64(countWithin(requests, end-span, end)) + free
		assert.Assert(t, float64(retried) <= allowed, "%d retries in the window that ends at %v, %.0f allowed", retried, end, allowed)
	}
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}

func TestWindowForgets(t *testing.T) {
	w := retry.NewWindow(retry.WindowConfig{Span: time.Second, FreeRetries: 1})
	now := time.Unix(1000, 0)
	assert.Assert(t, w.AllowRetry("s", 1, now))
	assert.Assert(t, !w.AllowRetry("s", 1, now.Add(900*time.Millisecond)))
	assert.Assert(t, w.AllowRetry("other", 1, now))
	assert.Assert(t, w.AllowRetry("s", 1, now.Add(1100*time.Millisecond)))
}
