package groupmap

import "time"

// OrderKind is the kind of an order to a rank. Messages between agents carry its
// number, and orders to a model server its name, see String.
type OrderKind uint8

const (
	// Prepare makes the rank copy the experts that it lacks for a map.
	Prepare OrderKind = iota + 1
	// Arm makes the rank switch to a prepared map at the start of a pass.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// Hold stops the whole group before a pass.
	Hold
	// Release ends a Hold, so that the group begins the held pass. Its name is
	// "go".
	Release
)

// String returns the name of k in orders to model servers, logs and metrics.
func (k OrderKind) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}[min(int(k), 5)]
}

// Order is an order to one rank. It may be carried out late, twice or never.
type Order struct {
	Rank int
	Kind OrderKind
	// Epoch is the epoch of the group in which the order is valid.
	Epoch uint64
	// Version is the version of the map to prepare, arm or disarm.
	Version uint64
	// Step is the number of the pass at which an Arm switches, or of the pass that
	// a Hold or Release applies to.
	Step uint64
	// Map is set for Prepare only.
	Map *Map
	// Resent is set if the same order was sent before and had no effect.
	Resent bool
	// Unconfirmed is how long ago the same order was sent first.
	Unconfirmed time.Duration
}

// RankState is the state that a rank last reported.
type RankState struct {
	// Epoch is the number of the group's current lifetime. It increases each time
	// the group reopens.
	Epoch uint64
	// Open is set while the group takes requests.
	Open bool
	// Step is the number of the last pass that the group began.
	Step uint64
	// MapVersion is the version of the map in use. PreparedVersion is the version
	// of a map that is ready to be armed, or zero.
	MapVersion      uint64
	PreparedVersion uint64
	// ArmedVersion and ArmedStep are the map that the rank is armed with and the
	// pass at which it switches; both are zero if the rank is not armed.
	ArmedVersion uint64
	ArmedStep    uint64
	// HeldStep is the pass before which the rank stops the group, or zero.
	HeldStep uint64
}
