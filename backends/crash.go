package backends

import "time"

// crashStatusLead is how long before its connections break the agent of a server may
// find it down.
const crashStatusLead = 300 * time.Millisecond

// RecordRefusedConnection records that the address of a server refused a connection.
func (d *Directory) RecordRefusedConnection(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.refusedAt = now
	}
}

// Crashed reports whether a server whose connections broke at the given time is known to
// have stopped since then: its agent found it down or, if no agent reports on it, its
// address refused a connection.
func (d *Directory) Crashed(s *Server, brokenAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if status, reported := d.statuses[s.Address]; reported {
		return !status.Up && status.ReceivedAt.After(brokenAt.Add(-crashStatusLead))
	}
	e := d.servers[s.ID]
	return e != nil && e.refusedAt.After(brokenAt)
}
