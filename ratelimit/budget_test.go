package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// boundA is the bound of a deployment with 46 gateways.
var boundA = Bound{PerSecond: 26, Overshoot: 1.5, Slack: 5}

func always(int) bool { return true }

// The shares of gateways that know each other add up to the bound less its reserve.
func TestPermitsAddUpToTheBound(t *testing.T) {
	for gateways := 1; gateways <= 320; gateways += 3 {
		for index := range 7 {
			sum := 0
			for position := range gateways {
				sum += share(boundA.requests(), position, gateways, index, 7)
			}
			assert.Equal(t, sum, boundA.requests(), "%d gateways", gateways)
		}
	}
	assert.Equal(t, boundA.requests(), 40)
	assert.Equal(t, Bound{}.requests(), 1)
}

// newBudgets returns the budgets of a gateway that knows no others and has run for long.
func newBudgets(servers ...string) *Budgets {
	b := NewBudgets("z")
	b.SetSelf("g0")
	b.Update(servers, Bound{PerSecond: 1, Overshoot: 1, Slack: 1}, always, epoch)
	return b
}

// A request that is late on its way reaches the server together with the next one, unless
// the next one waits until the server has answered the first.
func TestPermitIsInUseUntilASecondAfterTheAnswer(t *testing.T) {
	b := newBudgets("a")
	p, q := b.Take("a", epoch), b.Take("a", epoch)
	assert.Assert(t, b.Send("a", p, epoch) && b.Send("a", q, epoch))
	assert.Assert(t, !b.Open("a", epoch))
	b.Arrived(p, epoch.Add(700*time.Millisecond))
	assert.Assert(t, !b.Open("a", epoch.Add(1600*time.Millisecond)))
	assert.Assert(t, b.Open("a", epoch.Add(1800*time.Millisecond)))
	b.Take("a", epoch.Add(1800*time.Millisecond))
	assert.Assert(t, !b.Open("a", epoch.Add(maxTransit)), "one has no answer")
	assert.Assert(t, b.Open("a", epoch.Add(maxTransit+budgetWindow)))
}

// A gateway that was frozen sent what it had chosen before.
func TestChoiceOfAFrozenGatewayIsNotSent(t *testing.T) {
	b := newBudgets("a")
	p := b.Take("a", epoch)
	assert.Assert(t, !b.Send("a", p, epoch.Add(2*time.Second)))
	b.Return("a", p)
	assert.Assert(t, b.Open("a", epoch.Add(2*time.Second)))
}

// The permits of a gateway may have become fewer since it chose a server.
func TestChoiceIsCheckedAgainBeforeItIsSent(t *testing.T) {
	b := newBudgets("a")
	p, q := b.Take("a", epoch), b.Take("a", epoch)
	assert.Assert(t, b.Send("a", p, epoch))
	b.SetAlive("g1", "z", true, epoch)
	b.Update([]string{"a"}, Bound{PerSecond: 1, Overshoot: 1, Slack: 1}, always, epoch)
	assert.Assert(t, !b.Send("a", q, epoch))
}

// A request that was sent twice under one permit would count once.
func TestPermitIsForOneRequest(t *testing.T) {
	b := newBudgets("a")
	p := b.Take("a", epoch)
	assert.Assert(t, b.Send("a", p, epoch))
	assert.Assert(t, !b.Send("a", p, epoch))
}

// A process that has started again does not know what it sent a moment ago.
func TestStartedGatewaySendsNothingAtFirst(t *testing.T) {
	b := newBudgets("a")
	b.SetStarted(epoch)
	assert.Assert(t, !b.Open("a", epoch.Add(joinTime/2)))
	next, ok := b.Next("a", epoch.Add(joinTime/2))
	assert.Assert(t, ok)
	assert.Equal(t, next, epoch.Add(joinTime))
	assert.Assert(t, b.Open("a", next))
}

// A gateway that starts in a zone that is cut off took the shares of all other zones.
func TestSilentZonesKeepTheirShare(t *testing.T) {
	servers := []string{"a", "b", "c"}
	b := NewBudgets("z")
	b.SetServerZones([]string{"z", "y", "x"})
	b.SetSelf("g0")
	b.SetAlive("g1", "z", true, epoch)
	b.Update(servers, boundA, always, epoch)
	assert.Equal(t, b.accounts["a"].permits, 7)
	b.SetAlive("g2", "y", true, epoch)
	b.SetAlive("g3", "x", true, epoch)
	b.Update(servers, boundA, always, epoch)
	b.Update(servers, boundA, always, epoch.Add(handoverTime))
	assert.Equal(t, b.accounts["a"].permits, 10)
}

