package groupmap_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

const (
	// stayTicks is how long an agent that is told to stop stays at most, and
	// restartTicks how long it is away.
	stayTicks    = 400
	restartTicks = 54
	// ownSwitchTicks is how long a stopping initiator goes on with a switch for which
	// it has sent no hold.
	ownSwitchTicks = 100
)

// injectPlanned draws agents that are told to stop, and times without new holds.
func (sim *groupSim) injectPlanned() {
	if sim.planned == nil {
		return
	}
	l := sim.leaders[sim.planned.IntN(2)]
	running := l.stoppedUntil < sim.tick && l.frozenUntil <= sim.tick
	switch sim.planned.IntN(150) {
	case 0, 1:
		if running && l.stayUntil == 0 {
			l.stayUntil = sim.tick + stayTicks
			sim.stops++
		}
	case 2:
		l.holdBlockedUntil = sim.tick + sim.planned.IntN(80)
	}
}

// exitIfDue ends an agent that was told to stop if its group does not need it, or if its
// time is up.
func (sim *groupSim) exitIfDue(l *leaderSim) {
	if l.stayUntil == 0 || l.stoppedUntil > sim.tick {
		return
	}
	if sim.tick > l.stayUntil-stayTicks+ownSwitchTicks {
		l.mapSwitch.Abandon()
	}
	if l.mapSwitch.Unfinished() && sim.tick < l.stayUntil {
		return
	}
	if sim.tick >= l.stayUntil {
		sim.longStays++
	}
	l.stayUntil, l.stoppedUntil = 0, sim.tick+restartTicks
}

// sendAnswer sends the answer of a rank to the leader whose order it carried out. It
// arrives up to 200 ms later, or not at all.
func (sim *groupSim) sendAnswer(f delivery) {
	if sim.planned.IntN(10) > 0 {
		sim.inFlight = append(sim.inFlight, delivery{deliverAt: sim.tick + 1 + sim.planned.IntN(20), confirmed: f.order, leader: f.leader, readAt: f.readAt})
	}
}

// TestNoPassOnTwoMapsWhileAgentsStop runs the random schedules with agents that are told
// to stop besides, holds that must wait and orders that go directly to the ranks.
func TestNoPassOnTwoMapsWhileAgentsStop(t *testing.T) {
	switches, stops, longStays := 0, 0, 0
	n := schedules(t)
	for seed := range uint64(n) {
		sim := newGroupSim(seed, time.Duration(seed%2)*longPassDuration)
		sim.planned = rand.New(rand.NewPCG(seed, 7))
		for sim.tick < faultTicks+recoveryTicks && sim.violation == "" {
			sim.step()
		}
		assert.Equal(t, sim.violation, "", "seed %d", seed)
		for r, rank := range sim.ranks {
			assert.Equal(t, rank.HeldStep, uint64(0), "seed %d: rank %d is still held", seed, r)
		}
		switches, stops, longStays = switches+sim.switches, stops+sim.stops, longStays+sim.longStays
	}
	t.Logf("%d schedules, %d switches, %d stops, %d of them stayed to the end, 0 violations", n, switches, stops, longStays)
	assert.Assert(t, switches > n && stops > n)
}

// observeAll reports the states of all ranks of an open group that has prepared version
// 7, after change, which may be nil.
func observeAll(s *groupmap.Switch, change func(rank int, state *groupmap.RankState)) {
	for rank := range simRanks {
		state := groupmap.RankState{Epoch: 1, Open: true, Step: 10, PreparedVersion: 7}
		if change != nil {
			change(rank, &state)
		}
		s.Observe(rank, state)
	}
}

// An agent may leave a group that will switch, or has switched, without it.
func TestWhenAGroupNeedsItsAgents(t *testing.T) {
	s := groupmap.NewSwitch(simRanks, false, groupmap.SwitchTiming{})
	observeAll(s, nil)
	assert.Assert(t, !s.Unfinished(), "prepared only")
	observeAll(s, func(rank int, state *groupmap.RankState) {
		if rank == 0 {
			state.HeldStep = 12
		}
	})
	assert.Assert(t, s.Unfinished(), "held")
	observeAll(s, func(rank int, state *groupmap.RankState) {
		if rank != 2 {
			state.ArmedVersion, state.ArmedStep = 7, 12
		}
	})
	assert.Assert(t, s.Unfinished(), "one rank is not armed")
	observeAll(s, func(_ int, state *groupmap.RankState) { state.ArmedVersion, state.ArmedStep = 7, 12 })
	assert.Assert(t, !s.Unfinished(), "all are armed and the group is not held")
	observeAll(s, func(rank int, state *groupmap.RankState) {
		if rank == 1 {
			state.ArmedVersion, state.ArmedStep = 7, 12
			return
		}
		state.Step, state.MapVersion, state.PreparedVersion = 12, 7, 0
	})
	assert.Assert(t, !s.Unfinished(), "the pass has begun")
}

// No hold is sent while holds are blocked, and a switch without one can be given up.
func TestBlockedHoldWaits(t *testing.T) {
	s := groupmap.NewSwitch(simRanks, true, groupmap.SwitchTiming{})
	now := time.Unix(1000, 0)
	observeAll(s, func(_ int, state *groupmap.RankState) { state.PreparedVersion = 0 })
	next := groupmap.InitialMap(simShape)
	next.Version = 7
	assert.Assert(t, s.Start(next, now) && s.Unfinished())
	assert.Equal(t, len(s.Tick(now, 1)), simRanks)
	assert.Assert(t, !s.AwaitsHold())
	observeAll(s, nil)
	s.BlockHold(true)
	assert.Equal(t, len(s.Tick(now, 1)), 0)
	assert.Assert(t, s.AwaitsHold())
	s.BlockHold(false)
	orders := s.Tick(now, 1)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, groupmap.Hold)
	s.Abandon()
	assert.Assert(t, s.Unfinished(), "the hold may be on its way")

	s = groupmap.NewSwitch(simRanks, true, groupmap.SwitchTiming{})
	observeAll(s, nil)
	assert.Assert(t, s.Start(next, now))
	s.BlockHold(true)
	s.Tick(now, 1)
	s.Abandon()
	assert.Assert(t, !s.Unfinished())
}

// The answer of a rank to an order counts like its report, unless another order or a
// later report has overtaken it.
func TestAnswersOfRanksCount(t *testing.T) {
	s := groupmap.NewSwitch(simRanks, false, groupmap.SwitchTiming{})
	now := time.Unix(1000, 0)
	held := func(rank int, state *groupmap.RankState) {
		if rank == 0 {
			state.HeldStep = 12
		}
	}
	observeAll(s, held)
	arms := s.Tick(now, 1)
	assert.Equal(t, len(arms), simRanks)
	for _, o := range arms[1:] {
		s.Confirm(o)
	}
	later := now.Add(100 * time.Millisecond)
	again := s.Tick(later, 1)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Unconfirmed, 100*time.Millisecond)
	s.Confirm(again[0])
	release := s.Tick(later, 1)
	assert.Equal(t, len(release), 1)
	assert.Equal(t, release[0].Kind, groupmap.Release)
	s.Confirm(again[0]) // Overtaken by the order to rank 0 since.
	s.Confirm(release[0])
	assert.Assert(t, !s.Unfinished())

	observeAll(s, func(_ int, state *groupmap.RankState) { state.Step, state.MapVersion, state.PreparedVersion = 12, 7, 0 })
	for _, o := range arms {
		s.Confirm(o)
	}
	assert.Assert(t, s.Settled(), "the pass has begun since")
}
