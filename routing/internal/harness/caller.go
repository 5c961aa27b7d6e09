package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellwind.example/routing"
	"bluebellwind.example/routing/retry"
	"bluebellwind.example/verdict"
)

// request is what one caller wants, over all its tries.
type request struct {
	// rng draws what concerns this request alone, so that policies compared
	// meet the same requests whatever they do.
	rng          *rand.Rand
	organisation string
	heavy        bool
	priority     routing.Priority
	prefix       int
	tokens       int
	arrived      time.Duration
	// deadline is when the caller gives this try up without a first token.
	deadline time.Duration
	tries    int
	told     bool
	counted  bool
	answered bool
	gotFirst bool
}

// service is what an agent expects, which cannot know the answer's length.
func (q *request) service() time.Duration { return serviceTime }

// arrive creates the next request and schedules the one after it.
func (r *run) arrive() {
	load := r.Load
	o := &r.Overload
	if o.Peak > 0 && r.now >= o.PeakAt && r.now < o.PeakAt+o.PeakFor {
		load = o.Peak
	}
	rate := load * capacity(r.Servers)
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	q := r.newRequest()
	if q.counted {
		r.result.Arrived++
		if !q.heavy {
			r.result.LightArrived++
		}
	}
	r.ask(q)
}

func (r *run) newRequest() *request {
	q := &request{
		rng:      rand.New(rand.NewPCG(r.rng.Uint64(), 5)),
		prefix:   int(r.zipf.Uint64()),
		tokens:   1 + int(r.rng.ExpFloat64()*(meanTokens-1)),
		arrived:  r.now,
		priority: routing.Interactive,
		counted:  r.now >= r.Warmup,
	}
	if r.rng.Float64() < r.BatchShare {
		q.priority = routing.Batch
	}
	if r.rng.Float64() < r.HotPrefix {
		q.prefix = prefixes
	}
	q.organisation = fmt.Sprint("light", r.rng.IntN(organisations))
	if r.rng.Float64() < r.Overload.Heavy {
		q.organisation, q.heavy = "heavy", true
	}
	return q
}

// ask is one try of the caller: the platform's balancer picks an entry.
func (r *run) ask(q *request) {
	q.tries++
	if q.counted {
		r.result.Tries++
	}
	e := r.balance(q)
	q.deadline = r.now + time.Hour
	if r.Overload.Patience > 0 {
		q.deadline = r.now + r.Overload.Patience
	}
	a := &attempt{run: r, entry: e, req: q, asked: r.now}
	if r.Overload.Patience > 0 {
		r.after(r.Overload.Patience, a.giveUp)
	}
	a.send()
}

// balance picks an entry as the platform's balancer does, which knows a zone
// that is gone.
func (r *run) balance(q *request) *entry {
	for {
		e := r.entries[q.rng.IntN(len(r.entries))]
		if e.zone != r.goneZone {
			return e
		}
	}
}

// attempt is a caller's try on its way through an entry.
type attempt struct {
	*run
	entry  *entry
	req    *request
	asked  time.Duration
	number int
	tried  []string
	now    *try
	choice *routing.Choice
	over   bool
	// begun says that the first token has come, after which the caller stays.
	begun bool
}

func (a *attempt) send() {
	a.refresh(a.entry)
	block := []routing.BlockHash{routing.BlockHash(a.req.prefix)}
	want := routing.Request{
		Priority:     a.req.priority,
		PromptTokens: prefixTokens + ownTokens,
		Tried:        a.tried,
	}
	if !a.NoHints {
		want.Hints = a.entry.hints.Hints(nil, block, prefixTokens, a.time())
	}
	choice, err := a.entry.table.Pick(want, a.time())
	if err != nil {
		a.refused(verdict.From(err))
		return
	}
	a.number++
	a.choice = choice
	a.tried = append(a.tried, choice.Server)
	s := a.byName[choice.Server]
	if s.gone {
		a.after(connectTimeout, func() {
			a.entry.table.Exclude(s.name)
			a.entry.suspects[s.name] = a.run.now + suspicion
			a.retryOrRefuse(verdict.Refuse(verdict.Unavailable, verdict.NotRun, "cannot connect"))
		})
		return
	}
	t := &try{req: a.req, first: a.first, end: a.end}
	t.refused = a.retryOrRefuse
	a.now = t
	s.submit(t)
}

func (a *attempt) first() {
	if a.over {
		return
	}
	a.begun = true
	q := a.req
	a.choice.Progress(a.time())
	a.learnPrefix()
	if !q.counted || q.gotFirst {
		return
	}
	q.gotFirst = true
	a.result.Started++
	if a.now.hit {
		a.result.Hits++
	}
	took := a.run.now - q.arrived
	record(a.result.FirstToken, took)
	if q.priority == routing.Interactive {
		record(a.result.FirstTokenInteractive, took)
	}
	if q.tries == 1 {
		record(a.result.Seconds[a.run.now/time.Second].FirstTry, took)
	}
	if q.told {
		a.result.AcceptedAsTold++
	}
}

// learnPrefix spreads the cache event, late and with a third lost.
func (a *attempt) learnPrefix() {
	server, prefix := a.choice.Server, a.req.prefix
	block := []routing.BlockHash{routing.BlockHash(prefix)}
	lost := a.req.rng.IntN(3) == 0
	a.after(a.Lag, func() {
		if lost {
			a.entry.hints.RecordStored(server, block, a.time())
			return
		}
		for _, hints := range a.hints {
			hints.RecordStored(server, block, a.time())
		}
	})
}

func (a *attempt) end() {
	a.choice.Done()
	if a.over {
		return
	}
	a.over = true
	a.entry.budget.Success(a.req.organisation)
	if a.req.answered {
		return
	}
	a.req.answered = true
	a.result.Seconds[a.run.now/time.Second].Goodput += float64(a.req.tokens) / meanTokens / capacity(a.Servers)
	if a.req.counted {
		a.result.Answered++
		if !a.req.heavy {
			a.result.LightAnswered++
		}
	}
}

// retryOrRefuse lets the entry try another server within its budget.
func (a *attempt) retryOrRefuse(err *verdict.Error) {
	a.choice.Done()
	if a.over {
		return
	}
	if a.entry.budget.Allow(retry.Try{Organisation: a.req.organisation, Number: a.number, Verdict: err.Verdict}) {
		a.result.EntryRetries++
		a.send()
		return
	}
	a.refused(err)
}

// refused is the final answer of this try; the caller comes back as told.
func (a *attempt) refused(err *verdict.Error) {
	a.over = true
	record(a.result.Refusal, a.run.now-a.asked)
	wait := callerBackoff
	if err.RetryAfter > 0 {
		wait = err.RetryAfter
		a.req.told = true
		a.result.ReturnedAsTold++
	}
	a.again(wait)
}

// giveUp ends the caller's patience. Without cancel the server works on.
func (a *attempt) giveUp() {
	if a.over || a.begun {
		return
	}
	a.over = true
	if a.Overload.Cancel && a.now != nil && a.now.state != tryOver {
		a.choice.Done()
		a.now.server.cancel(a.now)
	}
	a.again(callerBackoff)
}

func (a *attempt) again(wait time.Duration) {
	if a.req.tries >= max(1, a.Overload.Tries) {
		if a.req.counted {
			a.result.Failed++
		}
		return
	}
	a.after(wait, func() { a.ask(a.req) })
}
