package groupmap

import (
	"time"
)

// Kind of an order to a rank.
type Kind uint8

// The orders.
const (
	// Prepare copies the experts of a map.
	Prepare Kind = iota + 1
	// Arm lets the rank switch to a prepared map as a pass begins.
	Arm
	// Disarm takes an Arm back.
	Disarm
	// Hold stops the group before a pass.
	Hold
	// Go lets the held pass begin.
	Go
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}[min(int(k), 5)]
}

// Order is an order to one rank. An order may be carried out late, twice or
// never.
type Order struct {
	Rank    int
	Kind    Kind
	Epoch   uint64
	Version uint64
	Step    uint64
	// Map is set for Prepare.
	Map *Map
	// Again says that the same order was sent before without effect.
	Again bool
}

// RankState is what a rank last said of itself.
type RankState struct {
	Epoch uint64
	// Open says that the group takes requests.
	Open bool
	// Step is the last pass that the group began.
	Step uint64
	// Map is the version in use, Prepared one that is ready; zero if none.
	Map      uint64
	Prepared uint64
	// ArmedVersion and ArmedStep are zero if the rank is not armed.
	ArmedVersion uint64
	ArmedStep    uint64
	// Held is the pass before which the rank stops the group; zero if none.
	Held uint64
}

const (
	// holdLead is how many passes ahead a hold is set: one begins while the report
	// is on its way, one while the hold is, and one while the ranks are armed.
	holdLead = 3
	// longPass is a pass in which a hold arrives and all ranks are armed, so that
	// one pass less is enough.
	longPass = 60 * time.Millisecond
	// holder is the rank that the hold is set at. It is one for all attempts, so
	// that its single hold keeps attempts apart.
	holder = 0
)

// SwitchTiming holds the times of a Switch. Zero fields take the defaults.
type SwitchTiming struct {
	// Resend is the time after which an order without effect is sent again, and
	// ResendPrepare the same for Prepare, which takes long.
	Resend        time.Duration
	ResendPrepare time.Duration
	// GiveUp is how long a map may take to be prepared.
	GiveUp time.Duration
	// Repair is how long a group may be stuck before its orders are undone.
	Repair time.Duration
}

func (t SwitchTiming) withDefaults() SwitchTiming {
	if t.Resend == 0 {
		t.Resend = 60 * time.Millisecond
	}
	if t.ResendPrepare == 0 {
		t.ResendPrepare = 350 * time.Millisecond
	}
	if t.GiveUp == 0 {
		t.GiveUp = 6 * time.Second
	}
	if t.Repair == 0 {
		t.Repair = 400 * time.Millisecond
	}
	return t
}

// Switch puts maps in force at all ranks of one group at the same pass. It is a
// pure state machine that works from what the ranks say of themselves, so that
// it needs no memory of earlier attempts. It is not safe for concurrent use.
//
// Only the agent beside the holder starts switches. The others complete what it
// has begun when it falls silent: they arm what is prepared and let the pass
// begin once all are armed, which any number of them may do at once.
type Switch struct {
	timing SwitchTiming
	// initiator may prepare, hold and disarm.
	initiator bool
	ranks     []RankState
	known     []bool
	sent      []sentOrder
	epoch     uint64
	highest   uint64

	target    *Map
	began     time.Time
	holdStep  uint64
	stuckFrom time.Time
	repairing bool
	// current is the map in use, as far as it is known.
	current *Map
	// pass is how long passes take; zero while that is not known.
	pass time.Duration

	// withoutHold and withoutUnanimity switch mechanisms off for the proofs.
	withoutHold, withoutUnanimity bool
}

// sentOrder remembers when an order went out last.
type sentOrder struct {
	kind          Kind
	version, step uint64
	at            time.Time
}

// NewSwitch returns a Switch for a group of size ranks.
func NewSwitch(size int, initiator bool, timing SwitchTiming) *Switch {
	return &Switch{
		timing:    timing.withDefaults(),
		initiator: initiator,
		ranks:     make([]RankState, size),
		known:     make([]bool, size),
		sent:      make([]sentOrder, size),
	}
}

// Observe takes the state of a rank in. States of one rank come in the order in
// which they were read.
func (s *Switch) Observe(rank int, state RankState) {
	if rank < 0 || rank >= len(s.ranks) {
		return
	}
	if state.Epoch > s.epoch {
		s.reset(state.Epoch)
	}
	if state.Epoch < s.epoch {
		return
	}
	s.ranks[rank] = state
	s.known[rank] = true
	s.highest = max(s.highest, state.Map, state.Prepared, state.ArmedVersion)
}

