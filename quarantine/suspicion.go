package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageTolerance is the least difference between two reports of one time that counts.
	ageTolerance = 50 * time.Millisecond
	// recentStrike is how long a strike is told again, and maxActive how many traits are
	// told at once.
	recentStrike = 10 * time.Second
	maxActive    = 32
)

// Suspicion is what one process tells another of a trait. Times are ages, because the
// clocks of processes differ.
type Suspicion struct {
	Trait   Trait
	Strikes []StrikeAge
	// CompletedAge and ProbedAge are the times since the last completed answer and
	// since the last probe; NoAge if there was none.
	CompletedAge, ProbedAge time.Duration
}

// StrikeAge is a Strike with the time since it happened.
type StrikeAge struct {
	Server uint64
	Age    time.Duration
	Begun  bool
}

// NoAge is the age of what has not happened.
const NoAge = time.Duration(-1)

func suspicion(t Trait, s *suspect, now time.Time) Suspicion {
	told := Suspicion{Trait: t, CompletedAge: age(s.completedAt, now), ProbedAge: age(s.probedAt, now)}
	for _, strike := range s.strikes {
		told.Strikes = append(told.Strikes, StrikeAge{Server: strike.Server, Age: age(strike.At, now), Begun: strike.Begun})
	}
	return told
}

func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return NoAge
	}
	return max(0, now.Sub(at))
}

// timeOf is the inverse of age.
func timeOf(age time.Duration, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// Merge adds what another process tells. answers is what that process does not know of
// these traits: completed answers. learned has the traits that this process knows from
// completed answers since then.
func (r *Registry) Merge(told []Suspicion, now time.Time) (answers, learned []Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range told {
		t := told[i].Trait
		if len(told[i].Strikes) == 0 || len(told[i].Strikes) > maxStrikes {
			continue
		}
		s := r.ensureSuspect(t)
		known := !s.completedAt.IsZero()
		s.merge(&told[i], now)
		switch {
		case told[i].CompletedAge < 0 && known:
			answers = append(answers, suspicion(t, s, now))
		case told[i].CompletedAge >= 0 && !known:
			r.remember(t, s.completedAt)
			learned = append(learned, suspicion(t, s, now))
		}
	}
	return answers, learned
}

// merge adds what another process tells of the trait. Times may only differ by more than
// ageTolerance, so that they do not drift as processes tell each other.
func (s *suspect) merge(told *Suspicion, now time.Time) {
	for _, strike := range told.Strikes {
		s.addStrike(Strike{Server: strike.Server, At: timeOf(max(0, strike.Age), now), Begun: strike.Begun})
	}
	if completed := timeOf(told.CompletedAge, now); completed.After(s.completedAt.Add(ageTolerance)) {
		s.completedAt = completed
	}
	if probed := timeOf(told.ProbedAge, now); probed.After(s.probedAt.Add(ageTolerance)) {
		s.probedAt = probed
	}
}

// Active returns what this process knows of at most maxActive traits that are held or
// were struck lately, for processes that missed it. Traits that are held come first, and of
// those the ones with the latest strikes.
func (r *Registry) Active(now time.Time) []Suspicion {
	return r.strikesSince(now.Add(-recentStrike), now)
}

// Remembered is like Active for a process that has started and knows nothing: it includes
// traits that were struck earlier and are not held yet.
func (r *Registry) Remembered(now time.Time) []Suspicion { return r.strikesSince(time.Time{}, now) }

// strikesSince returns what this process knows of at most maxActive traits that are held or
// were struck after since. It forgets the traits whose strikes no longer matter.
func (r *Registry) strikesSince(since, now time.Time) []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var active []Suspicion
	for t, s := range r.suspects {
		live := s.live(now)
		if len(live) > 0 && (r.holds(t, now) || live[len(live)-1].At.After(since)) {
			active = append(active, suspicion(t, s, now))
		}
	}
	slices.SortFunc(active, func(a, b Suspicion) int {
		if heldA, heldB := r.holds(a.Trait, now), r.holds(b.Trait, now); heldA != heldB {
			if heldA {
				return -1
			}
			return 1
		}
		return cmp.Compare(latestAge(&a), latestAge(&b))
	})
	return active[:min(len(active), maxActive)]
}

func latestAge(s *Suspicion) time.Duration { return s.Strikes[len(s.Strikes)-1].Age }
