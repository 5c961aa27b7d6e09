package backends

import (
	"hash/fnv"
	"time"
)

// heldServer is a published server that is not used before until.
type heldServer struct {
	Server
	until time.Time
}

// Put adds or replaces a published server, and reports whether it was unknown or differs in
// more than the time that it stays cold.
func (d *Directory) Put(s Server) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = true
	if e := d.servers[s.ID]; e != nil {
		known := e.Server
		known.ColdRemaining = s.ColdRemaining
		changed = known != s
	}
	d.put(s, time.Now())
	return changed
}

// put implements Put. The caller holds the lock.
func (d *Directory) put(s Server, now time.Time) {
	e := d.servers[s.ID]
	if e == nil {
		e = &serverState{}
		d.servers[s.ID] = e
		d.memberDigest ^= hashID(s.ID)
		d.cold.published(&s, nil, now)
	} else {
		d.cold.published(&s, &e.Server, now)
	}
	e.Server = s
	e.expiresAt = time.Time{}
	delete(d.heldBack, s.ID)
	d.withdrawals.markPublished(&s, now)
	d.markOutdated(s.Service)
}

// drop removes a server for good. The caller holds the lock.
func (d *Directory) drop(e *serverState, now time.Time) {
	delete(d.servers, e.ID)
	d.memberDigest ^= hashID(e.ID)
	d.withdrawals.markRemoved(&e.Server, now)
	d.cold.removed(e.ID)
	d.markOutdated(e.Service)
}

// MemberDigest returns a digest of the IDs of all servers, including those within
// their grace period. Directories with the same servers have the same digest.
func (d *Directory) MemberDigest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.memberDigest
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails.
	return h.Sum64()
}

// Remove removes a server, and reports whether it was known. With a grace period, a server
// that is not draining can still be chosen for that long, and stays if it is published again.
func (d *Directory) Remove(id string, grace time.Duration, now time.Time) (known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heldBack, id)
	e := d.servers[id]
	if e == nil {
		return false
	}
	if grace > 0 && !e.Draining {
		if e.expiresAt.IsZero() {
			e.expiresAt = now.Add(grace)
		}
		return true
	}
	d.drop(e, now)
	return true
}

// Replace sets the published servers. Servers that are missing from the list are
// removed as by Remove with the grace period. It returns the IDs of the missing
// servers.
func (d *Directory) Replace(published []Server, grace time.Duration, now time.Time) []string {
	present := make(map[string]bool, len(published))
	for _, s := range published {
		present[s.ID] = true
		d.Put(s)
	}
	var missing []string
	for _, id := range d.IDs() {
		if !present[id] {
			missing = append(missing, id)
			d.Remove(id, grace, now)
		}
	}
	return missing
}

// Restore is like Replace for the servers that a restored source publishes. Those
// that were removed before the restore are held back for restoredHoldTime: their
// entries come from an older copy, and a server that is alive publishes itself again
// sooner.
func (d *Directory) Restore(published []Server, grace time.Duration, now time.Time) []string {
	var current []Server
	for _, s := range published {
		if !d.holdBack(s, now) {
			current = append(current, s)
		}
	}
	return d.Replace(current, grace, now)
}

// holdBack holds a server back if it was removed before, and reports whether it is
// held back.
func (d *Directory) holdBack(s Server, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.withdrawals.wasRemoved(&s) {
		return false
	}
	if _, held := d.heldBack[s.ID]; !held {
		d.heldBack[s.ID] = heldServer{Server: s, until: now.Add(restoredHoldTime)}
	}
	return true
}

// Expire removes servers whose grace period has ended and statuses older than
// statusTTL, and adds the servers that are no longer held back. It returns the IDs of
// the removed servers.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []string
	for id, e := range d.servers {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			expired = append(expired, id)
			d.drop(e, now)
		}
	}
	for _, held := range d.heldBack {
		if now.After(held.until) {
			d.put(held.Server, now)
		}
	}
	d.withdrawals.expire(now, func(i incarnation) bool {
		e := d.servers[i.id]
		return e != nil && e.incarnation() == i
	})
	d.limits.Expire(now)
	d.cold.expire(now)
	d.demand.Expire(now)
	for address, s := range d.statuses {
		if now.Sub(s.ReceivedAt) > statusTTL {
			delete(d.statuses, address)
			d.changedAddresses[address] = struct{}{}
		}
	}
	d.markAddressesOutdated()
	return expired
}
