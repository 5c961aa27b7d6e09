package harness

import (
	"slices"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/routing/admission"
	"bluebellwind.example/verdict"
)

// server models a model engine with continuous batching.
type server struct {
	clock    *clock
	name     string
	zone     int
	slowdown time.Duration // multiplies all service times; 0 counts as 1
	down     bool
	// frozenUntil is the virtual time until which the server makes no progress.
	frozenUntil time.Duration

	running       int
	waiting       []*serverAttempt
	usePriorities bool
	queue         *admission.Queue
	// attemptsByItem maps the waiting and running items of queue to their attempts.
	attemptsByItem map[*admission.Item]*serverAttempt
	// cachedPrefixes holds the cached prefixes, the most recently used last.
	cachedPrefixes []int
}

// serverAttempt is one attempt to run a request on one server.
type serverAttempt struct {
	request   *request
	server    *server
	prefixHit bool
	state     attemptState
	item      *admission.Item
	// onFirstToken and onEnd are called once each unless the attempt is refused
	// or cancelled or the server fails.
	onFirstToken func()
	onEnd        func()
	// onRefused is called at most once, instead of onFirstToken and onEnd.
	onRefused func(*verdict.Error)
}

type attemptState uint8

const (
	attemptWaiting attemptState = iota
	attemptRunning
	attemptDone
)

func (s *server) submit(t *serverAttempt) {
	t.server = s
	if s.queue == nil {
		s.enqueue(t)
		s.startWaiting()
		return
	}
	item, out := s.queue.Offer(admission.Request{
		Organisation: t.request.organisation,
		Priority:     t.request.priority,
		ServiceTime:  t.request.expectedService(),
		Deadline:     epoch.Add(t.request.deadline + t.request.expectedService()),
	}, s.clock.time())
	t.item = item
	s.attemptsByItem[item] = t
	s.applyOutcomes(out)
}

// applyOutcomes starts or refuses the attempts of the admission outcomes.
func (s *server) applyOutcomes(out []admission.Outcome) {
	for _, o := range out {
		t := s.attemptsByItem[o.Item]
		if o.Err == nil {
			s.start(t)
			continue
		}
		delete(s.attemptsByItem, o.Item)
		t.state = attemptDone
		t.onRefused(o.Err)
	}
}

// enqueue inserts t behind the attempts that the engine serves before it.
func (s *server) enqueue(t *serverAttempt) {
	at := len(s.waiting)
	for s.usePriorities && at > 0 && s.waiting[at-1].request.priority > t.request.priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, t)
}

func (s *server) startWaiting() {
	for s.running < slotsPerServer && len(s.waiting) > 0 {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(t)
	}
}

// start runs t on a slot and schedules its first token and its end.
func (s *server) start(t *serverAttempt) {
	s.running++
	t.state = attemptRunning
	t.prefixHit = s.usePrefix(t.request.prefix)
	prompt := suffixTokens
	if !t.prefixHit {
		prompt += prefixTokens
	}
	prefill := s.scale(time.Duration(prompt)*prefillPerToken) + s.frozenRemaining()
	s.clock.after(prefill, func() {
		s.afterFreeze(func() {
			if t.state == attemptRunning && !s.down {
				t.onFirstToken()
			}
		})
	})
	decode := s.scale(time.Duration(t.request.tokens) * stepTime)
	s.clock.after(prefill+decode, func() { s.afterFreeze(func() { s.finish(t) }) })
}

// afterFreeze runs f now, or when the server is no longer frozen.
func (s *server) afterFreeze(f func()) {
	if remaining := s.frozenRemaining(); remaining > 0 {
		s.clock.after(remaining, f)
		return
	}
	f()
}

func (s *server) frozenRemaining() time.Duration { return max(0, s.frozenUntil-s.clock.now) }

func (s *server) scale(d time.Duration) time.Duration { return d * max(1, s.slowdown) }

func (s *server) finish(t *serverAttempt) {
	if t.state != attemptRunning || s.down {
		return
	}
	t.onEnd()
	s.releaseSlot(t)
}

func (s *server) releaseSlot(t *serverAttempt) {
	t.state = attemptDone
	s.running--
	if s.queue == nil {
		s.startWaiting()
		return
	}
	delete(s.attemptsByItem, t.item)
	s.applyOutcomes(s.queue.Done(t.item, s.clock.time()))
}

// cancel removes an attempt from the queue or from its slot.
func (s *server) cancel(t *serverAttempt) {
	switch t.state {
	case attemptRunning:
		s.releaseSlot(t)
	case attemptWaiting:
		t.state = attemptDone
		if s.queue != nil {
			delete(s.attemptsByItem, t.item)
			s.applyOutcomes(s.queue.Cancel(t.item, s.clock.time()))
			return
		}
		if at := slices.Index(s.waiting, t); at >= 0 {
			s.waiting = slices.Delete(s.waiting, at, at+1)
		}
	}
}

// usePrefix makes the prefix the most recently used one in the cache and
// reports whether it was cached.
func (s *server) usePrefix(prefix int) bool {
	at := slices.Index(s.cachedPrefixes, prefix)
	if at >= 0 {
		s.cachedPrefixes = append(slices.Delete(s.cachedPrefixes, at, at+1), prefix)
		return true
	}
	if len(s.cachedPrefixes) >= cachedPrefixesPerServer {
		s.cachedPrefixes = slices.Delete(s.cachedPrefixes, 0, 1)
	}
	s.cachedPrefixes = append(s.cachedPrefixes, prefix)
	return false
}

func (s *server) load() routing.Load {
	l := routing.Load{
		MeasuredAt: s.clock.time(), Slots: slotsPerServer, Running: s.running,
		StepTime: s.scale(stepTime),
	}
	if s.queue != nil {
		l.Queued = s.queue.Queued()
	}
	for _, t := range s.waiting {
		l.Queued[t.request.priority]++
	}
	return l
}
