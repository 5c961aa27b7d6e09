package mapswitch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"time"
)

// simulation simulates a group of ranks with fake engines, their agents and an
// in-memory network in ticks of 1 ms of virtual time.
type simulation struct {
	rng          *rand.Rand
	tickCount    int // the current tick
	engines      []*Register
	agents       []*fakeAgent
	messages     []message
	unreachable  []bool // by rank, whether its agent is disconnected
	reliable     bool   // messages are neither lost nor duplicated and take one tick
	lastID       uint64 // last process identifier of an engine or agent
	wantedMap    MapID
	sentRequests int
	onSend       func(n int)     // called with sentRequests before each request is sent
	disabled     map[string]bool // names of the disabled mechanisms
}

// fakeAgent is the agent of one rank.
type fakeAgent struct {
	candidate      *Candidate
	candidateNonce uint64    // identifies the start of the agent's process
	pausedTicks    int       // ticks for which the agent remains paused
	inbox          []message // received while paused
	staleView      bool      // the agent does not see lower ranks as live
}

// message is a request or a reply on its way. The field forwarded marks a request
// that its agent has sent on to the engine.
type message struct {
	deliverAt, from int
	leaderNonce     uint64 // candidateNonce of the requesting agent
	req             *Request
	reply           *Reply
	to              int
	forwarded       bool
}

// fakeEngine adapts a Register to RankEngine. It needs no lock, because the
// simulation uses a single goroutine.
type fakeEngine struct{ r *Register }

func (e fakeEngine) Status(context.Context) (RankStatus, error) { return e.r.Status(), nil }
func (e fakeEngine) Arm(_ context.Context, o ArmOrder) error    { e.r.Arm(o); return nil }
func (e fakeEngine) Confirm(_ context.Context, a Attempt) error { e.r.Confirm(a); return nil }
func (e fakeEngine) Release(_ context.Context, a Attempt) error { e.r.Release(a); return nil }
func timeAt(tick int) time.Time                                 { return time.Unix(0, 0).Add(time.Duration(tick) * time.Millisecond) }
func disable(name string) map[string]bool                       { return map[string]bool{name: true} }
func disabledByEnv() map[string]bool                            { return disable(os.Getenv("BBW_WITHOUT")) }
func newSimulation(seed uint64, ranks int, disabled map[string]bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, wantedMap: "m1", unreachable: make([]bool, ranks), reliable: true}
	sim.engines = make([]*Register, ranks)
	sim.agents = make([]*fakeAgent, ranks)
	for i := range ranks {
		sim.agents[i] = &fakeAgent{}
		sim.replaceEngine(i)
		sim.restartAgent(i)
	}
	return sim
}

// replaceEngine replaces the engine of rank i by a new, blank process.
func (sim *simulation) replaceEngine(i int) {
	sim.lastID++
	sim.engines[i] = NewRegister(sim.lastID)
	sim.engines[i].unconditional = sim.disabled["condition"]
}

// restartAgent replaces the agent of rank i by a new process without state.
func (sim *simulation) restartAgent(i int) {
	sim.lastID++
	cfg := CandidateConfig{
		OwnRank:      Rank(i),
		Leader:       LeaderConfig{Group: "g", Ranks: len(sim.engines), LeadSteps: 12, ResendInterval: 15 * time.Millisecond, Timeout: 120 * time.Millisecond},
		StallTimeout: 100 * time.Millisecond, BackoffMin: 30 * time.Millisecond, BackoffMax: 500 * time.Millisecond,
	}
	c := NewCandidate(cfg, sim.lastID, rand.New(rand.NewPCG(sim.lastID, 7)))
	c.disabled = disabledMechanisms{unanimity: sim.disabled["unanimity"], secondPoll: sim.disabled["secondpoll"]}
	c.fixedAttempt = sim.disabled["attemptlabel"]
	*sim.agents[i] = fakeAgent{candidate: c, candidateNonce: sim.lastID}
}

// enqueue sends a message. Unless the network is reliable, one message in ten is
// lost, two in ten are duplicated, and a copy in four is delayed by up to 199
// more ticks.
func (sim *simulation) enqueue(m message) {
	m.deliverAt = sim.tickCount + 1
	if sim.reliable {
		sim.messages = append(sim.messages, m)
		return
	}
	copies := []int{1, 1, 1, 1, 1, 1, 1, 0, 2, 2}[sim.rng.IntN(10)]
	for range copies {
		m.deliverAt = sim.tickCount + 1 + sim.rng.IntN(3)
		if sim.rng.IntN(4) == 0 {
			m.deliverAt += sim.rng.IntN(200)
		}
		sim.messages = append(sim.messages, m)
	}
}

