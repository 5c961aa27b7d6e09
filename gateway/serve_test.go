package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Under load, servers first serve requests that can still be on time, but never
// before requests that operators gave a higher priority.
func TestThoseWhoCanBeOnTimeGoFirst(t *testing.T) {
	assert.Assert(t, serverPriority(1, false) < serverPriority(1, true))
	assert.Assert(t, serverPriority(1, true) < serverPriority(2, false))
	assert.Equal(t, serverPriority(-3, false), 0)
	assert.Equal(t, serverPriority(40, true), lowestServerPriority)
}

// Callers state between 85 and 100 in 100 of the route's time at their first attempt,
// each another share. Those must not be taken for callers that were refused before.
func TestFirstAttemptsAreToldFromReturns(t *testing.T) {
	const timeout = 8 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		stated := time.Duration((0.85 + 0.15*rng.Float64()) * float64(timeout))
		assert.Assert(t, !isCallerRetry(stated-4*time.Millisecond, timeout), "%v", stated)
	}
	assert.Assert(t, isCallerRetry(timeout-2*time.Second, timeout))
	assert.Assert(t, !isCallerRetry(0, timeout), "the caller states nothing")
	assert.Assert(t, !isCallerRetry(2500*time.Millisecond, 1200*time.Millisecond), "the caller waits longer than the route")
}

// A request without a deadline has no time left to compare with. It was once taken for
// one whose deadline passed long ago.
func TestRequestWithoutADeadlineHasNoTimeLeftToState(t *testing.T) {
	x := &exchange{}
	assert.Equal(t, x.untilDeadline(), time.Duration(0))
	x.deadline = time.Now().Add(time.Minute)
	assert.Assert(t, x.untilDeadline() > 50*time.Second)
	x.deadline = time.Now().Add(-time.Second)
	assert.Assert(t, x.untilDeadline() > 0, "a deadline that has passed is not the same as none")
}
