package discovery

import (
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// publishedConfig is the configuration that the source publishes at a position.
type publishedConfig struct {
	// version is 0 if none is published.
	version int64
	// invalid says that it cannot be decoded, so that its version is not known.
	invalid bool
}

// applySnapshot replaces the configuration and all servers by a complete state that
// was requested at the position base. It drops the state if the position has changed
// since. The error is errOlderEra.
func (f *Follower) applySnapshot(base position, snapshot *Snapshot, sentAt time.Duration) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.at != base {
		return nil
	}
	if f.observeEra(snapshot.Era, f.uptime()) == olderEra {
		return errOlderEra
	}
	f.applyPublished(snapshot.Config, snapshot.ConfigInvalid)
	if snapshot.Config == nil && !snapshot.ConfigInvalid {
		f.published = publishedConfig{}
	}
	f.at = position{era: snapshot.Era, revision: snapshot.Revision}
	// Evacuations come first: a new server may be in an evacuated zone.
	complete := f.eras.settled(sentAt)
	f.changeEvacuations(f.at, complete, func(e evacuations) {
		e.replace(snapshot.EvacuatedZones, snapshot.UnreadableEvacuations, complete)
	})
	f.replaceServers(snapshot.Servers, f.removalGrace(time.Now()), "missing")
	f.logZones()
	f.recordProofOfSource(sentAt)
	return nil
}

// applyChanges applies a change of the configuration and of single servers. It drops
// them if the position is no longer base, from which they were requested. Changes of
// a newer era belong to another history: the next call reads the complete state. It
// reports whether anything but the time that servers stay cold has changed. The error is
// errOlderEra.
func (f *Follower) applyChanges(base position, c *Changes, sentAt time.Duration) (changed bool, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.at != base {
		return false, nil
	}
	switch f.observeEra(c.Era, f.uptime()) {
	case olderEra:
		return false, errOlderEra
	case newerEra:
		return true, nil
	}
	f.applyPublished(c.Config, c.ConfigInvalid)
	f.at.revision = c.Revision
	complete := f.eras.settled(sentAt)
	f.changeEvacuations(f.at, complete, func(e evacuations) { e.apply(c.Evacuations, complete) })
	changed = f.updateServers(c) || c.Config != nil || c.ConfigInvalid || len(c.Evacuations) > 0
	f.logZones()
	f.recordProofOfSource(sentAt)
	return changed, nil
}

// observeEra records the era of a response, and that it was there already at seenAt,
// which is no earlier than the restore: a request may have been sent long before it.
// If the era is newer than the known one, the position starts anew in that era. The
// caller holds applyMu.
func (f *Follower) observeEra(era int64, seenAt time.Duration) eraOrder {
	before := f.eras
	order := f.eras.observe(era, seenAt)
	if order == newerEra {
		f.at = position{era: era}
		f.published = publishedConfig{}
	}
	if order == newerEra && before.known {
		f.log.Warn().Str("event", "source_restored").Int64("era", era).Int64("version", f.newestVersion).Msg("")
	}
	return order
}

// replaceServers replaces all servers by the published ones, and logs change for
// those that are missing. Soon after a restore of the source, servers that were
// removed before it are held back. The caller holds applyMu.
func (f *Follower) replaceServers(published []backends.Server, grace time.Duration, change string) {
	now := time.Now()
	var missing []string
	if f.eras.settled(f.uptime()) {
		missing = f.directory.Replace(published, grace, now)
	} else {
		missing = f.directory.Restore(published, grace, now)
	}
	for _, id := range missing {
		f.logServer(id, change)
	}
}

// updateServers applies changes of single servers, and reports whether there are any but
// of the time that servers stay cold. The caller holds applyMu.
func (f *Follower) updateServers(c *Changes) (changed bool) {
	for _, s := range c.Updated {
		changed = f.directory.Put(s) || changed
		if s.Draining {
			f.logServer(s.ID, "draining")
		}
	}
	now := time.Now()
	for _, id := range c.Removed {
		if f.directory.Remove(id, f.removalGrace(now), now) {
			changed = true
			f.logServer(id, "removed")
		}
	}
	return changed
}

func (f *Follower) logServer(id, change string) {
	f.log.Info().Str("event", "server").Str("server", id).Str("change", change).Msg("")
}

// applyPublished records what the source publishes as the configuration, and
// activates it. It does nothing if c is nil and invalid is not set. The caller holds
// applyMu.
func (f *Follower) applyPublished(c *ingress.Config, invalid bool) {
	switch {
	case invalid:
		f.published = publishedConfig{invalid: true}
	case c != nil:
		f.published = publishedConfig{version: c.Version}
		f.applyConfig(c)
	}
}

// applyConfig activates a configuration. An older version never replaces a newer
// one, and a configuration that cannot be served is rejected. The caller holds
// applyMu.
func (f *Follower) applyConfig(c *ingress.Config) {
	f.newestVersion = max(f.newestVersion, c.Version)
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.table.Load(); old != nil && old.Version() >= c.Version {
		return
	}
	table, err := ingress.NewTable(c)
	if err != nil {
		f.log.Error().Str("event", "config_refused").Int64("version", c.Version).Str("cause", err.Error()).Msg("")
		return
	}
	f.table.Store(table)
	f.log.Info().Str("event", "config_in_force").Int64("version", c.Version).Int64("era", f.eras.era).Int("routes", len(c.Routes)).Msg("")
	f.logUnknownRegions(c)
}

// logUnknownRegions logs once each region that a route or an organisation allows and that
// the settings give to no zone.
func (f *Follower) logUnknownRegions(c *ingress.Config) {
	check := func(kind, name string, regions []string) {
		for _, region := range regions {
			if !f.directory.KnowsRegion(region) && f.unknownRegions.First(region) {
				f.log.Warn().Str("event", "region_unknown").Str("region", region).Str(kind, name).Int64("version", c.Version).Msg("")
			}
		}
	}
	for i := range c.Routes {
		check("route", c.Routes[i].Name, c.Routes[i].AllowedRegions)
	}
	for i := range c.Organisations {
		check("organisation", c.Organisations[i].Name, c.Organisations[i].AllowedRegions)
	}
}

// removalGrace returns how long a server that is no longer published remains
// selectable. If the source has neither failed nor been restored recently it is
// zero, because the server was then withdrawn and did not merely expire during an
// outage. The caller holds applyMu.
func (f *Follower) removalGrace(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var grace time.Duration
	if !f.lastFailure.IsZero() {
		grace = republishGrace - now.Sub(f.lastFailure)
	}
	return max(grace, f.restoreGrace())
}

// restoreGrace is like removalGrace after a restore of the source. The caller holds
// applyMu.
func (f *Follower) restoreGrace() time.Duration {
	if f.eras.era == unrestoredEra {
		return 0
	}
	return max(0, restoreSettleTime-(f.uptime()-f.eras.seenAt))
}
