package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standingModel plays a deployment of 46 gateways and 64 servers of 10 slots in three zones
// in normal operation, with demand that is spread unevenly over the gateways.
type standingModel struct {
	rng      *rand.Rand
	budgeted bool
	gateways []*Budgets
	weights  []float64
	servers  []string
	running  []int
	// waiting has the requests that wait for a slot at each server, reported the loads of all
	// servers as the gateways know them, and own the requests that each gateway has sent since.
	waiting  [][]standingRequest
	reported []int
	own      [][]int
	actions  [][]func(now time.Time)
	// requests were offered; refused could not be placed, away were sent to another zone, and
	// waited waited for a slot for more than 0.1 s.
	requests, refused, away, waited int
}

type standingRequest struct {
	at      time.Time
	gateway int
	permit  *Permit
}

const (
	standingSlots    = 10
	standingDuration = 30 * time.Second
	reportPeriod     = 200 * time.Millisecond
)

func newStandingModel(seed uint64, budgeted bool) *standingModel {
	m := &standingModel{rng: rand.New(rand.NewPCG(seed, 3)), budgeted: budgeted}
	for i := range 64 {
		m.servers = append(m.servers, fmt.Sprintf("server-%02d", i))
	}
	m.running, m.reported, m.waiting = make([]int, 64), make([]int, 64), make([][]standingRequest, 64)
	m.actions = make([][]func(time.Time), standingDuration/coldTick)
	for i := range 46 {
		b := NewBudgets(zoneName(i % coldZones))
		b.SetSelf(fmt.Sprint("gateway-", i))
		for j := range 46 {
			if j != i {
				b.SetAlive(fmt.Sprint("gateway-", j), zoneName(j%coldZones), true, epoch)
			}
		}
		m.gateways, m.own = append(m.gateways, b), append(m.own, make([]int, 64))
		m.weights = append(m.weights, 0.3+1.4*m.rng.Float64())
	}
	m.weights[0] *= 3
	return m
}

func (m *standingModel) at(t time.Time, action func(now time.Time)) {
	if i := int(t.Sub(epoch)+coldTick-1) / int(coldTick); i < len(m.actions) {
		m.actions[i] = append(m.actions[i], action)
	}
}

func (m *standingModel) play(perSecond float64) {
	sum := 0.0
	for _, w := range m.weights {
		sum += w
	}
	for i := range m.actions {
		now := epoch.Add(time.Duration(i) * coldTick)
		for len(m.actions[i]) > 0 {
			actions := m.actions[i]
			m.actions[i] = nil
			for _, action := range actions {
				action(now)
			}
		}
		if now.Sub(epoch)%reportPeriod == 0 {
			for s := range m.servers {
				m.reported[s] = m.running[s] + len(m.waiting[s])
			}
			for g := range m.own {
				clear(m.own[g])
			}
		}
		for n := perSecond * coldTick.Seconds(); n > 0; n-- {
			if m.rng.Float64() < n {
				m.arrive(m.drawGateway(sum), now)
			}
		}
	}
}

func (m *standingModel) drawGateway(sum float64) int {
	draw := sum * m.rng.Float64()
	for i, w := range m.weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return 0
}

// arrive places a request at the server with the fewest requests, in the gateway's zone if
// there is a free slot.
func (m *standingModel) arrive(g int, now time.Time) {
	m.requests++
	b := m.gateways[g]
	b.Update(m.servers, boundA, always, now)
	best, bestLoad := -1, 0.0
	for s, id := range m.servers {
		if m.budgeted && !b.Open(id, now) {
			continue
		}
		load := float64(m.reported[s]+m.own[g][s]) + m.rng.Float64()
		if s%coldZones != g%coldZones {
			load += 0.5
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best < 0 {
		m.refused++
		return
	}
	m.own[g][best]++
	if best%coldZones != g%coldZones {
		m.away++
	}
	p := b.Take(m.servers[best], now)
	b.Send(m.servers[best], p, now)
	m.waiting[best] = append(m.waiting[best], standingRequest{now, g, p})
	m.begin(best, now)
}

// begin starts waiting requests of a server while it has free slots.
func (m *standingModel) begin(s int, now time.Time) {
	for m.running[s] < standingSlots && len(m.waiting[s]) > 0 {
		r := m.waiting[s][0]
		m.waiting[s] = m.waiting[s][1:]
		if now.Sub(r.at) > 100*time.Millisecond {
			m.waited++
		}
		m.running[s]++
		b := m.gateways[r.gateway]
		m.at(now.Add(time.Duration((0.1+0.3*m.rng.Float64())*float64(time.Second))), func(now time.Time) { b.Arrived(r.permit, now) })
		m.at(now.Add(time.Duration((1+2*m.rng.Float64())*float64(time.Second))), func(now time.Time) {
			m.running[s]--
			m.begin(s, now)
		})
	}
}

// A budget that applies to servers which are not cold refused and misplaced requests.
func TestStandingBudgetCostsNothingInNormalOperation(t *testing.T) {
	for _, perSecond := range []float64{224, 300} {
		for seed := range uint64(3) {
			free, budgeted := newStandingModel(seed, false), newStandingModel(seed, true)
			free.play(perSecond)
			budgeted.play(perSecond)
			t.Logf("%.0f requests a second, of %d: refused %d, to another zone %d, waited %d; without the budget %d, %d, %d",
				perSecond, budgeted.requests, budgeted.refused, budgeted.away, budgeted.waited, free.refused, free.away, free.waited)
			assert.Equal(t, budgeted.refused, 0)
			assert.Assert(t, budgeted.waited <= free.waited+budgeted.requests/200, "%d waited, without the budget %d", budgeted.waited, free.waited)
		}
	}
}
