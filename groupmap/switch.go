package groupmap

import (
	"time"
)

const (
	// holdLeadPasses is how many passes ahead of the last known pass a hold is
	// set: one pass may begin while the report of the rank is in transit, one
	// while the hold is in transit, and one while the ranks are armed.
	holdLeadPasses = 3
	// longPassDuration is the least pass duration at which a hold can arrive and
	// all ranks can be armed within one pass. The hold is then set one pass less
	// ahead.
	longPassDuration = 60 * time.Millisecond
	// holdRank is the rank that receives the hold. It is the same for all attempts
	// at a switch: a rank takes only one hold at a time, so that two attempts
	// cannot hold the group at different passes.
	holdRank = 0
)

// Switch makes all ranks of one group change to a new map at the same pass. It
// is a deterministic state machine that decides from the reported states of the
// ranks, so that it needs no memory of earlier attempts. It is not safe for
// concurrent use.
//
// Only the initiator, the agent of holdRank, starts switches. If it fails, the
// agents of the other ranks complete the switch that it began: they arm the
// ranks that are prepared and release the pass once all are armed. Any number
// of agents may do so at the same time.
type Switch struct {
	timing SwitchTiming
	// initiator allows this Switch to prepare, hold and disarm.
	initiator bool
	// rankStates, observed and lastOrders are indexed by rank. observed tells
	// whether the rank has reported its state in this epoch.
	rankStates []RankState
	observed   []bool
	lastOrders []sentOrder
	// receivedVersions holds the greatest version of a Prepare that each rank has
	// confirmed to have received in this epoch.
	receivedVersions []uint64
	// epoch and highestVersion are the greatest ones seen; highestVersion starts
	// again from zero in each epoch.
	epoch          uint64
	highestVersion uint64

	// target is the map that this Switch was told to change to, or nil. startedAt
	// is when it was set.
	target    *Map
	startedAt time.Time
	// holdStep is the pass of the last hold for target, or zero.
	holdStep uint64
	// stuckSince is when the group was first seen blocked, see stuck, or zero.
	stuckSince time.Time
	// repairing is set while the ranks prepare the map of a repair.
	repairing bool
	// currentMap is the map in use, or nil if it is not known.
	currentMap *Map
	// passDuration is the duration of a pass, or zero if it is not known.
	passDuration time.Duration

	// holdBlocked is set while no hold may be started.
	holdBlocked bool

	// holdDisabled and unanimityDisabled turn off one mechanism each, for tests
	// that must fail without it.
	holdDisabled, unanimityDisabled bool
}

// NewSwitch returns a Switch for a group of size ranks.
func NewSwitch(size int, initiator bool, timing SwitchTiming) *Switch {
	return &Switch{
		timing:     timing.withDefaults(),
		initiator:  initiator,
		rankStates: make([]RankState, size),
		observed:   make([]bool, size),
		lastOrders: make([]sentOrder, size),

		receivedVersions: make([]uint64, size),
	}
}

// Observe updates the state of a rank. The states of one rank must be passed in
// the order in which they were read.
func (s *Switch) Observe(rank int, state RankState) {
	if rank < 0 || rank >= len(s.rankStates) {
		return
	}
	if state.Epoch > s.epoch {
		s.reset(state.Epoch)
	}
	if state.Epoch < s.epoch {
		return
	}
	s.rankStates[rank] = state
	s.observed[rank] = true
	s.highestVersion = max(s.highestVersion, state.MapVersion, state.PreparedVersion, state.ArmedVersion)
}

// reset discards all state: in a new epoch the ranks start without held passes,
// prepared maps or armed maps.
func (s *Switch) reset(epoch uint64) {
	s.epoch = epoch
	s.highestVersion = 0
	s.target, s.currentMap = nil, nil
	s.holdStep = 0
	s.repairing = false
	s.stuckSince = time.Time{}
	clear(s.observed)
	clear(s.lastOrders)
	clear(s.receivedVersions)
}

