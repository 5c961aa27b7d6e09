package mesh

import (
	"hash/fnv"
	"time"
)

// readClockSpan is the least time over which a ReadClock keeps its smallest offset. Within
// twice that time clocks of machines drift apart by a few milliseconds at most.
const readClockSpan = 10 * time.Second

// ReadClock converts the times of another process's clock to local ones. It estimates the
// offset of the clocks by the message that took the least time of those that were lately
// received. A message that was held up on its way, by a frozen process or in a full queue,
// is therefore not taken for new. The zero value is ready to use. A ReadClock is not safe
// for concurrent use.
type ReadClock struct {
	known bool
	// origin is a local time; offsets are local times since origin minus remote times.
	origin            time.Time
	current, previous time.Duration
	// currentSince is the remote time of the first message that current covers. It is
	// not a local time, so that messages held up while this process was frozen do not
	// end the span.
	currentSince time.Duration
}

// LocalTime returns the local time at which the remote clock showed remoteMs, by a message
// that arrived at now and states that it was age old when it was sent. The result is never
// later than now minus age.
func (c *ReadClock) LocalTime(remoteMs int64, age time.Duration, now time.Time) time.Time {
	if !c.known {
		c.origin = now
	}
	remote := time.Duration(remoteMs) * time.Millisecond
	latest := now.Add(-age)
	offset := latest.Sub(c.origin) - remote
	switch {
	case !c.known:
		*c = ReadClock{known: true, origin: now, current: offset, previous: offset, currentSince: remote}
	case remote-c.currentSince >= readClockSpan:
		c.previous, c.current, c.currentSince = c.current, offset, remote
	default:
		c.current = min(c.current, offset)
	}
	return c.origin.Add(remote + min(c.current, c.previous))
}

// HashID returns a hash of the ID of a process.
func HashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails.
	return h.Sum32()
}
