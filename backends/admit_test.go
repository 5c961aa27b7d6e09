package backends

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"bluebellwind.example/admission"
	"bluebellwind.example/ingress"
)

// Half of the capacity is lost, and 75 requests a second arrive at 96 slots that
// each request holds for 1.8 s. The 53 a second that fit must start on time; the
// others must be refused at once instead of delaying everything in a queue.
func TestHalfTheCapacityServesWhatFits(t *testing.T) {
	const (
		slots             = 96
		serviceTime       = 1800 * time.Millisecond
		arrivalsPerSecond = 75.0
		gateways          = 9
	)
	rng := rand.New(rand.NewPCG(8, 9))
	served, refused, late := 0, 0, 0
	busyUntil := make([]time.Duration, slots)
	var ends []time.Duration
	var reported int
	var sendMeters [gateways]sendMeter // Each gateway knows only its own rate.
	var reportedAt time.Duration
	for i := range 20 * int(arrivalsPerSecond) {
		now := time.Duration(float64(i) / arrivalsPerSecond * float64(time.Second))
		if i%15 == 0 { // One status report every 200 ms.
			reported, reportedAt = 0, now
			for _, end := range ends {
				if end > now {
					reported++
				}
			}
		}
		g := i * 7 % gateways
		p := &pool{groups: 1, groupLoad: groupLoad{
			slots: slots, running: reported, reportAge: now - reportedAt, serviceTime: serviceTime, sendsPerSecond: sendMeters[g].rateAt(start.Add(now)),
		}}
		if !admit(newRequest(gateways), p, &pool{}, &admission.Demand{}).admitted {
			refused++
			continue
		}
		sendMeters[g].record(start.Add(now))
		slot := 0
		for s, until := range busyUntil {
			if until < busyUntil[slot] {
				slot = s
			}
		}
		begin := max(now, busyUntil[slot])
		busyUntil[slot] = begin + time.Duration(float64(serviceTime)*(0.3+1.4*rng.Float64()))
		ends = append(ends, busyUntil[slot])
		served++
		if begin-now > 300*time.Millisecond {
			late++
		}
	}
	capacity := 20 * slots / serviceTime.Seconds()
	assert.Assert(t, float64(served) > 0.93*capacity, "served %d of %.0f", served, capacity)
	assert.Assert(t, late*10 < served, "%d of %d started late", late, served)
	assert.Assert(t, refused > 0)
}

// newRequest returns a request for a stream that has not been refused before.
func newRequest(gateways int) *PickRequest {
	engine := &ingress.Engine{Slots: 10, Step: 5850 * time.Microsecond, PerSequence: 426 * time.Microsecond, Stride: 6, AnswerTokens: 139}
	return &PickRequest{
		Service: &ingress.Service{Engine: engine}, StartObjective: 400 * time.Millisecond, UntilDeadline: 8 * time.Second,
		MaxPause: 120 * time.Millisecond, GatewayCount: gateways,
	}
}

func TestReturningRequestsWaitLonger(t *testing.T) {
	fresh := newRequest(1)
	refusedBefore := newRequest(1)
	refusedBefore.RefusedBefore = true
	refusedBefore.UntilDeadline = 5 * time.Second
	assert.Equal(t, fresh.maxWait(false), 200*time.Millisecond)
	assert.Equal(t, refusedBefore.maxWait(false), refusedBeforeMaxWait)
	sentBefore := newRequest(1)
	sentBefore.SentBefore = true
	assert.Equal(t, sentBefore.maxWait(false), 2*time.Second)
	refusedBefore.UntilDeadline = time.Second
	assert.Equal(t, refusedBefore.maxWait(false), 400*time.Millisecond)
}

// One slow server lengthens all passes of its group. Requests that can be on time
// must go to the other group, and requests that are late anyway to the slow one, so
// that they occupy no slot of the fast group.
func TestLateRequestsLeaveTheirSlotsToOthers(t *testing.T) {
	onTime := &pool{groups: 1, groupLoad: groupLoad{slots: 320, running: 318, serviceTime: 2 * time.Second, passTime: 90 * time.Millisecond}}
	slow := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 60, serviceTime: 5 * time.Second, passTime: 230 * time.Millisecond}}
	refusedBefore := newRequest(9)
	refusedBefore.RefusedBefore = true
	assert.DeepEqual(t, admit(newRequest(9), onTime, slow, &admission.Demand{}), decision{admitted: true, maxWait: 200 * time.Millisecond}, cmp.AllowUnexported(decision{}))
	assert.Assert(t, admit(refusedBefore, onTime, slow, &admission.Demand{}).latePool)
	onTime.waiting = 100
	assert.Assert(t, admit(newRequest(9), onTime, slow, &admission.Demand{}).latePool, "the late pool must be used if the other has no slots")
	slow.waiting = 100
	assert.Assert(t, !admit(newRequest(9), onTime, slow, &admission.Demand{}).admitted)
	long := newRequest(9)
	long.AnswerTokens = 300
	slow.waiting = 0
	assert.Assert(t, !admit(long, onTime, slow, &admission.Demand{}).admitted, "the late pool cannot complete the answer before the deadline")
}

