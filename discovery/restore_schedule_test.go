package discovery

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/discovery/discoverypb"
)

// The schedules below draw restores of the source from older copies, cuts, frozen and
// restarted gateways, and late responses, in virtual time. Each version of the
// configuration revokes a key, so a gateway that takes an older one for the newest
// would accept a revoked key. Operators also evacuate zones: a gateway that takes its zones
// for complete although one is missing would send requests there.

const (
	simGateways = 4
	// simSpan is the time in which faults occur; it is followed by simCalm without.
	simSpan = 40 * time.Second
	simCalm = 8 * time.Second
	// simPollInterval is the time between two calls of a gateway.
	simPollInterval = 250 * time.Millisecond
	// simCopyInterval is the time between two copies of the source.
	simCopyInterval = 500 * time.Millisecond
	// simMaxCopyAge is the age of the oldest copy that is restored.
	simMaxCopyAge = 6 * time.Second
	// simMaxRewriteDelay is how long after a restore the operators take to publish
	// the newest configuration again.
	simMaxRewriteDelay = restoreSettleTime - 200*time.Millisecond
	// simConvergence is the time within which a gateway without faults uses a
	// configuration that was published again: the bound of the platform for a
	// configuration, with its extension after a disruption of the source.
	simConvergence = 7 * time.Second
	// simMaxProofAge is the age of the proof up to which a gateway accepts keys.
	simMaxProofAge = 4500 * time.Millisecond
)

// simEvent is a change of the source.
type simEvent struct {
	revision, version int64
	// zone is empty in a change of the configuration.
	zone ZoneChange
}

// simState is the state of the source that a copy preserves.
type simState struct {
	revision, version int64
	history           []simEvent
	// zones are the evacuated zones; the map is replaced at each change.
	zones map[string]bool
}

type simCopy struct {
	at    time.Duration
	state simState
}

// simSource is the source of all gateways of a schedule.
type simSource struct {
	simState
	era    int64
	down   bool
	copies []simCopy
	// noEra makes it state no era.
	noEra bool
}

func (s *simSource) write(version int64) {
	s.revision++
	s.version = version
	s.history = append(s.history[:len(s.history):len(s.history)], simEvent{revision: s.revision, version: version})
}

func (s *simSource) writeZone(zone string, evacuated bool) {
	s.revision++
	s.zones = maps.Clone(s.zones)
	delete(s.zones, zone)
	if evacuated {
		s.zones[zone] = true
	}
	change := ZoneChange{Zone: zone, Evacuated: evacuated}
	s.history = append(s.history[:len(s.history):len(s.history)], simEvent{revision: s.revision, zone: change})
}

func (s *simSource) statedEra() int64 {
	if s.noEra {
		return 0
	}
	return s.era
}

func (s *simSource) snapshot() *Snapshot {
	return &Snapshot{
		Era: s.statedEra(), Revision: s.revision, Config: newConfig(s.version), EvacuatedZones: slices.Sorted(maps.Keys(s.zones)),
	}
}

// changes returns nil if the source does not have the revision.
func (s *simSource) changes(after int64) *Changes {
	if after > s.revision {
		return nil
	}
	c := &Changes{Era: s.statedEra(), Revision: s.revision}
	for _, e := range s.history {
		switch {
		case e.revision <= after:
		case e.zone.Zone != "":
			c.Evacuations = append(c.Evacuations, e.zone)
		default:
			c.Config = newConfig(e.version)
		}
	}
	return c
}

// simGateway is one gateway with its faults, each of which lasts until a time.
type simGateway struct {
	follower               *Follower
	frozenUntil            time.Duration
	cutOffUntil, aloneTill time.Duration
	// calmSince is when the last fault of this gateway ended.
	calmSince time.Duration
	// usedVersion is the newest version that this incarnation has used.
	usedVersion int64
	// usedZones holds when the evacuations that this incarnation has put into effect were
	// acknowledged.
	usedZones map[string]time.Duration
	// sourceCall is set while a call to the source is in progress, incarnation counts
	// the starts.
	sourceCall  bool
	incarnation int
}