// Ready reports whether the states of all ranks are known, all ranks are open,
// in one epoch and on one map, and no switch is in progress.
func (s *Switch) Ready() bool {
	if !s.complete() || s.target != nil {
		return false
	}
	for _, r := range s.rankStates {
		if r.MapVersion != s.rankStates[0].MapVersion || r.ArmedVersion != 0 || r.HeldStep != 0 {
			return false
		}
	}
	return true
}

// Settled reports whether the group is Ready and no rank has a map prepared, so
// that nothing of an earlier switch remains.
func (s *Switch) Settled() bool {
	for _, r := range s.rankStates {
		if r.PreparedVersion != 0 {
			return false
		}
	}
	return s.Ready()
}

// Version returns the version in use at rank 0, and the epoch.
func (s *Switch) Version() (version, epoch uint64) { return s.rankStates[0].MapVersion, s.epoch }

// NextVersion returns a version that is above all observed ones and at least
// minVersion. Different attempts must use different versions, also across
// restarts of the agent, so minVersion comes from a clock that outlasts the
// process.
func (s *Switch) NextVersion(minVersion uint64) uint64 { return max(s.highestVersion+1, minVersion) }

// SetCurrentMap sets the map in use, which a repair prepares again.
func (s *Switch) SetCurrentMap(m *Map) { s.currentMap = m }

// SetPassDuration sets the duration of a pass, which determines how far ahead a
// hold is set.
func (s *Switch) SetPassDuration(duration time.Duration) { s.passDuration = duration }

// Start begins a switch to m, whose version must come from NextVersion. It
// returns false if the group is not Ready or this Switch is not the initiator.
func (s *Switch) Start(m *Map, now time.Time) bool {
	if !s.initiator || !s.Ready() {
		return false
	}
	s.setTarget(m, now)
	return true
}

func (s *Switch) setTarget(m *Map, now time.Time) {
	s.target = m
	s.startedAt = now
	s.holdStep = 0
	s.highestVersion = max(s.highestVersion, m.Version)
}

// Tick returns the orders that are due. minVersion is used as in NextVersion.
func (s *Switch) Tick(now time.Time, minVersion uint64) []Order {
	if !s.complete() {
		return nil
	}
	s.finish(now)
	heldStep, version, step := s.heldAndArmed()
	if heldStep == 0 && version == 0 {
		s.stuckSince = time.Time{}
		s.repairing = false
		return s.advance(now)
	}
	if step == 0 {
		step = heldStep
	}
	if s.switchTookPlace(version, step) {
		s.stuckSince = time.Time{}
		return nil // The switch took place; some ranks have not reported it yet.
	}
	if s.initiator && s.stuck(now) {
		return s.repair(now, minVersion)
	}
	if s.repairing {
		return s.repair(now, minVersion)
	}
	return s.completeSwitch(now, version, step)
}

// complete reports whether the states of all ranks are known, in one epoch and
// open.
func (s *Switch) complete() bool {
	for i, r := range s.rankStates {
		if !s.observed[i] || r.Epoch != s.epoch || !r.Open {
			return false
		}
	}
	return true
}

// finish clears the target once a rank uses it, or after PrepareTimeout if no
// rank is held or armed.
func (s *Switch) finish(now time.Time) {
	if s.target == nil {
		return
	}
	if s.switchTookPlace(s.target.Version, 0) {
		s.target = nil
		return
	}
	heldStep, version, _ := s.heldAndArmed()
	if heldStep == 0 && version == 0 && now.Sub(s.startedAt) > s.timing.PrepareTimeout {
		s.target = nil
	}
}

// switchTookPlace reports whether a rank uses version or the group has begun the
// pass with the number step. Zero values are ignored.
func (s *Switch) switchTookPlace(version, step uint64) bool {
	for _, r := range s.rankStates {
		if version != 0 && r.MapVersion == version || step != 0 && r.Step >= step {
			return true
		}
	}
	return false
}

