package keys

import "time"

// SetClock replaces the clock that s uses.
func (s *Store) SetClock(now func() time.Time) { s.now = now }
