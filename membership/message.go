package membership

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/membership/membershippb"
)

// newMessage returns a message with the fields that describe the sender and its
// current revision. The caller holds n.mu.
func (n *Node) newMessage() *membershippb.Message {
	r := n.store.Current()
	return &membershippb.Message{
		From:        n.self.ID,
		Incarnation: n.self.Incarnation,
		Role:        membershippb.Role(n.self.Role),
		Zone:        n.self.Zone,
		Ready:       n.joined && r.Number > 0,
		Revision:    &membershippb.Revision{Number: r.Number, Digest: r.Digest},
	}
}

// ownScope returns the scope of the records that this node receives.
func (n *Node) ownScope() recordScope {
	return recordScope{id: n.self.ID, role: n.self.Role, zone: n.self.Zone}
}

// scopeOf returns the scope of the records that the sender of m receives.
func scopeOf(m *membershippb.Message) recordScope {
	return recordScope{id: m.GetFrom(), role: Role(m.GetRole()), zone: m.GetZone()}
}

// digestMessage returns a message with the digest of this node's records; the
// peer replies with the records that this node lacks.
func (n *Node) digestMessage(now time.Time) *membershippb.Message {
	m := n.newMessage()
	m.Digest = digestOf(n.table.aliveInScope(n.ownScope(), now, n.timing.AliveTimeout))
	return m
}

// HandleExchange processes a message from a peer and returns the reply. It
// implements the Peer service of membershippb. It returns an error for a message
// without a sender, and for a message that may have waited in a buffer while
// this process was paused.
func (n *Node) HandleExchange(_ context.Context, m *membershippb.Message) (*membershippb.Message, error) {
	if m.GetFrom() == "" {
		return nil, errors.New("membership: message without a sender")
	}
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	if now.Before(n.rejectUntil) {
		return nil, errors.New("membership: the receiver was paused")
	}
	n.applyMessage(m, now)
	reply := n.newMessage()
	if known := n.table.origins[m.GetFrom()]; known != nil && known.instance.Incarnation > m.GetIncarnation() {
		reply.SupersededBy = known.instance.Incarnation
		return reply, nil
	}
	if m.GetDigest() != nil {
		reply.Records, reply.Digest, reply.Wants = n.table.reconcile(m.GetDigest(), scopeOf(m), now, n.timing.AliveTimeout)
	}
	if m.GetWantText() {
		n.attachText(reply)
	}
	reply.WantText = n.claimTextRequest(m, now)
	if n.needsOnlyAck(m) {
		return &membershippb.Message{From: n.self.ID, Incarnation: n.self.Incarnation}, nil
	}
	return reply, nil
}

// needsOnlyAck reports whether m is a direct load report from a ready instance
// that has the same current revision. Its reply carries only the ID and
// incarnation of this instance, as an acknowledgement.
func (n *Node) needsOnlyAck(m *membershippb.Message) bool {
	r := n.store.Current()
	return m.GetReady() && m.GetDigest() == nil && !m.GetWantText() && len(m.GetRecords()) == 1 &&
		m.GetRecords()[0].GetDirect() &&
		m.GetRevision().GetNumber() == r.Number && m.GetRevision().GetDigest() == r.Digest
}

// applyMessage applies the contents that requests and replies have in common:
// the liveness of the sender, records, and the revision. It forwards new urgent
// records. The caller holds n.mu.
func (n *Node) applyMessage(m *membershippb.Message, now time.Time) {
	n.markSenderAlive(m, now)
	var urgent []*originState
	for _, p := range m.GetRecords() {
		r := recordFromProto(p, now)
		// A load report that an agent sends directly leaves out its origin,
		// which is the sender.
		if r.Origin == "" {
			r.Origin, r.Incarnation = m.GetFrom(), m.GetIncarnation()
		}
		if r.Origin == n.self.ID {
			n.handleOwnIncarnation(r.Incarnation)
			continue
		}
		if !n.table.merge(r, now) {
			continue
		}
		n.notifyChanged(r.Kind)
		if r.Kind.urgent() {
			urgent = append(urgent, n.table.origins[r.Origin])
		}
	}
	for _, o := range urgent {
		n.pushUrgent(o, m.GetFrom(), now)
	}
	n.offerReceivedText(m.GetRevision(), now)
}

// markSenderAlive records that the sender is alive, unless a newer incarnation
// of it is known. Role and zone are taken from the message until the sender's
// KindFacts record arrives. The caller holds n.mu.
func (n *Node) markSenderAlive(m *membershippb.Message, now time.Time) {
	if m.GetFrom() == n.self.ID {
		n.handleOwnIncarnation(m.GetIncarnation())
		return
	}
	o := n.table.originFor(m.GetFrom(), m.GetIncarnation(), now)
	if o == nil {
		return
	}
	o.lastHeard = now
	if !o.hasFacts() && m.GetRole() != 0 {
		o.instance.Role, o.instance.Zone = Role(m.GetRole()), m.GetZone()
	}
}

// handleOwnIncarnation handles an incarnation that a peer reports for this
// instance's ID, and ignores one that is not above the node's own. If the node
// has never joined, a higher one belongs to an earlier process whose clock was
// ahead, and the node continues with the next higher incarnation. Otherwise a new
// process replaced this one while it was paused, and the node is superseded. The
// caller holds n.mu.
func (n *Node) handleOwnIncarnation(incarnation uint64) {
	if incarnation <= n.self.Incarnation || n.opts.withoutIncarnations {
		return
	}
	if n.everJoined {
		n.superseded = true
		return
	}
	n.self.Incarnation = incarnation + 1
	n.publishFacts(n.now())
}

// handleReply applies the reply of a peer. It returns the next message of the
// exchange, or nil if the exchange is complete.
func (n *Node) handleReply(reply *membershippb.Message) *membershippb.Message {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.GetFrom() == "" {
		return nil
	}
	n.applyMessage(reply, now)
	n.handleOwnIncarnation(reply.GetSupersededBy())
	d := reply.GetDigest()
	for i, key := range d.GetKeys() {
		if i < len(d.GetHeartbeats()) {
			n.table.applyHeartbeat(n.table.byDigestKey[key], d.GetHeartbeats()[i], now)
		}
	}
	next := n.newMessage()
	for _, key := range reply.GetWants() {
		if o := n.table.byDigestKey[key]; o != nil {
			next.Records, _ = appendNewerRecords(next.Records, 0, o, 0, scopeOf(reply), now)
		}
	}
	if reply.GetWantText() {
		n.attachText(next)
	}
	next.WantText = n.claimTextRequest(reply, now)
	if len(next.GetRecords()) == 0 && !reply.GetWantText() && !next.GetWantText() {
		return nil
	}
	return next
}
