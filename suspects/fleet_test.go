package suspects

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

// fakeFleet simulates a small fleet in ticks of 100 ms of virtual time. Each
// entry has its own registry, servers crash, and reports arrive with a delay.
type fakeFleet struct {
	rng               *rand.Rand
	tickCount         int // the current tick
	fingerprinter     *Fingerprinter
	registries        []*Registry
	servers           []*RunTracker
	lastServerID      uint64
	serverIDs         []uint64
	requests          []*clientRequest
	messages          []message
	maxDelayTicks     int             // upper limit of the random part of a report's delay
	partitionedEntry  int             // index of the entry whose reports take 400 ticks; -1 for none
	crashes           int             // servers crashed by the crasher
	uninformedCrashes int             // of these, in runs whose entry lacked an earlier crash report
	refused           map[string]bool // by text of a quarantined request, whether it is the crasher
	completed         int             // requests other than the crasher that completed
}

// clientRequest is a request that its caller retries until it completes or is
// refused for good. A crasher is a request that crashes the server that runs it.
type clientRequest struct {
	org, text       string
	lastCrashedText string // text of the last run that crashed a server; each retry is a new mutation of it
	fingerprint     Fingerprint
	crasher         bool
	nextTry         int // tick of the next attempt; 0 while running, -1 once completed or refused
	server          int
	run             RunID
	ticksLeft       int // ticks until the run completes or crashes its server
	reportsMade     int // crash reports about the crasher when the run started
	reportsKnown    int // of these, the reports that the entry had received
}

// message is an encoded report on its way to an entry.
type message struct {
	deliverAt, entry int // tick of delivery and index of the entry
	data             []byte
}

func newFakeFleet(seed uint64, entries, servers int) *fakeFleet {
	f := &fakeFleet{
		rng: rand.New(rand.NewPCG(seed, 2)), fingerprinter: NewFingerprinter("salt"),
		partitionedEntry: -1, refused: make(map[string]bool),
	}
	disabledName := os.Getenv("BBW_WITHOUT")
	for range entries {
		registry := NewRegistry()
		registry.disabled = disabledMechanisms{
			similarity: disabledName == "similarity", isolation: disabledName == "isolation",
			massLoss: disabledName == "massloss", clearance: disabledName == "clearance",
		}
		f.registries = append(f.registries, registry)
	}
	f.servers = make([]*RunTracker, servers)
	for i := range servers {
		f.serverIDs = append(f.serverIDs, uint64(i))
		f.startServer(i)
	}
	return f
}

func (f *fakeFleet) time() time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(f.tickCount) * 100 * time.Millisecond)
}

// startServer replaces server i by a new incarnation.
func (f *fakeFleet) startServer(i int) {
	f.lastServerID++
	f.servers[i] = NewRunTracker(f.lastServerID, "zone"+strconv.Itoa(i%3))
}

func (f *fakeFleet) randomWords(n int) string {
	var text strings.Builder
	for range n {
		fmt.Fprintf(&text, "%x ", f.rng.Uint32()>>8)
	}
	return text.String()
}

// sendReport sends each entry the report twice, to cover duplicate delivery.
func (f *fakeFleet) sendReport(r Report) {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	for i := range f.registries {
		delay := 1
		if f.maxDelayTicks > 0 {
			delay += f.rng.IntN(f.maxDelayTicks)
		}
		if i == f.partitionedEntry {
			delay = 400
		}
		f.messages = append(f.messages, message{f.tickCount + delay, i, data}, message{f.tickCount + 2*delay, i, data})
	}
}

// crashServer ends all runs on server i, whose callers retry after 3 to 7 ticks,
// and starts a new incarnation.
func (f *fakeFleet) crashServer(i int, cause Cause) {
	f.sendReport(f.servers[i].ReportCrash(cause, f.time()))
	for _, req := range f.requests {
		if req.nextTry == 0 && req.server == i {
			req.nextTry = f.tickCount + 3 + f.rng.IntN(5)
		}
	}
	f.startServer(i)
}

// submit sends a request through a random entry.
func (f *fakeFleet) submit(req *clientRequest) {
	entry := f.rng.IntN(len(f.registries))
	if req.crasher && f.crashes > 0 {
		req.text = f.mutate(req.lastCrashedText)
		req.fingerprint = f.fingerprinter.Fingerprint(req.org, []byte(req.text))
	}
	p := req.fingerprint
	decision := f.registries[entry].Decide(p, f.time())
	server := f.rng.IntN(len(f.servers))
	switch decision.Verdict {
	case Quarantined:
		f.refused[req.text] = req.crasher
		req.nextTry = -1
		return
	case Isolated:
		server, _ = HomeServer(decision.HomeKey, f.serverIDs)
	}
	run, ok := f.servers[server].Start(p, decision.Verdict == Isolated)
	if !ok {
		req.nextTry = f.tickCount + 10
		if decision.ExactMatch {
			req.nextTry = f.tickCount + 1
		}
		return
	}
	req.server, req.run, req.nextTry = server, run, 0
	req.ticksLeft = 20 + f.rng.IntN(60)
	if req.crasher {
		req.ticksLeft = 1 + f.rng.IntN(3)
		req.reportsMade, req.reportsKnown = f.crashes, len(f.registries[entry].suspectsByOrg[p.Organisation])
	}
}

// mutate replaces about one word in twenty and appends one, as a caller does who
// inserts a new key or date.
func (f *fakeFleet) mutate(text string) string {
	words := strings.Fields(text)
	for range 1 + len(words)/20 {
		words[f.rng.IntN(len(words))] = f.randomWords(1)
	}
	return strings.Join(words, " ") + " " + f.randomWords(1)
}

// tick advances the virtual time by one tick, delivers the messages that are due
// and processes all requests.
func (f *fakeFleet) tick() {
	f.tickCount++
	pending := f.messages[:0]
	for _, m := range f.messages {
		if m.deliverAt > f.tickCount {
			pending = append(pending, m)
			continue
		}
		r, err := Decode(m.data)
		if err != nil {
			panic(err)
		}
		f.registries[m.entry].Merge(r, f.time())
	}
	f.messages = pending
	for _, req := range f.requests {
		f.advance(req)
	}
}

// advance processes one request for one tick.
func (f *fakeFleet) advance(req *clientRequest) {
	switch {
	case req.nextTry < 0:
	case req.nextTry > 0:
		if f.tickCount >= req.nextTry {
			f.submit(req)
		}
	case req.ticksLeft > 0:
		req.ticksLeft--
	case req.crasher:
		f.crashes++
		req.lastCrashedText = req.text
		if req.reportsKnown < req.reportsMade {
			f.uninformedCrashes++
		}
		f.crashServer(req.server, ServerCrashed)
	default:
		req.nextTry = -1
		f.completed++
		if r, ok := f.servers[req.server].Finish(req.run, true, f.registries[(f.partitionedEntry+1)%len(f.registries)], f.time()); ok {
			f.sendReport(r)
		}
	}
}
