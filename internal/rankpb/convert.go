package rankpb

import "bluebellwind.example/mapswitch"

func fromAttempt(a mapswitch.Attempt) *Attempt { return &Attempt{Life: a.ProcessNonce, Count: a.Seq} }

// Native converts a to a mapswitch.Attempt. A nil message yields the zero value.
func (a *Attempt) Native() mapswitch.Attempt {
	return mapswitch.Attempt{ProcessNonce: a.GetLife(), Seq: a.GetCount()}
}

func fromLabel(l mapswitch.Label) *Label {
	return &Label{Map: string(l.Map), Born: fromAttempt(l.ChosenBy)}
}

// Native converts l to a mapswitch.Label. A nil message yields the zero value.
func (l *Label) Native() mapswitch.Label {
	return mapswitch.Label{Map: mapswitch.MapID(l.GetMap()), ChosenBy: l.GetBorn().Native()}
}

// FromStatus converts s to its protobuf message.
func FromStatus(s mapswitch.RankStatus) *Status {
	out := &Status{Process: s.Process, Step: s.Step, InUse: fromLabel(s.InUse), Attempt: fromAttempt(s.Attempt)}
	if s.Hold != nil {
		out.Hold = &Hold{Label: fromLabel(s.Hold.Label), Step: s.Hold.Step, Confirmed: s.Hold.Confirmed}
	}
	return out
}

// Native converts s to a mapswitch.RankStatus.
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

// FromRequest converts r to its protobuf message. The message omits the group,
// which OrderRequest carries once for all its requests.
func FromRequest(r mapswitch.Request) *Request {
	out := &Request{Rank: uint32(r.Rank), Kind: uint32(r.Kind), Attempt: fromAttempt(r.Attempt)}
	if arm := r.Arm; arm != nil {
		out.Arm = &Arm{
			IfProcess: arm.Condition.Process,
			IfInUse:   fromLabel(arm.Condition.InUse),
			IfAttempt: fromAttempt(arm.Condition.Attempt),
			Attempt:   fromAttempt(arm.Attempt),
			Label:     fromLabel(arm.Label),
			Step:      arm.Step,
		}
		if arm.Join != nil {
			out.Arm.Join = &Join{InUse: fromLabel(arm.Join.InUse), Step: arm.Join.Step}
		}
	}
	return out
}

// Native converts r to a mapswitch.Request for the given group.
func (r *Request) Native(group string) mapswitch.Request {
	out := mapswitch.Request{
		Group:   group,
		Rank:    mapswitch.Rank(r.GetRank()),
		Kind:    mapswitch.Kind(r.GetKind()),
		Attempt: r.GetAttempt().Native(),
	}
	if arm := r.GetArm(); arm != nil {
		out.Arm = &mapswitch.ArmOrder{
			Condition: mapswitch.Condition{
				Process: arm.GetIfProcess(),
				InUse:   arm.GetIfInUse().Native(),
				Attempt: arm.GetIfAttempt().Native(),
			},
			Attempt: arm.GetAttempt().Native(),
			Label:   arm.GetLabel().Native(),
			Step:    arm.GetStep(),
		}
		if j := arm.GetJoin(); j != nil {
			out.Arm.Join = &mapswitch.Join{InUse: j.GetInUse().Native(), Step: j.GetStep()}
		}
	}
	return out
}

// FromReply converts r to its protobuf message.
func FromReply(r mapswitch.Reply) *Reply {
	return &Reply{
		Rank: uint32(r.Rank), Kind: uint32(r.Kind),
		Attempt: fromAttempt(r.Attempt), Status: FromStatus(r.Status),
	}
}

// Native converts r to a mapswitch.Reply for the given group.
func (r *Reply) Native(group string) mapswitch.Reply {
	return mapswitch.Reply{
		Group:   group,
		Rank:    mapswitch.Rank(r.GetRank()),
		Kind:    mapswitch.Kind(r.GetKind()),
		Attempt: r.GetAttempt().Native(),
		Status:  r.GetStatus().Native(),
	}
}
