package admission

import (
	"context"
	"sync"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

// Gate makes a Queue usable by concurrent callers.
type Gate struct {
	mu            sync.Mutex
	queue         *Queue
	results       map[*Item]chan *verdict.Error
	deadlineTimer *time.Timer
}

// NewGate returns a Gate with an empty queue.
func NewGate(cfg Config) *Gate {
	return &Gate{queue: NewQueue(cfg), results: make(map[*Item]chan *verdict.Error)}
}

// Load returns the number of requests that hold a slot and the number that
// wait, by priority.
func (g *Gate) Load() (running int, queued [routing.Priorities]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Queued()
}

// Acquire waits for a slot. The returned release function frees the slot and
// may be called more than once. The error is a *verdict.Error with NotRun: the
// request holds no slot and will not get one. Acquire returns as soon as the
// deadline can no longer be met or ctx ends.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(), err error) {
	item, result := g.offer(r)
	select {
	case refusal := <-result:
		return g.releaseFunc(item, refusal)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Cancel(item, time.Now()))
	delete(g.results, item)
	return nil, verdict.Wrap(verdict.DeadlineExceeded, verdict.NotRun,
		"the caller left before the request started", ctx.Err())
}

// offer puts r into the queue and returns the channel on which its result
// arrives: nil when it starts, otherwise the refusal.
func (g *Gate) offer(r Request) (*Item, chan *verdict.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	item, out := g.queue.Offer(r, time.Now())
	result := make(chan *verdict.Error, 1)
	g.results[item] = result
	g.deliver(out)
	return item, result
}

// releaseFunc returns the function that frees the item's slot, or the refusal
// if there is one.
func (g *Gate) releaseFunc(item *Item, refusal *verdict.Error) (func(), error) {
	if refusal != nil {
		return nil, refusal
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deliver(g.queue.Done(item, time.Now()))
	}, nil
}

// deliver sends the outcomes to the waiting callers and keeps the deadline
// check scheduled while items wait.
func (g *Gate) deliver(out []Outcome) {
	for _, o := range out {
		if result := g.results[o.Item]; result != nil {
			result <- o.Err
			delete(g.results, o.Item)
		}
	}
	if len(g.results) > 0 && g.deadlineTimer == nil {
		g.deadlineTimer = time.AfterFunc(deadlineCheckPeriod, g.checkDeadlines)
	}
}

func (g *Gate) checkDeadlines() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadlineTimer = nil
	g.deliver(g.queue.CheckDeadlines(time.Now()))
}
