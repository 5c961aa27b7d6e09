// Package rankctl defines the HTTP/JSON control interface that a model engine
// serves for each of its ranks, and provides a client for it. The interface reads
// and changes the register of the rank, which holds the label of the expert map in
// use and the hold, if any, that stops the rank before a step until it is
// confirmed. Package mapswitch describes these.
//
//	GET  /status             returns a Status
//	POST /arm                takes an ArmOrder, with the semantics of mapswitch.Register.Arm;
//	                         409 if the rank has not loaded a map that the order names
//	POST /confirm, /release  takes an Attempt
//	GET  /windows?after=N    returns the []Window with numbers greater than N
//	PUT  /maps/{id}          takes an encoded expert map and returns once it is loaded
//	GET  /maps/{id}          returns the encoded map, or 404
package rankctl

import "bluebellwind.example/mapswitch"

// Attempt is the JSON form of mapswitch.Attempt. 64-bit numbers are
// encoded as strings.
type Attempt struct {
	ProcessNonce uint64 `json:"life,string"`
	Seq          uint64 `json:"count,string"`
}

// Label is the JSON form of mapswitch.Label.
type Label struct {
	Map      string  `json:"map"`
	ChosenBy Attempt `json:"born"`
}

// Hold is the JSON form of mapswitch.Hold.
type Hold struct {
	Label     Label  `json:"label"`
	Step      uint64 `json:"step,string"`
	Confirmed bool   `json:"confirmed"`
}

// Status is the JSON form of mapswitch.RankStatus.
type Status struct {
	Process uint64  `json:"process,string"`
	Step    uint64  `json:"step,string"`
	InUse   Label   `json:"in_use"`
	Attempt Attempt `json:"attempt"`
	Hold    *Hold   `json:"hold,omitempty"`
}

// Join is the JSON form of mapswitch.Join.
type Join struct {
	InUse Label  `json:"in_use"`
	Step  uint64 `json:"step,string"`
}

// ArmOrder is the JSON form of mapswitch.ArmOrder. The fields IfProcess, IfInUse
// and IfAttempt are its condition.
type ArmOrder struct {
	IfProcess uint64  `json:"if_process,string"`
	IfInUse   Label   `json:"if_in_use"`
	IfAttempt Attempt `json:"if_attempt"`
	Attempt   Attempt `json:"attempt"`
	Label     Label   `json:"label"`
	Step      uint64  `json:"step,string"`
	Join      *Join   `json:"join,omitempty"`
}

// Window holds what a rank measured in one time window. StartMs and EndMs are Unix
// times in milliseconds of the engine's clock.
type Window struct {
	// Number counts the windows of one engine process, from 1.
	Number  uint64 `json:"number,string"`
	StartMs int64  `json:"start_ms"`
	EndMs   int64  `json:"end_ms"`
	// Load is the number of tokens that the rank's experts computed. Seconds is
	// the time this took, excluding time spent waiting for other ranks.
	Load    float64 `json:"load"`
	Seconds float64 `json:"seconds"`
	// Tokens holds token counts, indexed by layer and then by expert.
	Tokens [][]uint32 `json:"tokens"`
}

func fromLabel(l mapswitch.Label) Label { return Label{string(l.Map), Attempt(l.ChosenBy)} }

func (l Label) native() mapswitch.Label {
	return mapswitch.Label{Map: mapswitch.MapID(l.Map), ChosenBy: mapswitch.Attempt(l.ChosenBy)}
}

// FromStatus returns the JSON form of s.
func FromStatus(s mapswitch.RankStatus) Status {
	out := Status{Process: s.Process, Step: s.Step, InUse: fromLabel(s.InUse), Attempt: Attempt(s.Attempt)}
	if s.Hold != nil {
		out.Hold = &Hold{fromLabel(s.Hold.Label), s.Hold.Step, s.Hold.Confirmed}
	}
	return out
}

// Native converts s to a mapswitch.RankStatus.
func (s Status) Native() mapswitch.RankStatus {
	out := mapswitch.RankStatus{Process: s.Process, Step: s.Step, InUse: s.InUse.native(), Attempt: mapswitch.Attempt(s.Attempt)}
	if s.Hold != nil {
		out.Hold = &mapswitch.Hold{Label: s.Hold.Label.native(), Step: s.Hold.Step, Confirmed: s.Hold.Confirmed}
	}
	return out
}

// FromArmOrder returns the JSON form of o.
func FromArmOrder(o mapswitch.ArmOrder) ArmOrder {
	out := ArmOrder{
		IfProcess: o.Condition.Process, IfInUse: fromLabel(o.Condition.InUse), IfAttempt: Attempt(o.Condition.Attempt),
		Attempt: Attempt(o.Attempt), Label: fromLabel(o.Label), Step: o.Step,
	}
	if o.Join != nil {
		out.Join = &Join{fromLabel(o.Join.InUse), o.Join.Step}
	}
	return out
}

// Native converts o to a mapswitch.ArmOrder.
func (o ArmOrder) Native() mapswitch.ArmOrder {
	out := mapswitch.ArmOrder{
		Condition: mapswitch.Condition{Process: o.IfProcess, InUse: o.IfInUse.native(), Attempt: mapswitch.Attempt(o.IfAttempt)},
		Attempt:   mapswitch.Attempt(o.Attempt), Label: o.Label.native(), Step: o.Step,
	}
	if o.Join != nil {
		out.Join = &mapswitch.Join{InUse: o.Join.InUse.native(), Step: o.Join.Step}
	}
	return out
}
