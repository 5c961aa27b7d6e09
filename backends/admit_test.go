package backends

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/routing"
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
	var sent [gateways]int // Each sees its own only.
	for i := range 20 * int(arrivals) {
		now := time.Duration(float64(i) / arrivals * float64(time.Second))
		if i%15 == 0 { // A report each 200 ms.
			reported, sent = 0, [gateways]int{}
			for _, end := range ends {
				if end > now {
					reported++
				}
			}
		}
		g := i * 7 % gateways
		p := pressure{
			backlog:   routing.Backlog{Servers: 8, Slots: slots, Reported: reported, Sent: sent[g]},
			processes: gateways,
			service:   service,
		}
		if p.wait() > patienceOf(Need{Objective: 400 * time.Millisecond, Remaining: 8 * time.Second}) {
			refused++
			continue
		}
		sent[g]++
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

func TestReturningRequestsWaitLonger(t *testing.T) {
	fresh := Need{Objective: 400 * time.Millisecond, Remaining: 8 * time.Second}
	back := fresh
	back.Returned = true
	back.Remaining = 5 * time.Second
	assert.Equal(t, patienceOf(fresh), 200*time.Millisecond)
	assert.Equal(t, patienceOf(back), returnedWait)
	begun := back
	begun.Resumed = true
	assert.Equal(t, patienceOf(begun), 2*time.Second)
	back.Remaining = time.Second
	assert.Equal(t, patienceOf(back), 400*time.Millisecond)
}

// A slow rank or a map that has fallen behind makes passes longer than the pause
// that is on time: fewer requests run, until passes are short enough again.
func TestLongPassesLeaveSlotsUnused(t *testing.T) {
	const pause = 120 * time.Millisecond
	passOf := func(running int) time.Duration {
		return 40*time.Millisecond + time.Duration(running)*9*time.Millisecond
	}
	running := 12
	for range 20 {
		slots := usefulSlots(12, float64(running), passOf(running), pause)
		running = min(12, slots)
	}
	assert.Assert(t, passOf(running) <= pause, "passes take %v", passOf(running))
	assert.Assert(t, running >= 5, "%d run", running)
	assert.Equal(t, usefulSlots(12, 12, 90*time.Millisecond, pause), 12)
	assert.Equal(t, usefulSlots(12, 12, time.Second, pause), 4)
	assert.Equal(t, usefulSlots(12, 12, time.Second, 0), 12)
}

func TestFreeSlotsMeanNoWait(t *testing.T) {
	p := pressure{backlog: routing.Backlog{Servers: 8, Slots: 96, Reported: 80, Sent: 1}, processes: 9, service: time.Second}
	assert.Equal(t, p.wait(), time.Duration(0))
}
