package groupmap_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"bluebellwind.example/groupmap"
)

// rankSim simulates one rank and how its engine handles orders.
type rankSim struct {
	groupmap.RankState
	// highestVersion is the greatest version that the rank was told to prepare.
	highestVersion uint64
	preparedMaps   map[uint64]*groupmap.Map
	// copyingVersion is the version whose experts are being copied, or zero.
	copyingVersion uint64
	copiedAt       int // Tick at which the copy is complete.
	activeMap      *groupmap.Map
}

// delivery is an order or a rank state in transit.
type delivery struct {
	deliverAt int
	order     *groupmap.Order
	// state is the state of rank, sent to leader and read at the tick readAt.
	state  groupmap.RankState
	rank   int
	leader int
	readAt int
	// direct is set if the leader sent the order to the rank itself and learns from
	// the answer that it was carried out; confirmed is that answer.
	direct    bool
	confirmed *groupmap.Order
}

func sameExperts(a, b *groupmap.Map) bool {
	return a == b || slices.EqualFunc(a.Experts, b.Experts, func(x, y [][]uint16) bool {
		return slices.EqualFunc(x, y, slices.Equal[[]uint16])
	})
}

// groupSim simulates a group, its agents and the messages between them. One
// tick stands for 10 milliseconds.
type groupSim struct {
	rng       *rand.Rand
	shape     groupmap.Shape
	ranks     []*rankSim
	leaders   []*leaderSim
	inFlight  []delivery
	tick      int
	epoch     uint64
	downUntil int // Tick at which the group reopens.
	// delayedShare is the share of orders that are carried out late. It is zero
	// after faultTicks.
	delayedShare float64
	idle         bool
	switches     int
	// heldPassAttempts counts how often a hold kept a pass from beginning.
	heldPassAttempts  int
	violation         string
	incarnation       int
	disabledMechanism string
	// passDuration is the pass duration that the leaders are given, or zero if it
	// is unknown to them.
	passDuration time.Duration
	// planned draws when agents are told to stop, when holds may not be started and
	// which orders go directly to a rank; nil if none of that happens.
	planned *rand.Rand
	// stops counts the agents that were told to stop, longStays those of them that
	// stayed until their time was up.
	stops, longStays int
}

// leaderSim simulates the leader of one agent.
type leaderSim struct {
	mapSwitch    *groupmap.Switch
	initiator    bool
	frozenUntil  int
	stoppedUntil int
	currentMap   *groupmap.Map
	lastReadAt   []int
	incarnation  int
	// stayUntil is when the agent, which was told to stop, exits at the latest, or
	// zero. holdBlockedUntil is when it may start holds again.
	stayUntil, holdBlockedUntil int
}

const (
	ticksPerPass = 6
	simRanks     = 4
)

var simShape = groupmap.Shape{Sets: 2, Ranks: simRanks, Experts: 8, MaxExpertsPerRank: 4, MaxCopiesPerRank: 2}

func newGroupSim(seed uint64, passDuration time.Duration) *groupSim {
	sim := &groupSim{rng: rand.New(rand.NewPCG(seed, 99)), shape: simShape, epoch: 1, disabledMechanism: os.Getenv("BBW_WITHOUT"), passDuration: passDuration}
	sim.reopenGroup()
	for i := range 2 {
		sim.leaders = append(sim.leaders, &leaderSim{initiator: i == 0})
		sim.restartLeader(i)
	}
	sim.delayedShare = []float64{0, 0.1, 0.35, 0.6}[sim.rng.IntN(4)]
	return sim
}

func (sim *groupSim) now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(sim.tick) * 10 * time.Millisecond)
}

// reopenGroup replaces all ranks by new ones in the current epoch.
func (sim *groupSim) reopenGroup() {
	sim.ranks = nil
	for range simRanks {
		r := &rankSim{preparedMaps: map[uint64]*groupmap.Map{}, activeMap: groupmap.InitialMap(sim.shape)}
		r.Epoch, r.Open = sim.epoch, true
		sim.ranks = append(sim.ranks, r)
	}
}

