package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilenceIsHopeless(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		s    silence
		want bool
	}{
		"a pause between events":            {silence{stream: true, begun: true, lasts: 200 * ms}, false},
		"the group has gone on without it":  {silence{stream: true, begun: true, known: true, steps: 4, lasts: 500 * ms}, true},
		"the group stands still":            {silence{stream: true, begun: true, known: true, steps: 1, lasts: 900 * ms}, false},
		"the group is broken":               {silence{stream: true, known: true, down: true, lasts: 100 * ms}, true},
		"it waits for a slot":               {silence{stream: true, known: true, waiting: true, steps: 50, lasts: 3000 * ms}, false},
		"nothing is known, and long":        {silence{stream: true, begun: true, lasts: 1300 * ms}, true},
		"a call within its objective":       {silence{objective: 150 * ms, lasts: 100 * ms}, false},
		"a call that should have been back": {silence{objective: 150 * ms, lasts: 130 * ms}, true},
	}
	for name, c := range cases {
		assert.Equal(t, c.s.hopeless(), c.want, name)
	}
}