// When a zone restarted under new names, permits moved between gateways at once, and some were
// used by both within a second.
func TestMorePermitsAreUsedAfterAHandover(t *testing.T) {
	a := &account{permits: 2}
	a.setPermits(4, epoch)
	a.setPermits(3, epoch.Add(handoverTime/2))
	assert.Equal(t, a.permits, 2)
	a.setPermits(4, epoch.Add(handoverTime))
	assert.Equal(t, a.permits, 3, "the least of the meantime")
	a.setPermits(1, epoch.Add(handoverTime))
	assert.Equal(t, a.permits, 1, "fewer count at once")
	a.setPermits(2, epoch.Add(2*handoverTime))
	assert.Equal(t, a.permits, 1, "the time starts again")
}

// coldModel plays gateways that send as much as they may to servers that become cold at once
// and unannounced. Requests and answers are delayed; gateways are cut off, frozen, restarted
// and replaced.
type coldModel struct {
	rng      *rand.Rand
	gateways []*coldGateway
	servers  []string
	bound    Bound
	// actions holds what happens by tick.
	actions  [][]func(now time.Time)
	arrivals [][]time.Time
	// cutZone is the zone that is cut off from the others, in [cutFrom, cutUntil); -1 for
	// none.
	cutZone           int
	cutFrom, cutUntil time.Time
	started           int
	// saturated says that nothing disturbs the gateways, and that together they have twice as
	// many requests as they have permits or more.
	saturated bool
}

// coldGateway is a place in the fleet, whose process may be replaced.
type coldGateway struct {
	id          string
	zone        int
	weight      float64
	budgets     *Budgets
	frozenUntil time.Time
	// cutUntil is until when the gateway is cut off from all gateways and servers.
	cutUntil time.Time
	downTill time.Time
}

const (
	coldTick     = 10 * time.Millisecond
	coldDuration = 9 * time.Second
	coldZones    = 3
)

func zoneName(z int) string { return fmt.Sprint("zone-", z) }

func newColdModel(seed uint64) *coldModel {
	rng := rand.New(rand.NewPCG(seed, 2))
	m := &coldModel{rng: rng, bound: Bound{PerSecond: float64(8 + rng.IntN(60)), Overshoot: 1 + rng.Float64(), Slack: float64(rng.IntN(10))}, cutZone: -1}
	if rng.IntN(2) == 0 {
		m.bound = boundA
	}
	for i := range 1 + rng.IntN(4) {
		m.servers = append(m.servers, fmt.Sprint("server-", i))
	}
	m.arrivals = make([][]time.Time, len(m.servers))
	m.actions = make([][]func(time.Time), coldDuration/coldTick)
	for i := range 4 + rng.IntN(57) {
		g := &coldGateway{id: fmt.Sprint("gateway-", i), zone: i % coldZones, weight: 0.3 + rng.Float64()}
		m.gateways = append(m.gateways, g)
	}
	for _, g := range m.gateways {
		g.budgets = m.newProcess(g)
		for _, other := range m.gateways {
			if other != g && os.Getenv("BBW_WITHOUT") != "budget" {
				g.budgets.SetAlive(other.id, zoneName(other.zone), true, epoch)
			}
		}
	}
	if rng.IntN(3) == 0 {
		m.cutZone = rng.IntN(coldZones)
		m.cutFrom = m.randomTime()
		m.cutUntil = m.cutFrom.Add(time.Duration(rng.Float64() * float64(8*time.Second)))
	}
	disturbances := rng.IntN(4)
	for range disturbances {
		m.disturbOne()
	}
	zoneRestarts := rng.IntN(4) == 0
	if zoneRestarts {
		m.restartZone()
	}
	m.saturated = disturbances == 0 && !zoneRestarts && m.cutZone < 0
	return m
}

func (m *coldModel) newProcess(g *coldGateway) *Budgets {
	b := NewBudgets(zoneName(g.zone))
	b.SetSelf(g.id)
	b.SetServerZones([]string{zoneName(0), zoneName(1), zoneName(2)})
	return b
}

func (m *coldModel) randomTime() time.Time {
	return epoch.Add(time.Duration(m.rng.Float64() * float64(coldDuration)))
}

// at lets an action happen at a time; it is dropped if that is after the end.
func (m *coldModel) at(t time.Time, action func(now time.Time)) {
	if i := int(t.Sub(epoch)+coldTick-1) / int(coldTick); i < len(m.actions) {
		m.actions[i] = append(m.actions[i], action)
	}
}

func (m *coldModel) disturbOne() {
	g := m.gateways[m.rng.IntN(len(m.gateways))]
	span := time.Duration(m.rng.Float64() * float64(5*time.Second))
	switch m.rng.IntN(4) {
	case 0:
		m.at(m.randomTime(), func(now time.Time) { g.frozenUntil = now.Add(span) })
	case 1:
		m.at(m.randomTime(), func(now time.Time) { g.cutUntil = now.Add(span) })
	case 2:
		m.at(m.randomTime(), func(now time.Time) { m.restart(g, false, now) })
	case 3:
		m.at(m.randomTime(), func(now time.Time) { m.restart(g, true, now) })
	}
}

