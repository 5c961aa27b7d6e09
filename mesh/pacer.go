package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const (
	// pacedLinkShare is the share of the link that datagrams may take. The rest is left
	// for connections.
	pacedLinkShare = 0.8
	// burstDuration is how long the link needs for the datagrams that may leave at once. A
	// full link loses datagrams, and short queues hold little more than this.
	burstDuration = 10 * time.Millisecond
	// maxQueueDuration bounds how long the link needs for all queued datagrams. What would
	// leave later is superseded by then.
	maxQueueDuration = 400 * time.Millisecond
	// minPause is the least time between two rounds of queued datagrams, which bounds
	// wake-ups.
	minPause = 2 * time.Millisecond
	// datagramOverhead is the size of the IP and UDP headers of a datagram, in bytes.
	datagramOverhead = 28
)

// priority orders datagrams that wait for the link. Lower values leave first.
type priority int

const (
	// urgent is for orders: a whole group waits for them.
	urgent priority = iota
	// regular is for statuses and all else that is not bulk.
	regular
	// bulk is for what is sent continuously and of which single messages may be late: counts
	// and hello packets. When all processes start, each answers all others.
	bulk

	priorities
)

// datagram is one queued datagram.
type datagram struct {
	payload []byte
	to      netip.AddrPort
}

func (d *datagram) size() float64 { return float64(len(d.payload) + datagramOverhead) }

// pacer sends datagrams at the rate that the link of the instance bears, so that bursts to
// many peers do not overrun it. Datagrams of one priority leave in order. It is safe for
// concurrent use.
type pacer struct {
	send func(payload []byte, to netip.AddrPort)
	// bytesPerSecond is the allowed rate, and burst the bytes that may leave at once.
	bytesPerSecond, burst float64
	maxQueued             float64
	wake                  chan struct{}

	mu sync.Mutex
	// allowance is the number of bytes that may leave now; it is negative after a datagram
	// larger than what was left. It grows to burst at most.
	allowance float64
	updatedAt time.Time
	queues    [priorities][]datagram
	queued    float64 // Bytes in all queues.
	dropped   uint64
}

func newPacer(linkBytesPerSecond float64, send func([]byte, netip.AddrPort)) *pacer {
	rate := pacedLinkShare * linkBytesPerSecond
	return &pacer{
		send: send, bytesPerSecond: rate, burst: linkBytesPerSecond * burstDuration.Seconds(),
		maxQueued: rate * maxQueueDuration.Seconds(), wake: make(chan struct{}, 1), allowance: linkBytesPerSecond * burstDuration.Seconds(),
	}
}

// Send sends a datagram at once if the link bears it and nothing waits, and queues it
// otherwise. If too much is queued, datagrams of the lowest priority are dropped.
func (p *pacer) Send(d datagram, urgency priority, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now)
	if p.queued == 0 && p.allowance > 0 {
		p.allowance -= d.size()
		p.send(d.payload, d.to)
		return
	}
	p.queues[urgency] = append(p.queues[urgency], d)
	p.queued += d.size()
	p.dropExcess()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// refill adds what the link has borne since the last call. The caller holds mu.
func (p *pacer) refill(now time.Time) {
	if !p.updatedAt.IsZero() {
		p.allowance = min(p.burst, p.allowance+max(0, now.Sub(p.updatedAt).Seconds())*p.bytesPerSecond)
	}
	p.updatedAt = now
}

// dropExcess drops the oldest datagrams of the lowest priority while too much is queued.
// The caller holds mu.
func (p *pacer) dropExcess() {
	for level := priorities - 1; level >= 0 && p.queued > p.maxQueued; level-- {
		for p.queued > p.maxQueued && len(p.queues[level]) > 0 {
			p.pop(level)
			p.dropped++
		}
	}
}

// pop removes the oldest datagram of a queue. The caller holds mu.
func (p *pacer) pop(level priority) datagram {
	d := p.queues[level][0]
	p.queues[level][0] = datagram{} // Lets its payload be collected.
	p.queues[level] = p.queues[level][1:]
	if len(p.queues[level]) == 0 {
		p.queues[level] = nil
	}
	p.queued -= d.size()
	return d
}

// flush sends what the link bears. It returns the time until more may leave, or 0 if
// nothing is queued.
func (p *pacer) flush(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now)
	for level := range priorities {
		for len(p.queues[level]) > 0 {
			if p.allowance <= 0 {
				return max(minPause, time.Duration(-p.allowance/p.bytesPerSecond*float64(time.Second)))
			}
			d := p.pop(level)
			p.allowance -= d.size()
			p.send(d.payload, d.to)
		}
	}
	p.queued = 0 // Sums of fractions need not end at zero.
	return 0
}

// run sends queued datagrams until ctx ends.
func (p *pacer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		if pause := p.flush(time.Now()); pause > 0 {
			timer.Reset(pause)
		}
	}
}

// waiting reports whether datagrams wait for the link.
func (p *pacer) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued > 0
}

// droppedCount returns the number of datagrams dropped because too much was queued.
func (p *pacer) droppedCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped
}
