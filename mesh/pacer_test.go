package mesh

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pacerAt returns a pacer for a link of the given rate, and what it has sent.
func pacerAt(linkBytesPerSecond float64) (p *pacer, sent *[]string) {
	sent = &[]string{}
	p = newPacer(linkBytesPerSecond, func(payload []byte, _ netip.AddrPort) { *sent = append(*sent, string(payload[:1])) })
	return p, sent
}

func payloadOf(name string, bytes int) datagram {
	payload := make([]byte, bytes)
	copy(payload, name)
	return datagram{payload: payload}
}

// Guards against bursts that a full link loses: over any span no more leaves than a burst
// and the allowed share of the link.
func TestDatagramsDoNotExceedTheLink(t *testing.T) {
	const link, bytes = 750_000, 1000
	p, sent := pacerAt(link)
	start := time.Unix(1000, 0)
	for range 200 {
		p.Send(payloadOf("a", bytes), regular, start)
	}
	now := start
	for pause := p.flush(now); pause > 0; pause = p.flush(now) {
		now = now.Add(pause)
		most := link*burstDuration.Seconds() + pacedLinkShare*link*now.Sub(start).Seconds() + bytes + datagramOverhead
		assert.Assert(t, float64(len(*sent)*(bytes+datagramOverhead)) <= most, "%d datagrams after %v", len(*sent), now.Sub(start))
	}
	assert.Equal(t, len(*sent), 200)
	assert.Equal(t, p.droppedCount(), uint64(0))
	assert.Assert(t, now.Sub(start) < 400*time.Millisecond, "%v", now.Sub(start))
}

// Guards against orders that wait behind the statuses and counts of a busy instance, and
// against orders that are dropped for them.
func TestOrdersLeaveBeforeOtherDatagrams(t *testing.T) {
	p, sent := pacerAt(750_000)
	now := time.Unix(1000, 0)
	for range 1000 {
		p.Send(payloadOf("c", 1000), bulk, now)
		p.Send(payloadOf("s", 100), regular, now)
	}
	for range 12 {
		p.Send(payloadOf("o", 2000), urgent, now)
	}
	assert.Assert(t, p.droppedCount() > 0)
	assert.Assert(t, p.queued <= p.maxQueued)
	before := len(*sent)
	for pause := p.flush(now); pause > 0; pause = p.flush(now) {
		now = now.Add(pause)
	}
	for _, name := range (*sent)[before : before+12] {
		assert.Equal(t, name, "o")
	}
}

// Guards against delays where the link has room.
func TestDatagramsLeaveAtOnceWhileTheLinkHasRoom(t *testing.T) {
	p, sent := pacerAt(750_000)
	now := time.Unix(1000, 0)
	for i := range 100 {
		p.Send(payloadOf("a", 1000), regular, now)
		assert.Equal(t, len(*sent), i+1)
		now = now.Add(2 * time.Millisecond)
	}
}
