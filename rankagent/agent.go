package rankagent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// reportPeriod is the time between two reads of the own server, which are
	// free.
	reportPeriod = 100 * time.Millisecond
	// hurriedPeriod replaces it for hurriedSpan after an order: the group waits
	// for the last rank at each step of a switch.
	hurriedPeriod = 35 * time.Millisecond
	hurriedSpan   = 600 * time.Millisecond
	// statusPeriod is the time between two statuses without a change.
	statusPeriod = 200 * time.Millisecond
	// statusPeriodPerPeer lengthens it where there are many peers to tell.
	statusPeriodPerPeer = 5 * time.Millisecond
	// countsPeriod is the time between two reads of the experts chosen.
	countsPeriod = 180 * time.Millisecond
	// leadPeriod is the time between two looks at a switch under way.
	leadPeriod = 30 * time.Millisecond
	// readTimeout and orderTimeout bound one call to a server. Orders may go
	// unanswered; how the rank stands shows in its next report.
	readTimeout  = 250 * time.Millisecond
	orderTimeout = 200 * time.Millisecond
)

// Options configure an Agent.
type Options struct {
	// Server is the address of the server beside, IP:port.
	Server string
	// Service is the service that the server belongs to.
	Service string
	// Dial returns the engine at an address.
	Dial func(address string) Engine
	// Config reads the operators' configuration.
	Config func(ctx context.Context) (*ingress.Config, error)
	Log    *log.Logger
	// Uptime is the time since the machine started; it outlasts the process.
	Uptime func() time.Duration
}

// Agent stands beside one model server. It is safe for concurrent use.
type Agent struct {
	options Options
	engine  Engine
	log     *log.Logger
	mesh    *mesh.Node
	meters  *meters

	// reading is held from the read of a report until it is told, so that later
	// sequences stand for later reads.
	reading sync.Mutex

	// woken asks the leader to look at once.
	woken chan struct{}

	mu       sync.Mutex
	sequence uint64
	report   Report
	up       bool
	passes   passMeter
	told     time.Time
	// looked is when the server was read last in its turn, ordered when it last
	// got an order.
	looked, ordered time.Time
	lead            leader
	// counted is what the own rank had chosen at the last look.
	counted Counts
	held    Held
	// maps are those that orders brought lately.
	maps map[mapKey]*groupmap.Map
}

// New returns an agent that does not run yet. Its Handle takes the datagrams of
// the node that Run is given.
func New(o Options) *Agent {
	a := &Agent{options: o, engine: o.Dial(o.Server), log: o.Log, maps: make(map[mapKey]*groupmap.Map), woken: make(chan struct{}, 1)}
	a.lead.agent = a
	a.meters = newMeters(a)
	return a
}

// Run joins the mesh through node, reads the server and leads its group until
// ctx ends.
func (a *Agent) Run(ctx context.Context, node *mesh.Node) {
	a.mesh = node
	go node.Run(ctx)
	a.log.Info().Str("event", "started").Str("server", a.options.Server).Msg("")
	go every(ctx, countsPeriod, a.count)
	go a.leadLoop(ctx)
	every(ctx, hurriedPeriod, a.look)
	a.log.Info().Str("event", "stopped").Msg("")
}

// leadLoop looks at the group at each period, and at once when a rank has taken
// a step of a switch.
func (a *Agent) leadLoop(ctx context.Context) {
	ticker := time.NewTicker(leadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.woken:
		}
		a.lead.tick(ctx)
	}
}

// every calls f at each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// look reads the server when it is due.
func (a *Agent) look(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	hurried := now.Sub(a.ordered) < hurriedSpan
	due := hurried || now.Sub(a.looked) >= reportPeriod-hurriedPeriod/2
	if due {
		a.looked = now
	}
	a.mu.Unlock()
	if due {
		a.observe(ctx, false)
	}
}

// observe reads the server and tells the gateways and the group how it stands:
// at once after a change or when asked to, now and then without.
func (a *Agent) observe(ctx context.Context, tell bool) {
	a.reading.Lock()
	defer a.reading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	now := time.Now()
	a.mu.Lock()
	up := err == nil
	changed := up != a.up || up && (report.Group != a.report.Group || report.State.Open != a.report.State.Open)
	if changed {
		a.logChange(up, report, err)
	}
	// A leader waits for each step of a switch.
	switchStep := up && !sameSwitch(report.State, a.report.State)
	if up {
		a.passes.observe(report, now)
		a.report = report
		a.lead.observe(report.Group, "", a.options.Server, report.State, a.sequence, now)
		a.lead.busy[report.Group.Rank] = report.Running + report.Waiting
	}
	a.up = up
	due := now.Sub(a.told) >= a.statusPeriod()
	if !changed && !tell && !due && !switchStep {
		a.mu.Unlock()
		return
	}
	a.told = now
	a.sequence++
	status := a.status()
	group := a.lead.agents()
	a.mu.Unlock()
	packet := &meshpb.Packet{Status: status}
	a.mesh.Send(packet, group...)
	if switchStep {
		a.wake()
	}
	if changed || due {
		a.mesh.Send(packet, a.mesh.Peers(mesh.Gateway)...)
	}
}

