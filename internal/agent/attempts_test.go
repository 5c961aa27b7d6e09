package agent

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/verdict"
)

// seeds returns the number of random schedules to run: BBW_SEEDS, or 2000 by
// default.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("BBW_SEEDS"), 10, 32)
	if err != nil {
		return 2000
	}
	return n
}

// sentAttempt is an attempt from the point of view of its entry. ran counts its
// starts at the agent; notRun says that the entry was told that it did not run.
type sentAttempt struct {
	id          string
	incarnation uint64
	awakeAtSend time.Duration
	ran         int
	notRun      bool
	revoked     bool
}

// message delivers its content when it is called; the schedule decides when.
type message func()

// agentSimulation simulates an agent that restarts and is suspended, with
// messages that arrive late and out of order. A message is lost once the process
// has been awake for more than maxTransitTime since it was sent; while the process
// is suspended, messages wait without limit.
type agentSimulation struct {
	now        time.Time
	awake      time.Duration // The true time not suspended, independent of the agent's count.
	agent      *attemptTable
	startedIDs []string
	sent       map[string]*sentAttempt
	messages   []timedMessage
	suspended  bool
	lastID     int
}

// maxTransitTime is the longest that a message is in transit, in awake time. It is
// above the ten seconds after which the kernel closes a connection with
// unacknowledged bytes.
const maxTransitTime = 20 * time.Second

type timedMessage struct {
	deliver message
	sentAt  time.Duration
}

func newAgentSimulation() *agentSimulation {
	sim := &agentSimulation{now: time.Unix(1_800_000_000, 0), sent: map[string]*sentAttempt{}}
	sim.restart()
	return sim
}

func (sim *agentSimulation) restart() {
	sim.agent = newAttemptTable(uint64(sim.lastID) + 1)
	sim.agent.disabled = os.Getenv("BBW_WITHOUT")
	sim.agent.tick(sim.now)
	sim.lastID++
	sim.startedIDs = nil
	sim.messages = nil // Connections are closed when the process ends.
	sim.suspended = false
}

func (sim *agentSimulation) enqueue(m message) {
	sim.messages = append(sim.messages, timedMessage{deliver: m, sentAt: sim.awake})
}

func (sim *agentSimulation) sendStart() {
	sim.lastID++
	s := &sentAttempt{
		id:          fmt.Sprintf("attempt-%d", sim.lastID),
		incarnation: sim.agent.incarnation,
		awakeAtSend: sim.agent.awake.Total(),
	}
	sim.sent[s.id] = s
	sim.enqueue(func() { sim.receiveStart(s) })
}

func (sim *agentSimulation) receiveStart(s *sentAttempt) {
	if err := sim.agent.addQueued(s.id); err != nil {
		s.notRun = s.notRun || verdict.Of(err) == verdict.NotRun
		return
	}
	if err := sim.agent.markStarted(s.id); err != nil {
		return
	}
	s.ran++
	sim.startedIDs = append(sim.startedIDs, s.id)
}

func (sim *agentSimulation) sendRevoke(s *sentAttempt) {
	if s.revoked {
		return // An entry revokes an attempt at most once.
	}
	s.revoked = true
	sim.enqueue(func() {
		if sim.agent.revoke(s.id, s.incarnation, s.awakeAtSend) == verdict.NotRun {
			s.notRun = true
		}
	})
}

// advance moves the clock by d. The agent ticks only while it is not suspended.
func (sim *agentSimulation) advance(d time.Duration) {
	if sim.suspended {
		sim.now = sim.now.Add(d)
		return
	}
	for ; d > 0; d -= awakeTickInterval {
		sim.now = sim.now.Add(awakeTickInterval)
		sim.awake += awakeTickInterval
		sim.agent.tick(sim.now)
	}
}

// deliver removes message i and delivers it, unless it was in transit for too
// long. The process must not be suspended.
func (sim *agentSimulation) deliver(i int) {
	m := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if sim.awake-m.sentAt <= maxTransitTime {
		m.deliver()
	}
}

func (sim *agentSimulation) check(t *testing.T, seed uint64) {
	t.Helper()
	for _, s := range sim.sent {
		if s.ran > 1 || (s.ran > 0 && s.notRun) {
			t.Fatalf("seed %d: %s ran %d times and was told not run: %t", seed, s.id, s.ran, s.notRun)
		}
	}
}

func (sim *agentSimulation) step(rng *rand.Rand) {
	ids := make([]string, 0, len(sim.sent))
	for id := range sim.sent {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	switch action := rng.IntN(12); {
	case action <= 1:
		sim.sendStart()
	case action <= 3 && len(ids) > 0:
		sim.sendRevoke(sim.sent[ids[rng.IntN(len(ids))]])
	case action <= 7 && len(sim.messages) > 0 && !sim.suspended:
		sim.deliver(rng.IntN(len(sim.messages)))
	case action == 8 && len(sim.startedIDs) > 0 && !sim.suspended:
		sim.agent.finish(sim.startedIDs[0])
		sim.startedIDs = sim.startedIDs[1:]
	case action == 9:
		sim.advance([]time.Duration{1, 10, 240, 600}[rng.IntN(4)] * time.Second)
	case action == 10:
		sim.suspended = !sim.suspended
	case action == 11 && rng.IntN(4) == 0:
		sim.restart()
	}
}

// TestNotRunIsTrueUnderSchedules guards against an attempt that runs although its
// entry was told that it did not, and against one that runs twice. Either could
// come about when messages are delayed or reordered, or when the agent restarts or
// is suspended between a Start and its revocation.
func TestNotRunIsTrueUnderSchedules(t *testing.T) {
	revokedCount, unreportedCount := 0, 0
	for seed := range seeds() {
		rng := rand.New(rand.NewPCG(seed, 1))
		sim := newAgentSimulation()
		for range 20 + rng.IntN(130) {
			sim.step(rng)
			sim.check(t, seed)
		}
		for _, s := range sim.sent {
			if !s.revoked {
				continue
			}
			revokedCount++
			if !s.notRun && s.ran == 0 {
				unreportedCount++
			}
		}
	}
	t.Logf("schedules %d, violations 0, revoked %d, of which never ran and were not told so %d", seeds(), revokedCount, unreportedCount)
}

// A full table answered "may have run" for an attempt that waited for a slot, although the
// attempt is in the table and can be kept from starting.
func TestQueuedAttemptIsRevokedThoughTheTableIsFull(t *testing.T) {
	a := newAttemptTable(1)
	for i := range maxAttempts {
		assert.NilError(t, a.addQueued(fmt.Sprint(i)))
	}
	assert.Equal(t, a.revoke("7", 1, 0), verdict.NotRun)
	assert.Assert(t, a.markStarted("7") != nil, "a revoked attempt started")
	assert.Equal(t, a.revoke("another", 1, 0), verdict.MayHaveRun, "its revocation cannot be recorded")
	assert.Equal(t, len(a.states), maxAttempts)
}