// simulation is one schedule.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	queue    simQueue
	source   simSource
	gateways [simGateways]*simGateway
	// acknowledgedAt is when each version was first acknowledged, newest the newest
	// of them.
	acknowledgedAt map[int64]time.Duration
	newest         int64
	// evacuatedAt is when the evacuation of each zone that the operators want evacuated
	// was acknowledged, and evacuatedIn the position at which it was last written.
	evacuatedAt map[string]time.Duration
	evacuatedIn map[string]position
	// sourceCalmSince is when the source was last restored or became reachable.
	sourceCalmSince time.Duration
	// end is when the schedule ends, at least simCalm after the last restore.
	end     time.Duration
	without string
	// failure is the first check that failed; empty if none.
	failure string
	// tracing says that trace is kept. It slows the schedule down, so it is used only
	// to play a failed one again.
	tracing bool
	trace   []string
	// taskCount orders tasks of the same time.
	taskCount int
}

type simTask struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simTask

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simTask)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.taskCount++
	heap.Push(&s.queue, simTask{s.now + d, s.taskCount, run})
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) log(format string, args ...any) {
	if !s.tracing {
		return
	}
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// delay draws the time that a message takes; some are late.
func (s *simulation) delay() time.Duration {
	if s.chance(0.08) {
		return s.between(100*time.Millisecond, 1500*time.Millisecond)
	}
	return s.between(time.Millisecond, 15*time.Millisecond)
}

// runSchedule plays the schedule of a seed and returns it with its failure, if any.
func runSchedule(t *testing.T, seed uint64, tracing bool) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 10 * time.Second, tracing: tracing,
		acknowledgedAt: make(map[int64]time.Duration), evacuatedAt: make(map[string]time.Duration),
		evacuatedIn: make(map[string]position), without: os.Getenv("BBW_WITHOUT"),
	}
	s.source.zones = make(map[string]bool)
	s.source.era = 1
	s.source.noEra = s.without == "era"
	s.publish()
	for i := range s.gateways {
		s.gateways[i] = &simGateway{}
	}
	for i := range s.gateways {
		s.start(i)
	}
	end := s.now + simSpan
	s.planFaults()
	s.every(simCopyInterval, end+simCalm, s.keepCopy)
	s.end = end + simCalm
	for s.failure == "" && s.now < s.end {
		task := heap.Pop(&s.queue).(simTask)
		s.now = task.at
		task.run()
	}
	for i, g := range s.gateways {
		s.require(g.follower.Table() != nil && g.follower.Table().Version() == s.newest, "gateway %d does not use version %d at the end", i, s.newest)
		age, ok := g.follower.ProofAge()
		s.require(ok && age <= simMaxProofAge, "gateway %d: the proof is %v old at the end", i, age)
		zones := g.follower.evacuations.sorted()
		s.require(slices.Equal(zones, slices.Sorted(maps.Keys(s.evacuatedAt))), "gateway %d: the zones %v are evacuated at the end, wanted %v", i, zones, s.evacuatedAt)
	}
	return s
}

// require records a failed check unless ok.
func (s *simulation) require(ok bool, format string, args ...any) {
	if ok || s.failure != "" {
		return
	}
	s.failure = fmt.Sprintf("%8.3f "+format, append([]any{s.now.Seconds()}, args...)...)
}

func (s *simulation) every(period, end time.Duration, f func()) {
	if s.now < end {
		f()
		s.after(period, func() { s.every(period, end, f) })
	}
}

func (s *simulation) keepCopy() {
	s.source.copies = append(s.source.copies, simCopy{s.now, s.source.simState})
}

