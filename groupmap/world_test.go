package groupmap_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"bluebellwind.example/groupmap"
)

// engineRank is one rank with the semantics of the engines' orders.
type engineRank struct {
	groupmap.RankState
	highest uint64
	maps    map[uint64]*groupmap.Map
	copying uint64
	copied  int // tick at which the copy is complete
	using   *groupmap.Map
}

// flight is an order or a status on its way.
type flight struct {
	at    int
	order *groupmap.Order
	// state of rank for leader; read is the time at which it was read.
	state  groupmap.RankState
	rank   int
	leader int
	read   int
}

func sameExperts(a, b *groupmap.Map) bool {
	return a == b || slices.EqualFunc(a.Experts, b.Experts, func(x, y [][]uint16) bool {
		return slices.EqualFunc(x, y, slices.Equal[[]uint16])
	})
}

// engineWorld is a group, its agents and what is on its way between them. One
// tick stands for ten milliseconds.
type engineWorld struct {
	rng         *rand.Rand
	shape       groupmap.Shape
	ranks       []*engineRank
	leaders     []*leaderSim
	flights     []flight
	tick        int
	epoch       uint64
	brokenUntil int
	// lossy is the share of orders that are carried out late; calm ends it.
	lossy     float64
	idle      bool
	switches  int
	heldTicks int
	violation string
	life      int
	without   string
	// told is how long passes take as the leaders are told; zero for not at all.
	told time.Duration
}

type leaderSim struct {
	s           *groupmap.Switch
	initiator   bool
	frozenUntil int
	deadUntil   int
	current     *groupmap.Map
	lastRead    []int
	life        int
}

const (
	ticksPerPass = 6
	worldRanks   = 4
)

var worldShape = groupmap.Shape{Sets: 2, Ranks: worldRanks, Experts: 8, Places: 4, Spare: 2}

func newEngineWorld(seed uint64, told time.Duration) *engineWorld {
	w := &engineWorld{rng: rand.New(rand.NewPCG(seed, 99)), shape: worldShape, epoch: 1, without: os.Getenv("BBW_WITHOUT"), told: told}
	w.reform()
	for i := range 2 {
		w.leaders = append(w.leaders, &leaderSim{initiator: i == 0})
		w.restart(i)
	}
	w.lossy = []float64{0, 0.1, 0.35, 0.6}[w.rng.IntN(4)]
	return w
}

func (w *engineWorld) now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(w.tick) * 10 * time.Millisecond)
}

// reform opens the group in a new life.
func (w *engineWorld) reform() {
	w.ranks = nil
	for range worldRanks {
		r := &engineRank{maps: map[uint64]*groupmap.Map{}, using: groupmap.First(w.shape)}
		r.Epoch, r.Open = w.epoch, true
		w.ranks = append(w.ranks, r)
	}
}

func (w *engineWorld) restart(i int) {
	l := w.leaders[i]
	w.life++
	l.life = w.life
	l.s = groupmap.NewSwitch(worldRanks, l.initiator, groupmap.SwitchTiming{})
	l.s.Without(w.without)
	l.s.Passes(w.told)
	l.current = nil
	l.lastRead = make([]int, worldRanks)
}

// carryOut is what an engine does with an order.
func (w *engineWorld) carryOut(o *groupmap.Order) {
	r := w.ranks[o.Rank]
	if o.Epoch != r.Epoch || w.brokenUntil > w.tick {
		return
	}
	switch o.Kind {
	case groupmap.Prepare:
		if o.Version <= r.highest || r.ArmedVersion != 0 {
			return
		}
		r.highest, r.copying, r.copied = o.Version, o.Version, w.tick+1+w.rng.IntN(40)
		r.Prepared = 0
		r.maps[o.Version] = o.Map.Clone()
	case groupmap.Arm:
		if r.Prepared == o.Version && r.Prepared != 0 && o.Step > r.Step && (r.ArmedVersion == 0 || r.ArmedVersion == o.Version) {
			r.ArmedVersion, r.ArmedStep = o.Version, o.Step
		}
	case groupmap.Disarm:
		if r.ArmedVersion == o.Version {
			r.ArmedVersion, r.ArmedStep = 0, 0
		}
	case groupmap.Hold:
		if o.Step > r.Step && r.Held == 0 {
			r.Held = o.Step
		}
	case groupmap.Go:
		if r.Held == o.Step {
			r.Held = 0
		}
	}
}

// tell sends how a rank stands to both agents, at once after an order.
func (w *engineWorld) tell(rank int) {
	for i := range w.leaders {
		if w.rng.IntN(10) > 0 {
			w.flights = append(w.flights, flight{at: w.tick + 1, state: w.ranks[rank].RankState, rank: rank, leader: i, read: w.tick})
		}
	}
}