// reset forgets everything: a group in a new epoch holds and knows nothing.
func (s *Switch) reset(epoch uint64) {
	s.epoch = epoch
	s.highest = 0
	s.target, s.current = nil, nil
	s.holdStep = 0
	s.repairing = false
	s.stuckFrom = time.Time{}
	clear(s.known)
	clear(s.sent)
}

// Ready says that all ranks are known, open and in one epoch, that the group
// uses one map and that no switch is under way.
func (s *Switch) Ready() bool {
	if !s.complete() || s.target != nil {
		return false
	}
	for _, r := range s.ranks {
		if r.Map != s.ranks[0].Map || r.ArmedVersion != 0 || r.Held != 0 {
			return false
		}
	}
	return true
}

// Quiet says that the group is Ready and no rank has a map prepared: nothing is
// left of a switch.
func (s *Switch) Quiet() bool {
	for _, r := range s.ranks {
		if r.Prepared != 0 {
			return false
		}
	}
	return s.Ready()
}

// Version returns the version in use at rank 0, and the epoch.
func (s *Switch) Version() (version, epoch uint64) { return s.ranks[0].Map, s.epoch }

// NextVersion returns a version above all that were seen, and at least floor.
// Versions of different attempts must differ, so floor comes from a clock that
// outlasts the process.
func (s *Switch) NextVersion(floor uint64) uint64 { return max(s.highest+1, floor) }

// Use tells the map that is in use, which a repair goes back to.
func (s *Switch) Use(m *Map) { s.current = m }

// Passes tells how long passes take.
func (s *Switch) Passes(each time.Duration) { s.pass = each }

// Start begins to put m in force; its version must come from NextVersion. It
// reports false if a switch is under way or this Switch may not start one.
func (s *Switch) Start(m *Map, now time.Time) bool {
	if !s.initiator || !s.Ready() {
		return false
	}
	s.begin(m, now)
	return true
}

func (s *Switch) begin(m *Map, now time.Time) {
	s.target = m
	s.began = now
	s.holdStep = 0
	s.highest = max(s.highest, m.Version)
}

// Tick returns the orders that are due.
func (s *Switch) Tick(now time.Time, floor uint64) []Order {
	if !s.complete() {
		return nil
	}
	s.finish(now)
	held, version, step := s.underway()
	if held == 0 && version == 0 {
		s.stuckFrom = time.Time{}
		s.repairing = false
		return s.advance(now)
	}
	if step == 0 {
		step = held
	}
	if s.passed(version, step) {
		s.stuckFrom = time.Time{}
		return nil // The switch took place; some ranks have yet to say so.
	}
	if s.initiator && s.stuck(now) {
		return s.repair(now, floor)
	}
	if s.repairing {
		return s.repair(now, floor)
	}
	return s.completeSwitch(now, version, step)
}

// complete says that all ranks are known, in one epoch and open.
func (s *Switch) complete() bool {
	for i, r := range s.ranks {
		if !s.known[i] || r.Epoch != s.epoch || !r.Open {
			return false
		}
	}
	return true
}

// finish drops the target once it is in use, or takes too long to prepare.
func (s *Switch) finish(now time.Time) {
	if s.target == nil {
		return
	}
	if s.passed(s.target.Version, 0) {
		s.target = nil
		return
	}
	held, version, _ := s.underway()
	if held == 0 && version == 0 && now.Sub(s.began) > s.timing.GiveUp {
		s.target = nil
	}
}

// passed says that the group has begun step, or that a rank uses version.
func (s *Switch) passed(version, step uint64) bool {
	for _, r := range s.ranks {
		if version != 0 && r.Map == version || step != 0 && r.Step >= step {
			return true
		}
	}
	return false
}

// underway returns the pass that the group is held at, and the version and the
// pass that any rank is armed for; zero if there are none.
func (s *Switch) underway() (held, version, step uint64) {
	for _, r := range s.ranks {
		held = max(held, r.Held)
		if r.ArmedVersion > version {
			version, step = r.ArmedVersion, r.ArmedStep
		}
	}
	return held, version, step
}

// common returns the version that all ranks have prepared, or zero.
func (s *Switch) common() uint64 {
	for _, r := range s.ranks {
		if r.Prepared != s.ranks[0].Prepared {
			return 0
		}
	}
	return s.ranks[0].Prepared
}

