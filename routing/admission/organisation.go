package admission

import (
	"slices"

	"bluebellwind.example/routing"
)

// organisation is the account of one organisation. It is kept while the
// organisation has waiting requests or has used more than its share.
type organisation struct {
	name   string
	weight float64
	// finishTag is the virtual time at which the organisation's share covers
	// all its started requests.
	finishTag float64
	// waiting holds the queued items by priority, oldest first.
	waiting [routing.Priorities][]*Item
	// waitingCount and waitingWork are the number of waiting items and the sum
	// of their costs, in slot seconds.
	waitingCount int
	waitingWork  float64
	// retryWork is the work, in slot seconds, that refused callers are expected
	// to send again after the retry delay they were given. It is valid at
	// retryWorkAt, in seconds since the queue's epoch.
	retryWork   float64
	retryWorkAt float64
}

func (o *organisation) push(i *Item) {
	o.waiting[i.Priority] = append(o.waiting[i.Priority], i)
	o.waitingCount++
	o.waitingWork += i.cost()
}

// head returns the item to start next, the oldest one of the highest priority.
// It returns nil if none waits.
func (o *organisation) head() *Item {
	for _, items := range o.waiting {
		if len(items) > 0 {
			return items[0]
		}
	}
	return nil
}

// last returns the item to refuse first, the newest one of the lowest priority.
// It returns nil if none waits.
func (o *organisation) last() *Item {
	for _, items := range slices.Backward(o.waiting[:]) {
		if len(items) > 0 {
			return items[len(items)-1]
		}
	}
	return nil
}

func (o *organisation) remove(i *Item) {
	items := o.waiting[i.Priority]
	index := slices.Index(items, i)
	if index < 0 {
		return
	}
	o.waiting[i.Priority] = slices.Delete(items, index, index+1)
	o.waitingCount--
	o.waitingWork -= i.cost()
}

// weightedWork returns the waiting work divided by the weight. When the queue
// is full, an item of the organisation with the highest value is refused.
func (o *organisation) weightedWork() float64 { return o.waitingWork / o.weight }
