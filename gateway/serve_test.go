package gateway

import (
	"testing"

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