// expectedWait returns the estimated wait while the demand is not known.
func expectedWait(p *pool, gateways int) time.Duration {
	return p.estimateWait(newRequest(gateways), &admission.Demand{}).Wait
}

func TestUnknownServersTakeWhatIsKnownOfThem(t *testing.T) {
	p := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 90, reportAge: 300 * time.Millisecond, serviceTime: 2 * time.Second, sendsPerSecond: 20}}
	alone, shared := expectedWait(p, 1), expectedWait(p, 9)
	assert.Equal(t, alone, time.Duration(0))
	assert.Assert(t, shared > 500*time.Millisecond, "the requests of the other gateways are not counted: %v", shared)
}

// A slow rank or an outdated expert map makes passes longer than the pause limit.
// Each rank must then run fewer requests until its passes are short enough again.
func TestLongPassesLeaveSlotsUnused(t *testing.T) {
	const pause = 120 * time.Millisecond
	engine := newRequest(1).Service.Engine
	passTimeAt := func(running int, skew float64) time.Duration {
		return time.Duration(6 * skew * float64(engine.Step+time.Duration(running)*engine.PerSequence))
	}
	fullPassTime := scalePassTime(engine, engine.Slots, passTimeAt(7, 2.05), 7)
	slots := usableSlots(engine, fullPassTime, pause, 8*time.Second)
	assert.Assert(t, passTimeAt(slots, 2.05) <= pause, "passes take %v", passTimeAt(slots, 2.05))
	assert.Assert(t, slots >= 5, "%d slots may be used", slots)
	assert.Equal(t, usableSlots(engine, 90*time.Millisecond, pause, 8*time.Second), 10)
	assert.Equal(t, usableSlots(engine, time.Second, pause, 8*time.Second), 3)
	assert.Equal(t, usableSlots(engine, time.Second, 0, 8*time.Second), 10)
	assert.Assert(t, !alwaysLate(engine, fullPassTime, pause))
	assert.Assert(t, alwaysLate(engine, 4*fullPassTime, pause))
}

// The popularity of experts changes every few seconds. Slots must stay unused for a
// while after passes have become short, so that the next change delays no stream.
func TestLongPassesAreRemembered(t *testing.T) {
	var peak passPeak
	peak.observe(150*time.Millisecond, start)
	soon := peak.observe(70*time.Millisecond, start.Add(2*time.Second))
	assert.Assert(t, soon > 110*time.Millisecond, "%v", soon)
	later := peak.observe(70*time.Millisecond, start.Add(20*time.Second))
	assert.Assert(t, later < 72*time.Millisecond, "%v", later)
}

func TestFreeSlotsMeanNoWait(t *testing.T) {
	p := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 80, sendsPerSecond: 3, reportAge: 200 * time.Millisecond, serviceTime: time.Second}}
	assert.Equal(t, expectedWait(p, 9), time.Duration(0))
}

// Passes of a group exceed the pause limit whatever it runs. Its streams are late, and
// more of them can still end in time: unused slots would turn callers away for nothing.
func TestLateGroupUsesTheSlotsThatItsCallersCanWaitFor(t *testing.T) {
	const pause, timeLimit = 120 * time.Millisecond, 8 * time.Second
	engine := newRequest(1).Service.Engine
	fullPassTime := 170 * time.Millisecond
	for !alwaysLate(engine, fullPassTime, pause) {
		fullPassTime += time.Millisecond
	}
	assert.Equal(t, usableSlots(engine, fullPassTime, pause, 2*timeLimit), engine.Slots)
	assert.Assert(t, usableSlots(engine, fullPassTime, pause, timeLimit) > minSlots(engine))
	slots := usableSlots(engine, 240*time.Millisecond, pause, timeLimit)
	answerTime := scalePassTime(engine, slots, 240*time.Millisecond, float64(engine.Slots)) * time.Duration(engine.AnswerTokens/engine.Stride)
	assert.Assert(t, answerTime <= timeLimit/2 || slots == minSlots(engine), "%d slots, %v", slots, answerTime)
}