func (sim *groupSim) restartLeader(i int) {
	l := sim.leaders[i]
	sim.incarnation++
	l.incarnation = sim.incarnation
	l.mapSwitch = groupmap.NewSwitch(simRanks, l.initiator, groupmap.SwitchTiming{})
	l.mapSwitch.Disable(sim.disabledMechanism)
	l.mapSwitch.SetPassDuration(sim.passDuration)
	l.currentMap = nil
	l.lastReadAt = make([]int, simRanks)
	l.stayUntil, l.holdBlockedUntil = 0, 0
}

// executeOrder handles an order as an engine does. It reports whether the rank is then
// in the state that the order asks for.
func (sim *groupSim) executeOrder(o *groupmap.Order) (done bool) {
	r := sim.ranks[o.Rank]
	if o.Epoch != r.Epoch || sim.downUntil > sim.tick {
		return false
	}
	switch o.Kind {
	case groupmap.Prepare:
		if o.Version <= r.highestVersion || r.ArmedVersion != 0 {
			return false
		}
		r.highestVersion, r.copyingVersion, r.copiedAt = o.Version, o.Version, sim.tick+1+sim.rng.IntN(40)
		r.PreparedVersion = 0
		r.preparedMaps[o.Version] = o.Map.Clone()
	case groupmap.Arm:
		if r.PreparedVersion == o.Version && r.PreparedVersion != 0 && o.Step > r.Step && (r.ArmedVersion == 0 || r.ArmedVersion == o.Version) {
			r.ArmedVersion, r.ArmedStep = o.Version, o.Step
			return true
		}
	case groupmap.Disarm:
		if r.ArmedVersion == o.Version {
			r.ArmedVersion, r.ArmedStep = 0, 0
			return true
		}
	case groupmap.Hold:
		if o.Step > r.Step && r.HeldStep == 0 {
			r.HeldStep = o.Step
		}
	case groupmap.Release:
		if r.HeldStep == o.Step {
			r.HeldStep = 0
			return true
		}
	}
	return false
}

// sendState sends the state of a rank to both agents, as its agent does right
// after an order. One state in ten is lost.
func (sim *groupSim) sendState(rank int) {
	for i := range sim.leaders {
		if sim.rng.IntN(10) > 0 {
			sim.inFlight = append(sim.inFlight, delivery{deliverAt: sim.tick + 1, state: sim.ranks[rank].RankState, rank: rank, leader: i, readAt: sim.tick})
		}
	}
}

// beginPass begins the next pass of the group, unless a rank holds it.
func (sim *groupSim) beginPass() {
	next := sim.ranks[0].Step + 1
	for _, r := range sim.ranks {
		if r.HeldStep == next {
			sim.heldPassAttempts++
			return
		}
	}
	for _, r := range sim.ranks {
		r.Step = next
		if r.ArmedVersion != 0 && r.ArmedStep == next {
			r.MapVersion, r.activeMap = r.ArmedVersion, r.preparedMaps[r.ArmedVersion]
			r.PreparedVersion, r.ArmedVersion, r.ArmedStep = 0, 0, 0
		}
	}
	for _, r := range sim.ranks {
		if r.MapVersion != sim.ranks[0].MapVersion || !sameExperts(r.activeMap, sim.ranks[0].activeMap) {
			sim.violation = fmt.Sprintf("pass %d begins on maps %d and %d", next, sim.ranks[0].MapVersion, r.MapVersion)
		}
	}
}

func (sim *groupSim) step() {
	sim.tick++
	sim.injectFaults()
	if sim.downUntil == sim.tick {
		sim.epoch++
		sim.reopenGroup()
	}
	for _, r := range sim.ranks {
		if r.copyingVersion != 0 && sim.tick >= r.copiedAt {
			r.PreparedVersion, r.copyingVersion = r.copyingVersion, 0
		}
	}
	sim.deliverDue()
	if sim.tick%ticksPerPass == 0 && !sim.idle && sim.downUntil < sim.tick {
		sim.beginPass()
	}
	for i, l := range sim.leaders {
		if l.stoppedUntil > sim.tick || l.frozenUntil > sim.tick {
			continue
		}
		if l.stoppedUntil == sim.tick && sim.tick > 0 {
			sim.restartLeader(i)
		}
		sim.runLeader(i, l)
		sim.exitIfDue(l)
	}
}