// planFaults draws the faults and the configurations of the operators within simSpan.
func (s *simulation) planFaults() {
	for range 6 + s.rng.IntN(10) {
		s.after(s.between(0, simSpan), func() {
			if !s.source.down {
				s.publish()
			}
		})
	}
	for range 10 + s.rng.IntN(10) {
		s.after(s.between(0, simSpan), s.changeZone)
	}
	for range 2 + s.rng.IntN(2) {
		s.after(s.between(3*time.Second, simSpan-5*time.Second), s.drill)
	}
	for range 8 {
		s.after(s.between(0, simSpan-5*time.Second), func() { s.disturb(s.rng.IntN(simGateways)) })
	}
}

// publish writes a new version, which is acknowledged at once.
func (s *simulation) publish() {
	s.newest += 1 + s.rng.Int64N(3)
	s.source.write(s.newest)
	s.acknowledgedAt[s.newest] = s.now
	s.log("version %d is acknowledged at revision %d", s.newest, s.source.revision)
}

// changeZone begins or ends the evacuation of a zone.
func (s *simulation) changeZone() {
	if s.source.down {
		return
	}
	zone := []string{"za", "zb", "zc"}[s.rng.IntN(3)]
	_, evacuated := s.evacuatedAt[zone]
	s.source.writeZone(zone, !evacuated)
	s.evacuatedIn[zone] = position{s.source.era, s.source.revision}
	s.log("zone %s: evacuated %t, acknowledged at revision %d", zone, !evacuated, s.source.revision)
	if evacuated {
		delete(s.evacuatedAt, zone)
		return
	}
	s.evacuatedAt[zone] = s.now
	began := s.now
	s.after(simConvergence, func() {
		if at, still := s.evacuatedAt[zone]; !still || at != began || !s.checksZones() || s.source.down || s.sourceCalmSince > began {
			return
		}
		for i, g := range s.gateways {
			if g.calmSince < began-time.Second {
				_, inEffect := g.usedZones[zone]
				s.require(inEffect, "gateway %d does not evacuate zone %s in time", i, zone)
			}
		}
	})
}

// changeZonesAgain writes the changes of zones again that a restore has lost.
func (s *simulation) changeZonesAgain() {
	for _, zone := range []string{"za", "zb", "zc"} {
		if _, evacuated := s.evacuatedAt[zone]; evacuated != s.source.zones[zone] {
			s.source.writeZone(zone, evacuated)
			s.evacuatedIn[zone] = position{s.source.era, s.source.revision}
			s.log("zone %s: evacuated %t, published again at revision %d", zone, evacuated, s.source.revision)
		}
	}
}

// drill takes the source away for a moment and restores it from an older copy. A
// second drill may follow at once.
func (s *simulation) drill() {
	if s.source.down {
		return
	}
	s.source.down = true
	s.log("the source is away")
	s.after(s.between(50*time.Millisecond, 900*time.Millisecond), func() {
		oldest := s.now - s.between(500*time.Millisecond, simMaxCopyAge)
		restored := s.source.copies[0]
		for _, c := range s.source.copies {
			if c.at <= oldest {
				restored = c
			}
		}
		s.source.simState = restored.state
		s.source.era++
		s.source.down = false
		s.sourceCalmSince = s.now
		s.end = max(s.end, s.now+simCalm)
		s.log("the source is back in era %d with version %d at revision %d", s.source.era, s.source.version, s.source.revision)
		s.after(s.between(0, simMaxRewriteDelay), s.publishAgain)
		if s.chance(0.3) {
			s.after(s.between(100*time.Millisecond, 2*time.Second), s.drill)
		}
	})
}

// publishAgain writes the newest version again if the restore has lost it, sometimes
// after one that preceded it. Other writes may have come first, so that its revision
// is one that was given out before.
func (s *simulation) publishAgain() {
	if s.source.down {
		return
	}
	s.changeZonesAgain()
	if s.source.version == s.newest {
		return
	}
	for range s.rng.IntN(4) {
		s.source.revision++
	}
	if s.chance(0.3) && s.newest-1 > s.source.version {
		s.source.write(s.newest - 1)
	}
	s.source.write(s.newest)
	version, era, writtenAt := s.newest, s.source.era, s.now
	s.log("version %d is published again at revision %d", version, s.source.revision)
	s.after(simConvergence, func() {
		if s.source.era != era || s.source.down {
			return
		}
		for i, g := range s.gateways {
			if g.calmSince < writtenAt-time.Second {
				s.require(g.follower.Table() != nil && g.follower.Table().Version() >= version, "gateway %d does not use version %d in time", i, version)
			}
		}
	})
}

