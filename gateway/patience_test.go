package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
