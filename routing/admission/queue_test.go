package admission

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bluebellwind.example/routing"
	"bluebellwind.example/verdict"
)

const (
	testSlots   = 4
	testService = time.Second
)

// queueSimulation drives a Queue in steps of 10 ms of simulated time. Each item
// that starts runs for its service time.
type queueSimulation struct {
	t            *rapid.T
	queue        *Queue
	now          time.Time
	endTimes     map[*Item]time.Time
	runningItems []*Item
	started      map[string]int
	refused      map[string]int
	hasOutcome   map[*Item]bool
}

func newQueueSimulation(t *rapid.T, cfg Config) *queueSimulation {
	q := NewQueue(cfg)
	q.fifo = os.Getenv("BBW_WITHOUT") == "fair-share"
	return &queueSimulation{
		t: t, queue: q, now: time.Unix(1_800_000_000, 0), endTimes: map[*Item]time.Time{},
		started: map[string]int{}, refused: map[string]int{}, hasOutcome: map[*Item]bool{},
	}
}

func (s *queueSimulation) recordOutcomes(out []Outcome) {
	for _, o := range out {
		assert.Assert(s.t, !s.hasOutcome[o.Item], "item got more than one outcome")
		s.hasOutcome[o.Item] = true
		if o.Err == nil {
			s.started[o.Item.Organisation]++
			s.endTimes[o.Item] = s.now.Add(o.Item.ServiceTime)
			s.runningItems = append(s.runningItems, o.Item)
			late := s.now.Sub(o.Item.latestStart())
			assert.Assert(s.t, late <= 0 || os.Getenv("BBW_WITHOUT") != "", "item started %v after its latest start", late)
			continue
		}
		s.refused[o.Item.Organisation]++
		assert.Equal(s.t, o.Err.Verdict, verdict.NotRun)
		if o.Err.Code == verdict.Overloaded {
			assert.Assert(s.t, o.Err.RetryAfter >= s.queue.cfg.MinRetryAfter && o.Err.RetryAfter <= s.queue.cfg.MaxRetryAfter)
		}
	}
	assert.Assert(s.t, s.queue.running <= testSlots && s.queue.queued <= s.queue.cfg.MaxQueued)
}

func (s *queueSimulation) offer(org string, p routing.Priority, timeout time.Duration) *Item {
	i, out := s.queue.Offer(Request{
		Organisation: org, Priority: p, ServiceTime: testService, Deadline: s.now.Add(timeout),
	}, s.now)
	s.recordOutcomes(out)
	return i
}

func (s *queueSimulation) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	stillRunning := s.runningItems[:0:0]
	for _, i := range s.runningItems {
		if s.endTimes[i].After(s.now) {
			stillRunning = append(stillRunning, i)
		}
	}
	items := s.runningItems
	s.runningItems = stillRunning
	for _, i := range items {
		if !s.endTimes[i].After(s.now) {
			s.recordOutcomes(s.queue.Done(i, s.now))
		}
	}
	s.recordOutcomes(s.queue.CheckDeadlines(s.now))
}

// TestWithinShareIsNeverRefused checks that an organisation that sends within
// its share is never refused, whatever overloading organisations send.
func TestWithinShareIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newQueueSimulation(t, Config{Slots: testSlots, MaxQueued: rapid.IntRange(8, 40).Draw(t, "queue")})
		heavyOrganisations := rapid.IntRange(1, 3).Draw(t, "heavy organisations")
		// Each of n organisations has a share of slots/n requests per second.
		// lightInterval is in steps of 10 ms and exceeds the interval of the
		// share by 5 steps.
		lightInterval := (testService/testSlots).Milliseconds()/10*int64(heavyOrganisations+1) + 5
		for tick := range int64(800) {
			for h := range heavyOrganisations {
				if rapid.IntRange(0, 19).Draw(t, "burst") == 0 {
					for range 5 {
						sim.offer(fmt.Sprint("heavy", h), routing.Standard, 6*time.Second)
					}
				}
			}
			if tick%lightInterval == 0 {
				sim.offer("light", routing.Standard, 6*time.Second)
			}
			sim.step()
		}
		assert.Equal(t, sim.refused["light"], 0)
		assert.Assert(t, sim.refused["heavy0"] > 0, "no request of an organisation above its share was refused")
	})
}

// TestEveryItemSettlesInTime checks under any load that each item either starts
// while its deadline can be met or is refused before its deadline.
func TestEveryItemSettlesInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxWait := time.Duration(rapid.IntRange(0, 3).Draw(t, "maximum wait")) * time.Second
		sim := newQueueSimulation(t, Config{Slots: testSlots, MaxQueued: 30, MaxWait: maxWait})
		offered := map[*Item]bool{}
		for range 200 {
			for range rapid.IntRange(0, 1).Draw(t, "offers") {
				org := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "org"))
				timeout := time.Duration(rapid.IntRange(0, 5000).Draw(t, "timeout")) * time.Millisecond
				offered[sim.offer(org, routing.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), timeout)] = true
			}
			sim.step()
			for i := range offered {
				if sim.hasOutcome[i] {
					delete(offered, i)
					continue
				}
				overdue := sim.now.Sub(i.latestStart())
				assert.Assert(t, overdue <= 2*deadlineCheckPeriod, "item could not meet its deadline for %v and was not refused", overdue)
			}
		}
	})
}

// TestGateRefusesAtOnce checks that a request that cannot meet its deadline is
// refused immediately instead of at the deadline, also while the server is
// stalled.
func TestGateRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Slots: 1})
		acquire := func(service, timeout time.Duration) (func(), time.Duration, error) {
			begin := time.Now()
			release, err := g.Acquire(context.Background(), Request{
				Organisation: "a", ServiceTime: service, Deadline: begin.Add(timeout),
			})
			return release, time.Since(begin), err
		}
		release, _, err := acquire(time.Second, time.Minute)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		release()
		release, _, err = acquire(10*time.Second, time.Minute)
		assert.NilError(t, err)
		go func() { _, _, _ = acquire(20*time.Second, time.Minute) }()
		synctest.Wait()
		_, took, err := acquire(10*time.Second, 25*time.Second)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Equal(t, took, time.Duration(0))
		assert.Assert(t, verdict.AsError(err).RetryAfter >= 5*time.Second, "%v", err)
		running, queued := g.Load()
		assert.Equal(t, running, 1)
		assert.Equal(t, queued[0], 1)
		release()
		synctest.Wait()
	})
}
