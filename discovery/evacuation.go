package discovery

import (
	"maps"
	"slices"
	"time"

	"bluebellwind.example/discovery/discoverypb"
)

// maxZones bounds the number of evacuated zones that are kept, so that keys of other
// writers cannot use up memory. Zones of servers are always kept.
const maxZones = 256

// evacuations are the evacuated zones. The value of a zone is set if a restore of the
// source has lost its evacuation, which ends unless it is published again. The zero value
// has no zones. It is not safe for concurrent use.
type evacuations struct{ zones map[string]bool }

// clone returns a copy that can be changed.
func (e evacuations) clone() evacuations {
	zones := maps.Clone(e.zones)
	if zones == nil {
		zones = make(map[string]bool)
	}
	return evacuations{zones}
}

// sorted returns the zones in order.
func (e evacuations) sorted() []string { return slices.Sorted(maps.Keys(e.zones)) }

// replace sets the published evacuations. complete says that the source has had time to
// publish again what a restore has lost: otherwise, zones that are missing stay. Those of
// unreadable stay as they are.
func (e evacuations) replace(published, unreadable []string, complete bool) {
	for zone := range e.zones {
		switch {
		case slices.Contains(unreadable, zone):
		case complete:
			delete(e.zones, zone)
		default:
			e.zones[zone] = true
		}
	}
	for _, zone := range published {
		e.zones[zone] = false
	}
}

// apply applies published changes in their order. The end of an evacuation takes effect at
// once, also after a restore. complete is as for replace: it ends the evacuations that
// were not published again.
func (e evacuations) apply(changes []ZoneChange, complete bool) {
	for _, c := range changes {
		if c.Evacuated {
			e.zones[c.Zone] = false
		} else {
			delete(e.zones, c.Zone)
		}
	}
	if complete {
		e.dropLost()
	}
}

// dropLost removes the zones whose evacuation a restore has lost.
func (e evacuations) dropLost() {
	maps.DeleteFunc(e.zones, func(_ string, lost bool) bool { return lost })
}

// merge sets the evacuations of a peer. complete is as for replace.
func (e evacuations) merge(told []*discoverypb.EvacuatedZone, complete bool) {
	var published []string
	for _, z := range told {
		if !z.Lost {
			published = append(published, z.Zone)
		}
	}
	e.replace(published, nil, complete)
	for _, z := range told {
		if z.Lost {
			e.zones[z.Zone] = true
		}
	}
}

// bound removes zones that no server is in until no more than maxZones are left.
func (e evacuations) bound(known func(string) bool) {
	for _, zone := range e.sorted() {
		if len(e.zones) <= maxZones {
			return
		}
		if !known(zone) {
			delete(e.zones, zone)
		}
	}
}

// encode returns the zones as peers get them.
func (e evacuations) encode() []*discoverypb.EvacuatedZone {
	out := make([]*discoverypb.EvacuatedZone, 0, len(e.zones))
	for _, zone := range e.sorted() {
		out = append(out, &discoverypb.EvacuatedZone{Zone: zone, Lost: e.zones[zone]})
	}
	return out
}

// changeEvacuations changes the evacuated zones to those at a position and puts the change
// into effect. complete says that the zones are complete after it. The caller holds
// applyMu, and calls logZones once the servers are changed too.
func (f *Follower) changeEvacuations(at position, complete bool, change func(evacuations)) {
	before := f.evacuations.sorted()
	f.evacuations = f.evacuations.clone()
	change(f.evacuations)
	f.zonesAt = at
	after := f.evacuations.sorted()
	if !f.zonesKnown && !complete || f.zonesKnown && slices.Equal(before, after) {
		return
	}
	f.zonesKnown = true
	f.directory.SetEvacuated(after)
}

// logZones bounds the evacuated zones and logs those that began or ended since the last
// call. One that neither a server nor the settings name is logged once. The caller holds
// applyMu.
func (f *Follower) logZones() {
	if len(f.evacuations.zones) > maxZones {
		f.changeEvacuations(f.zonesAt, false, func(e evacuations) { e.bound(f.directory.KnowsZone) })
	}
	for _, zone := range f.evacuations.sorted() {
		switch {
		case f.loggedZones[zone]:
		case f.directory.KnowsZone(zone):
			f.loggedZones[zone] = true
			f.logEvacuation(zone, "began")
		case f.unknownZones.First(zone):
			f.log.Warn().Str("event", "evacuation_of_unknown_zone").Str("zone", zone).Msg("")
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(f.loggedZones)) {
		if _, evacuated := f.evacuations.zones[zone]; !evacuated {
			delete(f.loggedZones, zone)
			f.logEvacuation(zone, "ended")
		}
	}
}

func (f *Follower) logEvacuation(zone, change string) {
	f.log.Info().Str("event", "evacuation").Str("zone", zone).Str("change", change).
		Int64("era", f.zonesAt.era).Int64("revision", f.zonesAt.revision).Msg("")
}

// precedesZones reports whether a reply of a peer of the same era is of an older revision
// than the evacuated zones. Such a reply must not move the position back, or peers would
// take the zones for older than they are. The caller holds applyMu.
func (f *Follower) precedesZones(reply *discoverypb.Reply) bool {
	return reply.Era == f.zonesAt.era && reply.Revision < f.zonesAt.revision
}

// applyPeerZones applies the evacuated zones of a peer of the same era. provenAt is the date
// of the peer's proof: the peer knows all zones that were published by then. The caller
// holds applyMu.
func (f *Follower) applyPeerZones(reply *discoverypb.Reply, provenAt time.Duration) {
	at := position{era: reply.Era, revision: reply.Revision}
	f.changeEvacuations(at, true, func(e evacuations) { e.merge(reply.Evacuated, f.eras.settled(provenAt)) })
}
