package groupmap

import "time"

// stuck reports whether the group has been blocked for RepairDelay. It is
// blocked if arming more ranks cannot complete the switch: a version is armed,
// but some rank is neither armed with it for the same pass nor ready to be armed
// with it; or the group is held while no rank is armed, the ranks have no
// prepared version in common and there is no target.
func (s *Switch) stuck(now time.Time) bool {
	_, version, step := s.heldAndArmed()
	blocked := false
	for _, r := range s.rankStates {
		canSwitch := r.ArmedVersion == version && r.ArmedStep == step || r.ArmedVersion == 0 && r.PreparedVersion == version
		if version != 0 && !canSwitch {
			blocked = true
		}
	}
	if version == 0 && s.commonPrepared() == 0 && s.target == nil {
		blocked = true
	}
	if !blocked {
		s.stuckSince = time.Time{}
		return false
	}
	if s.stuckSince.IsZero() {
		s.stuckSince = now
	}
	return now.Sub(s.stuckSince) >= s.timing.RepairDelay
}

// repair disarms the ranks and has all of them prepare the map in use under a
// new version. A rank can be armed only with the version that it has prepared,
// so delayed Arm orders of earlier attempts no longer have an effect. The group
// stays held meanwhile, and completeSwitch does the rest.
func (s *Switch) repair(now time.Time, minVersion uint64) []Order {
	if s.currentMap == nil {
		return nil
	}
	if !s.repairing {
		s.repairing = true
		restored := s.currentMap.Clone()
		restored.Version = s.NextVersion(minVersion)
		s.setTarget(restored, now)
	}
	if s.commonPrepared() == s.target.Version {
		s.repairing = false
		s.stuckSince = time.Time{}
		return nil
	}
	var out []Order
	for i, r := range s.rankStates {
		if r.ArmedVersion != 0 && r.ArmedVersion != s.target.Version {
			out = s.appendOrder(now, out, Order{Rank: i, Kind: Disarm, Version: r.ArmedVersion})
		}
	}
	return append(out, s.prepare(now)...)
}
