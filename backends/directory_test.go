package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
	"bluebellwind.example/verdict"
)

var start = time.Unix(1000, 0)

// newTwoGroupDirectory publishes two open groups of four ranks with three slots
// each.
func newTwoGroupDirectory() *Directory {
	d := NewDirectory("z", 1)
	for g := range 2 {
		for rank := range 4 {
			d.Put(rankServer(g, rank, 1, true))
		}
	}
	return d
}

func rankServer(g, rank int, epoch uint64, open bool) Server {
	id := fmt.Sprintf("g%d-%d", g, rank)
	return Server{
		ID: id, Service: "llm", Address: id + ":1", Zone: "z", Slots: 3, Open: open,
		Group: Group{Name: fmt.Sprintf("g%d", g), Epoch: epoch, Rank: rank, Size: 4},
	}
}

func rankStatus(g, rank int, epoch uint64, up, open bool, at time.Time) Status {
	return Status{Up: up, Open: open, Group: rankServer(g, rank, epoch, open).Group, ReceivedAt: at}
}

func newPickRequest() PickRequest {
	return PickRequest{
		ServiceName: "llm", Service: &ingress.Service{Name: "llm", Engine: &ingress.Engine{Slots: 3, Step: 10 * time.Millisecond, AnswerTokens: 100}},
		StartObjective: 400 * time.Millisecond, UntilDeadline: 8 * time.Second, GatewayCount: 1,
	}
}

// countChoicesByGroup picks n servers and returns how often each group was chosen.
func countChoicesByGroup(t *testing.T, d *Directory, n int, now time.Time) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range n {
		c, err := d.Pick(newPickRequest(), now)
		assert.NilError(t, err)
		out[c.Group.Name]++
		c.Release()
	}
	return out
}

func TestOneLostRankTakesItsWholeGroupOut(t *testing.T) {
	d := newTwoGroupDirectory()
	assert.Equal(t, len(countChoicesByGroup(t, d, 8, start)), 2)
	d.UpdateStatus("g0-2:1", Status{Up: false, ReceivedAt: start})
	assert.Equal(t, countChoicesByGroup(t, d, 8, start)["g0"], 0)
}

func TestStalledGroupIsChosenLast(t *testing.T) {
	d := newTwoGroupDirectory()
	for i := range 5 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		for g := range 2 {
			for rank := range 4 {
				s := rankStatus(g, rank, 1, true, true, now)
				s.Running, s.LastPass = 1, uint64(100+g*i)
				d.UpdateStatus(fmt.Sprintf("g%d-%d:1", g, rank), s)
			}
		}
	}
	now := start.Add(900 * time.Millisecond)
	assert.Equal(t, countChoicesByGroup(t, d, 8, now)["g0"], 0)
	for rank := range 4 {
		d.UpdateStatus(fmt.Sprintf("g1-%d:1", rank), rankStatus(1, rank, 1, true, false, now))
	}
	assert.Equal(t, countChoicesByGroup(t, d, 8, now)["g0"], 8)
}

func TestGroupThatOpensInANewEpochIsTakenBack(t *testing.T) {
	d := newTwoGroupDirectory()
	d.MarkGroupBroken("g0-1", start.Add(10*time.Second))
	assert.Equal(t, countChoicesByGroup(t, d, 8, start)["g0"], 0)
	now := start.Add(time.Second)
	for rank := range 4 {
		d.UpdateStatus(fmt.Sprintf("g0-%d:1", rank), rankStatus(0, rank, 2, true, true, now))
	}
	assert.Assert(t, countChoicesByGroup(t, d, 8, now)["g0"] > 0)
}

func TestWordOfAnOlderEpochDoesNotCloseAGroup(t *testing.T) {
	d := newTwoGroupDirectory()
	d.Put(rankServer(0, 0, 2, true))
	d.Put(rankServer(0, 1, 1, false))
	assert.Assert(t, countChoicesByGroup(t, d, 8, start)["g0"] > 0)
}

