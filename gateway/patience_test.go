package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
)

func TestSilenceIsHopeless(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		s    stall
		want bool
	}{
		"pause between two events":                 {stall{stream: true, eventsReceived: true, duration: 200 * ms}, false},
		"group made 4 passes without an event":     {stall{stream: true, eventsReceived: true, statusKnown: true, passes: 4, duration: 500 * ms}, true},
		"group makes no progress":                  {stall{stream: true, eventsReceived: true, statusKnown: true, passes: 1, duration: 900 * ms}, false},
		"group is broken":                          {stall{stream: true, statusKnown: true, unavailable: true, duration: 100 * ms}, true},
		"request waits for a slot":                 {stall{stream: true, statusKnown: true, requestsQueued: true, passes: 50, duration: 3000 * ms}, false},
		"status unknown, maximum duration reached": {stall{stream: true, eventsReceived: true, duration: 1300 * ms}, true},
		"rank delays its whole group":              {stall{stream: true, eventsReceived: true, statusKnown: true, slowsGroup: true, duration: 100 * ms}, true},
		"call within its objective":                {stall{objective: 150 * ms, duration: 100 * ms}, false},
		"call past its share of the objective":     {stall{objective: 150 * ms, duration: 130 * ms}, true},
	}
	for name, c := range cases {
		assert.Equal(t, c.s.shouldFailOver(), c.want, name)
	}
}

func TestPassesAreCountedWithinOneSilence(t *testing.T) {
	directory := backends.NewDirectory("z", 1)
	directory.Put(backends.Server{ID: "a", Address: "10.0.0.1:1"})
	observer := waitObserver{directory: directory, server: "a"}
	observe := func(pass uint64, silence time.Duration) uint64 {
		directory.UpdateStatus("10.0.0.1:1", backends.Status{Up: true, Open: true, LastPass: pass, ReceivedAt: time.Now()})
		time.Sleep(2 * time.Millisecond)
		return observer.observe(silence).passes
	}
	assert.Equal(t, observe(10, time.Millisecond), uint64(0))
	assert.Equal(t, observe(13, time.Second), uint64(3), "the same silence")
	assert.Equal(t, observe(14, time.Millisecond), uint64(0), "another silence of the same length")
	assert.Equal(t, observe(15, time.Millisecond), uint64(0))
}