// restartZone restarts all gateways of a zone, some of which get another name.
func (m *coldModel) restartZone() {
	zone, from, renamed := m.rng.IntN(coldZones), m.randomTime(), m.rng.IntN(2) == 0
	for _, g := range m.gateways {
		if g.zone == zone {
			m.at(from.Add(time.Duration(m.rng.Float64()*float64(time.Second))), func(now time.Time) { m.restart(g, renamed, now) })
		}
	}
}

// restart replaces the process of a gateway, which hears of those gateways that it reaches.
func (m *coldModel) restart(g *coldGateway, renamed bool, now time.Time) {
	if renamed {
		m.started++
		g.id = fmt.Sprint(g.id, "-", m.started)
	}
	up := now.Add(time.Duration((0.05 + m.rng.Float64()) * float64(time.Second)))
	b := m.newProcess(g)
	b.SetStarted(up)
	if os.Getenv("BBW_WITHOUT") == "join" {
		b.SetStarted(time.Time{})
	}
	g.budgets, g.downTill, g.frozenUntil = b, up, time.Time{}
	for _, other := range m.gateways {
		if other != g {
			m.meet(g, other, up)
		}
	}
}

// meet lets two gateways hear of each other once they reach each other.
func (m *coldModel) meet(g, other *coldGateway, now time.Time) {
	b, otherBudgets := g.budgets, other.budgets
	heard := now.Add(time.Duration((0.05 + 1.2*m.rng.Float64()) * float64(time.Second)))
	m.at(heard, func(now time.Time) {
		if g.budgets != b || other.budgets != otherBudgets {
			return
		}
		if !m.reach(g, other, now) {
			m.meet(g, other, now)
			return
		}
		b.SetAlive(other.id, zoneName(other.zone), true, now)
		otherBudgets.SetAlive(g.id, zoneName(g.zone), true, now)
	})
}

func (m *coldModel) cut(now time.Time) bool { return !now.Before(m.cutFrom) && now.Before(m.cutUntil) }

func (m *coldModel) reach(g, other *coldGateway, now time.Time) bool {
	if now.Before(g.cutUntil) || now.Before(other.cutUntil) {
		return false
	}
	return !m.cut(now) || (g.zone == m.cutZone) == (other.zone == m.cutZone)
}

// transit returns how long a message takes between a gateway and a server: some are sent
// again, once or several times.
func (m *coldModel) transit() time.Duration {
	switch draw := m.rng.Float64(); {
	case draw < 0.95:
		return time.Duration((0.5 + 4*m.rng.Float64()) * float64(time.Millisecond))
	case draw < 0.99:
		return time.Duration((200 + 400*m.rng.Float64()) * float64(time.Millisecond))
	}
	return time.Duration((200 + 2300*m.rng.Float64()) * float64(time.Millisecond))
}

func (m *coldModel) play() {
	// Together the gateways have up to three times as many requests as the servers take.
	perSecond := (0.5 + 3*m.rng.Float64()) * float64(m.bound.requests()*len(m.servers))
	m.saturated = m.saturated && perSecond >= 2*float64(m.bound.requests()*len(m.servers))
	sum := 0.0
	for _, g := range m.gateways {
		sum += g.weight
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
		for n := perSecond * coldTick.Seconds(); n > 0; n-- {
			if m.rng.Float64() < n {
				m.arrive(m.drawGateway(sum), now)
			}
		}
	}
}

func (m *coldModel) drawGateway(sum float64) *coldGateway {
	draw := sum * m.rng.Float64()
	for _, g := range m.gateways {
		if draw -= g.weight; draw < 0 {
			return g
		}
	}
	return m.gateways[0]
}

// arrive lets a request arrive at a gateway, which chooses a server and sends the request
// once it has a connection.
func (m *coldModel) arrive(g *coldGateway, now time.Time) {
	if now.Before(g.downTill) {
		return
	}
	if now.Before(g.frozenUntil) {
		if m.rng.IntN(3) == 0 { // The others are given up by their callers.
			m.at(g.frozenUntil.Add(coldTick), func(now time.Time) { m.arrive(g, now) })
		}
		return
	}
	b := g.budgets
	b.Update(m.servers, m.bound, always, now)
	first := m.rng.IntN(len(m.servers))
	for i := range m.servers {
		s := (first + i) % len(m.servers)
		if !b.Open(m.servers[s], now) {
			continue
		}
		p := b.Take(m.servers[s], now)
		dial := time.Duration(m.rng.Float64() * float64(15*time.Millisecond))
		m.at(now.Add(dial), func(now time.Time) { m.send(g, b, s, p, now) })
		return
	}
}

