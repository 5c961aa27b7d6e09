package membership

import (
	"time"

	"bluebellwind.example/membership/membershippb"
)

// attachText adds the current revision with its compressed text to m. The caller
// holds n.mu.
func (n *Node) attachText(m *membershippb.Message) {
	r := n.store.Current()
	if r.Number == 0 {
		return
	}
	if n.compressedText == nil || n.compressedDigest != r.Digest {
		compressed, err := compress(r.Text)
		if err != nil {
			return
		}
		n.compressedText, n.compressedDigest = compressed, r.Digest
	}
	m.Revision = &membershippb.Revision{Number: r.Number, Digest: r.Digest, Text: n.compressedText}
}

// claimTextRequest reports whether to request the text of the revision that m
// announces from its sender. It records the announcement and the request. Until
// ExchangeTimeout after a request, it allows another one only for a newer
// revision. The caller holds n.mu.
func (n *Node) claimTextRequest(m *membershippb.Message, now time.Time) bool {
	number, digest := m.GetRevision().GetNumber(), m.GetRevision().GetDigest()
	if number == 0 || m.GetRevision().GetText() != nil || !n.store.needsText(number, digest) {
		return false
	}
	announced := Revision{Number: number, Digest: digest}
	if announced.Compare(n.newestAnnounced) > 0 {
		n.newestAnnounced = announced
	}
	if n.textRepeatAt.IsZero() {
		n.textRepeatAt = now.Add(n.timing.ExchangeTimeout)
	}
	if announced.Compare(n.requestedRevision) <= 0 && now.Before(n.textRequestDeadline) {
		return false
	}
	n.requestedRevision, n.textRequestDeadline = announced, now.Add(n.timing.ExchangeTimeout)
	return true
}

// repeatTextRequest brings the next gossip exchange forward if a text that was announced has
// not arrived in time: the message with it may be lost, and a revision is announced only once.
// The caller holds n.mu.
func (n *Node) repeatTextRequest(now time.Time) {
	if n.textRepeatAt.IsZero() || now.Before(n.textRepeatAt) {
		return
	}
	if !n.store.needsText(n.newestAnnounced.Number, n.newestAnnounced.Digest) {
		n.textRepeatAt = time.Time{}
		return
	}
	n.textRepeatAt = now.Add(n.timing.ExchangeTimeout)
	n.nextGossip = now
}

// offerReceivedText offers a revision received from a peer to the store if it
// includes a text that the store needs. It announces an accepted revision to
// peers. The caller holds n.mu.
func (n *Node) offerReceivedText(p *membershippb.Revision, now time.Time) {
	if p.GetNumber() == 0 {
		return
	}
	n.store.checkConflict(p.GetNumber(), p.GetDigest())
	if len(p.GetText()) == 0 || !n.store.needsText(p.GetNumber(), p.GetDigest()) {
		return
	}
	text, err := decompress(p.GetText())
	if err != nil {
		return
	}
	outcome, _ := n.store.Offer(Revision{Number: p.GetNumber(), Digest: p.GetDigest(), Text: text}, FromPeer)
	n.textRequestDeadline = time.Time{}
	if outcome == Accepted {
		n.announceRevision(now)
	}
}

// OfferRevision offers a revision read from the configuration service to the
// store. If the revision is newer and valid, it becomes the current one and is
// announced to peers. The error is nil unless the outcome is Refused.
func (n *Node) OfferRevision(r Revision) (Outcome, error) {
	outcome, err := n.store.Offer(r, FromService)
	if outcome == Accepted {
		n.mu.Lock()
		n.announceRevision(n.now())
		n.mu.Unlock()
	}
	return outcome, err
}
