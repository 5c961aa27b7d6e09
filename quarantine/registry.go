package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxSuspects bounds the traits with strikes, maxCompletions each of the two
	// generations of traits known from completed answers.
	maxSuspects    = 2048
	maxCompletions = 8192
	// forgetAfter is how long after its last strike a trait that is not held is
	// forgotten.
	forgetAfter = 10 * time.Minute
)

// Registry holds what one process knows of the traits under which servers crashed. It is
// safe for concurrent use.
type Registry struct {
	seed uint64

	mu sync.Mutex
	// memoryStart is the time from which on the process has heard of all crashes, itself or
	// through others; zero if it has missed none.
	memoryStart time.Time
	suspects    map[Trait]*suspect
	// completions and olderCompletions hold when an answer with a trait was last
	// completed. Once completions is full it replaces olderCompletions.
	completions, olderCompletions map[Trait]time.Time
}

// NewRegistry returns an empty Registry. Processes must use different seeds, so that
// they do not probe at the same time.
func NewRegistry(seed uint64) *Registry {
	return &Registry{seed: seed, suspects: make(map[Trait]*suspect), completions: make(map[Trait]time.Time)}
}

// SetStart sets the time from which on the process hears of crashes; zero, as in a new
// Registry, if there were none before.
func (r *Registry) SetStart(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memoryStart = start
}

// MemoryAge returns for how long the process has heard of all crashes, itself or through
// others; at most strikeTTL.
func (r *Registry) MemoryAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.memoryStart.IsZero() {
		return strikeTTL
	}
	return max(0, min(strikeTTL, now.Sub(r.memoryStart)))
}

// ExtendMemory records that another process, which has told what it knows, has heard of all
// crashes for the given time.
func (r *Registry) ExtendMemory(age time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if start := now.Add(-min(age, strikeTTL)); start.Before(r.memoryStart) {
		r.memoryStart = start
	}
}

// hasForgotten reports whether strikes that still mattered may have been forgotten when the
// oldest live one was recorded. The caller holds the lock.
func (r *Registry) hasForgotten(live []Strike) bool {
	return len(live) > 0 && !r.memoryStart.IsZero() && live[0].At.Sub(r.memoryStart) < fullMemory
}

// Decision says whether a request may be sent.
type Decision struct {
	// Held says that the request must not be sent.
	Held bool
	// RetryAfter is the time until a request with its traits may be admitted; set if
	// Held is.
	RetryAfter time.Duration
	// Probe says that the request is admitted although it has held traits.
	Probe bool
	// Changed is what the other processes should be told.
	Changed []Suspicion
}

// Decide decides on a request with the given traits.
func (r *Registry) Decide(traits []Trait, now time.Time) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.suspects) == 0 {
		return Decision{}
	}
	held := make(map[Trait]*suspect)
	var from time.Time
	for _, t := range traits {
		s := r.suspects[t]
		if s == nil {
			continue
		}
		live := s.live(now)
		forgotten := r.hasForgotten(live)
		if !s.held(t.Kind, live, forgotten) {
			continue
		}
		held[t] = s
		if next := s.probeFrom(t.Kind, live, forgotten, r.jitter(t)); next.After(from) {
			from = next
		}
	}
	if len(held) == 0 {
		return Decision{}
	}
	if len(held) > 1 {
		from = from.Add(combinedProbeDelay)
	}
	if now.Before(from) {
		return Decision{Held: true, RetryAfter: from.Sub(now)}
	}
	d := Decision{Probe: true}
	for t, s := range held {
		s.probedAt = now
		d.Changed = append(d.Changed, suspicion(t, s, now))
	}
	return d
}

// Holds reports whether requests with the trait are held.
func (r *Registry) Holds(t Trait, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(t, now)
}

// HoldsAny reports whether requests with one of the traits are held.
func (r *Registry) HoldsAny(traits []Trait, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(traits, func(t Trait) bool { return r.holds(t, now) })
}

// holds implements Holds. The caller holds the lock.
func (r *Registry) holds(t Trait, now time.Time) bool {
	s := r.suspects[t]
	if s == nil {
		return false
	}
	live := s.live(now)
	return s.held(t.Kind, live, r.hasForgotten(live))
}