// heldAndArmed returns the pass at which the group is held, and the greatest
// version that any rank is armed with and its pass. They are zero if no rank is
// held or armed.
func (s *Switch) heldAndArmed() (heldStep, armedVersion, armedStep uint64) {
	for _, r := range s.rankStates {
		heldStep = max(heldStep, r.HeldStep)
		if r.ArmedVersion > armedVersion {
			armedVersion, armedStep = r.ArmedVersion, r.ArmedStep
		}
	}
	return heldStep, armedVersion, armedStep
}

// commonPrepared returns the version that all ranks have prepared, or zero.
func (s *Switch) commonPrepared() uint64 {
	for _, r := range s.rankStates {
		if r.PreparedVersion != s.rankStates[0].PreparedVersion {
			return 0
		}
	}
	return s.rankStates[0].PreparedVersion
}

// advance has the target prepared, and holds the group once all ranks have
// prepared it.
func (s *Switch) advance(now time.Time) []Order {
	if s.target == nil || !s.initiator {
		return nil
	}
	if s.commonPrepared() != s.target.Version {
		return s.prepare(now)
	}
	if s.holdBlocked {
		return nil
	}
	lastStep := uint64(0)
	for _, r := range s.rankStates {
		lastStep = max(lastStep, r.Step)
	}
	if s.holdStep <= lastStep {
		s.holdStep = lastStep + s.leadPasses()
	}
	if s.holdDisabled {
		return s.armAll(now, s.target.Version, s.holdStep)
	}
	return s.appendOrder(now, nil, Order{Rank: holdRank, Kind: Hold, Step: s.holdStep})
}

// leadPasses returns how many passes ahead a hold is set.
func (s *Switch) leadPasses() uint64 {
	if s.passDuration >= longPassDuration {
		return holdLeadPasses - 1
	}
	return holdLeadPasses
}

// armAll arms the ranks that have prepared version and are not armed yet.
func (s *Switch) armAll(now time.Time, version, step uint64) []Order {
	var out []Order
	for i, r := range s.rankStates {
		if r.ArmedVersion == 0 && r.PreparedVersion == version {
			out = s.appendOrder(now, out, Order{Rank: i, Kind: Arm, Version: version, Step: step})
		}
	}
	return out
}

// prepare orders the ranks that have not prepared the target to do so.
func (s *Switch) prepare(now time.Time) []Order {
	var out []Order
	for i, r := range s.rankStates {
		if r.PreparedVersion != s.target.Version && r.ArmedVersion == 0 {
			out = s.appendOrder(now, out, Order{Rank: i, Kind: Prepare, Version: s.target.Version, Map: s.target})
		}
	}
	return out
}

// completeSwitch arms the ranks that are not armed yet, and releases the held
// pass once all are. version is the armed version, or zero if no rank is armed;
// step is the pass to arm for. No other code sends Release.
func (s *Switch) completeSwitch(now time.Time, version, step uint64) []Order {
	if version == 0 {
		version = s.commonPrepared()
	}
	if version == 0 {
		if s.target != nil && s.initiator {
			return s.prepare(now)
		}
		return nil
	}
	armedRanks := 0
	for _, r := range s.rankStates {
		if r.ArmedVersion == version && r.ArmedStep == step {
			armedRanks++
		}
	}
	out := s.armAll(now, version, step)
	if armedRanks < len(s.rankStates) && (!s.unanimityDisabled || armedRanks == 0) {
		return out
	}
	for i, r := range s.rankStates {
		// A delayed hold of an earlier attempt may have taken effect at a pass before
		// the one that the ranks are armed for.
		if r.HeldStep != 0 && r.HeldStep <= step {
			out = s.appendOrder(now, out, Order{Rank: i, Kind: Release, Step: r.HeldStep})
		}
	}
	return out
}
