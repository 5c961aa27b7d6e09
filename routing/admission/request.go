package admission

import (
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// Request asks for a slot.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to others; 0 means 1.
	Weight   float64
	Priority routing.Priority
	// ServiceTime is the time for which the request is expected to hold its slot.
	ServiceTime time.Duration
	// Deadline is the time by which the whole answer must be complete.
	Deadline time.Time
}

// Item is a request in a Queue. Only the Queue may modify its fields.
type Item struct {
	Request

	state   itemState
	started time.Time
	// startBy is the latest time at which the item may start.
	startBy time.Time
}

type itemState uint8

const (
	itemQueued itemState = iota
	itemRunning
	itemFinished
)

// Outcome reports that an item started, or that it was refused with Err, whose
// verdict is NotRun. Each item gets exactly one outcome unless it is cancelled
// first.
type Outcome struct {
	Item *Item
	Err  *verdict.Error
}

// cost returns the item's charge against its organisation's share, in slot
// seconds: the expected number of seconds for which it holds its slot.
func (i *Item) cost() float64 { return i.ServiceTime.Seconds() }

// latestStart returns the latest time at which the item can start and still
// meet its deadline.
func (i *Item) latestStart() time.Time { return i.startBy }
