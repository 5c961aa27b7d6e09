package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func part(name string) Trait { return NewTrait(PromptPart, []byte("model"), []byte(name)) }

func whole(name string) Trait { return NewTrait(WholeRequest, []byte(name)) }

func crash(r *Registry, server uint64, seconds float64, begun bool, traits ...Trait) []Suspicion {
	return r.RecordCrash(traits, Strike{Server: server, At: at(seconds), Begun: begun}, at(seconds))
}

func held(r *Registry, seconds float64, traits ...Trait) bool {
	return r.Decide(traits, at(seconds)).Held
}

func TestUnknownPartIsHeldAfterOneBegunAnswer(t *testing.T) {
	r := NewRegistry(1)
	r.RecordCompleted([]Trait{part("shared")}, at(0))
	crash(r, 1, 1, true, part("shared"), part("bad"), whole("one"))
	assert.Assert(t, held(r, 1, part("shared"), part("bad"), whole("two")))
	assert.Assert(t, !held(r, 1, part("shared"), whole("three")), "a known part is shared by sound requests")
	assert.Assert(t, !held(r, 1, whole("one")), "one crash says nothing about a whole request")
}

func TestUnknownPartIsHeldAfterTwoCrashesBeforeTheAnswer(t *testing.T) {
	r := NewRegistry(1)
	crash(r, 1, 1, false, part("a"))
	crash(r, 1, 1, false, part("a"))
	assert.Assert(t, !held(r, 1, part("a")), "one server")
	crash(r, 2, 1.2, false, part("a"))
	assert.Assert(t, held(r, 1.2, part("a")))
}

// A part that turned bad after it had been sound is held after three crashes.
func TestKnownPartIsHeldAfterThreeCrashesApart(t *testing.T) {
	r := NewRegistry(1)
	r.RecordCompleted([]Trait{part("a")}, at(0))
	crash(r, 1, 1, true, part("a"))
	crash(r, 2, 1.1, true, part("a"))
	crash(r, 3, 1.2, true, part("a"))
	assert.Assert(t, !held(r, 1.2, part("a")), "servers that crashed together")
	crash(r, 4, 3, true, part("a"))
	assert.Assert(t, !held(r, 3, part("a")))
	crash(r, 5, 5, true, part("a"))
	assert.Assert(t, held(r, 5, part("a")))
}

func TestWholeRequestIsHeldAfterThreeServers(t *testing.T) {
	r := NewRegistry(1)
	for server := range uint64(3) {
		assert.Assert(t, !held(r, float64(server), whole("a")))
		crash(r, server, float64(server), server%2 == 0, whole("a"))
	}
	assert.Assert(t, held(r, 3, whole("a")))
}

func TestCompletedAnswerClearsItsTraits(t *testing.T) {
	r := NewRegistry(1)
	crash(r, 1, 1, true, part("a"))
	changed := r.RecordCompleted([]Trait{part("a")}, at(2))
	assert.Equal(t, len(changed), 1)
	assert.Assert(t, !held(r, 2, part("a")))
	assert.Equal(t, len(r.RecordCompleted([]Trait{part("a")}, at(3))), 0, "nothing new")
}

func TestOneProbeAtATimeAndLongerHoldsAfterEachCrash(t *testing.T) {
	r := NewRegistry(1)
	crash(r, 1, 0, true, part("a"))
	d := r.Decide([]Trait{part("a")}, at(1))
	assert.Assert(t, d.Held)
	first := 1 + d.RetryAfter.Seconds()
	assert.Assert(t, first >= firstHold.Seconds() && first <= firstHold.Seconds()*(1+holdJitter), "%v", first)
	probe := r.Decide([]Trait{part("a")}, at(first+0.001))
	assert.Assert(t, probe.Probe && !probe.Held)
	assert.Equal(t, len(probe.Changed), 1, "the others are told")
	assert.Assert(t, held(r, first+1, part("a")), "a probe is under way")
	crash(r, 2, first+1.5, true, part("a"))
	d = r.Decide([]Trait{part("a")}, at(first+1.5))
	assert.Assert(t, d.Held && d.RetryAfter >= holdFactor*firstHold, "%v", d.RetryAfter)
}