// injectFaults draws random faults.
func (sim *groupSim) injectFaults() {
	if sim.tick > faultTicks {
		sim.delayedShare, sim.idle = 0, false
		return
	}
	sim.injectPlanned()
	switch sim.rng.IntN(400) {
	case 0:
		sim.leaders[sim.rng.IntN(2)].frozenUntil = sim.tick + sim.rng.IntN(500)
	case 1:
		sim.leaders[sim.rng.IntN(2)].stoppedUntil = sim.tick + 1 + sim.rng.IntN(300)
	case 2:
		sim.idle = !sim.idle
	case 3:
		if sim.rng.IntN(8) == 0 {
			sim.downUntil = sim.tick + 50
		}
	}
}

func (sim *groupSim) deliverDue() {
	due := sim.inFlight[:0:0]
	rest := sim.inFlight[:0:0]
	for _, f := range sim.inFlight {
		if f.deliverAt <= sim.tick {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	sim.inFlight = rest
	sim.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		if f.order != nil {
			done := sim.executeOrder(f.order)
			sim.sendState(f.order.Rank)
			if done && f.direct {
				sim.sendAnswer(f)
			}
			continue
		}
		l := sim.leaders[f.leader]
		if f.confirmed != nil {
			if l.stoppedUntil <= sim.tick && f.readAt == l.incarnation {
				l.mapSwitch.Confirm(*f.confirmed)
			}
			continue
		}
		if l.stoppedUntil > sim.tick || f.readAt < l.lastReadAt[f.rank] {
			continue
		}
		l.lastReadAt[f.rank] = f.readAt
		l.mapSwitch.Observe(f.rank, f.state)
	}
}

// runLeader lets one agent read the ranks, start switches and send the orders
// that are due.
func (sim *groupSim) runLeader(i int, l *leaderSim) {
	if sim.tick%4 == 0 {
		for r, rank := range sim.ranks {
			if sim.rng.IntN(10) > 0 {
				sim.inFlight = append(sim.inFlight, delivery{deliverAt: sim.tick + sim.rng.IntN(6), state: rank.RankState, rank: r, leader: i, readAt: sim.tick})
			}
		}
	}
	version, _ := l.mapSwitch.Version()
	if l.mapSwitch.Ready() && (l.currentMap == nil || l.currentMap.Version != version) {
		l.currentMap = sim.ranks[0].activeMap.Clone()
		l.currentMap.Version = version
		l.mapSwitch.SetCurrentMap(l.currentMap)
	}
	l.mapSwitch.BlockHold(l.holdBlockedUntil > sim.tick)
	if l.initiator && l.stayUntil == 0 && l.mapSwitch.Ready() && sim.rng.IntN(20) == 0 && sim.tick < faultTicks {
		next := sim.randomMap()
		next.Version = l.mapSwitch.NextVersion(sim.minVersion())
		if l.mapSwitch.Start(next, sim.now()) {
			sim.switches++
		}
	}
	for _, o := range l.mapSwitch.Tick(sim.now(), sim.minVersion()) {
		sim.sendOrder(i, o)
	}
}

// minVersion simulates a clock that outlasts the agents' processes.
func (sim *groupSim) minVersion() uint64 {
	if sim.disabledMechanism == "versions" {
		return 0
	}
	return uint64(sim.tick)
}

// sendOrder sends an order. Some orders are carried out late, some twice.
func (sim *groupSim) sendOrder(leader int, o groupmap.Order) {
	at := sim.tick + 1 + sim.rng.IntN(2)
	if sim.rng.Float64() < sim.delayedShare {
		at = sim.tick + 200 + sim.rng.IntN(1000)
	}
	direct := sim.planned != nil && o.Kind != groupmap.Prepare && sim.planned.IntN(3) == 0
	sim.inFlight = append(sim.inFlight, delivery{deliverAt: at, order: &o, leader: leader, readAt: sim.leaders[leader].incarnation, direct: direct})
	if sim.rng.IntN(20) == 0 {
		sim.inFlight = append(sim.inFlight, delivery{deliverAt: at + sim.rng.IntN(300), order: &o})
	}
}

// randomMap returns a random valid map.
func (sim *groupSim) randomMap() *groupmap.Map {
	m := groupmap.InitialMap(sim.shape)
	for set := range m.Experts {
		r := sim.rng.IntN(simRanks)
		e := uint16(sim.rng.IntN(sim.shape.Experts))
		if !slices.Contains(m.Experts[set][r], e) {
			m.Experts[set][r] = append(m.Experts[set][r], e)
		}
	}
	return m
}