// sameSwitch says that two states of a rank are at the same step of a switch.
func sameSwitch(a, b groupmap.RankState) bool {
	a.Step, b.Step = 0, 0
	return a == b
}

// wake lets the leader look at once.
func (a *Agent) wake() {
	select {
	case a.woken <- struct{}{}:
	default:
	}
}

// statusPeriod is the time between two statuses. The lock is held.
func (a *Agent) statusPeriod() time.Duration {
	return max(statusPeriod, time.Duration(a.mesh.Count(mesh.Gateway))*statusPeriodPerPeer)
}

func (a *Agent) logChange(up bool, r Report, err error) {
	line := a.log.Info().Str("event", "server").Bool("up", up)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Str("group", r.Group.Name).Uint64("epoch", r.Group.Epoch).Int("rank", r.Group.Rank).Bool("open", r.State.Open).Msg("")
}

// status is the last report as a message. The lock is held.
func (a *Agent) status() *meshpb.RankStatus {
	r := a.report
	return &meshpb.RankStatus{
		Server:       a.options.Server,
		Up:           a.up,
		Group:        r.Group.Name,
		Epoch:        r.Group.Epoch,
		Rank:         uint32(r.Group.Rank),
		Size:         uint32(r.Group.Size),
		Open:         r.State.Open,
		Step:         r.State.Step,
		Map:          r.State.Map,
		Prepared:     r.State.Prepared,
		ArmedVersion: r.State.ArmedVersion,
		ArmedStep:    r.State.ArmedStep,
		Held:         r.State.Held,
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		PaceMilli:    uint32(r.Pace * 1000),
		Sequence:     a.sequence,
		PassUs:       uint32(a.passes.mean.Microseconds()),
	}
}

// Handle takes a datagram of another process.
func (a *Agent) Handle(from mesh.Peer, packet *meshpb.Packet) {
	if s := packet.GetStatus(); s != nil {
		a.takeStatus(from, s)
	}
	if o := packet.GetOrder(); o != nil {
		a.takeOrder(o)
	}
	if p := packet.GetPopularity(); p != nil {
		a.takePopularity(p)
	}
}

func (a *Agent) takeStatus(from mesh.Peer, s *meshpb.RankStatus) {
	if !s.Up {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Group == "" || s.Group != a.report.Group.Name {
		return
	}
	if a.report.Group.Rank == holderRank && (s.Prepared != 0 || s.ArmedVersion != 0) {
		a.wake()
	}
	a.lead.meet(from, int(s.Rank))
	a.lead.busy[int(s.Rank)] = int(s.Running + s.Waiting)
	group := a.report.Group
	group.Rank, group.Epoch = int(s.Rank), s.Epoch
	a.lead.observe(group, from.ID, s.Server, groupmap.RankState{
		Epoch: s.Epoch, Open: s.Open, Step: s.Step, Map: s.Map, Prepared: s.Prepared,
		ArmedVersion: s.ArmedVersion, ArmedStep: s.ArmedStep, Held: s.Held,
	}, s.Sequence, time.Now())
}

// takeOrder carries out an order of the group's leader.
func (a *Agent) takeOrder(o *meshpb.RankOrder) {
	order := groupmap.Order{
		Rank: int(o.Rank), Kind: groupmap.OrderKind(o.Kind), Epoch: o.Epoch, Version: o.Version, Step: o.Step,
	}
	if groupmap.OrderKind(o.Kind) == groupmap.Prepare {
		m, err := a.mapOf(o)
		if err != nil {
			a.log.Warn().Str("event", "order_unreadable").Uint64("version", o.Version).Str("cause", err.Error()).Msg("")
			return
		}
		order.Map = m
	}
	go a.carryOut(context.Background(), a.engine, order)
}

// errNoBase says that the map that an order starts from is not known here; the
// leader sends all of the map when nothing comes of its order.
var errNoBase = errors.New("rankagent: the map that an order starts from is not known")

// mapOf reads the map of an order and keeps it for later differences.
func (a *Agent) mapOf(o *meshpb.RankOrder) (*groupmap.Map, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.maps[mapKey{o.Epoch, o.Base}]
	if o.Base == 0 {
		base = a.firstMap()
	}
	var m *groupmap.Map
	var err error
	switch {
	case len(o.Map) > 0:
		m, err = groupmap.ParseMap(o.Map)
	case base == nil:
		err = errNoBase
	default:
		m, err = groupmap.ApplyDifference(base, o.Difference)
	}
	if err != nil {
		return nil, err
	}
	m.Version = o.Version
	if len(a.maps) >= keptMaps {
		clear(a.maps)
		if base != nil {
			a.maps[mapKey{o.Epoch, o.Base}] = base
		}
	}
	a.maps[mapKey{o.Epoch, o.Version}] = m
	return m, nil
}

// firstMap is the map that the group starts with; nil while its dimensions are
// not known. The lock is held.
func (a *Agent) firstMap() *groupmap.Map {
	sets := len(a.held.Experts)
	if sets == 0 || len(a.counted.Chosen)%sets != 0 {
		return nil
	}
	return groupmap.First(groupmap.Shape{Sets: sets, Ranks: a.report.Group.Size, Experts: len(a.counted.Chosen) / sets})
}

// mapKey names a map of one life of the group.
type mapKey struct{ epoch, version uint64 }

// keptMaps is how many maps are kept that orders may start from.
const keptMaps = 4

// carryOut gives one order to a server and looks how it stands afterwards.
func (a *Agent) carryOut(ctx context.Context, engine Engine, o groupmap.Order) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	err := engine.Order(bounded, o)
	cancel()
	a.meters.ordered(o.Kind.String(), err)
	line := a.log.Info().Str("event", "order").Str("kind", o.Kind.String()).Int("rank", o.Rank).
		Uint64("epoch", o.Epoch).Uint64("version", o.Version).Uint64("step", o.Step)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
	if engine == a.engine {
		a.mu.Lock()
		a.ordered = time.Now()
		a.mu.Unlock()
		a.observe(ctx, true)
	}
}

