package groupmap

// Unfinished reports whether the group needs its agents for a switch: a rank is held, or
// is armed while another one is not yet armed alike, or the initiator has started a
// switch. A group that is armed throughout and not held needs nobody to switch.
func (s *Switch) Unfinished() bool {
	heldStep, version, step := s.heldAndArmed()
	if heldStep == 0 && version == 0 {
		return s.target != nil
	}
	if step == 0 {
		step = heldStep
	}
	if s.switchTookPlace(version, step) {
		return false
	}
	return heldStep != 0 || !s.allArmed(version, step)
}

// allArmed reports whether all ranks whose states are known are armed with version for
// step.
func (s *Switch) allArmed(version, step uint64) bool {
	for i, r := range s.rankStates {
		if !s.observed[i] {
			continue
		}
		if r.ArmedVersion != version || r.ArmedStep != step {
			return false
		}
	}
	return true
}

// Progress tells how far the ranks are with a switch.
type Progress struct {
	// Prepared and Armed are the numbers of ranks that have prepared the map or are armed
	// with it.
	Prepared, Armed int
	// Unprepared is the lowest rank that has neither prepared nor armed the map, or -1.
	Unprepared int
	// Held is set if a rank holds the group, Switched if a rank uses the map.
	Held, Switched bool
}

// Progress returns how far the ranks are with the switch to the map with the given version.
func (s *Switch) Progress(version uint64) Progress {
	p := Progress{Unprepared: -1, Held: s.Held(), Switched: s.switchTookPlace(version, 0)}
	for rank, r := range s.rankStates {
		armed := r.ArmedVersion == version
		switch {
		case armed:
			p.Armed++
			p.Prepared++
		case r.PreparedVersion == version:
			p.Prepared++
		case p.Unprepared < 0:
			p.Unprepared = rank
		}
	}
	return p
}

// Held reports whether a rank holds the group.
func (s *Switch) Held() bool {
	heldStep, _, _ := s.heldAndArmed()
	return heldStep != 0
}

// Abandon gives up a switch for which no hold was sent and no rank is held or armed.
func (s *Switch) Abandon() {
	heldStep, version, _ := s.heldAndArmed()
	if s.holdStep == 0 && heldStep == 0 && version == 0 {
		s.target = nil
	}
}

// BlockHold sets whether no hold may be sent. A switch then waits until it may, or is
// given up after PrepareTimeout.
func (s *Switch) BlockHold(blocked bool) { s.holdBlocked = blocked }

// AwaitsHold reports whether all ranks have prepared the map of the switch that this
// initiator has started, so that the group is to be held next.
func (s *Switch) AwaitsHold() bool {
	heldStep, version, _ := s.heldAndArmed()
	return s.initiator && s.target != nil && heldStep == 0 && version == 0 && s.complete() &&
		s.commonPrepared() == s.target.Version
}

// Confirm records that a rank has answered that it carried out o. It has no effect if
// this Switch has sent the rank another order since, or if the last known state of the
// rank shows that the order is over.
func (s *Switch) Confirm(o Order) {
	if o.Rank < 0 || o.Rank >= len(s.rankStates) || o.Epoch != s.epoch || !s.observed[o.Rank] {
		return
	}
	r, last := &s.rankStates[o.Rank], s.lastOrders[o.Rank]
	if last.kind != o.Kind || last.version != o.Version || last.step != o.Step {
		return
	}
	switch {
	case o.Kind == Arm && r.ArmedVersion == 0 && r.PreparedVersion == o.Version && r.Step < o.Step:
		r.ArmedVersion, r.ArmedStep = o.Version, o.Step
	case o.Kind == Disarm && r.ArmedVersion == o.Version:
		r.ArmedVersion, r.ArmedStep = 0, 0
	case o.Kind == Release && r.HeldStep == o.Step:
		r.HeldStep = 0
	}
}
