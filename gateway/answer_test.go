package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// Guards against a stream that counts as on time although one of its pauses was too
// long, and against a plain answer whose pauses count.
func TestLatenessNamesTheMissedObjective(t *testing.T) {
	route := &ingress.Route{Objective: 400 * time.Millisecond, PauseObjective: 120 * time.Millisecond}
	stream := func(first time.Duration, pauses ...time.Duration) *answer {
		a := &answer{firstEventLatency: first}
		at := time.Unix(0, 0).Add(first)
		a.recordEvent(event{}, at)
		for _, p := range pauses {
			at = at.Add(p)
			a.recordEvent(event{}, at)
		}
		return a
	}
	const long = 3 * time.Second // Streams may last longer than the objective of their start.
	assert.Equal(t, stream(300*time.Millisecond, 100*time.Millisecond).lateness(route, long), onTime)
	assert.Equal(t, stream(500*time.Millisecond, 130*time.Millisecond).lateness(route, long), lateStart)
	assert.Equal(t, stream(300*time.Millisecond, 100*time.Millisecond, 130*time.Millisecond, time.Millisecond).lateness(route, long), latePause)
	assert.Equal(t, (&answer{}).lateness(route, 300*time.Millisecond), onTime)
	assert.Equal(t, (&answer{}).lateness(route, 401*time.Millisecond), lateStart)
	assert.Equal(t, (&answer{}).lateness(nil, long), onTime)
	assert.Equal(t, stream(time.Second, time.Second).lateness(&ingress.Route{}, long), onTime)
}