// count reads which experts were chosen since the last look and tells the
// holder's agent.
func (a *Agent) count(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.mu.Lock()
	report, up, held := a.report, a.up, a.held
	a.mu.Unlock()
	if !up || !report.State.Open || report.Group.Name == "" {
		return
	}
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.Debug().Str("event", "counts_unread").Str("cause", err.Error()).Msg("")
		return
	}
	if held.Epoch != counts.Epoch || held.Version != report.State.Map || held.Experts == nil {
		if held, err = a.engine.Held(ctx); err != nil {
			a.log.Debug().Str("event", "experts_unread").Str("cause", err.Error()).Msg("")
			return
		}
	}
	a.mu.Lock()
	before := a.counted
	a.counted, a.held = counts, held
	chosen, unit := inUnits(chosenSince(before, counts))
	message := &meshpb.Popularity{
		Group: report.Group.Name, Epoch: counts.Epoch, Rank: uint32(report.Group.Rank),
		Counts: chosen, Unit: unit, Map: held.Version, Held: packExperts(held.Experts), Sets: uint32(len(held.Experts)),
	}
	to, own := a.lead.holderAgent()
	a.mu.Unlock()
	if own {
		a.takePopularity(message)
		return
	}
	if to.ID != "" {
		a.mesh.Send(&meshpb.Packet{Popularity: message}, to)
	}
}

// chosenSince returns how often each expert was chosen between two looks.
func chosenSince(before, now Counts) []uint32 {
	out := make([]uint32, len(now.Chosen))
	known := before.Epoch == now.Epoch && len(before.Chosen) == len(now.Chosen)
	for i, c := range now.Chosen {
		if known && before.Chosen[i] <= c {
			out[i] = uint32(c - before.Chosen[i])
		}
	}
	return out
}

// maxUnits is the largest count that takes one byte in a message.
const maxUnits = 127

// inUnits scales counts down so that each takes one byte in a message.
func inUnits(counts []uint32) (scaled []uint32, unit uint32) {
	unit = max(1, (slices.Max(append(counts, 0))+maxUnits-1)/maxUnits)
	scaled = make([]uint32, len(counts))
	for i, c := range counts {
		scaled[i] = (c + unit/2) / unit
	}
	return scaled, unit
}

// packExperts writes the experts of each set after their number.
func packExperts(sets [][]uint16) []uint32 {
	var out []uint32
	for _, experts := range sets {
		out = append(out, uint32(len(experts)))
		for _, e := range experts {
			out = append(out, uint32(e))
		}
	}
	return out
}

// unpackExperts reads what packExperts wrote; nil if it cannot be read.
func unpackExperts(packed []uint32, sets int) [][]uint16 {
	out := make([][]uint16, 0, min(sets, len(packed)))
	for range sets {
		if len(packed) == 0 || int(packed[0]) > len(packed)-1 {
			return nil
		}
		n := int(packed[0])
		experts := make([]uint16, n)
		for i, e := range packed[1 : n+1] {
			experts[i] = uint16(e)
		}
		out = append(out, experts)
		packed = packed[n+1:]
	}
	return out
}

func (a *Agent) takePopularity(p *meshpb.Popularity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Group != a.report.Group.Name {
		return
	}
	a.lead.popularity.add(share{
		epoch: p.Epoch, rank: int(p.Rank), counts: p.Counts, unit: p.Unit, inUse: p.Map, held: unpackExperts(p.Held, int(p.Sets)),
	}, a.report.Group.Size, time.Now())
}
