package rankpb

import "bluebellwind.example/mapswitch"

func fromAttempt(a mapswitch.Attempt) *Attempt { return &Attempt{Life: a.ProcessNonce, Count: a.Seq} }

// Native returns a as mapswitch has it; nil gives the zero Attempt.
func (a *Attempt) Native() mapswitch.Attempt {
	return mapswitch.Attempt{ProcessNonce: a.GetLife(), Seq: a.GetCount()}
}

func fromLabel(l mapswitch.Label) *Label {
	return &Label{Map: string(l.Map), Born: fromAttempt(l.ChosenBy)}
}

// Native returns l as mapswitch has it; nil gives the zero Label.
func (l *Label) Native() mapswitch.Label {
	return mapswitch.Label{Map: mapswitch.MapID(l.GetMap()), ChosenBy: l.GetBorn().Native()}
}

// FromStatus returns the message for s.
func FromStatus(s mapswitch.RankStatus) *Status {
	out := &Status{Process: s.Process, Step: s.Step, InUse: fromLabel(s.InUse), Attempt: fromAttempt(s.Attempt)}
	if s.Hold != nil {
		out.Hold = &Hold{Label: fromLabel(s.Hold.Label), Step: s.Hold.Step, Confirmed: s.Hold.Confirmed}
	}
	return out
}

// Native returns s as mapswitch has it.
func (s *Status) Native() mapswitch.RankStatus {
	out := mapswitch.RankStatus{
		Process: s.GetProcess(),
		Step:    s.GetStep(),
		InUse:   s.GetInUse().Native(),
		Attempt: s.GetAttempt().Native(),
	}
	if h := s.GetHold(); h != nil {
		out.Hold = &mapswitch.Hold{Label: h.GetLabel().Native(), Step: h.GetStep(), Confirmed: h.GetConfirmed()}
	}
	return out
}

// FromRequest returns the message for r; the group is named once a call.
func FromRequest(r mapswitch.Request) *Request {
	out := &Request{Rank: uint32(r.Rank), Kind: uint32(r.Kind), Attempt: fromAttempt(r.Attempt)}
	if o := r.Arm; o != nil {
		out.Arm = &Arm{
			IfProcess: o.Condition.Process,
			IfInUse:   fromLabel(o.Condition.InUse),
			IfAttempt: fromAttempt(o.Condition.Attempt),
			Attempt:   fromAttempt(o.Attempt),
			Label:     fromLabel(o.Label),
			Step:      o.Step,
		}
		if o.Join != nil {
			out.Arm.Join = &Join{InUse: fromLabel(o.Join.InUse), Step: o.Join.Step}
		}
	}
	return out
}

// Native returns r as mapswitch has it.
func (r *Request) Native(group string) mapswitch.Request {
	out := mapswitch.Request{
		Group:   group,
		Rank:    mapswitch.Rank(r.GetRank()),
		Kind:    mapswitch.Kind(r.GetKind()),
		Attempt: r.GetAttempt().Native(),
	}
	if o := r.GetArm(); o != nil {
		out.Arm = &mapswitch.ArmOrder{
			Condition: mapswitch.Condition{
				Process: o.GetIfProcess(),
				InUse:   o.GetIfInUse().Native(),
				Attempt: o.GetIfAttempt().Native(),
			},
			Attempt: o.GetAttempt().Native(),
			Label:   o.GetLabel().Native(),
			Step:    o.GetStep(),
		}
		if j := o.GetJoin(); j != nil {
			out.Arm.Join = &mapswitch.Join{InUse: j.GetInUse().Native(), Step: j.GetStep()}
		}
	}
	return out
}

// FromReply returns the message for r.
func FromReply(r mapswitch.Reply) *Reply {
	return &Reply{
		Rank: uint32(r.Rank), Kind: uint32(r.Kind),
		Attempt: fromAttempt(r.Attempt), Status: FromStatus(r.Status),
	}
}

// Native returns r as mapswitch has it.
func (r *Reply) Native(group string) mapswitch.Reply {
	return mapswitch.Reply{
		Group:   group,
		Rank:    mapswitch.Rank(r.GetRank()),
		Kind:    mapswitch.Kind(r.GetKind()),
		Attempt: r.GetAttempt().Native(),
		Status:  r.GetStatus().Native(),
	}
}
