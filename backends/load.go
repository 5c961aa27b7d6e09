package backends

import (
	"math"
	"time"

	"bluebellwind.example/ingress"
)

const (
	// passShare is the share of the longest pause that a pass should take.
	passShare = 0.9
	// leastSlots is the share of the slots that is always used.
	leastSlots = 0.34
	// peakMemory is the time in which a long pass loses most of its weight.
	// Popularity of experts changes every few seconds, and what ran then is late.
	peakMemory = 4 * time.Second
	// rateMemory is the time over which sent requests are averaged.
	rateMemory = time.Second
)

// groupLoad is how the ranks of one group stand together.
type groupLoad struct {
	// slots that may be used, and how many requests hold or await one.
	slots, running, waiting int
	// age of the reports, in the mean over the ranks.
	age time.Duration
	// pass is the time of one pass, service how long a request holds a slot.
	pass, service time.Duration
	// sendRate is how many requests a second this process sends there.
	sendRate float64
	// late says that streams of the group are not on time whatever runs there.
	late bool
	// stalled says that the group makes no passes.
	stalled bool
}

// pool is the load of several groups that a request may go to.
type pool struct {
	groupLoad
	groups int
}

func (p *pool) add(g groupLoad) {
	p.groups++
	p.slots += g.slots
	p.running += g.running
	p.waiting += g.waiting
	p.sendRate += g.sendRate
	share := 1 / float64(p.groups)
	p.age += time.Duration(share * float64(g.age-p.age))
	p.pass += time.Duration(share * float64(g.pass-p.pass))
	p.service += time.Duration(share * float64(g.service-p.service))
}

// wait is how long a new request waits for a slot, about. processes send there;
// each sees what it sent itself, and takes the others to send as much.
func (p *pool) wait(processes int) time.Duration {
	if p.slots == 0 || p.service == 0 {
		return 0
	}
	busy := float64(p.running + p.waiting)
	arrived := p.sendRate * float64(max(1, processes)) * p.age.Seconds()
	ended := min(busy, float64(p.slots)) * p.age.Seconds() / p.service.Seconds()
	over := busy + arrived - ended + 1 - float64(p.slots)
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(p.service) * over / float64(p.slots))
}

// passAt is how long a pass takes with n requests on each rank, when it takes
// known with running ones.
func passAt(e *ingress.Engine, n int, known time.Duration, running float64) time.Duration {
	at := func(n float64) float64 { return float64(e.Step) + n*float64(e.PerSequence) }
	if at(running) == 0 {
		return known
	}
	return time.Duration(float64(known) * at(float64(n)) / at(running))
}

// usefulSlots is how many slots of a rank may be used while a pass takes full
// with all of them. All streams of a group pause for each pass, so one request
// too many makes all of them late.
func usefulSlots(e *ingress.Engine, full, pause time.Duration) int {
	target := time.Duration(passShare * float64(pause))
	n := e.Slots
	for pause > 0 && n > fewestSlots(e) && passAt(e, n, full, float64(e.Slots)) > target {
		n--
	}
	return n
}

func fewestSlots(e *ingress.Engine) int { return max(1, int(leastSlots*float64(e.Slots))) }

// alwaysLate says that passes take longer than a pause may, however few requests
// run.
func alwaysLate(e *ingress.Engine, full, pause time.Duration) bool {
	return pause > 0 && passAt(e, fewestSlots(e), full, float64(e.Slots)) > pause
}

// passPeak remembers how long passes took lately, as they would with all slots
// in use. The zero value knows none.
type passPeak struct {
	full time.Duration
	at   time.Time
}

// observe takes a pass in and returns the peak.
func (p *passPeak) observe(full time.Duration, now time.Time) time.Duration {
	if !p.at.IsZero() && p.full > full {
		kept := math.Exp(-now.Sub(p.at).Seconds() / peakMemory.Seconds())
		full += time.Duration(kept * float64(p.full-full))
	}
	p.full, p.at = full, now
	return full
}

// sendMeter averages how many requests a second are sent. The zero value has
// seen none.
type sendMeter struct {
	rate float64
	at   time.Time
}

// sent notes one request.
func (m *sendMeter) sent(now time.Time) {
	m.rate = m.perSecond(now) + 1/rateMemory.Seconds()
	m.at = now
}

// perSecond is the rate at a time, requests a second.
func (m *sendMeter) perSecond(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/rateMemory.Seconds())
}