// NextCrashHolds reports whether another crash under a request would make it held because of
// one of the traits of the whole request.
func (r *Registry) NextCrashHolds(traits []Trait, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range traits {
		if t.Kind != WholeRequest {
			continue
		}
		next := []Strike{{At: now}}
		if s := r.suspects[t]; s != nil {
			next = append(s.live(now), next...)
		}
		if len(next) >= repeatStrikes || r.hasForgotten(next) {
			return true
		}
	}
	return false
}

// Known reports whether answers with all the traits have been completed lately.
func (r *Registry) Known(traits []Trait, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range traits {
		at := r.completedAt(t)
		if at.IsZero() || now.Sub(at) >= knownMemory {
			return false
		}
	}
	return true
}

// RecordCrash records that a server crashed under a request that had no answer yet. It
// returns what the other processes should be told.
func (r *Registry) RecordCrash(traits []Trait, strike Strike, now time.Time) []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Suspicion
	for _, t := range traits {
		if s := r.ensureSuspect(t); s.addCrash(strike) {
			changed = append(changed, suspicion(t, s, now))
		}
	}
	return changed
}

// RecordCompleted records that an answer with the traits was completed. It returns what
// the other processes should be told.
func (r *Registry) RecordCompleted(traits []Trait, now time.Time) []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Suspicion
	for _, t := range traits {
		if t.Kind == PromptPart {
			r.remember(t, now)
		}
		s := r.suspects[t]
		if s == nil || len(s.live(now)) == 0 {
			continue
		}
		s.completedAt = now
		changed = append(changed, suspicion(t, s, now))
	}
	return changed
}

// ensureSuspect returns the suspect of a trait and creates it if it is missing. The
// caller holds the lock.
func (r *Registry) ensureSuspect(t Trait) *suspect {
	s := r.suspects[t]
	if s != nil {
		return s
	}
	if len(r.suspects) >= maxSuspects {
		r.dropOldestSuspect()
	}
	s = &suspect{completedAt: r.completedAt(t)}
	r.suspects[t] = s
	return s
}

// dropOldestSuspect forgets the trait whose latest strike is the oldest. The caller holds
// the lock.
func (r *Registry) dropOldestSuspect() {
	var oldest Trait
	var oldestAt time.Time
	for t, s := range r.suspects {
		var at time.Time
		if len(s.strikes) > 0 {
			at = s.strikes[len(s.strikes)-1].At
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = t, at
		}
	}
	delete(r.suspects, oldest)
}

// remember records a completed answer. The caller holds the lock.
func (r *Registry) remember(t Trait, now time.Time) {
	if len(r.completions) >= maxCompletions {
		r.olderCompletions, r.completions = r.completions, make(map[Trait]time.Time)
	}
	r.completions[t] = now
}

// completedAt returns when an answer with the trait was last completed; zero if not
// known. The caller holds the lock.
func (r *Registry) completedAt(t Trait) time.Time {
	if at, ok := r.completions[t]; ok {
		return at
	}
	return r.olderCompletions[t]
}

// jitter returns a number in [0, 1) for a trait that differs between processes.
func (r *Registry) jitter(t Trait) float64 {
	mixed := (t.Hash ^ r.seed) * 0x9E3779B97F4A7C15
	return float64(mixed>>11) / (1 << 53)
}

// HeldCount returns the number of traits that are held.
func (r *Registry) HeldCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for t := range r.suspects {
		if r.holds(t, now) {
			count++
		}
	}
	return count
}

// StrikeCount returns the greatest number of strikes that count of one of the traits.
func (r *Registry) StrikeCount(traits []Trait, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, t := range traits {
		if s := r.suspects[t]; s != nil {
			count = max(count, len(s.live(now)))
		}
	}
	return count
}

// expire forgets the traits that are not held and have no strike left that may lead to
// a hold. The caller holds the lock.
func (r *Registry) expire(now time.Time) {
	maps.DeleteFunc(r.suspects, func(t Trait, s *suspect) bool {
		live := s.live(now)
		return len(live) == 0 || !r.holds(t, now) && now.Sub(live[len(live)-1].At) >= forgetAfter
	})
}
