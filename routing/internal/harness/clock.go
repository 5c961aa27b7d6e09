package harness

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_800_000_000, 0)

// event is a function to run at a virtual time. seq orders events of the same
// time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// clock is the event queue. It runs events in the order of virtual time.
type clock struct {
	now    time.Duration
	seq    int
	events []event
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(c, event{at: c.now + max(0, d), seq: c.seq, run: run})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.run()
	}
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (c *clock) Len() int      { return len(c.events) }
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *clock) Push(e any)    { c.events = append(c.events, e.(event)) }

func (c *clock) Less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (c *clock) Pop() any {
	last := len(c.events) - 1
	e := c.events[last]
	c.events = c.events[:last]
	return e
}
