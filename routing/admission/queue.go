package admission

import (
	"maps"
	"slices"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// deadlineCheckPeriod is the interval at which waiting requests are checked
// against their deadlines. A request that can no longer meet its deadline is
// refused within this time.
const deadlineCheckPeriod = 50 * time.Millisecond

// Queue shares slots between organisations. It is a state machine that gets the
// time from its caller. It is not safe for concurrent use; Gate is.
type Queue struct {
	cfg Config

	running int
	queued  int
	// virtualTime is the highest finishTag that an organisation had when one of
	// its items started, in slot seconds divided by weight.
	virtualTime   float64
	organisations map[string]*organisation
	// backlogged holds the organisations with waiting items, in a deterministic
	// order.
	backlogged        []*organisation
	stats             serviceStats
	lastDeadlineCheck time.Time
	// epoch is the time of the first offer.
	epoch time.Time
	// fifo disables fair sharing: all requests count as those of one
	// organisation.
	fifo bool
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{
		cfg:           cfg.withDefaults(),
		organisations: make(map[string]*organisation),
		stats:         newServiceStats(),
	}
}

// Queued returns the number of waiting requests, by priority.
func (q *Queue) Queued() [routing.Priorities]int {
	var n [routing.Priorities]int
	for _, o := range q.backlogged {
		for p, items := range o.waiting {
			n[p] += len(items)
		}
	}
	return n
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Offer adds r to the queue. The outcomes may concern r and also other items,
// if the queue was full or deadlines can no longer be met.
func (q *Queue) Offer(r Request, now time.Time) (*Item, []Outcome) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	r.Priority = min(r.Priority, routing.Priorities-1)
	item := &Item{Request: r, startBy: r.Deadline.Add(-r.ServiceTime)}
	if limit := now.Add(q.cfg.MaxWait); q.cfg.MaxWait > 0 && item.startBy.After(limit) {
		item.startBy = limit
	}
	if now.After(item.latestStart()) {
		item.state = itemFinished
		err := verdict.Refuse(verdict.DeadlineExceeded, verdict.NotRun,
			"the deadline is too short for this request even on an idle server")
		return item, []Outcome{{Item: item, Err: err}}
	}
	q.prepareOffer(now)
	q.add(item)
	out := q.dispatch(nil, now)
	if item.state == itemQueued {
		out = q.refuseIfLate(out, item, now, waitMargin)
	}
	if q.queued > q.cfg.MaxQueued {
		out = q.refuse(out, q.victim(), now, "the server's queue is full")
	}
	return item, q.checkDeadlines(out, now)
}

// Done frees the slot of a running item and starts waiting ones.
func (q *Queue) Done(i *Item, now time.Time) []Outcome {
	if i.state != itemRunning {
		return nil
	}
	i.state = itemFinished
	q.running--
	q.stats.recordCompletion(i, now)
	return q.checkDeadlines(q.dispatch(nil, now), now)
}

// Cancel removes an item whose caller has given up. A running item is treated
// as by Done.
func (q *Queue) Cancel(i *Item, now time.Time) []Outcome {
	switch i.state {
	case itemRunning:
		return q.Done(i, now)
	case itemQueued:
		q.remove(i)
		i.state = itemFinished
	}
	return nil
}

// CheckDeadlines refuses the waiting items whose deadlines can no longer be
// met, at most once per deadlineCheckPeriod. Offer and Done do so as well; Gate
// calls CheckDeadlines for the times without either.
func (q *Queue) CheckDeadlines(now time.Time) []Outcome {
	return q.checkDeadlines(nil, now)
}

// prepareOffer sets the epoch on the first offer and deletes accounts that no
// longer affect the sharing: all of them while nothing waits and a slot is
// free, and those at or below their share once there are more than twice
// MaxQueued.
func (q *Queue) prepareOffer(now time.Time) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	if q.queued == 0 && q.running < q.cfg.Slots {
		clear(q.organisations)
	}
	if len(q.organisations) > 2*q.cfg.MaxQueued {
		maps.DeleteFunc(q.organisations, func(_ string, o *organisation) bool {
			return o.waitingCount == 0 && o.finishTag <= q.virtualTime
		})
	}
}

