package mapswitch

import "fmt"

// State is the state of a rank in one word, for status pages and logs.
type State string

// The states of a rank.
const (
	// Running means that the rank has a map and no hold.
	Running State = "running"
	// Armed means that the rank will stop before a later step unless its hold is
	// confirmed by then.
	Armed State = "armed"
	// Confirmed means that the rank will use the label of its hold from the step
	// of the hold on.
	Confirmed State = "confirmed"
	// Waiting means that the rank has reached the step of an unconfirmed hold and
	// stops its group.
	Waiting State = "waiting"
	// WithoutMap means that the rank is blank and stops its group until it joins.
	WithoutMap State = "without_map"
)

// State returns the state of the rank.
func (s RankStatus) State() State {
	switch {
	case s.Hold == nil && s.HasNoMap():
		return WithoutMap
	case s.Hold == nil:
		return Running
	case s.Hold.Confirmed:
		return Confirmed
	case s.Held():
		return Waiting
	default:
		return Armed
	}
}

// String returns one line of key=value pairs.
func (s RankStatus) String() string {
	line := fmt.Sprintf("state=%s step=%d map=%s", s.State(), s.Step, s.InUse)
	if s.Hold != nil {
		line += fmt.Sprintf(" next_map=%s switch_step=%d", s.Hold.Label, s.Hold.Step)
	}
	return line
}
