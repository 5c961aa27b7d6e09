package backends

import "time"

const (
	// departureMemory is how long an incarnation of a server that is no longer
	// published is remembered as leaving or removed. A source that is restored from
	// an older copy may publish it again.
	departureMemory = 2 * time.Minute
	// maxBackoff bounds how long a server may ask for no requests at a time.
	maxBackoff = 5 * time.Minute
)

// incarnation identifies one start of a server.
type incarnation struct {
	id      string
	started int64
}

func (s *Server) incarnation() incarnation { return incarnation{s.ID, s.Started} }

// withdrawals records which incarnations of servers want no requests, or none for a
// time. They outlast the published entry of the server, which may be older than what
// the server itself has said. It is not safe for concurrent use.
type withdrawals struct {
	// leaving and removed hold when the incarnation was last known to be published;
	// leaving those that said that they leave, removed those that are no longer
	// published.
	leaving, removed map[incarnation]time.Time
	// backoffUntil holds until when the incarnation wants no requests.
	backoffUntil map[incarnation]time.Time
}

func newWithdrawals() withdrawals {
	return withdrawals{
		leaving:      make(map[incarnation]time.Time),
		removed:      make(map[incarnation]time.Time),
		backoffUntil: make(map[incarnation]time.Time),
	}
}

// markLeaving records that the server leaves. It reports whether that is new.
func (w *withdrawals) markLeaving(s *Server, now time.Time) bool {
	_, known := w.leaving[s.incarnation()]
	w.leaving[s.incarnation()] = now
	return !known
}

// isLeaving reports whether the server has said that it leaves.
func (w *withdrawals) isLeaving(s *Server) bool {
	_, leaving := w.leaving[s.incarnation()]
	return leaving
}

// markRemoved records that the server is no longer published. The ID of a server
// that does not publish its start may belong to a new incarnation from then on.
func (w *withdrawals) markRemoved(s *Server, now time.Time) {
	w.removed[s.incarnation()] = now
	if s.Started == 0 {
		delete(w.leaving, s.incarnation())
	}
}

// wasRemoved reports whether the server was no longer published at some time.
func (w *withdrawals) wasRemoved(s *Server) bool {
	_, removed := w.removed[s.incarnation()]
	return removed
}

// markPublished records that the server is published.
func (w *withdrawals) markPublished(s *Server, now time.Time) {
	delete(w.removed, s.incarnation())
	if _, leaving := w.leaving[s.incarnation()]; leaving || s.Draining {
		w.leaving[s.incarnation()] = now
	}
}

// backOff records that the server wants no requests for d, at most maxBackoff. A
// shorter time than one that was asked for before changes nothing.
func (w *withdrawals) backOff(s *Server, d time.Duration, now time.Time) {
	until := now.Add(min(d, maxBackoff))
	if until.After(w.backoffUntil[s.incarnation()]) {
		w.backoffUntil[s.incarnation()] = until
	}
}

// backoff returns for how long the server still wants no requests; zero if it takes
// them.
func (w *withdrawals) backoff(s *Server, now time.Time) time.Duration {
	return max(0, w.backoffUntil[s.incarnation()].Sub(now))
}

// expire forgets what no longer matters. published reports whether an incarnation is
// still published.
func (w *withdrawals) expire(now time.Time, published func(incarnation) bool) {
	for _, departures := range []map[incarnation]time.Time{w.leaving, w.removed} {
		for i, at := range departures {
			if published(i) {
				departures[i] = now
			} else if now.Sub(at) > departureMemory {
				delete(departures, i)
			}
		}
	}
	for i, until := range w.backoffUntil {
		if !now.Before(until) {
			delete(w.backoffUntil, i)
		}
	}
}
