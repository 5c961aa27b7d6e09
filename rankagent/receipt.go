package rankagent

import (
	"time"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// minReceiptTimeout is how long the receipt of an order may take that the link
	// transmits at once.
	minReceiptTimeout = 80 * time.Millisecond
	// orderTransmissions is how many times the time of transmitting the orders may pass,
	// since other datagrams leave in between.
	orderTransmissions = 2
	// orderHeaderBytes is the size of an order apart from its map.
	orderHeaderBytes = 150
)

// prepareAttempt is what an agent knows of an order to prepare a map that it got.
type prepareAttempt struct {
	key mapKey
	// failed is set if the server did not answer or rejected the order.
	failed bool
}

// beginPrepare confirms the receipt of an order to prepare a map to the agent that plans.
// It returns false if the server has the order already, so that a repetition of it, which
// the server would reject, is not carried out.
func (a *Agent) beginPrepare(o *meshpb.RankOrder) bool {
	key := mapKey{o.Epoch, o.Version}
	a.mu.Lock()
	known := a.lastPrepare.key == key && !a.lastPrepare.failed
	if !known {
		a.lastPrepare = prepareAttempt{key: key}
	}
	initiator, isInitiator := a.leader.initiatorAgent()
	a.mu.Unlock()
	if !isInitiator && initiator.ID != "" {
		a.mesh.Send(receiptPacket(o), initiator)
	}
	return !known
}

// endPrepare records the result of an order to prepare a map, so that a repetition of one
// that failed is carried out.
func (a *Agent) endPrepare(o groupmap.Order, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastPrepare.key == (mapKey{o.Epoch, o.Version}) {
		a.lastPrepare.failed = err != nil
	}
}

func receiptPacket(o *meshpb.RankOrder) *meshpb.Packet {
	return &meshpb.Packet{OrderReceipt: &meshpb.OrderReceipt{Group: o.Group, Epoch: o.Epoch, Version: o.Version, Rank: o.Rank}}
}

func (a *Agent) handleReceipt(r *meshpb.OrderReceipt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader.mapSwitch == nil || r.Group != a.leader.group.Name {
		return
	}
	a.leader.mapSwitch.NoteReceipt(int(r.Rank), r.Epoch, r.Version)
}

// receiptTimeout returns how long the receipts of the orders to prepare a map may take that
// differs by the given number of bytes: the orders leave this agent one after the other,
// and in a large group its relays too.
func (l *leader) receiptTimeout(differenceBytes int) time.Duration {
	timeout := minReceiptTimeout
	rate := l.agent.options.LinkBytesPerSecond
	if rate == 0 {
		return timeout
	}
	copies := l.group.Size
	if l.group.Size > maxSmallGroup {
		copies = largeGroupCandidates + l.group.Size/largeGroupCandidates
	}
	seconds := orderTransmissions * float64(copies*(differenceBytes+orderHeaderBytes)) / rate
	return timeout + time.Duration(seconds*float64(time.Second))
}