// organisationFor returns the account of the item's organisation and creates it
// if necessary.
func (q *Queue) organisationFor(i *Item) *organisation {
	name := i.Organisation
	if q.fifo {
		name = ""
	}
	o := q.organisations[name]
	if o == nil {
		o = &organisation{name: name}
		q.organisations[name] = o
	}
	return o
}

func (q *Queue) add(i *Item) {
	o := q.organisationFor(i)
	o.weight = i.Weight
	if o.waitingCount == 0 {
		o.finishTag = max(o.finishTag, q.virtualTime)
		q.backlogged = append(q.backlogged, o)
	}
	o.push(i)
	q.queued++
}

func (q *Queue) remove(i *Item) {
	o := q.organisationFor(i)
	o.remove(i)
	q.queued--
	if o.waitingCount == 0 {
		index := slices.Index(q.backlogged, o)
		q.backlogged = slices.Delete(q.backlogged, index, index+1)
	}
}

// dispatch starts waiting items while slots are free.
func (q *Queue) dispatch(out []Outcome, now time.Time) []Outcome {
	for q.running < q.cfg.Slots && q.queued > 0 {
		o := q.nextOrganisation()
		i := o.head()
		if now.After(i.latestStart()) {
			out = q.refuse(out, i, now, "the server could not start this request before its deadline")
			continue
		}
		q.virtualTime = max(q.virtualTime, o.finishTag)
		o.finishTag += i.cost() / o.weight
		q.remove(i)
		i.state = itemRunning
		i.started = now
		q.running++
		out = append(out, Outcome{Item: i})
	}
	return out
}

// nextOrganisation returns the backlogged organisation with the lowest start
// tag.
func (q *Queue) nextOrganisation() *organisation {
	best := q.backlogged[0]
	for _, o := range q.backlogged[1:] {
		if q.startTag(o) < q.startTag(best) {
			best = o
		}
	}
	return best
}

// startTag returns the organisation's finish tag less the priority lead of its
// next item. The organisation with the lowest start tag has had the least of
// its share, apart from the lead.
func (q *Queue) startTag(o *organisation) float64 {
	return o.finishTag - q.priorityLead(o.head().Priority)
}

// priorityLead returns the lead of priority p over Batch in the unit of
// virtualTime, slot seconds divided by weight.
func (q *Queue) priorityLead(p routing.Priority) float64 {
	return float64(routing.Priorities-1-p) * q.cfg.PriorityLead.Seconds()
}

// victim returns the item to refuse when the queue is full: the last one of the
// organisation with the most waiting work relative to its weight.
func (q *Queue) victim() *Item {
	heaviest := q.backlogged[0]
	for _, o := range q.backlogged[1:] {
		if o.weightedWork() > heaviest.weightedWork() {
			heaviest = o
		}
	}
	return heaviest.last()
}

// checkDeadlines refuses the items that can no longer meet their deadlines. It
// runs at most once per deadlineCheckPeriod.
func (q *Queue) checkDeadlines(out []Outcome, now time.Time) []Outcome {
	if now.Sub(q.lastDeadlineCheck) < deadlineCheckPeriod {
		return out
	}
	q.lastDeadlineCheck = now
	var waiting []*Item
	for _, o := range q.backlogged {
		for _, items := range o.waiting {
			waiting = append(waiting, items...)
		}
	}
	for _, i := range waiting {
		out = q.refuseIfLate(out, i, now, 1)
	}
	return out
}

// refuseIfLate refuses i if its estimated wait, multiplied by margin, ends
// after its latest start.
func (q *Queue) refuseIfLate(out []Outcome, i *Item, now time.Time, margin float64) []Outcome {
	wait := time.Duration(margin * float64(q.estimateWait(i, now)))
	if !now.Add(wait).After(i.latestStart()) {
		return out
	}
	return q.refuse(out, i, now, "the server cannot start this request before its deadline")
}

func (q *Queue) refuse(out []Outcome, i *Item, now time.Time, reason string) []Outcome {
	retryAfter := q.retryAfter(i, now)
	q.remove(i)
	i.state = itemFinished
	err := verdict.Refuse(verdict.Overloaded, verdict.NotRun, reason).WithRetryAfter(retryAfter)
	return append(out, Outcome{Item: i, Err: err})
}
