package backends

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// Half of the capacity is gone and 75 requests a second meet 96 slots of 1.8 s:
// the 53 a second that fit begin on time, the others are refused at once.
func TestHalfTheCapacityServesWhatFits(t *testing.T) {
	const (
		slots    = 96
		service  = 1800 * time.Millisecond
		arrivals = 75.0
		gateways = 9
	)
	rng := rand.New(rand.NewPCG(8, 9))
	served, refused, late := 0, 0, 0
	busy := make([]time.Duration, slots)
	var ends []time.Duration
	var reported int
	var sent [gateways]sendMeter // Each sees its own only.
	var reportedAt time.Duration
	for i := range 20 * int(arrivals) {
		now := time.Duration(float64(i) / arrivals * float64(time.Second))
		if i%15 == 0 { // A report each 200 ms.
			reported, reportedAt = 0, now
			for _, end := range ends {
				if end > now {
					reported++
				}
			}
		}
		g := i * 7 % gateways
		p := &pool{groups: 1, groupLoad: groupLoad{
			slots: slots, running: reported, age: now - reportedAt, service: service, sendRate: sent[g].perSecond(start.Add(now)),
		}}
		if !admit(newcomer(gateways), p, &pool{}).admitted {
			refused++
			continue
		}
		sent[g].sent(start.Add(now))
		at := 0
		for s, until := range busy {
			if until < busy[at] {
				at = s
			}
		}
		begin := max(now, busy[at])
		busy[at] = begin + time.Duration(float64(service)*(0.3+1.4*rng.Float64()))
		ends = append(ends, busy[at])
		served++
		if begin-now > 300*time.Millisecond {
			late++
		}
	}
	capacity := 20 * slots / service.Seconds()
	assert.Assert(t, float64(served) > 0.93*capacity, "served %d of %.0f", served, capacity)
	assert.Assert(t, late*10 < served, "%d of %d late", late, served)
	assert.Assert(t, refused > 0)
}

// newcomer is a request for a stream that was not refused before.
func newcomer(gateways int) *Need {
	engine := &ingress.Engine{Slots: 10, Step: 5850 * time.Microsecond, PerSequence: 426 * time.Microsecond, Stride: 6, AnswerTokens: 139}
	return &Need{
		Service: &ingress.Service{Engine: engine}, Objective: 400 * time.Millisecond, Remaining: 8 * time.Second,
		Pause: 120 * time.Millisecond, Processes: gateways,
	}
}

func TestReturningRequestsWaitLonger(t *testing.T) {
	fresh := newcomer(1)
	back := newcomer(1)
	back.Returned = true
	back.Remaining = 5 * time.Second
	assert.Equal(t, fresh.patience(false), 200*time.Millisecond)
	assert.Equal(t, back.patience(false), returnedWait)
	begun := newcomer(1)
	begun.Resumed = true
	assert.Equal(t, begun.patience(false), 2*time.Second)
	back.Remaining = time.Second
	assert.Equal(t, back.patience(false), 400*time.Millisecond)
}

// One slow server makes all passes of its group long: what can be on time goes to
// the other group, what is late anyway to the slow one, so that it takes no slot
// there.
func TestLateRequestsLeaveTheirSlotsToOthers(t *testing.T) {
	onTime := &pool{groups: 1, groupLoad: groupLoad{slots: 320, running: 318, service: 2 * time.Second, pass: 90 * time.Millisecond}}
	slow := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 60, service: 5 * time.Second, pass: 230 * time.Millisecond}}
	back := newcomer(9)
	back.Returned = true
	assert.DeepEqual(t, admit(newcomer(9), onTime, slow), decision{admitted: true, limit: 200 * time.Millisecond}, cmp.AllowUnexported(decision{}))
	assert.Assert(t, admit(back, onTime, slow).late)
	onTime.waiting = 100
	assert.Assert(t, admit(newcomer(9), onTime, slow).late, "late is better than not at all")
	slow.waiting = 100
	assert.Assert(t, !admit(newcomer(9), onTime, slow).admitted)
	long := newcomer(9)
	long.AnswerTokens = 300
	slow.waiting = 0
	assert.Assert(t, !admit(long, onTime, slow).admitted, "it could not end in time there")
}

func TestUnknownServersTakeWhatIsKnownOfThem(t *testing.T) {
	p := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 90, age: 300 * time.Millisecond, service: 2 * time.Second, sendRate: 20}}
	alone, shared := p.wait(1), p.wait(9)
	assert.Equal(t, alone, time.Duration(0))
	assert.Assert(t, shared > 500*time.Millisecond, "the other gateways send as much: %v", shared)
}

// A slow rank or a map that has fallen behind makes passes longer than the pause
// that is on time: fewer requests run, until passes are short enough again.
func TestLongPassesLeaveSlotsUnused(t *testing.T) {
	const pause = 120 * time.Millisecond
	engine := newcomer(1).Service.Engine
	passOf := func(running int, skew float64) time.Duration {
		return time.Duration(6 * skew * float64(engine.Step+time.Duration(running)*engine.PerSequence))
	}
	full := passAt(engine, engine.Slots, passOf(7, 2.05), 7)
	slots := usefulSlots(engine, full, pause)
	assert.Assert(t, passOf(slots, 2.05) <= pause, "passes take %v", passOf(slots, 2.05))
	assert.Assert(t, slots >= 5, "%d run", slots)
	assert.Equal(t, usefulSlots(engine, 90*time.Millisecond, pause), 10)
	assert.Equal(t, usefulSlots(engine, time.Second, pause), 3)
	assert.Equal(t, usefulSlots(engine, time.Second, 0), 10)
	assert.Assert(t, !alwaysLate(engine, full, pause))
	assert.Assert(t, alwaysLate(engine, 4*full, pause))
}

// Popularity changes every few seconds: slots stay unused for a while after passes
// have become short, so that the next change makes nothing late.
func TestLongPassesAreRemembered(t *testing.T) {
	var p passPeak
	p.observe(150*time.Millisecond, start)
	soon := p.observe(70*time.Millisecond, start.Add(2*time.Second))
	assert.Assert(t, soon > 110*time.Millisecond, "%v", soon)
	later := p.observe(70*time.Millisecond, start.Add(20*time.Second))
	assert.Assert(t, later < 72*time.Millisecond, "%v", later)
}

func TestFreeSlotsMeanNoWait(t *testing.T) {
	p := &pool{groups: 1, groupLoad: groupLoad{slots: 96, running: 80, sendRate: 3, age: 200 * time.Millisecond, service: time.Second}}
	assert.Equal(t, p.wait(9), time.Duration(0))
}
