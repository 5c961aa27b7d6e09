package suspects

import "time"

// Stats holds the sizes of a Registry, for metrics.
type Stats struct {
	// Suspects is the number of requests that were in flight during known crashes.
	// A request counts once for each of its crashes.
	Suspects int
	// Cleared is the number of requests with a known completed run.
	Cleared int
	// Organisations is the number of organisations with a suspect.
	Organisations int
	// LostInstances is the number of instances lost together with their agents.
	LostInstances int
	// OldestCrash is the time of the oldest known crash, or the zero time if none
	// is known.
	OldestCrash time.Time
}

// Stats returns the current sizes of the registry.
func (reg *Registry) Stats() Stats {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	s := Stats{
		Suspects:      len(reg.orgOrder),
		Cleared:       len(reg.clearedAt),
		Organisations: len(reg.suspectsByOrg),
		LostInstances: len(reg.lostInstances),
	}
	for _, list := range reg.suspectsByOrg {
		for i := range list {
			at := list[i].crash.at
			if s.OldestCrash.IsZero() || at.Before(s.OldestCrash) {
				s.OldestCrash = at
			}
		}
	}
	return s
}
