package groupmap

import (
	"time"
)

// sentOrder records the last order to a rank, when it was sent first and last, and how
// often it was sent again.
type sentOrder struct {
	kind                OrderKind
	version, step       uint64
	firstSentAt, sentAt time.Time
	resends             int
}

// NoteReceipt records that a rank, or the agent beside it, has received a Prepare for the
// given version. It says nothing about whether the rank carries it out.
func (s *Switch) NoteReceipt(rank int, epoch, version uint64) {
	if rank >= 0 && rank < len(s.receivedVersions) && epoch == s.epoch {
		s.receivedVersions[rank] = max(s.receivedVersions[rank], version)
	}
}

// SetReceiptTimeout sets the ReceiptTimeout of the next switches.
func (s *Switch) SetReceiptTimeout(timeout time.Duration) { s.timing.ReceiptTimeout = timeout }

// appendOrder appends o to out unless the same order was sent less than its
// resend interval ago.
func (s *Switch) appendOrder(now time.Time, out []Order, o Order) []Order {
	last := &s.lastOrders[o.Rank]
	resent := last.kind == o.Kind && last.version == o.Version && last.step == o.Step
	if resent && now.Sub(last.sentAt) < s.resendInterval(o, last.resends) {
		return out
	}
	next := sentOrder{kind: o.Kind, version: o.Version, step: o.Step, firstSentAt: now, sentAt: now}
	if resent {
		next.firstSentAt, next.resends = last.firstSentAt, last.resends+1
	}
	*last = next
	firstSentAt := next.firstSentAt
	o.Epoch = s.epoch
	o.Resent, o.Unconfirmed = resent, now.Sub(firstSentAt)
	return append(out, o)
}

// maxReceiptDoublings bounds how often ReceiptTimeout doubles.
const maxReceiptDoublings = 6

// resendInterval returns the time after which an order without effect that was sent again
// the given number of times is sent once more.
func (s *Switch) resendInterval(o Order, resends int) time.Duration {
	switch {
	case o.Kind != Prepare:
		return s.timing.ResendInterval
	case s.receivedVersions[o.Rank] >= o.Version:
		return s.timing.PrepareResendInterval
	}
	return min(s.timing.PrepareResendInterval, s.timing.ReceiptTimeout<<min(resends, maxReceiptDoublings))
}
