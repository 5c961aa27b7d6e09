package backends

import "time"

const (
	// crashStatusLead is how long before its connections break the agent of a server may
	// find it down, and crashStatusLag how long after that a status may still stem from
	// before.
	crashStatusLead = 300 * time.Millisecond
	crashStatusLag  = 100 * time.Millisecond
)

// RecordRefusedConnection records that the address of a server refused a connection.
func (d *Directory) RecordRefusedConnection(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.refusedAt = now
	}
}

// CrashState is what is known of a server whose connections broke.
type CrashState uint8

// The states of a server whose connections broke.
const (
	// CrashUnknown means that nothing has been heard of the server since.
	CrashUnknown CrashState = iota
	// CrashConfirmed means that the server has stopped: its agent found it down or, if no
	// agent reports on it, its address refused a connection.
	CrashConfirmed
	// CrashRuledOut means that its agent has found the server up since.
	CrashRuledOut
)

// CrashStateOf returns what is known of a server whose connections broke at the given
// time.
func (d *Directory) CrashStateOf(s *Server, brokenAt time.Time) CrashState {
	d.mu.Lock()
	defer d.mu.Unlock()
	status, reported := d.statuses[s.Address]
	switch e := d.servers[s.ID]; {
	case reported && !status.Up && status.ReceivedAt.After(brokenAt.Add(-crashStatusLead)):
		return CrashConfirmed
	case reported && status.Up && status.ReceivedAt.After(brokenAt.Add(crashStatusLag)):
		return CrashRuledOut
	case !reported && e != nil && e.refusedAt.After(brokenAt):
		return CrashConfirmed
	}
	return CrashUnknown
}
