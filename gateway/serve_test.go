package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Under load servers begin first with what can still be on time, but never with
// what operators rank behind.
func TestThoseWhoCanBeOnTimeGoFirst(t *testing.T) {
	assert.Assert(t, urgency(1, false) < urgency(1, true))
	assert.Assert(t, urgency(1, true) < urgency(2, false))
	assert.Equal(t, urgency(-3, false), 0)
	assert.Equal(t, urgency(40, true), maxUrgency)
}
