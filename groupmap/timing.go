package groupmap

import (
	"time"
)

// SwitchTiming holds the timeouts of a Switch. Zero fields take the defaults.
type SwitchTiming struct {
	// ResendInterval is the time after which an order without effect is sent
	// again. PrepareResendInterval replaces it for Prepare, which takes longer.
	ResendInterval        time.Duration
	PrepareResendInterval time.Duration
	// ReceiptTimeout is the time after which a Prepare that its rank has not confirmed to
	// have received, see NoteReceipt, is sent again for the first time. It doubles each
	// time, up to PrepareResendInterval.
	ReceiptTimeout time.Duration
	// PrepareTimeout is the time after which a switch is abandoned if no rank is
	// held or armed for it yet.
	PrepareTimeout time.Duration
	// RepairDelay is how long a held or armed group may be unable to complete a
	// switch before the initiator repairs it: the group then switches to the map
	// in use under a new version.
	RepairDelay time.Duration
}

func (t SwitchTiming) withDefaults() SwitchTiming {
	if t.ResendInterval == 0 {
		t.ResendInterval = 60 * time.Millisecond
	}
	if t.PrepareResendInterval == 0 {
		t.PrepareResendInterval = 350 * time.Millisecond
	}
	if t.ReceiptTimeout == 0 {
		t.ReceiptTimeout = 150 * time.Millisecond
	}
	if t.PrepareTimeout == 0 {
		t.PrepareTimeout = 6 * time.Second
	}
	if t.RepairDelay == 0 {
		t.RepairDelay = 400 * time.Millisecond
	}
	return t
}