// disturb draws a fault of one gateway.
func (s *simulation) disturb(i int) {
	g := s.gateways[i]
	until := s.now + s.between(200*time.Millisecond, 4*time.Second)
	switch s.rng.IntN(4) {
	case 0:
		g.frozenUntil = max(g.frozenUntil, until)
		s.log("gateway %d freezes until %v", i, until)
	case 1:
		g.cutOffUntil = max(g.cutOffUntil, until)
		s.log("gateway %d is cut off from the source until %v", i, until)
	case 2:
		g.cutOffUntil, g.aloneTill = max(g.cutOffUntil, until), max(g.aloneTill, until)
		s.log("gateway %d is cut off from all until %v", i, until)
	case 3:
		until = s.now
		s.start(i)
	}
	g.calmSince = max(g.calmSince, until)
}

// start starts a gateway anew.
func (s *simulation) start(i int) {
	g := s.gateways[i]
	g.follower = newIdleFollower(&s.now)
	g.usedVersion, g.sourceCall = 0, false
	g.usedZones = make(map[string]time.Duration)
	g.incarnation++
	g.calmSince = s.now
	incarnation := g.incarnation
	s.log("gateway %d starts", i)
	var poll func()
	poll = func() {
		if g.incarnation != incarnation {
			return
		}
		if s.now < g.frozenUntil {
			s.after(g.frozenUntil-s.now, poll)
			return
		}
		s.callSource(i)
		if s.chance(0.4) {
			s.callPeer(i, s.rng.IntN(simGateways))
		}
		s.after(simPollInterval, poll)
	}
	s.after(s.between(0, simPollInterval), poll)
}

// deliver runs f when the gateway gets a response after delay d, unless it has been
// started anew since.
func (s *simulation) deliver(g *simGateway, d time.Duration, f func()) {
	incarnation := g.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case g.incarnation != incarnation:
		case s.now < g.frozenUntil:
			s.after(g.frozenUntil-s.now, arrive)
		default:
			f()
		}
	}
	s.after(d, arrive)
}

// callSource makes one call of a gateway to the source.
func (s *simulation) callSource(i int) {
	g := s.gateways[i]
	if g.sourceCall {
		return
	}
	g.sourceCall = true
	base, sentAt := g.follower.currentPosition(), s.now
	s.after(s.delay(), func() {
		if s.source.down || s.now < g.cutOffUntil {
			s.deliver(g, 500*time.Millisecond, func() { g.sourceCall = false })
			return
		}
		if base.revision == 0 {
			snapshot := s.source.snapshot()
			s.deliver(g, s.delay(), func() {
				g.sourceCall = false
				s.applied(i, g.follower.applySnapshot(base, snapshot, sentAt))
			})
			return
		}
		changes := s.source.changes(base.revision)
		s.deliver(g, s.delay(), func() {
			g.sourceCall = false
			if changes == nil {
				g.follower.resetRevision()
				return
			}
			s.applied(i, applied(g.follower.applyChanges(base, changes, sentAt)))
		})
	})
}

// callPeer makes one query of gateway i to another one.
func (s *simulation) callPeer(i, j int) {
	g, peer := s.gateways[i], s.gateways[j]
	if i == j || s.now < g.aloneTill || s.now < peer.aloneTill {
		return
	}
	question, sentAt := g.follower.newQuestion(), s.now
	s.deliver(peer, s.delay(), func() {
		reply, err := peer.follower.Published(s.t.Context(), question)
		if err != nil {
			return
		}
		if s.without == "era" {
			reply = &discoverypb.Reply{
				Version: reply.Version, Revision: reply.Revision, AgeUs: reply.AgeUs, Config: reply.Config, Servers: reply.Servers,
				PublishedVersion: reply.PublishedVersion, Format: reply.Format, Evacuated: reply.Evacuated,
			}
		}
		if s.without == "zones-of-peers" {
			reply.Evacuated = nil
		}
		s.deliver(g, s.delay(), func() { s.applied(i, g.follower.applyReply(reply, sentAt, strconv.Itoa(j))) })
	})
}

