package membership

import (
	"time"

	"bluebellwind.example/membership/membershippb"
)

// Ready reports whether the node holds a current revision and has asked peers
// whether they know a newer one. A node that reaches no peer becomes ready after
// Timing.JoinTimeout with the revision read from the configuration service. A
// superseded node is never ready.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined && !n.superseded && n.store.Current().Number > 0
}

// textWaitFactor, multiplied by JoinTimeout, is the longest time that a joining
// node waits for the text of a revision that a peer announced.
const textWaitFactor = 4

// advanceJoin asks peers about their revision and ends the join when a ready
// peer has replied and no request is pending, or when JoinTimeout has passed.
// While the text of an announced newer revision is missing, it keeps asking for
// up to textWaitFactor times JoinTimeout. The caller holds n.mu.
func (n *Node) advanceJoin(now time.Time) {
	waited := now.Sub(n.joinStarted)
	if n.store.needsText(n.newestAnnounced.Number, n.newestAnnounced.Digest) && waited < textWaitFactor*n.timing.JoinTimeout {
		n.askJoinPeers(now)
		return
	}
	if waited >= n.timing.JoinTimeout {
		n.joined, n.everJoined = true, true
		return
	}
	if n.joinReadyReplies > 0 && n.joinPending == 0 {
		n.joined, n.everJoined = true, true
		return
	}
	n.askJoinPeers(now)
}

// askJoinPeers sends a digest to up to maxJoinPeers peers that are not known to
// be agents, each of a different zone. It does nothing while requests are
// pending. After it has asked every candidate it starts over. The caller holds
// n.mu.
func (n *Node) askJoinPeers(now time.Time) {
	if n.joinPending > 0 {
		return
	}
	candidates := n.pickRandom(filter(n.assumedAlive(now), func(i Instance) bool {
		return i.Role != Agent && i.Addr != n.self.Addr
	}), len(n.listedByKey)+len(n.table.origins))
	zones := map[string]bool{}
	for _, peer := range candidates {
		if n.joinPending >= maxJoinPeers {
			return
		}
		if zones[peer.Zone] || n.joinAsked[peer.Addr] {
			continue
		}
		zones[peer.Zone] = true
		n.joinAsked[peer.Addr] = true
		n.joinPending++
		n.startExchange(peer.Addr, n.digestMessage(now), n.handleJoinReply)
	}
	if n.joinPending == 0 {
		clear(n.joinAsked)
	}
}

// handleJoinReply counts the reply to a join request. The reply is nil if the
// exchange failed.
func (n *Node) handleJoinReply(reply *membershippb.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.joinPending--
	if reply.GetReady() {
		n.joinReadyReplies++
	}
}

// pauseThreshold is the longest gap between two steps that does not count as a
// pause of the process. After a longer gap the node rejects messages that may
// have been buffered during the pause, and joins again as after a start.
const pauseThreshold = 3 * time.Second

// detectPause starts a new join if the last step is more than pauseThreshold
// ago. Until one ExchangeTimeout from now the node rejects requests: by then
// those sent during the pause have timed out at their senders. The caller holds
// n.mu.
func (n *Node) detectPause(now time.Time) {
	gap := now.Sub(n.lastStep)
	if gap <= pauseThreshold || n.opts.withoutPauseCheck {
		return
	}
	n.lastStep, n.joinStarted = now, now
	n.rejectUntil = now.Add(n.timing.ExchangeTimeout)
	n.joined = false
	n.joinReadyReplies = 0
	clear(n.joinAsked)
}
