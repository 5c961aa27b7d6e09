package upstream

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stream whose events come as often as its silence was looked at cost a wake-up and a read
// without result for each event.
func TestUsualPausesAreNoSilence(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	calls := make(chan time.Duration, 100)
	p := bodyPatience(func(silence time.Duration) bool {
		calls <- silence
		return silence < time.Second
	})
	const events = 12
	go func() {
		for range events {
			time.Sleep(110 * time.Millisecond)
			_, _ = server.Write([]byte("e")) // A failure makes the reads below fail.
		}
	}()
	b := make([]byte, 16)
	for range events {
		_, err := p.read(client, b)
		assert.NilError(t, err)
	}
	assert.Assert(t, len(calls) <= 2*events/3, "%d of %d pauses were looked at", len(calls), events)
	for len(calls) > 0 {
		<-calls
	}
	_, err := p.read(client, b)
	assert.ErrorIs(t, err, ErrSilent)
	first := <-calls
	assert.Assert(t, first >= waitPollInterval && first < 2*maxFirstPoll, "first looked at after %s", first)
}

// Guards against a server that pauses for seconds not being looked at for as long.
func TestLongPausesDelayTheFirstLookByABound(t *testing.T) {
	p := bodyPatience(nil)
	now := time.Now()
	for range 20 {
		p.beginSilence(now)
		now = now.Add(5 * time.Second)
	}
	p.beginSilence(now)
	assert.Equal(t, p.askAt.Sub(now), maxFirstPoll)
}