// Two parts that always come together could never be probed.
func TestRequestWithTwoHeldPartsIsProbedLater(t *testing.T) {
	r := NewRegistry(1)
	crash(r, 1, 0, true, part("a"), part("b"))
	latest := firstHold.Seconds() * (1 + holdJitter)
	assert.Assert(t, held(r, latest, part("a"), part("b")))
	d := r.Decide([]Trait{part("a"), part("b")}, at(latest+combinedProbeDelay.Seconds()))
	assert.Assert(t, d.Probe)
	assert.Equal(t, len(d.Changed), 2)
}

func TestMergeTellsWhatTheOtherDoesNotKnow(t *testing.T) {
	reporter, knows, third := NewRegistry(1), NewRegistry(2), NewRegistry(3)
	knows.RecordCompleted([]Trait{part("sound")}, at(0))
	told := crash(reporter, 1, 1, true, part("sound"), part("bad"))
	answers, _ := knows.Merge(told, at(1.002))
	assert.Equal(t, len(answers), 1)
	third.Merge(told, at(1.002))
	assert.Assert(t, held(third, 1.002, part("sound")))
	_, learned := reporter.Merge(answers, at(1.004))
	assert.Equal(t, len(learned), 1)
	third.Merge(learned, at(1.006))
	for _, r := range []*Registry{reporter, knows, third} {
		assert.Assert(t, !held(r, 2, part("sound")))
		assert.Assert(t, held(r, 2, part("bad")))
	}
}

// Times that processes tell each other over and over must not move.
func TestTimesDoNotDriftByGossip(t *testing.T) {
	a, b := NewRegistry(1), NewRegistry(2)
	a.RecordCompleted([]Trait{part("a")}, at(0))
	crash(a, 1, 0.1, true, part("a"))
	crash(a, 2, 2, true, part("a"))
	crash(a, 3, 4, true, part("a"))
	now := 4.0
	for range 200 {
		now += 0.01
		b.Merge(a.Active(at(now)), at(now+0.005))
		a.Merge(b.Active(at(now+0.005)), at(now+0.01))
	}
	assert.Assert(t, held(a, now, part("a")))
	assert.Assert(t, held(b, now, part("a")))
}

func TestActiveIsBoundedAndForgets(t *testing.T) {
	r := NewRegistry(1)
	for i := range 100 {
		crash(r, uint64(i), float64(i)/100, false, whole(fmt.Sprint(i)))
	}
	assert.Equal(t, len(r.Active(at(1))), maxActive)
	assert.Equal(t, len(r.Active(at(60))), 0, "old strikes that hold nothing are not told")
	assert.Equal(t, len(r.Active(at(1+forgetAfter.Seconds()))), 0)
	assert.Equal(t, len(r.suspects), 0)
	for i := range maxSuspects + 10 {
		crash(r, 1, 700, false, whole(fmt.Sprint("b", i)))
	}
	assert.Equal(t, len(r.suspects), maxSuspects)
	for i := range 3 * maxCompletions {
		r.RecordCompleted([]Trait{part(fmt.Sprint(i))}, at(800))
	}
	assert.Assert(t, len(r.completions)+len(r.olderCompletions) <= 2*maxCompletions)
}

func TestTraitsOfDifferentFieldsDiffer(t *testing.T) {
	assert.Assert(t, NewTrait(PromptPart, []byte("ab"), []byte("c")) != NewTrait(PromptPart, []byte("a"), []byte("bc")))
	assert.Assert(t, part("a") != NewTrait(WholeRequest, []byte("model"), []byte("a")))
}
