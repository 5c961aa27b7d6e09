package backends

import "time"

const (
	// crashStatusLead is how long before its connections break the agent of a server may
	// find it down, and crashStatusLag how long after that a status may still stem from
	// before.
	crashStatusLead = 300 * time.Millisecond
	crashStatusLag  = 100 * time.Millisecond
)

// CrashState is what is known of a server whose connections broke.
type CrashState uint8

// The states of a server whose connections broke.
const (
	// CrashUnknown means that nothing has been heard of the server since.
	CrashUnknown CrashState = iota
	// CrashConfirmed means that the server has stopped, and CrashRuledOut that it has
	// been found up since.
	CrashConfirmed
	CrashRuledOut
	// CrashUnreported means that no agent reports on the server.
	CrashUnreported
)

// CrashStateOf returns what is known of a server whose connections broke at the given
// time, as far as its agent tells.
func (d *Directory) CrashStateOf(s *Server, brokenAt time.Time) CrashState {
	d.mu.Lock()
	defer d.mu.Unlock()
	status, reported := d.statuses[s.Address]
	switch {
	case !reported:
		return CrashUnreported
	case !status.Up && status.ReceivedAt.After(brokenAt.Add(-crashStatusLead)):
		return CrashConfirmed
	case status.Up && status.ReceivedAt.After(brokenAt.Add(crashStatusLag)):
		return CrashRuledOut
	}
	return CrashUnknown
}