// send sends a request, unless the process has ended or may not do so any more.
func (m *coldModel) send(g *coldGateway, b *Budgets, s int, p *Permit, now time.Time) {
	if g.budgets != b {
		return
	}
	if now.Before(g.frozenUntil) {
		m.at(g.frozenUntil.Add(coldTick), func(now time.Time) { m.send(g, b, s, p, now) })
		return
	}
	id := m.servers[s]
	if !b.Send(id, p, now) {
		b.Return(id, p)
		return
	}
	arrives := now.Add(m.transit())
	if now.Before(g.cutUntil) {
		// The link holds the request back until it is back; a later one is lost.
		if g.cutUntil.Sub(now) > maxTransit-400*time.Millisecond {
			return
		}
		arrives = g.cutUntil.Add(time.Duration(m.rng.Float64() * float64(300*time.Millisecond)))
	}
	m.arrivals[s] = append(m.arrivals[s], arrives)
	answers := arrives.Add(time.Duration((0.02+0.3*m.rng.Float64())*float64(time.Second)) + m.transit())
	m.at(answers, func(now time.Time) { m.answer(g, b, p, now) })
}

func (m *coldModel) answer(g *coldGateway, b *Budgets, p *Permit, now time.Time) {
	if now.Before(g.frozenUntil) {
		m.at(g.frozenUntil.Add(coldTick), func(now time.Time) { m.answer(g, b, p, now) })
		return
	}
	b.Arrived(p, now)
}

// mostInASecond returns the greatest number of requests that a server got in any second, and
// their mean number a second later than the first second.
func (m *coldModel) mostInASecond() (most int, mean float64) {
	for _, times := range m.arrivals {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, arrived := range times {
			for arrived.Sub(times[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
			if arrived.After(epoch.Add(time.Second)) && arrived.Before(epoch.Add(coldDuration)) {
				mean += 1 / (coldDuration - time.Second).Seconds() / float64(len(m.arrivals))
			}
		}
	}
	return most, mean
}

// coldCases returns the seeds of the fleets that are drawn, from first to before last:
// BBW_COLD_CASES is their number or a range such as 2000-9999; coldFleets if it is not set.
func coldCases(t *testing.T) (first, last uint64) {
	text := os.Getenv("BBW_COLD_CASES")
	if text == "" {
		return 0, coldFleets
	}
	from, to, ranged := strings.Cut(text, "-")
	if !ranged {
		from, to = "0", text
	}
	first, err := strconv.ParseUint(from, 10, 64)
	assert.NilError(t, err)
	last, err = strconv.ParseUint(to, 10, 64)
	assert.NilError(t, err)
	return first, last
}

// Servers that came back cold crashed under the requests of all gateways together.
func TestColdServersAreNotOverrun(t *testing.T) {
	const workers = 4
	firstSeed, lastSeed := coldCases(t)
	type result struct {
		over    int
		closest float64
		used    []float64
		// saturated is like used for the fleets that are saturated.
		saturated []float64
	}
	results := make(chan result, workers)
	for w := range uint64(workers) {
		go func() {
			var r result
			for seed := firstSeed + w; seed < lastSeed; seed += workers {
				m := newColdModel(seed)
				m.play()
				most, mean := m.mostInASecond()
				allowed := m.bound.PerSecond*m.bound.Overshoot + m.bound.Slack
				r.closest = max(r.closest, float64(most)/allowed)
				r.used = append(r.used, mean/allowed)
				if m.saturated {
					r.saturated = append(r.saturated, mean/allowed)
				}
				if float64(most) > allowed {
					r.over++
					t.Errorf("seed %d: %d requests in a second of %.1f allowed, %d gateways, %d servers", seed, most, allowed, len(m.gateways), len(m.servers))
				}
			}
			results <- r
		}()
	}
	var all result
	for range workers {
		r := <-results
		all.over, all.closest, all.used = all.over+r.over, max(all.closest, r.closest), append(all.used, r.used...)
		all.saturated = append(all.saturated, r.saturated...)
	}
	slices.Sort(all.used)
	slices.Sort(all.saturated)
	all.saturated = append(all.saturated, 0) // Few fleets may include none that is saturated.
	t.Logf("%d fleets, %d over the bound, at most %.2f of it; share of the bound in use: median %.2f, highest tenth above %.2f; with demand of twice the permits and more, and no disturbance: median %.2f",
		lastSeed-firstSeed, all.over, all.closest, all.used[len(all.used)/2], all.used[len(all.used)*9/10], all.saturated[(len(all.saturated)-1)/2])
}
