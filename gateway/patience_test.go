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

// passObserver observes a server through a waitObserver.
type passObserver struct {
	directory *backends.Directory
	observer  waitObserver
	began     time.Time
}

func newPassObserver() *passObserver {
	directory := backends.NewDirectory("z", 1)
	directory.Put(backends.Server{ID: "a", Address: "10.0.0.1:1"})
	return &passObserver{directory: directory, observer: waitObserver{directory: directory, server: "a"}, began: time.Now()}
}

// report stores a status with the given last pass that arrives now.
func (o *passObserver) report(pass uint64) {
	time.Sleep(2 * time.Millisecond)
	o.directory.UpdateStatus("10.0.0.1:1", backends.Status{Up: true, Open: true, LastPass: pass, ReceivedAt: time.Now()})
}

// speak ends the silence.
func (o *passObserver) speak() {
	time.Sleep(2 * time.Millisecond)
	o.began = time.Now()
}

func (o *passObserver) passes() uint64 {
	time.Sleep(2 * time.Millisecond)
	return o.observer.observe(time.Since(o.began)).passes
}

func TestPassesAreCountedWithinOneSilence(t *testing.T) {
	o := newPassObserver()
	o.report(10)
	assert.Equal(t, o.passes(), uint64(0))
	o.report(13)
	assert.Equal(t, o.passes(), uint64(3), "the same silence")
	o.speak()
	o.report(14)
	assert.Equal(t, o.passes(), uint64(0), "another silence")
}

// A stream of a group that was held was given up for passes before its silence, which the
// last status from before had not told of.
func TestPassesBeforeTheSilenceAreNotCounted(t *testing.T) {
	o := newPassObserver()
	o.report(10)
	o.speak()
	assert.Equal(t, o.passes(), uint64(0))
	o.report(20)
	assert.Equal(t, o.passes(), uint64(0))
	o.report(21)
	assert.Equal(t, o.passes(), uint64(1))
}