// pass lets the group begin its next pass, unless it is held.
func (w *engineWorld) pass() {
	next := w.ranks[0].Step + 1
	for _, r := range w.ranks {
		if r.Held == next {
			w.heldTicks++
			return
		}
	}
	for _, r := range w.ranks {
		r.Step = next
		if r.ArmedVersion != 0 && r.ArmedStep == next {
			r.Map, r.using = r.ArmedVersion, r.maps[r.ArmedVersion]
			r.Prepared, r.ArmedVersion, r.ArmedStep = 0, 0, 0
		}
	}
	for _, r := range w.ranks {
		if r.Map != w.ranks[0].Map || !sameExperts(r.using, w.ranks[0].using) {
			w.violation = fmt.Sprintf("pass %d begins on maps %d and %d", next, w.ranks[0].Map, r.Map)
		}
	}
}

func (w *engineWorld) step() {
	w.tick++
	w.disturb()
	if w.brokenUntil == w.tick {
		w.epoch++
		w.reform()
	}
	for _, r := range w.ranks {
		if r.copying != 0 && w.tick >= r.copied {
			r.Prepared, r.copying = r.copying, 0
		}
	}
	w.deliver()
	if w.tick%ticksPerPass == 0 && !w.idle && w.brokenUntil < w.tick {
		w.pass()
	}
	for i, l := range w.leaders {
		if l.deadUntil > w.tick || l.frozenUntil > w.tick {
			continue
		}
		if l.deadUntil == w.tick && w.tick > 0 {
			w.restart(i)
		}
		w.lead(i, l)
	}
}

// disturb draws faults.
func (w *engineWorld) disturb() {
	if w.tick > faultTicks {
		w.lossy, w.idle = 0, false
		return
	}
	switch w.rng.IntN(400) {
	case 0:
		w.leaders[w.rng.IntN(2)].frozenUntil = w.tick + w.rng.IntN(500)
	case 1:
		w.leaders[w.rng.IntN(2)].deadUntil = w.tick + 1 + w.rng.IntN(300)
	case 2:
		w.idle = !w.idle
	case 3:
		if w.rng.IntN(8) == 0 {
			w.brokenUntil = w.tick + 50
		}
	}
}

func (w *engineWorld) deliver() {
	due := w.flights[:0:0]
	rest := w.flights[:0:0]
	for _, f := range w.flights {
		if f.at <= w.tick {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.flights = rest
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		if f.order != nil {
			w.carryOut(f.order)
			w.tell(f.order.Rank)
			continue
		}
		l := w.leaders[f.leader]
		if l.deadUntil > w.tick || f.read < l.lastRead[f.rank] {
			continue
		}
		l.lastRead[f.rank] = f.read
		l.s.Observe(f.rank, f.state)
	}
}

// lead lets one agent look and give orders.
func (w *engineWorld) lead(i int, l *leaderSim) {
	if w.tick%4 == 0 {
		for r, rank := range w.ranks {
			if w.rng.IntN(10) > 0 {
				w.flights = append(w.flights, flight{at: w.tick + w.rng.IntN(6), state: rank.RankState, rank: r, leader: i, read: w.tick})
			}
		}
	}
	version, _ := l.s.Version()
	if l.s.Ready() && (l.current == nil || l.current.Version != version) {
		l.current = w.ranks[0].using.Clone()
		l.current.Version = version
		l.s.Use(l.current)
	}
	if l.initiator && l.s.Ready() && w.rng.IntN(20) == 0 && w.tick < faultTicks {
		next := w.draw()
		next.Version = l.s.NextVersion(w.floor())
		if l.s.Start(next, w.now()) {
			w.switches++
		}
	}
	for _, o := range l.s.Tick(w.now(), w.floor()) {
		w.send(o)
	}
}

// floor is the clock that outlasts agents.
func (w *engineWorld) floor() uint64 {
	if w.without == "versions" {
		return 0
	}
	return uint64(w.tick)
}

// send puts an order on its way; some are carried out late, or twice.
func (w *engineWorld) send(o groupmap.Order) {
	at := w.tick + 1 + w.rng.IntN(2)
	if w.rng.Float64() < w.lossy {
		at = w.tick + 200 + w.rng.IntN(1000)
	}
	w.flights = append(w.flights, flight{at: at, order: &o})
	if w.rng.IntN(20) == 0 {
		w.flights = append(w.flights, flight{at: at + w.rng.IntN(300), order: &o})
	}
}

// draw returns a random valid map.
func (w *engineWorld) draw() *groupmap.Map {
	m := groupmap.First(w.shape)
	for set := range m.Experts {
		r := w.rng.IntN(worldRanks)
		e := uint16(w.rng.IntN(w.shape.Experts))
		if !slices.Contains(m.Experts[set][r], e) {
			m.Experts[set][r] = append(m.Experts[set][r], e)
		}
	}
	return m
}