// send sends requests from the agent of a rank.
func (sim *simulation) send(from int, reqs []Request) {
	for i := range reqs {
		sim.sentRequests++
		if sim.onSend != nil {
			sim.onSend(sim.sentRequests)
		}
		sim.enqueue(message{from: from, leaderNonce: sim.agents[from].candidateNonce, req: &reqs[i], to: int(reqs[i].Rank)})
	}
}

// deliver delivers a message to its agent or, if it is forwarded, to the engine. A
// forwarded order takes effect even if the agent has restarted or is disconnected.
func (sim *simulation) deliver(m message) {
	a := sim.agents[m.to]
	switch {
	case m.forwarded:
		agent := NewAgent("g", map[Rank]RankEngine{Rank(m.to): fakeEngine{sim.engines[m.to]}})
		agent.ignoreProcess = sim.disabled["incarnation"]
		reply, err := agent.Handle(context.Background(), *m.req)
		if err == nil && !sim.unreachable[m.to] {
			sim.enqueue(message{from: m.to, leaderNonce: m.leaderNonce, reply: &reply, to: m.from})
		}
	case sim.unreachable[m.to]:
	case a.pausedTicks > 0:
		a.inbox = append(a.inbox, m)
	case m.req != nil:
		m.forwarded = true
		sim.enqueue(m)
	case m.leaderNonce == a.candidateNonce:
		sim.send(m.to, a.candidate.Handle(*m.reply, timeAt(sim.tickCount)))
	}
}

// tick advances the virtual time by one tick: it delivers the messages that are due
// and lets the agents act. The group runs a step in every second tick.
func (sim *simulation) tick() error {
	sim.tickCount++
	due := sim.messages
	sim.messages = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].deliverAt < due[j].deliverAt })
	for _, m := range due {
		if m.deliverAt > sim.tickCount {
			sim.messages = append(sim.messages, m)
			continue
		}
		sim.deliver(m)
	}
	for i, a := range sim.agents {
		sim.tickAgent(i, a)
	}
	if sim.tickCount%2 == 0 {
		return sim.runStep()
	}
	return nil
}

// tickAgent calls the candidate of rank i in every fourth tick. An agent that
// resumes after a pause receives its inbox in the next tick.
func (sim *simulation) tickAgent(i int, a *fakeAgent) {
	if a.pausedTicks > 0 {
		if a.pausedTicks--; a.pausedTicks == 0 {
			sim.messages = append(sim.messages, a.inbox...)
			a.inbox = nil
		}
		return
	}
	if sim.unreachable[i] || (sim.tickCount+i)%4 != 0 {
		return
	}
	v := View{WantedMap: sim.wantedMap, OwnStatus: sim.engines[i].Status()}
	for r := range sim.agents {
		if !a.staleView || r >= i {
			v.Live = append(v.Live, Rank(r))
		}
	}
	sim.send(i, a.candidate.Tick(v, timeAt(sim.tickCount)))
}

// runStep runs one step of the group if no rank is held, and checks that all ranks
// use the same label.
func (sim *simulation) runStep() error {
	first := sim.engines[0].Status().Step
	for _, e := range sim.engines {
		if s := e.Status(); s.Held() || s.Step != first {
			return nil
		}
	}
	label := sim.engines[0].Advance()
	for i, e := range sim.engines[1:] {
		if got := e.Advance(); got != label {
			return fmt.Errorf("tick %d step %d: rank 0 uses %v, rank %d uses %v", sim.tickCount, first, label, i+1, got)
		}
	}
	return nil
}

func (sim *simulation) runTicks(ticks int) error {
	for range ticks {
		if err := sim.tick(); err != nil {
			return err
		}
	}
	return nil
}

// recoverGroup ends all faults, requests a new map and runs until the group uses
// it. It returns an error if that takes more than maxTicks.
func (sim *simulation) recoverGroup(maxTicks int) error {
	sim.reliable, sim.onSend = true, nil
	for i, a := range sim.agents {
		sim.unreachable[i], a.staleView = false, false
		a.pausedTicks = min(a.pausedTicks, 1)
	}
	sim.wantedMap = "final"
	for range maxTicks {
		if err := sim.tick(); err != nil {
			return err
		}
		if s := sim.engines[0].Status(); s.InUse.Map == "final" && s.Hold == nil {
			return nil
		}
	}
	return fmt.Errorf("group has not recovered: map %q is not in use %d ticks after the last failure: %+v", sim.wantedMap, maxTicks, sim.statuses())
}

func (sim *simulation) statuses() (all []string) {
	for _, e := range sim.engines {
		all = append(all, e.Status().String())
	}
	return all
}