// advance prepares the target, and holds the group once all ranks have it.
func (s *Switch) advance(now time.Time) []Order {
	if s.target == nil || !s.initiator {
		return nil
	}
	if s.common() != s.target.Version {
		return s.prepare(now)
	}
	last := uint64(0)
	for _, r := range s.ranks {
		last = max(last, r.Step)
	}
	if s.holdStep <= last {
		s.holdStep = last + s.lead()
	}
	if s.withoutHold {
		return s.armAll(now, s.target.Version, s.holdStep)
	}
	return s.order(now, nil, Order{Rank: holder, Kind: Hold, Step: s.holdStep})
}

// lead is how many passes ahead a hold is set.
func (s *Switch) lead() uint64 {
	if s.pass >= longPass {
		return holdLead - 1
	}
	return holdLead
}

// armAll arms every rank that is not armed yet.
func (s *Switch) armAll(now time.Time, version, step uint64) []Order {
	var out []Order
	for i, r := range s.ranks {
		if r.ArmedVersion == 0 && r.Prepared == version {
			out = s.order(now, out, Order{Rank: i, Kind: Arm, Version: version, Step: step})
		}
	}
	return out
}

// prepare orders the target at the ranks that do not have it yet.
func (s *Switch) prepare(now time.Time) []Order {
	var out []Order
	for i, r := range s.ranks {
		if r.Prepared != s.target.Version && r.ArmedVersion == 0 {
			out = s.order(now, out, Order{Rank: i, Kind: Prepare, Version: s.target.Version, Map: s.target})
		}
	}
	return out
}

// completeSwitch arms the ranks that are not armed yet, and lets the pass begin
// once all are. Nothing else ever sends Go.
func (s *Switch) completeSwitch(now time.Time, version, step uint64) []Order {
	if version == 0 {
		version = s.common()
	}
	if version == 0 {
		if s.target != nil && s.initiator {
			return s.prepare(now)
		}
		return nil
	}
	armed := 0
	for _, r := range s.ranks {
		if r.ArmedVersion == version && r.ArmedStep == step {
			armed++
		}
	}
	out := s.armAll(now, version, step)
	if armed < len(s.ranks) && (!s.withoutUnanimity || armed == 0) {
		return out
	}
	for i, r := range s.ranks {
		// A hold of an earlier try may have come late, before the pass of the arms.
		if r.Held != 0 && r.Held <= step {
			out = s.order(now, out, Order{Rank: i, Kind: Go, Step: r.Held})
		}
	}
	return out
}

// stuck says that the group has been held for long in a state from which arming
// alone does not lead on.
func (s *Switch) stuck(now time.Time) bool {
	_, version, step := s.underway()
	blocked := false
	for _, r := range s.ranks {
		able := r.ArmedVersion == version && r.ArmedStep == step || r.ArmedVersion == 0 && r.Prepared == version
		if version != 0 && !able {
			blocked = true
		}
	}
	if version == 0 && s.common() == 0 && s.target == nil {
		blocked = true
	}
	if !blocked {
		s.stuckFrom = time.Time{}
		return false
	}
	if s.stuckFrom.IsZero() {
		s.stuckFrom = now
	}
	return now.Sub(s.stuckFrom) >= s.timing.Repair
}

// repair takes back what is armed and prepares the map in use under a version
// of its own at all ranks, so that no earlier Arm can take effect any more. The
// group stays held meanwhile.
func (s *Switch) repair(now time.Time, floor uint64) []Order {
	if s.current == nil {
		return nil
	}
	if !s.repairing {
		s.repairing = true
		again := s.current.Clone()
		again.Version = s.NextVersion(floor)
		s.begin(again, now)
	}
	if s.common() == s.target.Version {
		s.repairing = false
		s.stuckFrom = time.Time{}
		return nil
	}
	var out []Order
	for i, r := range s.ranks {
		if r.ArmedVersion != 0 && r.ArmedVersion != s.target.Version {
			out = s.order(now, out, Order{Rank: i, Kind: Disarm, Version: r.ArmedVersion})
		}
	}
	return append(out, s.prepare(now)...)
}

// order appends o unless the same order went out a moment ago.
func (s *Switch) order(now time.Time, out []Order, o Order) []Order {
	wait := s.timing.Resend
	if o.Kind == Prepare {
		wait = s.timing.ResendPrepare
	}
	last := &s.sent[o.Rank]
	same := last.kind == o.Kind && last.version == o.Version && last.step == o.Step
	if same && now.Sub(last.at) < wait {
		return out
	}
	*last = sentOrder{kind: o.Kind, version: o.Version, step: o.Step, at: now}
	o.Epoch = s.epoch
	o.Again = same
	return append(out, o)
}
