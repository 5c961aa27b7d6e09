package once

import (
	"errors"
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

// scheduleCount returns the number of random schedules to run: 2000, or the
// value of BBW_SEEDS for longer test runs.
func scheduleCount() uint64 {
	n, err := strconv.ParseUint(os.Getenv("BBW_SEEDS"), 10, 32)
	if err != nil {
		return 2000
	}
	return n
}

// startTime is the initial time of the simulated clock.
var startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// agentProcess is one incarnation of an agent. A killed process runs nothing
// any more. A paused process resumes later with the requests that it holds.
type agentProcess struct {
	journal *Journal
	// unfinished holds the claims of running requests, and unfinishedNonces the
	// nonces of their tickets by the same index.
	unfinished       []*Claim
	unfinishedNonces []Nonce
}

// simulation simulates backend servers whose agents are replaced, with one
// clock.
type simulation struct {
	now time.Time
	// current holds the current agent of each server.
	current map[string]*agentProcess
	paused  []*agentProcess
	// delayed holds the deliveries of tickets and outcomes that are still to
	// come.
	delayed []func()
	tickets []Ticket
	// runCounts counts the runs of each ticket's request.
	runCounts map[Nonce]int
	// toldNotRun holds the tickets for which a caller was told "not run".
	toldNotRun map[Nonce]bool
	// answers holds the bodies of all answers to each ticket.
	answers map[Nonce][]string
	// lastIncarnation is the last assigned incarnation.
	lastIncarnation uint64
}

func newSimulation() *simulation {
	sim := &simulation{now: startTime, current: map[string]*agentProcess{}, runCounts: map[Nonce]int{}, toldNotRun: map[Nonce]bool{}, answers: map[Nonce][]string{}}
	for _, s := range []string{"pledge-1", "pledge-2"} {
		sim.replaceAgent(s)
	}
	return sim
}

// replaceAgent starts a new incarnation of the agent on server.
func (sim *simulation) replaceAgent(server string) {
	sim.lastIncarnation++
	j := NewJournal(server, sim.lastIncarnation, Settings{Retention: 2 * time.Minute})
	j.disabledMechanism = os.Getenv("BBW_WITHOUT")
	sim.current[server] = &agentProcess{journal: j}
}

// deliver delivers a ticket to a process. If noSlot is set, a claim that may
// start is abandoned instead.
func (sim *simulation) deliver(p *agentProcess, t Ticket, noSlot bool) {
	claim, err := p.journal.Begin(t, DigestOf("POST", "/pledges", t.Nonce[:]), sim.now)
	if err != nil {
		sim.recordRefusal(t.Nonce, err)
		return
	}
	switch {
	case claim.Start && noSlot:
		claim.Abandon(verdict.Refuse(verdict.Overloaded, verdict.NotRun, "no slot"))
		sim.toldNotRun[t.Nonce] = true
	case claim.Start:
		sim.runCounts[t.Nonce]++
		p.unfinished = append(p.unfinished, claim)
		p.unfinishedNonces = append(p.unfinishedNonces, t.Nonce)
	default:
		sim.delayed = append(sim.delayed, func() { sim.recordOutcome(t, claim) })
	}
}

// recordOutcome records the outcome of an earlier attempt, if it is known.
func (sim *simulation) recordOutcome(t Ticket, claim *Claim) {
	select {
	case <-claim.Done():
	default:
		return
	}
	answer, refusal := claim.Outcome()
	if refusal != nil {
		sim.recordRefusal(t.Nonce, refusal)
		return
	}
	sim.answers[t.Nonce] = append(sim.answers[t.Nonce], string(answer.Body))
}

// recordRefusal records whether a refusal told the caller "not run".
func (sim *simulation) recordRefusal(n Nonce, err error) {
	if verdict.Of(err) == verdict.NotRun {
		sim.toldNotRun[n] = true
	}
}

// finishRun ends the i-th unfinished run of p, with an answer if complete.
func (sim *simulation) finishRun(p *agentProcess, i int, complete bool) {
	claim, nonce := p.unfinished[i], p.unfinishedNonces[i]
	p.unfinished = slices.Delete(p.unfinished, i, i+1)
	p.unfinishedNonces = slices.Delete(p.unfinishedNonces, i, i+1)
	if !complete {
		claim.Fail(verdict.Refuse(verdict.Interrupted, verdict.MayHaveRun, "connection lost"))
		return
	}
	claim.Finish(Answer{Status: 201, Body: fmt.Appendf(nil, "record %x run %d", nonce, sim.runCounts[nonce])})
}

// checkInvariants fails the test if a request ran more than once, ran although
// a caller was told "not run", or had two different answers.
func (sim *simulation) checkInvariants(t *testing.T, seed uint64) {
	t.Helper()
	for n, count := range sim.runCounts {
		if count > 1 {
			t.Fatalf("seed %d: ticket %x ran %d times", seed, n[:4], count)
		}
		if count > 0 && sim.toldNotRun[n] {
			t.Fatalf("seed %d: ticket %x was told not run and ran", seed, n[:4])
		}
	}
	for n, texts := range sim.answers {
		for _, text := range texts {
			if text != texts[0] {
				t.Fatalf("seed %d: ticket %x got two answers: %q and %q", seed, n[:4], texts[0], text)
			}
		}
	}
}

// randomEvent performs one random event.
func (sim *simulation) randomEvent(rng *rand.Rand) {
	server := []string{"pledge-1", "pledge-2"}[rng.IntN(2)]
	p := sim.current[server]
	switch rng.IntN(10) {
	case 0, 1:
		sim.tickets = append(sim.tickets, New("pledges", server, p.journal.incarnation, sim.now))
	case 2, 3, 4: // An immediate or delayed attempt at the current agent of the ticket's server.
		if len(sim.tickets) > 0 {
			ticket := sim.tickets[rng.IntN(len(sim.tickets))]
			noSlot := rng.IntN(4) == 0
			send := func() { sim.deliver(sim.current[ticket.Server], ticket, noSlot) }
			if rng.IntN(2) == 0 {
				sim.delayed = append(sim.delayed, send)
			} else {
				send()
			}
		}
	case 5:
		if len(p.unfinished) > 0 {
			i := rng.IntN(len(p.unfinished))
			sim.finishRun(p, i, rng.IntN(2) == 0)
		}
	case 6:
		sim.now = sim.now.Add(time.Duration(1+rng.IntN(90)) * time.Second)
	case 7: // The agent is killed or paused; a new incarnation replaces it.
		if rng.IntN(2) == 0 {
			sim.paused = append(sim.paused, p)
		}
		sim.replaceAgent(server)
	case 8:
		if len(sim.delayed) > 0 {
			i := rng.IntN(len(sim.delayed))
			event := sim.delayed[i]
			sim.delayed = slices.Delete(sim.delayed, i, i+1)
			event()
		}
	case 9: // A paused process resumes and handles an attempt that it had received.
		if len(sim.paused) > 0 && len(sim.tickets) > 0 {
			sim.deliver(sim.paused[rng.IntN(len(sim.paused))], sim.tickets[rng.IntN(len(sim.tickets))], false)
		}
	}
}

// TestAtMostOnceUnderSchedules guards against a second run of a request under
// random orders of retries, delays, outcomes and agent replacements.
func TestAtMostOnceUnderSchedules(t *testing.T) {
	tickets, runs := 0, 0
	for seed := range scheduleCount() {
		rng := rand.New(rand.NewPCG(seed, 2))
		sim := newSimulation()
		for range 20 + rng.IntN(130) {
			sim.randomEvent(rng)
			sim.checkInvariants(t, seed)
		}
		tickets += len(sim.tickets)
		runs += len(sim.runCounts)
	}
	t.Logf("schedules %d, violations 0, tickets %d, of which ran %d", scheduleCount(), tickets, runs)
}

func TestTwoTriesAtOnceRunOnce(t *testing.T) {
	j := NewJournal("pledge-1", 7, Settings{})
	j.disabledMechanism = os.Getenv("BBW_WITHOUT")
	ticket := New("pledges", "pledge-1", 7, startTime)
	starts := make(chan bool)
	for range 16 {
		go func() {
			claim, err := j.Begin(ticket, Digest{}, startTime)
			starts <- err == nil && claim.Start
		}()
	}
	n := 0
	for range 16 {
		if <-starts {
			n++
		}
	}
	assert.Equal(t, n, 1)
}

func TestFullJournalRefusesInsteadOfForgetting(t *testing.T) {
	j := NewJournal("pledge-1", 7, Settings{MaxBytes: 2 * recordOverheadBytes})
	first := New("pledges", "pledge-1", 7, startTime)
	claim, err := j.Begin(first, Digest{}, startTime)
	assert.NilError(t, err)
	claim.Finish(Answer{Status: 201, Body: make([]byte, recordOverheadBytes+1)})
	_, err = j.Begin(New("pledges", "pledge-1", 7, startTime), Digest{}, startTime)
	assert.NilError(t, err)
	_, err = j.Begin(New("pledges", "pledge-1", 7, startTime), Digest{}, startTime)
	assert.Equal(t, verdict.AsError(err).Code, verdict.Overloaded)
	assert.Assert(t, verdict.AsError(err).RetryAfter > 0)

	again, err := j.Begin(first, Digest{}, startTime)
	assert.NilError(t, err)
	_, refusal := again.Outcome()
	assert.Equal(t, refusal.Verdict, verdict.Ran, "an answer too large to keep must say that it ran")

	_, err = j.Begin(New("pledges", "pledge-1", 7, startTime.Add(DefaultRetention)), Digest{}, startTime.Add(DefaultRetention))
	assert.NilError(t, err)
	assert.Equal(t, j.Len(), 1)
	assert.Equal(t, j.Bytes(), int64(recordOverheadBytes))
}

func TestTicketIsBoundToItsOrganisation(t *testing.T) {
	s := NewSigner([]byte("0123456789abcdef0123456789abcdef"))
	ticket := New("pledges", "pledge-1", 7, startTime)
	text := s.Sign(ticket, "oakville")
	got, err := s.Verify(text, "oakville")
	assert.NilError(t, err)
	assert.Equal(t, got, ticket)
	for name, c := range map[string]struct {
		text, org string
		want      error
	}{
		"another organisation": {text, "delta", ErrForged},
		"another secret":       {NewSigner([]byte("x")).Sign(ticket, "oakville"), "oakville", ErrForged},
		"a caller's own key":   {"my-own-key", "oakville", ErrNotTicket},
		"a cut ticket":         {text[:len(text)/2], "oakville", ErrNotTicket},
		"too long":             {TicketPrefix + string(make([]byte, MaxTicketBytes)), "oakville", ErrNotTicket},
	} {
		_, err := s.Verify(c.text, c.org)
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", name, err)
	}
}
