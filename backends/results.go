package backends

import "time"

// MarkGroupBroken records that a request found the group of a server broken.
// The group is excluded until the given time, or until one of its ranks reports
// a newer epoch. MarkGroupBroken returns false if the server is in no known group.
func (d *Directory) MarkGroupBroken(id string, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil || e.Group.Name == "" {
		return false
	}
	g := d.ensureGroup(e.Group.Name)
	g.brokenUntil = until
	g.brokenEpoch = max(e.Group.Epoch, d.statuses[e.Address].Group.Epoch)
	d.markOutdated(e.Service)
	return true
}

// RecordFailure records a failed request to a server. connectFailed says that no
// connection could be opened. The group of the server is not excluded for it,
// because the network path may be at fault.
func (d *Directory) RecordFailure(id string, connectFailed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.recordFailure(now, connectFailed)
		d.markOutdated(e.Service)
	}
}

// RecordServerError records a complete response that reports an error of the
// server itself.
func (d *Directory) RecordServerError(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.servers[id]; e != nil {
		e.health.recordServerError(now)
		d.markOutdated(e.Service)
	}
}

// RecordSuccess records a complete response of a server, and the load stated in it.
func (d *Directory) RecordSuccess(id string, load *Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	e.health.recordSuccess(now)
	if load != nil {
		e.load, e.loadAt = *load, now
		d.markOutdated(e.Service)
	}
}

// MarkLeaving records that a server has said itself that it leaves. It gets no new
// requests from then on, whatever the source publishes, until another incarnation of
// it is published. MarkLeaving reports whether that was not known before.
func (d *Directory) MarkLeaving(id string, now time.Time) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return false
	}
	d.markOutdated(e.Service)
	return d.withdrawals.markLeaving(&e.Server, now)
}

// MarkLeavingIncarnation is like MarkLeaving for what another gateway has heard of one
// start of a server. It does nothing if another start is published here.
func (d *Directory) MarkLeavingIncarnation(id string, started int64, now time.Time) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil || e.Started != started {
		return false
	}
	d.markOutdated(e.Service)
	return d.withdrawals.markLeaving(&e.Server, now)
}

// BackOff records that a server wants no requests from this process for the given
// time, at most maxBackoff.
func (d *Directory) BackOff(id string, duration time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.servers[id]
	if e == nil {
		return
	}
	d.withdrawals.backOff(&e.Server, duration, now)
	d.markOutdated(e.Service)
}

// Withdrawn reports whether a chosen server wants no requests, for good or for a
// time. It may have said so since it was chosen.
func (d *Directory) Withdrawn(s *Server, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withdrawals.isLeaving(s) || d.withdrawals.backoff(s, now) > 0
}
