package mapswitch

// target holds the label and the step of the holds that a leader arms on all
// ranks.
type target struct {
	label Label
	step  uint64
	// join is the map and step with which blank ranks join.
	join Join
	// quiescent says that the poll met neither a hold nor a blank rank. The holds
	// of this attempt may then be released if it fails.
	quiescent bool
}

// decision says how an attempt continues after the poll.
type decision uint8

const (
	proceed     decision = iota + 1 // arm the ranks
	nothingToDo                     // end the attempt as unneeded
	noMapKnown                      // fail the attempt
)

// pollSummary summarizes the polled registers of all ranks. A rank that is not
// blank is called mapped.
type pollSummary struct {
	join          Join
	anyBlank      bool
	anyMapped     bool
	confirmedHold *Hold
	// earliestHold is the hold with the lowest step among the mapped ranks.
	earliestHold *Hold
}

func summarizePolls(polls []RankStatus) pollSummary {
	var v pollSummary
	for i := range polls {
		v.add(&polls[i])
	}
	return v
}

// add includes the register of one rank. The mapped rank with the highest step
// determines how blank ranks join.
func (v *pollSummary) add(s *RankStatus) {
	if s.Hold != nil && s.Hold.Confirmed {
		v.confirmedHold = s.Hold
	}
	if s.HasNoMap() {
		v.anyBlank = true
		return
	}
	if !v.anyMapped || s.Step > v.join.Step {
		v.join = Join{InUse: s.InUse, Step: s.Step}
	}
	v.anyMapped = true
	if s.Hold != nil && (v.earliestHold == nil || s.Hold.Step < v.earliestHold.Step) {
		v.earliestHold = s.Hold
	}
}

// plan decides from the polls of all ranks which holds to arm. If any hold is
// confirmed, its switch is completed, because a confirmed hold cannot be replaced.
// Otherwise the attempt may choose the map, but must not move a hold to a later
// step. An empty wantedMap keeps the map in use and only repairs the group.
func plan(polls []RankStatus, a Attempt, wantedMap MapID, leadSteps uint64) (target, decision) {
	v := summarizePolls(polls)
	if v.confirmedHold != nil {
		return completeConfirmed(v), proceed
	}
	t := target{join: v.join, quiescent: !v.anyBlank && v.earliestHold == nil}
	if wantedMap == "" {
		wantedMap = v.join.InUse.Map
	}
	switch {
	case wantedMap == "":
		return t, noMapKnown
	case t.quiescent && wantedMap == v.join.InUse.Map:
		return t, nothingToDo
	case v.earliestHold != nil:
		t.step = v.earliestHold.Step
	case v.anyBlank:
		t.step = v.join.Step
	default:
		t.step = v.join.Step + leadSteps
	}
	t.label = Label{Map: wantedMap, ChosenBy: a}
	return t, proceed
}

// completeConfirmed returns the target that completes the switch of the confirmed
// hold. If all ranks are blank, they join at the step of that hold.
func completeConfirmed(v pollSummary) target {
	t := target{label: v.confirmedHold.Label, step: v.confirmedHold.Step, join: v.join}
	if !v.anyMapped {
		t.join.Step = t.step
	}
	return t
}
