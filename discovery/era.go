package discovery

import "time"

const (
	// unrestoredEra is the era of a source that has never been restored: one that states no
	// era, or begins to count at zero. A source may begin at one, too, but then a process
	// that starts cannot tell that era from one after a restore.
	unrestoredEra = 0
	// restoreSettleTime is how long after a restore the operators and the servers
	// may take to publish again what the restore has lost. Until then, the state of
	// the source proves nothing, and a server that is missing in it is not gone.
	restoreSettleTime = republishGrace
)

// position is a point in the history of the source. The zero value precedes every
// other position.
type position struct {
	era int64
	// revision is 0 if the state of the era has not been read yet.
	revision int64
}

// eraOrder is the order of the era of a response and the newest known one.
type eraOrder int

const (
	olderEra eraOrder = iota - 1
	sameEra
	newerEra
)

// eraClock knows the newest era of the source and for how long it has lasted. The
// zero value knows none. It is not safe for concurrent use.
type eraClock struct {
	known bool
	era   int64
	// seenAt is when the era was first seen by this process or by one of its peers,
	// as the time since the machine booted.
	seenAt time.Duration
}

// observe records that a response of an era was requested at the given time, a time
// since the machine booted. It returns the order of that era and the newest one
// known before. A response of an older era changes nothing.
func (c *eraClock) observe(era int64, seenAt time.Duration) eraOrder {
	switch {
	case !c.known || era > c.era:
		*c = eraClock{known: true, era: era, seenAt: seenAt}
		return newerEra
	case era < c.era:
		return olderEra
	}
	c.seenAt = min(c.seenAt, seenAt)
	return sameEra
}

// settled reports whether a response that was requested at the given time reflects
// all changes that were acknowledged before a restore. A process that has just
// started cannot tell how old the era is, and treats it as a new one.
func (c *eraClock) settled(sentAt time.Duration) bool {
	return c.era == unrestoredEra || sentAt-c.seenAt >= restoreSettleTime
}
