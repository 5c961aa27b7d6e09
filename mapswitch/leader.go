package mapswitch

import "time"

// LeaderConfig holds the settings of an attempt.
type LeaderConfig struct {
	// Group is the name of the group.
	Group string
	// Ranks is the number of ranks in the group.
	Ranks int
	// LeadSteps is the number of steps between the poll and the switch. If the holds
	// are not confirmed in time, the group stops until they are.
	LeadSteps uint64
	// ResendInterval is the interval at which unanswered requests are sent again.
	ResendInterval time.Duration
	// Timeout is the time after which an attempt fails.
	Timeout time.Duration
}

// Outcome is the state of an attempt.
type Outcome uint8

// The states of an attempt.
const (
	// Pending means that the attempt awaits replies.
	Pending Outcome = iota
	// Switched means that all ranks have confirmed holds for the same label, or
	// use it already.
	Switched
	// Unneeded means that the group uses the wanted map and that no rank is blank
	// or has a hold.
	Unneeded
	// Failed means that a rank did not answer in time or changed during the
	// attempt, or that no map is known.
	Failed
)

// Leader runs one attempt. It is a state machine without I/O or a clock: it
// returns the requests to send and is passed the replies and the time. It is not
// safe for concurrent use. A Leader that resumes after a long pause does no harm,
// because its orders are conditional on the registers that it polled.
type Leader struct {
	cfg            LeaderConfig
	attempt        Attempt
	wantedMap      MapID
	phase          Kind
	outcome        Outcome
	polled         []RankStatus // by rank, the register in the latest poll
	firstPolled    []RankStatus // by rank, the register in the first of two polls
	target         target
	awaiting       []bool // by rank, whether the reply of this phase is awaited
	awaitedReplies int    // the number of true values in awaiting
	lastSent       time.Time
	deadline       time.Time
	disabled       disabledMechanisms
}

// disabledMechanisms switches mechanisms off, so that tests can show that each
// of them is needed.
type disabledMechanisms struct {
	unanimity  bool
	secondPoll bool
}

// NewLeader starts an attempt to switch the group to wantedMap or, if wantedMap is
// empty, only to complete an earlier switch and let blank ranks join. The caller
// sends the returned requests.
func NewLeader(cfg LeaderConfig, a Attempt, wantedMap MapID, now time.Time) (*Leader, []Request) {
	l := &Leader{
		cfg: cfg, attempt: a, wantedMap: wantedMap,
		polled:   make([]RankStatus, cfg.Ranks),
		awaiting: make([]bool, cfg.Ranks),
		deadline: now.Add(cfg.Timeout),
	}
	return l, l.startPhase(Poll, now)
}

// Outcome returns the state of the attempt.
func (l *Leader) Outcome() Outcome { return l.outcome }

// Label returns the label to which the attempt switches the group. It is zero
// before the phase Arm.
func (l *Leader) Label() Label { return l.target.label }

// Step returns the first step that uses the label. It is zero before the phase
// Arm.
func (l *Leader) Step() uint64 { return l.target.step }

// Tick returns the unanswered requests whenever they are to be sent again, and
// ends the attempt at its deadline.
func (l *Leader) Tick(now time.Time) []Request {
	if l.outcome != Pending {
		return nil
	}
	if !now.Before(l.deadline) {
		return l.fail()
	}
	if now.Sub(l.lastSent) < l.cfg.ResendInterval {
		return nil
	}
	return l.unansweredRequests(now)
}

// Handle processes a reply and returns the requests to send next. Replies to
// other attempts and phases are ignored.
func (l *Leader) Handle(r Reply, now time.Time) []Request {
	if !l.expects(r) {
		return nil
	}
	if !l.accept(r) {
		return l.fail()
	}
	l.awaiting[r.Rank] = false
	l.awaitedReplies--
	if l.disabled.unanimity && l.phase == Arm {
		return l.confirmSingle(r.Rank)
	}
	if l.awaitedReplies > 0 {
		return nil
	}
	return l.advancePhase(now)
}

// expects says whether r is an awaited reply of the current phase.
func (l *Leader) expects(r Reply) bool {
	return l.outcome == Pending && r.Group == l.cfg.Group && r.Attempt == l.attempt &&
		r.Kind == l.phase && r.Rank >= 0 && int(r.Rank) < l.cfg.Ranks && l.awaiting[r.Rank]
}

// accept processes a reply of the current phase and says whether the attempt can
// continue.
func (l *Leader) accept(r Reply) bool {
	switch l.phase {
	case Poll, PollAgain:
		l.polled[r.Rank] = r.Status
		return true
	case Arm:
		return l.armedForTarget(r.Rank, r.Status)
	default:
		return l.confirmedForTarget(r.Status)
	}
}

