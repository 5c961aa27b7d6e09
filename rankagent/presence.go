package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/mesh"
)

// presence is what a leader knows of the agents of its group besides their statuses. The
// maps are indexed by rank.
type presence struct {
	// left holds the agents that have said that they leave.
	left map[int]bool
}

func newPresence() presence {
	return presence{left: make(map[int]bool)}
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

// silent reports whether the agent of a rank has left or has sent no status for the
// silence timeout.
func (l *leader) silent(rank int, now time.Time) bool {
	return l.presence.left[rank] || now.Sub(l.heardAt[rank]) >= l.silenceTimeout
}

// readRemote reads a rank directly from its server.
func (l *leader) readRemote(ctx context.Context, rank int, server string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := l.agent.options.Dial(server).Report(ctx)
	if err != nil {
		l.agent.log.Debug().Str("event", "rank_unread").Int("rank", rank).Str("cause", err.Error()).Msg("")
		return
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	if report.Group.Name == l.group.Name && report.Group.Rank == rank {
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
