package mapswitch

// Register is the reference implementation of the state that a model engine keeps
// for each rank and of its reaction to orders. Engines that implement this
// interface must behave in the same way; simulated engines use Register itself.
// It is not safe for concurrent use: an engine must execute each method
// atomically.
type Register struct {
	status RankStatus
	// unconditional makes Arm skip the check of ArmOrder.Condition. Tests set it to
	// show that the check is needed.
	unconditional bool
}

// NewRegister returns the register of a blank rank in a new engine process.
func NewRegister(process uint64) *Register {
	return &Register{status: RankStatus{Process: process}}
}

// Status returns a copy of the register.
func (r *Register) Status() RankStatus {
	s := r.status
	if s.Hold != nil {
		h := *s.Hold
		s.Hold = &h
	}
	return s
}

// Arm puts a hold on the rank, or does nothing if the register does not accept the
// order. A blank rank first joins with the map and step of the order.
func (r *Register) Arm(o ArmOrder) {
	s := &r.status
	if !r.accepts(o) {
		return
	}
	if s.HasNoMap() {
		if o.Join == nil {
			return
		}
		s.InUse = o.Join.InUse
		s.Step = o.Join.Step
	}
	s.Attempt = o.Attempt
	s.Hold = &Hold{Label: o.Label, Step: o.Step}
}

// accepts says whether the order may be applied in the current state. The process
// in ArmOrder.Condition is checked by Agent.
func (r *Register) accepts(o ArmOrder) bool {
	s := &r.status
	if s.Hold != nil && s.Hold.Confirmed {
		return false
	}
	if s.HasNoMap() {
		return r.unconditional || o.Condition.InUse == s.InUse && o.Condition.Attempt == s.Attempt
	}
	if o.Step < s.Step {
		return false
	}
	if r.unconditional {
		return true
	}
	if o.Condition.InUse != s.InUse || o.Condition.Attempt != s.Attempt {
		return false
	}
	// A hold must not move to a later step, because another rank may have a
	// confirmed hold for the earlier one.
	return s.Hold == nil || o.Step <= s.Hold.Step
}

// Confirm confirms the hold of attempt a. It does nothing to any other hold.
func (r *Register) Confirm(a Attempt) {
	if r.status.Hold != nil && r.status.Attempt == a {
		r.status.Hold.Confirmed = true
	}
}

// Release removes the hold of attempt a unless it is confirmed. The register
// keeps the attempt, so that orders made for an earlier state are still rejected.
func (r *Register) Release(a Attempt) {
	s := &r.status
	if s.Hold != nil && s.Attempt == a && !s.Hold.Confirmed {
		s.Hold = nil
	}
}

// Advance runs the next step and returns the label that the step uses. It must be
// called only while no rank of the group is held.
func (r *Register) Advance() Label {
	s := &r.status
	if s.Hold != nil && s.Hold.Confirmed && s.Hold.Step <= s.Step {
		s.InUse = s.Hold.Label
		s.Hold = nil
	}
	s.Step++
	return s.InUse
}
