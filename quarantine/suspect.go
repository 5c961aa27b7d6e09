package quarantine

import (
	"slices"
	"time"
)

const (
	// A trait that is known from completed answers is held after establishedStrikes
	// that are at least strikeSpacing apart: servers that crash together are one event,
	// which every popular trait shares.
	establishedStrikes = 3
	strikeSpacing      = time.Second
	// A trait that is not known is held after one strike by a request whose answer
	// had begun, or after unknownStrikes others.
	unknownStrikes = 2
	// repeatStrikes is the number of strikes after which a whole request is held.
	repeatStrikes = 3
	// fullMemory is how long a process must have heard of crashes until none that it missed
	// matters: a request with repeatStrikes strikes would have been admitted again by then.
	fullMemory = firstHold * holdFactor * holdFactor * 13 / 10
	// knownMemory is how long before a strike a completed answer still counts.
	knownMemory = 10 * time.Minute
	// firstHold is how long a trait is held after one strike. Each further strike
	// multiplies it by holdFactor, up to maxHold.
	firstHold  = 15 * time.Second
	holdFactor = 4
	maxHold    = time.Hour
	// holdJitter is the greatest part of a hold by which processes prolong it, each by
	// another time, so that they do not probe together.
	holdJitter = 0.3
	// probeTime is how long the others wait for the result of a probe.
	probeTime = 10 * time.Second
	// combinedProbeDelay is how much longer a request with several held traits waits:
	// the result of a probe with one says more.
	combinedProbeDelay = 2 * probeTime
	// strikeTTL is how long a strike counts.
	strikeTTL = 24 * time.Hour
	// maxStrikes bounds the strikes that are kept of one trait.
	maxStrikes = 16
	// minRestartTime is the shortest time between two crashes of one server.
	minRestartTime = time.Second
)

// Strike is the crash of a server under a request with a trait that had no answer yet.
type Strike struct {
	// Server identifies the server and its start.
	Server uint64
	At     time.Time
	// Begun says that the server had begun to answer the request.
	Begun bool
}

// suspect is what is known of one trait that has strikes.
type suspect struct {
	// strikes has at most one strike of each server, oldest first.
	strikes []Strike
	// completedAt is when an answer with the trait was last completed, and probedAt
	// when a probe was last admitted; zero if not known.
	completedAt, probedAt time.Time
}

// addCrash adds the strike of a crash that this process saw itself and reports whether
// that changes anything. A server that cannot be told from one that crashed at least
// minRestartTime ago has restarted since, and gets another identity. Only the own clock
// tells that: what others tell may arrive late.
func (s *suspect) addCrash(strike Strike) bool {
	for s.hasRestarted(strike) {
		strike.Server = nextStart(strike.Server)
	}
	return s.addStrike(strike)
}

// hasRestarted reports whether the server of the strike crashed long before it.
func (s *suspect) hasRestarted(strike Strike) bool {
	return slices.ContainsFunc(s.strikes, func(known Strike) bool {
		return known.Server == strike.Server && strike.At.Sub(known.At) >= minRestartTime
	})
}

// nextStart returns the identity of the next start of a server that keeps its published
// identity. All processes compute the same.
func nextStart(server uint64) uint64 { return server*0x9E3779B97F4A7C15 + 1 }

// addStrike adds a strike and reports whether that changes anything. Of two reports of
// one crash the earlier time counts.
func (s *suspect) addStrike(strike Strike) bool {
	i := slices.IndexFunc(s.strikes, func(known Strike) bool { return known.Server == strike.Server })
	if i >= 0 {
		known := &s.strikes[i]
		changed := strike.Begun && !known.Begun
		known.Begun = known.Begun || strike.Begun
		if strike.At.Before(known.At) {
			known.At = strike.At
		}
		return changed
	}
	s.strikes = append(s.strikes, strike)
	slices.SortStableFunc(s.strikes, func(a, b Strike) int { return a.At.Compare(b.At) })
	s.strikes = s.strikes[max(0, len(s.strikes)-maxStrikes):]
	return true
}

// live returns the strikes since the last completed answer.
func (s *suspect) live(now time.Time) []Strike {
	var live []Strike
	for _, strike := range s.strikes {
		if strike.At.After(s.completedAt) && now.Sub(strike.At) < strikeTTL {
			live = append(live, strike)
		}
	}
	return live
}

// held reports whether requests with the trait are held because of the live strikes.
// forgotten says that there may have been others, which are not known any more.
func (s *suspect) held(kind Kind, live []Strike, forgotten bool) bool {
	switch {
	case len(live) == 0:
		return false
	case kind == WholeRequest:
		return forgotten || len(live) >= repeatStrikes
	case !s.completedAt.IsZero() && live[0].At.Sub(s.completedAt) < knownMemory:
		return spacedStrikes(live) >= establishedStrikes
	}
	begun := slices.ContainsFunc(live, func(strike Strike) bool { return strike.Begun })
	return begun || len(live) >= unknownStrikes
}

// spacedStrikes counts strikes that are at least strikeSpacing apart.
func spacedStrikes(strikes []Strike) int {
	count := 0
	var last time.Time
	for _, strike := range strikes {
		if count == 0 || strike.At.Sub(last) >= strikeSpacing {
			count++
			last = strike.At
		}
	}
	return count
}

// probeFrom returns when the next request with the trait may be admitted. forgotten is as for
// held. jitter, in [0, 1), is different in each process.
func (s *suspect) probeFrom(kind Kind, live []Strike, forgotten bool, jitter float64) time.Time {
	strikes := len(live)
	if kind == WholeRequest && forgotten {
		strikes += repeatStrikes - 1
	}
	hold := firstHold
	for range strikes - 1 {
		hold = min(maxHold, holdFactor*hold)
	}
	hold += time.Duration(holdJitter * jitter * float64(hold))
	from := live[len(live)-1].At.Add(hold)
	if waited := s.probedAt.Add(probeTime); waited.After(from) {
		return waited
	}
	return from
}