// A slow server made passes ten times as long. Once it is gone, the memory of its
// passes must not keep slots unused for seconds.
func TestPassesOfASlowServerAreForgotten(t *testing.T) {
	var peak passPeak
	peak.observe(700*time.Millisecond, start)
	after := peak.observe(70*time.Millisecond, start.Add(200*time.Millisecond))
	assert.Assert(t, after <= time.Duration(maxPeakRatio*70)*time.Millisecond, "%v", after)
}

// 98 gateways send 450 requests a second, unevenly, to 540 slots of which a fifth is
// free. Each sees only a few a second of its own, in clumps. Hardly any may refuse a
// request for a wait that there is not.
func TestManyGatewaysRefuseHardlyAnythingWhileSlotsAreFree(t *testing.T) {
	const (
		gateways          = 98
		arrivalsPerSecond = 450.0
	)
	rng := rand.New(rand.NewPCG(3, 4))
	p := &pool{groups: 2, groupLoad: groupLoad{slots: 540, running: 430, reportAge: 400 * time.Millisecond, serviceTime: 950 * time.Millisecond}}
	var meters [gateways]sendMeter
	refused, sent := 0, 0
	now := start
	for range 10 * int(arrivalsPerSecond) {
		now = now.Add(time.Duration(rng.ExpFloat64() / arrivalsPerSecond * float64(time.Second)))
		meter := &meters[min(rng.IntN(gateways), rng.IntN(gateways))] // Some get twice the mean.
		p.sendsPerSecond = meter.rateAt(now)
		meter.record(now)
		sent++
		if !admit(newRequest(gateways), p, &pool{}, &admission.Demand{}).admitted {
			refused++
		}
	}
	assert.Assert(t, refused*100 <= sent, "%d of %d requests were refused", refused, sent)
}

// A request that avoids a group competes with the more urgent requests of the other group
// only, not with those of the whole service.
func TestAvoidedGroupsTakeTheirPartOfTheDemand(t *testing.T) {
	demand := &admission.Demand{Known: true, PerSecond: [admission.Priorities]float64{100, 0, 50}, NewPerSecond: [admission.Priorities]float64{100, 0, 50}}
	r := newRequest(9)
	r.Priority = 2
	whole := &pool{groups: 2, groupLoad: groupLoad{slots: 640, running: 640, waiting: 64, serviceTime: 2 * time.Second}}
	half := &pool{groups: 1, demandShare: 0.5, groupLoad: groupLoad{slots: 320, running: 320, waiting: 32, serviceTime: 2 * time.Second}}
	difference := half.estimateWait(r, demand).Wait - whole.estimateWait(r, demand).Wait
	assert.Assert(t, difference.Abs() < 20*time.Millisecond, "%v", difference)
}

// A standby and another attempt are asked for by a request whose caller still waits. Their
// refusals were counted as promises, each attempt once more, and took capacity from callers
// that do return.
func TestRefusalPromisesOnlyWhatItsCallerIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		change            func(*PickRequest)
		waiting, promises int
	}{
		"new":      {func(*PickRequest) {}, 5, 1},
		"returned": {func(r *PickRequest) { r.RefusedBefore = true }, 5, 0},
		"sent":     {func(r *PickRequest) { r.SentBefore = true }, 20, 1},
		"further":  {func(r *PickRequest) { r.SentBefore, r.CallerUninformed = true, true }, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newColdDirectory()
			d.put(plainServer("a", 10), start)
			r := newColdRequest(true)
			r.Service.ColdPerSecond = 0
			r.StartObjective = 400 * time.Millisecond
			c.change(&r)
			d.UpdateStatus("a:1", Status{Up: true, Open: true, Running: 10, Waiting: c.waiting, ReceivedAt: start, PassTime: 10 * time.Millisecond})
			_, err := d.Pick(r, start)
			assert.ErrorContains(t, err, "all slots are taken")
			promised := 0
			for _, report := range d.DemandReports(0, start) {
				for _, service := range report.Services {
					for _, class := range service.Classes {
						for _, n := range class.Promised {
							promised += n
						}
					}
				}
			}
			assert.Equal(t, promised, c.promises)
		})
	}
}
