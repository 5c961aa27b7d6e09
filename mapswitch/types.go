package mapswitch

import "strconv"

// Rank is the index of a rank in its group, from 0.
type Rank int

// MapID identifies the content of an expert map. The empty MapID means no map.
type MapID string

// Attempt identifies one attempt of a leader to switch a group. Each Attempt is
// unique. The zero Attempt means none.
type Attempt struct {
	// ProcessNonce is drawn at random when the leader's process starts.
	ProcessNonce uint64
	// Seq is increased by one for each attempt of the process.
	Seq uint64
}

// Label identifies the use of a map by the attempt that chose it. Two attempts
// never choose the same label, even for the same map. An attempt that completes
// the switch of an earlier one keeps the label of the earlier one.
type Label struct {
	Map MapID
	// ChosenBy is the attempt that chose the label.
	ChosenBy Attempt
}

// IsZero says whether the label is zero, which means no map.
func (l Label) IsZero() bool { return l == Label{} }

// String formats the label for logs.
func (l Label) String() string {
	if l.IsZero() {
		return "none"
	}
	return string(l.Map) + "@" + strconv.FormatUint(l.ChosenBy.ProcessNonce, 16) + "." + strconv.FormatUint(l.ChosenBy.Seq, 10)
}

// Hold stops a rank before Step until it is confirmed. Once it is confirmed, the
// rank uses Label from Step on.
type Hold struct {
	Label     Label
	Step      uint64
	Confirmed bool
}

// RankStatus is the content of the register of a rank.
type RankStatus struct {
	// Process identifies the engine process. It changes when the rank is replaced.
	Process uint64
	// Step is the number of the step that the rank runs next.
	Step uint64
	// InUse is the label of the map that the step before Step used. A rank without
	// a map is blank and stops its group until an Arm order lets it join.
	InUse Label
	// Attempt is the last attempt that armed the rank. It is kept after the hold
	// has ended.
	Attempt Attempt
	// Hold is the current hold, or nil.
	Hold *Hold
}

// HasNoMap says whether the rank is blank, that is, has no map yet.
func (s RankStatus) HasNoMap() bool { return s.InUse.IsZero() }

// Held says whether the rank must not run its next step, because of an unconfirmed
// hold or because it is blank.
func (s RankStatus) Held() bool {
	if s.Hold != nil && s.Hold.Step <= s.Step {
		return !s.Hold.Confirmed
	}
	return s.HasNoMap()
}

// Condition is the state of the register for which an ArmOrder was made.
type Condition struct {
	Process uint64
	InUse   Label
	Attempt Attempt
}

// Join is the state with which a blank rank joins its group: the label in use and
// the next step.
type Join struct {
	InUse Label
	Step  uint64
}

// ArmOrder puts a hold before Step on a rank if its register still meets
// Condition.
type ArmOrder struct {
	Condition Condition
	Attempt   Attempt
	Label     Label
	Step      uint64
	// Join is set only for a rank that was blank in the poll.
	Join *Join
}

// Kind is the kind of a Request.
type Kind uint8

// The kinds of requests.
const (
	// Poll reads the register.
	Poll Kind = iota + 1
	// PollAgain reads the register again if the first poll met a blank rank.
	PollAgain
	// Arm puts a hold on the rank.
	Arm
	// Confirm confirms the hold of Request.Attempt, but no other.
	Confirm
	// Release removes the hold of Request.Attempt, unless it is confirmed.
	Release
)

// Request is a request of a leader to the agent of one rank. It is idempotent. The
// leader repeats it until it has a reply or the attempt ends.
type Request struct {
	Group   string
	Rank    Rank
	Kind    Kind
	Attempt Attempt
	// Arm is set only if Kind is Arm.
	Arm *ArmOrder
}

// Reply is the reply to a Request. Status is the register of the rank after the
// request was executed.
type Reply struct {
	Group   string
	Rank    Rank
	Kind    Kind
	Attempt Attempt
	Status  RankStatus
}