// applied is called after a response was applied.
func (s *simulation) applied(i int, err error) {
	f := s.gateways[i].follower
	if s.without == "settling" {
		f.eras.seenAt = -time.Hour
	}
	if s.without == "lost-zones" {
		f.evacuations.dropLost()
	}
	version := int64(0)
	if t := f.Table(); t != nil {
		version = t.Version()
	}
	if s.tracing {
		s.log("gateway %d: version %d, at %+v, proven at %v, error %v", i, version, f.at, time.Duration(f.provenAt.Load()), err)
	}
	s.check(i)
	s.checkZones(i)
}

// check checks that a gateway did not go back to an older version, and that its proof
// does not claim that a version was the newest after a newer one was acknowledged.
func (s *simulation) check(i int) {
	g := s.gateways[i]
	table := g.follower.Table()
	if table == nil {
		return
	}
	s.require(table.Version() >= g.usedVersion, "gateway %d goes back from version %d to %d", i, g.usedVersion, table.Version())
	g.usedVersion = table.Version()
	provenAt := time.Duration(g.follower.provenAt.Load())
	for version, at := range s.acknowledgedAt {
		if version > table.Version() {
			s.require(provenAt <= at,
				"gateway %d takes version %d for the newest at %v, but version %d was acknowledged at %v", i, table.Version(), provenAt, version, at)
		}
	}
}

// checksZones reports whether zones are checked. Without eras or settling, the schedules must
// be seen to fail by the configuration.
func (s *simulation) checksZones() bool { return s.without != "era" && s.without != "settling" }

// checkZones checks that a gateway does not lose a zone that is still to be evacuated, and
// that its proof does not cover an evacuation that it does not know.
func (s *simulation) checkZones(i int) {
	if !s.checksZones() {
		return
	}
	g := s.gateways[i]
	provenAt := time.Duration(g.follower.provenAt.Load())
	for zone, at := range s.evacuatedAt {
		_, known := g.follower.evacuations.zones[zone]
		// Before that position, the gateway may know an earlier evacuation.
		if in := s.evacuatedIn[zone]; known && g.follower.zonesAt.era == in.era && g.follower.zonesAt.revision >= in.revision {
			g.usedZones[zone] = at
		}
		used, before := g.usedZones[zone]
		s.require(known || !before || used != at, "gateway %d uses zone %s again, which is evacuated since %v", i, zone, at)
		s.require(known || provenAt <= at, "gateway %d takes its zones for complete at %v, but zone %s is evacuated since %v", i, provenAt, zone, at)
	}
	for zone := range g.usedZones {
		if _, still := s.evacuatedAt[zone]; !still {
			delete(g.usedZones, zone)
		}
	}
}

// simRegressionSeeds are schedules that failed once: a proof from before a restore covered a
// zone that was not taken over, and a reply of a peer moved the position of the zones back.
var simRegressionSeeds = []int{1697, 17428}

func TestNoRevokedKeyIsAcceptedAfterARestore(t *testing.T) {
	schedules := 1000
	if text := os.Getenv("BBW_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		schedules = n
	}
	seeds := slices.Clone(simRegressionSeeds)
	for seed := range schedules {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if runSchedule(t, uint64(seed), false).failure == "" {
			continue
		}
		s := runSchedule(t, uint64(seed), true)
		for _, line := range s.trace[max(0, len(s.trace)-60):] {
			t.Log(line)
		}
		t.Fatalf("seed %d: %s", seed, s.failure)
	}
}
