package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// crashAfterLosses plays a whole request that comes every second at two processes in turn, both
// of which lose all they know at the given times, in seconds. It returns how often the request
// crashes a server.
func crashAfterLosses(losses ...float64) (crashes int) {
	start := func(seconds float64) []*Registry {
		processes := []*Registry{NewRegistry(1), NewRegistry(2)}
		if seconds > 0 {
			for _, r := range processes {
				r.SetStart(at(seconds))
			}
		}
		return processes
	}
	processes := start(0)
	for second := range 60 {
		now := float64(second) + 0.5
		if len(losses) > 0 && now > losses[0] {
			processes = start(losses[0])
			losses = losses[1:]
		}
		if held(processes[second%2], now, whole("deadly")) {
			continue
		}
		crashes++
		told := crash(processes[second%2], uint64(second), now, false, whole("deadly"))
		processes[(second+1)%2].Merge(told, at(now))
	}
	return crashes
}

// A request that crashes servers must not crash as many again each time that all processes
// are killed together.
func TestLossOfAllMemoryCostsOneCrash(t *testing.T) {
	assert.Equal(t, crashAfterLosses(), repeatStrikes)
	assert.Equal(t, crashAfterLosses(20), repeatStrikes+1)
	assert.Equal(t, crashAfterLosses(10, 25, 40), repeatStrikes+3)
}

// A request that no process can have forgotten must not be held after one crash: a process
// that starts learns from the others that they remember, also if there is nothing to tell.
func TestMemoryIsInheritedFromProcessesThatRanBefore(t *testing.T) {
	survivor, started := NewRegistry(1), NewRegistry(2)
	survivor.SetStart(at(0))
	started.SetStart(at(1000))
	started.ExtendMemory(survivor.MemoryAge(at(1001)), at(1001))
	crash(started, 1, 1002, false, whole("a"))
	assert.Assert(t, !held(started, 1002, whole("a")))

	young, alone := NewRegistry(3), NewRegistry(4)
	young.SetStart(at(1000))
	alone.SetStart(at(1001))
	alone.ExtendMemory(young.MemoryAge(at(1002)), at(1002))
	crash(alone, 1, 1003, false, whole("a"))
	assert.Assert(t, held(alone, 1003, whole("a")), "the other knows little more")
}

// A hold after one crash must end with the time in which a forgotten crash matters.
func TestRequestIsHeldAfterOneCrashOnlySoonAfterTheLoss(t *testing.T) {
	r := NewRegistry(1)
	r.SetStart(at(0))
	crash(r, 1, fullMemory.Seconds()-1, false, whole("early"))
	crash(r, 2, fullMemory.Seconds()+1, false, whole("late"))
	assert.Assert(t, held(r, fullMemory.Seconds()+2, whole("early")))
	assert.Assert(t, !held(r, fullMemory.Seconds()+2, whole("late")))
}

// A process that starts must be told of the requests that are held and of those that were
// struck some time ago; many recent strikes must not displace them.
func TestStartedProcessIsToldOfHeldAndOlderStrikes(t *testing.T) {
	r := NewRegistry(1)
	for server := range uint64(repeatStrikes) {
		crash(r, server, 0, false, whole("held"))
	}
	crash(r, 1, 30, false, whole("struck"))
	for server := range uint64(maxActive) {
		crash(r, 100+server, 55, false, NewTrait(WholeRequest, []byte("recent"), []byte{byte(server)}))
	}
	started := NewRegistry(2)
	_, _ = started.Merge(r.Remembered(at(60)), at(60))
	assert.Assert(t, held(started, 60, whole("held")), "displaced by recent strikes")

	r = NewRegistry(1)
	crash(r, 1, 30, false, whole("struck"))
	assert.Equal(t, len(r.Active(at(60))), 0)
	assert.Equal(t, len(r.Remembered(at(60))), 1)
}