// armedForTarget says whether the rank will switch to the target's label only: it
// is still the polled process, and it is armed by this attempt or confirmed for
// that label.
func (l *Leader) armedForTarget(rank Rank, s RankStatus) bool {
	if s.Process != l.polled[rank].Process {
		return false
	}
	return s.Attempt == l.attempt || l.confirmedForTarget(s)
}

// confirmedForTarget says whether the rank uses the target's label or has a
// confirmed hold for it.
func (l *Leader) confirmedForTarget(s RankStatus) bool {
	if s.InUse == l.target.label {
		return true
	}
	return s.Hold != nil && s.Hold.Confirmed && s.Hold.Label == l.target.label
}

// advancePhase begins the next phase after all ranks have answered.
func (l *Leader) advancePhase(now time.Time) []Request {
	switch l.phase {
	case Poll:
		if l.anyBlank() && !l.disabled.secondPoll {
			l.firstPolled = append([]RankStatus(nil), l.polled...)
			return l.startPhase(PollAgain, now)
		}
		return l.decideTarget(now)
	case PollAgain:
		if l.blankRankChanged() {
			return l.fail()
		}
		return l.decideTarget(now)
	case Arm:
		return l.startPhase(Confirm, now)
	default:
		l.outcome = Switched
		return nil
	}
}

// decideTarget plans the switch from the polls and begins the phase Arm, or ends
// the attempt.
func (l *Leader) decideTarget(now time.Time) []Request {
	t, decided := plan(l.polled, l.attempt, l.wantedMap, l.cfg.LeadSteps)
	switch decided {
	case nothingToDo:
		l.outcome = Unneeded
		return nil
	case noMapKnown:
		return l.fail()
	}
	l.target = t
	return l.startPhase(Arm, now)
}

func (l *Leader) anyBlank() bool {
	for i := range l.polled {
		if l.polled[i].HasNoMap() {
			return true
		}
	}
	return false
}

// blankRankChanged says whether a rank that is blank in the second poll had
// another process or attempt in the first one. A blank rank stops its group. If
// it is unchanged, the group ran no step during the second poll.
func (l *Leader) blankRankChanged() bool {
	for i := range l.polled {
		now, before := &l.polled[i], &l.firstPolled[i]
		if now.HasNoMap() && (now.Process != before.Process || now.Attempt != before.Attempt) {
			return true
		}
	}
	return false
}

// startPhase begins a phase and returns its request to every rank.
func (l *Leader) startPhase(phase Kind, now time.Time) []Request {
	l.phase = phase
	l.awaitedReplies = l.cfg.Ranks
	for i := range l.awaiting {
		l.awaiting[i] = true
	}
	return l.unansweredRequests(now)
}

// unansweredRequests returns the requests of this phase that have no reply yet, and
// records the time at which they are sent.
func (l *Leader) unansweredRequests(now time.Time) []Request {
	l.lastSent = now
	out := make([]Request, 0, l.awaitedReplies)
	for i, awaited := range l.awaiting {
		if awaited {
			out = append(out, l.newRequest(Rank(i), l.phase))
		}
	}
	return out
}

func (l *Leader) newRequest(rank Rank, kind Kind) Request {
	req := Request{Group: l.cfg.Group, Rank: rank, Kind: kind, Attempt: l.attempt}
	if kind == Arm {
		req.Arm = l.newArmOrder(&l.polled[rank])
	}
	return req
}

// newArmOrder returns the order for the rank with the polled status s.
func (l *Leader) newArmOrder(s *RankStatus) *ArmOrder {
	o := &ArmOrder{
		Condition: Condition{Process: s.Process, InUse: s.InUse, Attempt: s.Attempt},
		Attempt:   l.attempt,
		Label:     l.target.label,
		Step:      l.target.step,
	}
	if s.HasNoMap() {
		join := l.target.join
		o.Join = &join
	}
	return o
}

// fail ends the attempt. If the poll met neither a hold nor a blank rank and the
// attempt has not begun to confirm its holds, no leader can ever confirm them, so
// they are released at once.
func (l *Leader) fail() []Request {
	l.outcome = Failed
	if l.phase != Arm || !l.target.quiescent || l.disabled.unanimity {
		return nil
	}
	out := make([]Request, 0, l.cfg.Ranks)
	for i := range l.awaiting {
		out = append(out, l.newRequest(Rank(i), Release))
	}
	return out
}

// confirmSingle confirms one rank before the others have answered. It is used only
// if unanimity is disabled.
func (l *Leader) confirmSingle(rank Rank) []Request {
	if l.awaitedReplies == 0 {
		l.outcome = Switched
	}
	return []Request{l.newRequest(rank, Confirm)}
}
