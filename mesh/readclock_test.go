package mesh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/mesh"
)

// A frozen process reads the messages that waited in its socket when it goes on. They must
// not look as if they had just been sent.
func TestReadClockTellsMessagesThatWereHeldUp(t *testing.T) {
	var c mesh.ReadClock
	start := time.Unix(1000, 0)
	const remoteStart = 1_700_000_000_000
	for i := range int64(100) { // 20 s with delays of 2 to 12 ms.
		now := start.Add(time.Duration(200*i+2+i%11) * time.Millisecond)
		got := c.LocalTime(remoteStart+200*i, 0, now)
		assert.Assert(t, !got.After(now) && now.Sub(got) <= 12*time.Millisecond, "%v", now.Sub(got))
	}
	woken := start.Add(40 * time.Second)
	for i := int64(100); i < 103; i++ {
		got := c.LocalTime(remoteStart+200*i, 0, woken)
		want := start.Add(time.Duration(200*i) * time.Millisecond)
		assert.Assert(t, got.Sub(want).Abs() <= 5*time.Millisecond, "%v", got.Sub(want))
	}
	got := c.LocalTime(remoteStart+40_000, 0, woken.Add(3*time.Millisecond))
	assert.Assert(t, woken.Sub(got) <= 5*time.Millisecond, "a new message counts at once")
}

// The stated age counts also while the clock of the sender is not known.
func TestReadClockTrustsAgesBeforeItKnowsTheOffset(t *testing.T) {
	var c mesh.ReadClock
	now := time.Unix(1000, 0)
	assert.Equal(t, c.LocalTime(5, 300*time.Millisecond, now), now.Add(-300*time.Millisecond))
}

// Clocks drift, and a machine may be suspended. The estimate follows within two spans.
func TestReadClockFollowsAChangedOffset(t *testing.T) {
	var c mesh.ReadClock
	start := time.Unix(1000, 0)
	for i := range int64(200) {
		now := start.Add(time.Duration(200*i) * time.Millisecond)
		if i >= 50 {
			now = now.Add(700 * time.Millisecond)
		}
		got := c.LocalTime(200*i, 0, now)
		if i >= 160 {
			assert.Equal(t, got, now)
		}
	}
}
