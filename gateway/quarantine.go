package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"bluebellwind.example/quarantine"
	"bluebellwind.example/verdict"
)

// crashRetryWait is how long a request whose server may have crashed waits for that to be
// known before it is sent to another server.
const crashRetryWait = 400 * time.Millisecond

// errQuarantined is the cause of the end of an attempt whose request is held since it was
// sent.
var errQuarantined = errors.New("gateway: requests like this one crash their servers")

// checkQuarantine returns a refusal if the request must not be sent, because of crashes
// under requests with the same traits.
func (x *exchange) checkQuarantine() *verdict.Error {
	d := x.g.quarantine.Decide(x.holdingTraits(), time.Now())
	x.g.tellSuspicions(d.Changed)
	if d.Held {
		return x.quarantineRefusal(d.RetryAfter)
	}
	if d.Probe {
		x.isProbe = true
		x.g.metrics.countProbe()
		x.g.log.Info().Str("event", "quarantine_probe").Str("request", x.call.ID).Msg("")
	}
	return nil
}

// holdingTraits returns the traits because of which the request may be held now: all of them,
// but only the whole request once its answer is past its beginning, which it would not be if
// one of its parts crashed servers as they begin to answer.
func (x *exchange) holdingTraits() []quarantine.Trait {
	if x.eventCount >= provenEvents {
		return wholeTraits(x.traits)
	}
	return x.traits
}

// wholeTraits returns those of the traits that only repeats of the request share.
func wholeTraits(traits []quarantine.Trait) []quarantine.Trait {
	var whole []quarantine.Trait
	for _, t := range traits {
		if t.Kind == quarantine.WholeRequest {
			whole = append(whole, t)
		}
	}
	return whole
}

func (x *exchange) quarantineRefusal(retryAfter time.Duration) *verdict.Error {
	return verdict.Refuse(verdict.Quarantined, x.verdict(), "requests like this one crash their servers").WithRetryAfter(retryAfter)
}

// awaitCrashConfirmation waits, after an attempt broke off, until it is known whether the
// server crashed, if that may hold the request.
func (x *exchange) awaitCrashConfirmation() {
	known := x.crashKnown
	x.crashKnown = nil
	if known == nil {
		return
	}
	timeout := time.NewTimer(crashRetryWait)
	defer timeout.Stop()
	select {
	case <-known:
	case <-timeout.C:
	case <-x.ctx.Done():
	}
}

// sharesKnownParts reports whether the request shares parts of its prompt, and all of them
// are known from completed answers.
func (x *exchange) sharesKnownParts() bool {
	parts := x.call.partTraits()
	return len(parts) > 0 && x.g.quarantine.Known(parts, time.Now())
}

// recordCompleted records an answer that was completed.
func (x *exchange) recordCompleted() {
	x.g.tellSuspicions(x.g.quarantine.RecordCompleted(x.traits, time.Now()))
}

// tellSuspicions tells the other gateways what has changed.
func (g *Gateway) tellSuspicions(changed []quarantine.Suspicion) {
	if len(changed) > 0 && g.options.OnSuspicions != nil {
		g.options.OnSuspicions(changed)
	}
}

// MergeSuspicions adds what another gateway tells. The results are those of
// quarantine.Registry.Merge.
func (g *Gateway) MergeSuspicions(told []quarantine.Suspicion) (answers, learned []quarantine.Suspicion) {
	answers, learned = g.quarantine.Merge(told, time.Now())
	g.attempts.cancelHeld(g.quarantine)
	return answers, learned
}

// ActiveSuspicions returns what other gateways should know of crashes.
func (g *Gateway) ActiveSuspicions() []quarantine.Suspicion {
	return g.quarantine.Active(time.Now())
}

// RememberedSuspicions returns what a gateway that has started should know of crashes, and for
// how long this one has heard of all crashes, itself or through others.
func (g *Gateway) RememberedSuspicions() (list []quarantine.Suspicion, memoryAge time.Duration) {
	now := time.Now()
	return g.quarantine.Remembered(now), g.quarantine.MemoryAge(now)
}

// ExtendCrashMemory records that another gateway, which has told what it knows, has heard of
// all crashes for the given time.
func (g *Gateway) ExtendCrashMemory(age time.Duration) {
	g.quarantine.ExtendMemory(age, time.Now())
}

// attempt is an attempt at a request that may be repeated, until the first event or the
// end of its answer.
type attempt struct {
	traits []quarantine.Trait
	cancel context.CancelCauseFunc
}

// attemptSet holds the open attempts. It is safe for concurrent use; the zero value is
// empty.
type attemptSet struct {
	mu   sync.Mutex
	open map[*attempt]struct{}
}

// add adds an attempt.
func (s *attemptSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*attempt]struct{})
	}
	s.open[a] = struct{}{}
}

// remove removes an attempt; it may have been removed before, or be nil.
func (s *attemptSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, a)
}

// cancelHeld ends the attempts with a part of the prompt that is held now, before their
// servers begin to answer.
func (s *attemptSet) cancelHeld(registry *quarantine.Registry) {
	now := time.Now()
	if registry.HeldCount(now) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.open {
		for _, t := range a.traits {
			if t.Kind == quarantine.PromptPart && registry.Holds(t, now) {
				a.cancel(errQuarantined)
				delete(s.open, a)
				break
			}
		}
	}
}
