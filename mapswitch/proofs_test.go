package mapswitch

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// recoveryTicks is the number of ticks in which a group must switch to a new map
// after the last failure.
const recoveryTicks = 4000

// faults are the changes that a schedule may make to a rank, its agent or the
// network between two ticks.
var faults = []struct {
	name  string
	apply func(sim *simulation, rank int)
}{
	{"agent, and a leader in it, restarts without state", func(sim *simulation, i int) { sim.restartAgent(i) }},
	{"agent paused", func(sim *simulation, i int) { sim.agents[i].pausedTicks = 1 + sim.rng.IntN(400) }},
	{"rank replaced", func(sim *simulation, i int) { sim.replaceEngine(i) }},
	{"rank and agent replaced", func(sim *simulation, i int) { sim.replaceEngine(i); sim.restartAgent(i) }},
	{"agent disconnected", func(sim *simulation, i int) { sim.unreachable[i] = true }},
	{"agent reconnected", func(sim *simulation, i int) { sim.unreachable[i] = false }},
	{"two leaders because of an outdated list of live ranks", func(sim *simulation, i int) { sim.agents[i].staleView = true }},
	{"another map wanted", func(sim *simulation, _ int) { sim.wantedMap = MapID("m" + strconv.Itoa(sim.tickCount)) }},
	{"messages delayed, lost or duplicated", func(sim *simulation, _ int) { sim.reliable = false }},
	{"messages delivered in time", func(sim *simulation, _ int) { sim.reliable = true }},
}

// runSchedule runs one generated schedule of faults and then the recovery.
func runSchedule(seed uint64, ranks, faultCount int, disabled map[string]bool) error {
	sim := newSimulation(seed, ranks, disabled)
	if err := sim.runTicks(60); err != nil {
		return err
	}
	sim.reliable = sim.rng.IntN(3) == 0
	for range faultCount {
		faults[sim.rng.IntN(len(faults))].apply(sim, sim.rng.IntN(ranks))
		if err := sim.runTicks(sim.rng.IntN(80)); err != nil {
			return err
		}
	}
	return sim.recoverGroup(recoveryTicks)
}

// TestOneMapInEachStep checks on generated schedules that all ranks use the same
// label in each step and that the group switches again after the last failure.
func TestOneMapInEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
		faultCount := rapid.IntRange(1, 25).Draw(t, "faultCount")
		for i := range uint64(20) {
			assert.NilError(t, runSchedule(seed+i, ranks, faultCount, disabledByEnv()))
		}
	})
}

// TestSoak runs as many schedules as BBW_SOAK says. It is skipped if that variable
// is not set.
func TestSoak(t *testing.T) {
	schedules, _ := strconv.Atoi(os.Getenv("BBW_SOAK"))
	if schedules == 0 {
		t.Skip("BBW_SOAK is not set")
	}
	violations := 0
	for seed := range uint64(schedules) {
		if err := runSchedule(seed, 2+int(seed%3), 1+int(seed%25), disabledByEnv()); err != nil {
			violations++
			t.Logf("seed %d: %v", seed, err)
		}
	}
	fmt.Printf("mapswitch: schedules %d violations %d\n", schedules, violations)
	assert.Equal(t, violations, 0)
}

// TestLeaderDiesBetweenEveryTwoMessages injects each kind of fault at each message
// of the leader, once alone and once with a second fault at each of the next
// maxGap messages.
func TestLeaderDiesBetweenEveryTwoMessages(t *testing.T) {
	const maxGap = 60
	runs := 0
	for ranks := 2; ranks <= 3; ranks++ {
		for first := 1; first <= 6*ranks; first++ {
			for second := 0; second <= maxGap; second++ {
				for kind := range 5 {
					runs++
					err := failTwice(ranks, first, first+second, kind)
					assert.NilError(t, err, "ranks %d first %d second %d kind %d", ranks, first, first+second, kind)
				}
			}
		}
	}
	t.Logf("%d schedules", runs)
}

// failTwice runs a switch with a fault of the given kind at the requests numbered
// first and second, and then the recovery.
func failTwice(ranks, first, second, kind int) error {
	sim := newSimulation(1, ranks, disabledByEnv())
	if err := sim.runTicks(100); err != nil {
		return err
	}
	sim.sentRequests, sim.wantedMap = 0, "m2"
	triggered := -1
	sim.onSend = func(n int) {
		if n == first || n == second {
			triggered = n
		}
	}
	for range 450 {
		if err := sim.tick(); err != nil {
			return err
		}
		if triggered > 0 {
			sim.injectFault(kind, triggered == second && second != first)
			triggered = -1
		}
	}
	return sim.recoverGroup(recoveryTicks)
}

// injectFault injects a fault of one kind at every agent that is leading. The
// parameter again says that it is the second fault of a schedule.
func (sim *simulation) injectFault(kind int, again bool) {
	for i, a := range sim.agents {
		if a.candidate.CurrentLeader() == nil {
			continue
		}
		switch kind {
		case 0:
			sim.restartAgent(i)
		case 1:
			a.pausedTicks = 300
		case 2:
			sim.replaceEngine((i + 1) % len(sim.engines))
		case 3:
			sim.restartAgent(i)
			sim.replaceEngine(i)
		case 4:
			sim.agents[(i+1)%len(sim.agents)].staleView = true
			if again {
				sim.restartAgent(i)
			}
		}
	}
}

// TestSwitchWithoutFailures checks that a switch of 256 ranks without failures
// takes three requests for each rank and fewer than 100 ticks.
func TestSwitchWithoutFailures(t *testing.T) {
	sim := newSimulation(1, 256, nil)
	assert.NilError(t, sim.runTicks(100))
	sim.sentRequests, sim.wantedMap = 0, "m2"
	startTick := sim.tickCount
	for sim.engines[255].Status().InUse.Map != "m2" {
		assert.NilError(t, sim.tick())
		assert.Assert(t, sim.tickCount < startTick+100)
	}
	assert.Equal(t, sim.sentRequests, 3*256)
	t.Logf("256 ranks: %d requests, %d ticks", sim.sentRequests, sim.tickCount-startTick)
}

// BenchmarkSwitch256 measures the processor time of one switch of 256 ranks,
// without the network.
func BenchmarkSwitch256(b *testing.B) {
	cfg := LeaderConfig{Group: "g", Ranks: 256, LeadSteps: 20, ResendInterval: time.Second, Timeout: time.Minute}
	regs := make([]*Register, cfg.Ranks)
	engines := make(map[Rank]RankEngine)
	for i := range regs {
		regs[i] = NewRegister(uint64(i + 1))
		engines[Rank(i)] = fakeEngine{regs[i]}
	}
	agent := NewAgent("g", engines)
	messages := 0
	for n := range b.N {
		l, out := NewLeader(cfg, Attempt{ProcessNonce: 1, Seq: uint64(n + 1)}, MapID(strconv.Itoa(n)), timeAt(0))
		for len(out) > 0 {
			var more []Request
			for _, req := range out {
				reply, _ := agent.Handle(b.Context(), req)
				messages += 2
				more = append(more, l.Handle(reply, timeAt(0))...)
			}
			out = more
		}
		for l.Outcome() == Switched && regs[0].Status().Hold != nil {
			for _, r := range regs {
				r.Advance()
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}
