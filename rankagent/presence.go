package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/mesh"
)

const (
	// freshStatusPeriods is the age of the last status of an agent, in periods of the
	// status messages, up to which a hold may count on the agent.
	freshStatusPeriods = 1.5
	// reachedSpan is how long a hold may count on a rank that was reached directly.
	reachedSpan = 300 * time.Millisecond
	// maxReportLag is the greatest age of what a server reports to other machines. What
	// was learnt without delay is not replaced by such a report for that long.
	maxReportLag = 500 * time.Millisecond
	// helpDelay is how long a group is held before the next candidate helps the active
	// leader, and again until the one after it does. A switch holds a group for far
	// less. Any number of agents may complete the same switch.
	helpDelay = 150 * time.Millisecond
)

// presence is what a leader knows of the agents of its group besides their statuses. The
// maps are indexed by rank.
type presence struct {
	// left holds the agents that have said that they leave.
	left map[int]bool
	// sumsCounts holds the agents that sum counts of other ranks.
	sumsCounts map[int]bool
	// knownMaps holds the map in use that an agent knows.
	knownMaps map[int]mapKey
	// knownAt is when the state of a rank was last learnt without delay, reachedAt when
	// its server last answered this agent.
	knownAt, reachedAt map[int]time.Time
	// heldSince is when the group was first seen held, or zero.
	heldSince time.Time
}

func newPresence() presence {
	return presence{
		left: make(map[int]bool), sumsCounts: make(map[int]bool), knownMaps: make(map[int]mapKey),
		knownAt: make(map[int]time.Time), reachedAt: make(map[int]time.Time),
	}
}

// noteSumsCounts records whether the agent of a rank sums counts of other ranks.
func (p *presence) noteSumsCounts(rank int, sums bool) {
	if sums && p.sumsCounts != nil {
		p.sumsCounts[rank] = true
		return
	}
	delete(p.sumsCounts, rank)
}

// noteAgent records the agent of a rank and whether it leaves. It returns false if the
// agent has started again since it sent its status.
func (l *leader) noteAgent(p mesh.Peer, rank int, leaving bool) bool {
	if l.peers == nil || rank >= l.group.Size {
		return true
	}
	old, found := l.peers[rank]
	sameAgent := found && old.ID == p.ID
	if sameAgent && p.Incarnation < old.Incarnation {
		return false
	}
	if !sameAgent || p.Incarnation > old.Incarnation {
		delete(l.sequences, rank) // A new process numbers its statuses from 1.
		delete(l.presence.left, rank)
	}
	l.peers[rank] = p
	if leaving {
		l.presence.left[rank] = true
	}
	return true
}

// noteMap records whether the agent of a rank knows the map in use.
func (l *leader) noteMap(rank int, inUse mapKey, known bool) {
	delete(l.presence.knownMaps, rank)
	if known && l.presence.knownMaps != nil {
		l.presence.knownMaps[rank] = inUse
	}
}

// silent reports whether the agent of a rank has left or has sent no status for the
// silence timeout.
func (l *leader) silent(rank int, now time.Time) bool {
	return l.presence.left[rank] || now.Sub(l.heardAt[rank]) >= l.silenceTimeout
}

// reachable reports whether orders get to a rank without delay: through its agent, or
// directly, as a read has shown.
func (l *leader) reachable(rank int, now time.Time) bool {
	fresh := time.Duration(freshStatusPeriods * float64(l.silenceTimeout) / silentStatusPeriods)
	if !l.presence.left[rank] && now.Sub(l.heardAt[rank]) < fresh {
		return true
	}
	return now.Sub(l.presence.reachedAt[rank]) < reachedSpan
}

// mayHold reports whether the group may be held: each rank can be ordered to arm without
// delay.
func (l *leader) mayHold(now time.Time) bool {
	for rank := range l.group.Size {
		if rank != l.group.Rank && !l.reachable(rank, now) {
			return false
		}
	}
	return true
}

// noteHeld records since when the group is held.
func (l *leader) noteHeld(now time.Time) {
	if l.mapSwitch == nil || !l.mapSwitch.Held() {
		l.presence.heldSince = time.Time{}
	} else if l.presence.heldSince.IsZero() {
		l.presence.heldSince = now
	}
}

// heldFor returns how long the group has been held, or zero if it is not.
func (l *leader) heldFor(now time.Time) time.Duration {
	if l.presence.heldSince.IsZero() {
		return 0
	}
	return now.Sub(l.presence.heldSince)
}

// readRemote reads a rank directly from its server.
func (l *leader) readRemote(ctx context.Context, rank int, server string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	report, err := l.agent.options.Dial(server).Report(ctx)
	if err != nil {
		l.agent.log.Debug().Str("event", "rank_unread").Int("rank", rank).Str("cause", err.Error()).Msg("")
		return
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	if l.mapSwitch != nil && report.Group.Name == l.group.Name && report.Group.Rank == rank {
		l.observeRemote(rank, report, began, time.Now())
	}
}

// observeRemote takes in a report that was read directly from a rank, unless its state
// may be older than what is known. The read began at began.
func (l *leader) observeRemote(rank int, report Report, began, now time.Time) {
	if !l.reachable(rank, now) && l.mapSwitch.AwaitsHold() {
		l.agent.wakeLeader()
	}
	l.presence.reachedAt[rank] = now
	if began.Sub(l.presence.knownAt[rank]) >= maxReportLag {
		l.mapSwitch.Observe(rank, report.State)
	}
}

// allRanksHeard reports whether no agent of the group has been without a status for the
// silence timeout. Maps are planned while an agent restarts.
func (l *leader) allRanksHeard(now time.Time) bool {
	for rank := range l.group.Size {
		if now.Sub(l.heardAt[rank]) >= l.silenceTimeout {
			return false
		}
	}
	return true
}
