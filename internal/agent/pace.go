package agent

import (
	"sync"
	"time"
)

// meanWeight is the weight of a new sample in the exponential moving averages.
const meanWeight = 0.1

// serviceTimes keeps exponential moving averages of the backend server's times.
// It is safe for concurrent use.
type serviceTimes struct {
	mu sync.Mutex
	// step is the average time between two events of a stream.
	step time.Duration
	// slotTime is the average time for which a request occupies its slot.
	slotTime time.Duration
}

// observeStep records the time between two events of a stream, or the duration of
// a call without a stream.
func (t *serviceTimes) observeStep(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = movingAverage(t.step, d)
}

// observeSlotTime records how long a request occupied its slot.
func (t *serviceTimes) observeSlotTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slotTime = movingAverage(t.slotTime, d)
}

// means returns the averages. An average without a sample is 0.
func (t *serviceTimes) means() (step, slotTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step, t.slotTime
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(meanWeight*float64(sample-average))
}