func TestWithoutAnOpenGroupCallersComeBackLater(t *testing.T) {
	d := newTwoGroupDirectory()
	for g := range 2 {
		d.UpdateStatus(fmt.Sprintf("g%d-0:1", g), rankStatus(g, 0, 1, true, false, start))
	}
	_, err := d.Pick(newPickRequest(), start)
	e := verdict.AsError(err)
	assert.Equal(t, e.Verdict, verdict.NotRun)
	assert.Assert(t, e.RetryAfter >= groupRetryAfter)
}

func TestFullGroupsRefuseNewRequestsAtOnce(t *testing.T) {
	d := newTwoGroupDirectory()
	for g := range 2 {
		for rank := range 4 {
			s := rankStatus(g, rank, 1, true, true, start)
			s.Running, s.Waiting = 3, 1
			d.UpdateStatus(fmt.Sprintf("g%d-%d:1", g, rank), s)
		}
	}
	_, err := d.Pick(newPickRequest(), start)
	assert.Equal(t, verdict.AsError(err).Code, verdict.Overloaded)
	refusedBefore := newPickRequest()
	refusedBefore.RefusedBefore = true
	_, err = d.Pick(refusedBefore, start)
	assert.NilError(t, err)
}

func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	d := NewDirectory("z", 1)
	a := Server{ID: "a", Service: "app", Address: "a:1", Zone: "z", Slots: 1}
	b := a
	b.ID, b.Address = "b", "b:1"
	d.Put(a)
	d.Put(b)
	a.Draining = true
	d.Put(a)
	for range 5 {
		c, err := d.Pick(PickRequest{ServiceName: "app"}, start)
		assert.NilError(t, err)
		assert.Equal(t, c.ID, "b")
		c.Release()
	}
	d.Remove("b", 0, start)
	_, err := d.Pick(PickRequest{ServiceName: "app"}, start)
	assert.Equal(t, verdict.AsError(err).Code, verdict.Unavailable)
}

func TestFailingServerIsLeftOutLongerEachTime(t *testing.T) {
	h := &health{}
	h.recordFailure(start, false)
	assert.Assert(t, !h.excluded(start), "a single lost response excludes the server")
	now := start
	var exclusions []time.Duration
	for range 4 {
		h.recordFailure(now, true)
		exclusions = append(exclusions, h.excludedUntil.Sub(now))
		now = h.excludedUntil
		h.recordSuccess(now)
	}
	for i := 1; i < len(exclusions); i++ {
		assert.Assert(t, exclusions[i] > exclusions[i-1], "%v", exclusions)
	}
	h.recordSuccess(now.Add(exclusionResetAfter + time.Second))
	h.recordFailure(now.Add(exclusionResetAfter+2*time.Second), true)
	assert.Equal(t, h.excludedUntil.Sub(now.Add(exclusionResetAfter+2*time.Second)), firstExclusion)
}

// Two services with different engines. The pass times of one must not be scaled by the
// costs of the other's engine.
func TestPassTimesAreScaledByTheOwnEngine(t *testing.T) {
	d := newTwoGroupDirectory()
	other := rankServer(9, 0, 1, true)
	other.Service = "other"
	d.Put(other)
	for _, s := range []Server{rankServer(0, 0, 1, true), other} {
		status := Status{Up: true, Open: true, Group: s.Group, Running: 1, PassTime: 100 * time.Millisecond, ReceivedAt: start}
		d.UpdateStatus(s.Address, status)
	}
	steep := &ingress.Engine{Slots: 30, Step: time.Millisecond, PerSequence: time.Millisecond}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updatePassTimes("other", steep, start)
	assert.Assert(t, d.groups["g9"].fullPassTime > time.Second)
	assert.Assert(t, d.groups["g0"] == nil || d.groups["g0"].fullPassTime == 0, "the group of another service was scaled")
}

// A rank that is down runs nothing. Counted as one, it makes the others look idle and
// their passes longer than they are.
func TestRanksThatAreDownDoNotCountInTheMean(t *testing.T) {
	d := newTwoGroupDirectory()
	for rank := range 4 {
		s := rankStatus(0, rank, 1, rank != 3, true, start)
		s.Running = 3
		if rank == 3 {
			s.Running = 0
		}
		d.UpdateStatus(rankServer(0, rank, 1, true).Address, s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.meanRunningPerRank()["g0"], 3.0)
}
