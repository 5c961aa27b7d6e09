package rankagent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// reportPeriod is the time between two reads of the local server. Such reads
	// cost nothing.
	reportPeriod = 100 * time.Millisecond
	// fastReportPeriod replaces reportPeriod for fastReportSpan after an order,
	// because at each stage of a switch the group waits for its slowest rank.
	fastReportPeriod = 35 * time.Millisecond
	fastReportSpan   = 600 * time.Millisecond
	// statusPeriod is the time between two status messages if nothing changes.
	statusPeriod = 200 * time.Millisecond
	// statusPeriodPerGateway times the number of gateways is the least status
	// period, so that the traffic of status messages stays bounded.
	statusPeriodPerGateway = 5 * time.Millisecond
	// countsPeriod is the time between two reads of the expert counts.
	countsPeriod = 180 * time.Millisecond
	// leaderPeriod is the time between two runs of the leader.
	leaderPeriod = 30 * time.Millisecond
	// readTimeout and orderTimeout bound one call to a server. The outcome of an
	// order without an answer shows in the next report of the rank.
	readTimeout  = 250 * time.Millisecond
	orderTimeout = 200 * time.Millisecond
)

// paceUnit is the value of a relative pass time of 1 in messages.
const paceUnit = 1000

// Options configure an Agent.
type Options struct {
	// Server is the address of the local model server, IP:port.
	Server string
	// Service is the name of the service that the server belongs to.
	Service string
	// Dial returns the engine at an address.
	Dial func(address string) Engine
	// Config reads the operators' configuration. It returns nil without an error
	// if there is none that can be decoded.
	Config func(ctx context.Context) (*ingress.Config, error)
	Log    *log.Logger
	// LinkBytesPerSecond is the rate of the instance's link; zero if not known.
	LinkBytesPerSecond float64
	// Uptime returns the time since the machine started, which outlasts the
	// process.
	Uptime func() time.Duration
}

// Agent manages the model server of one rank. It is safe for concurrent use.
type Agent struct {
	options Options
	engine  Engine
	log     *log.Logger
	mesh    *mesh.Node
	metrics *agentMetrics

	// reportMu is held from the read of a report until its status is sent, so that
	// a greater sequence always stands for a later read.
	reportMu sync.Mutex

	// leaderWake makes the leader run without waiting for leaderPeriod.
	leaderWake chan struct{}

	mu sync.Mutex
	// sequence is the number of the last status message.
	sequence     uint64
	report       Report
	up           bool // Whether the last read of the server succeeded.
	slow         bool // Whether the server was slow at the last read.
	passTimer    passTimer
	statusSentAt time.Time
	// reportReadAt is when the last periodic read of the server began. orderedAt
	// is when the server last got an order.
	reportReadAt, orderedAt time.Time
	leader                  leader
	// lastCounts and heldExperts are the counts and the experts of the local rank
	// at the last read.
	lastCounts  ExpertCounts
	heldExperts HeldExperts
	// countsSentAt is when the local counts were last sent.
	countsSentAt time.Time
	// recentMaps are the maps of recent orders, to which later differences apply.
	recentMaps map[mapKey]*groupmap.Map
}

// New returns an agent. It does nothing until Run is called. Its Handle must be
// the handler of the node that is passed to Run.
func New(o Options) *Agent {
	a := &Agent{options: o, engine: o.Dial(o.Server), log: o.Log, recentMaps: make(map[mapKey]*groupmap.Map), leaderWake: make(chan struct{}, 1)}
	a.leader.agent = a
	a.metrics = newAgentMetrics(a)
	return a
}

// Run joins the mesh through node, reads the server periodically and leads the
// group when required, until ctx ends.
func (a *Agent) Run(ctx context.Context, node *mesh.Node) {
	a.mesh = node
	go node.Run(ctx)
	a.log.Info().Str("event", "started").Str("server", a.options.Server).Msg("")
	go every(ctx, countsPeriod, a.reportCounts)
	go a.leaderLoop(ctx)
	every(ctx, fastReportPeriod, a.readIfDue)
	a.log.Info().Str("event", "stopped").Msg("")
}

// leaderLoop runs the leader at each leaderPeriod, and at once when a rank has
// completed a stage of a switch.
func (a *Agent) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(leaderPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.leaderWake:
		}
		a.leader.tick(ctx)
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

// readIfDue reads the server if its report period is over.
func (a *Agent) readIfDue(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	fast := now.Sub(a.orderedAt) < fastReportSpan
	// The tolerance of half a tick keeps an early tick from delaying the read to
	// the next tick.
	due := fast || now.Sub(a.reportReadAt) >= reportPeriod-fastReportPeriod/2
	if due {
		a.reportReadAt = now
	}
	a.mu.Unlock()
	if due {
		a.reportStatus(ctx, false)
	}
}

// reportStatus reads the server and sends its status. The group's agents get it
// after a change, after a stage of a switch, when the status period is over or
// if force is set; the gateways after a change or when the status period is
// over. A change is one of the server's availability, its group or whether the
// group is open.
func (a *Agent) reportStatus(ctx context.Context, force bool) {
	a.reportMu.Lock()
	defer a.reportMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	now := time.Now()
	a.mu.Lock()
	up := err == nil
	changed := up != a.up || up && (report.Group != a.report.Group || report.State.Open != a.report.State.Open)
	if changed {
		a.logServerChange(up, report, err)
	}
	// The leader waits for each stage of a switch, so such a change is sent
	// without delay.
	switchProgressed := up && !equalExceptPass(report.State, a.report.State)
	if up {
		a.passTimer.observe(report, now)
		a.recordSlowness(report)
		a.report = report
		a.leader.observe(report.Group, "", a.options.Server, report.State, a.sequence, now)
		a.leader.requestsByRank[report.Group.Rank] = report.Running + report.Waiting
		a.leader.passTimes[report.Group.Rank] = report.RelativePassTime
	}
	a.up = up
	due := now.Sub(a.statusSentAt) >= a.statusPeriod()
	if !changed && !force && !due && !switchProgressed {
		a.mu.Unlock()
		return
	}
	a.statusSentAt = now
	a.sequence++
	status := a.statusMessage()
	peers := a.leader.statusPeers()
	a.mu.Unlock()
	packet := &meshpb.Packet{Status: status}
	a.mesh.Send(packet, peers...)
	if switchProgressed {
		a.wakeLeader()
	}
	if changed || due {
		a.mesh.Send(packet, a.mesh.Peers(mesh.Gateway)...)
	}
}

// equalExceptPass reports whether two states of a rank are equal except for the
// last pass.
func equalExceptPass(a, b groupmap.RankState) bool {
	a.Step, b.Step = 0, 0
	return a == b
}

// wakeLeader makes the leader run at once.
func (a *Agent) wakeLeader() {
	select {
	case a.leaderWake <- struct{}{}:
	default:
	}
}

// statusPeriod returns the time between two status messages if nothing changes.
// The caller holds a.mu.
func (a *Agent) statusPeriod() time.Duration {
	return max(statusPeriod, time.Duration(a.mesh.Count(mesh.Gateway))*statusPeriodPerGateway)
}

func (a *Agent) logServerChange(up bool, r Report, err error) {
	entry := a.log.Info().Str("event", "server").Bool("up", up)
	if err != nil {
		entry = entry.Str("cause", err.Error())
	}
	entry.Str("group", r.Group.Name).Uint64("epoch", r.Group.Epoch).Int("rank", r.Group.Rank).Bool("open", r.State.Open).Msg("")
}

// recordSlowness records how slow the server is, and logs when it becomes slow and when
// it is no longer. The caller holds a.mu.
func (a *Agent) recordSlowness(r Report) {
	a.metrics.relativePassTime.Store(int64(r.RelativePassTime * paceUnit))
	slow := r.RelativePassTime > minSlowPassTime
	if slow == a.slow {
		return
	}
	a.slow = slow
	a.log.Info().Str("event", "server_slow").Bool("slow", slow).Str("group", r.Group.Name).Int("rank", r.Group.Rank).
		Float64("relative_pass_time", r.RelativePassTime).Int("running", r.Running).Msg("")
}

// statusMessage returns the last report as a message. The caller holds a.mu.
func (a *Agent) statusMessage() *meshpb.RankStatus {
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
		Map:          r.State.MapVersion,
		Prepared:     r.State.PreparedVersion,
		ArmedVersion: r.State.ArmedVersion,
		ArmedStep:    r.State.ArmedStep,
		Held:         r.State.HeldStep,
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		PaceMilli:    uint32(r.RelativePassTime * paceUnit),
		Sequence:     a.sequence,
		PassUs:       uint32(a.passTimer.meanDuration.Microseconds()),
	}
}

// Handle processes a datagram of another process.
func (a *Agent) Handle(from mesh.Peer, packet *meshpb.Packet) {
	if s := packet.GetStatus(); s != nil {
		a.handleStatus(from, s)
	}
	if o := packet.GetOrder(); o != nil {
		a.handleOrder(o)
	}
	if p := packet.GetPopularity(); p != nil {
		a.handlePopularity(p)
	}
}

func (a *Agent) handleStatus(from mesh.Peer, s *meshpb.RankStatus) {
	if !s.Up {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Group == "" || s.Group != a.report.Group.Name {
		return
	}
	if a.report.Group.Rank == initiatorRank && (s.Prepared != 0 || s.ArmedVersion != 0) {
		a.wakeLeader()
	}
	a.leader.setPeer(from, int(s.Rank))
	a.leader.requestsByRank[int(s.Rank)] = int(s.Running + s.Waiting)
	a.leader.passTimes[int(s.Rank)] = float64(s.PaceMilli) / paceUnit
	group := a.report.Group
	group.Rank, group.Epoch = int(s.Rank), s.Epoch
	a.leader.observe(group, from.ID, s.Server, groupmap.RankState{
		Epoch: s.Epoch, Open: s.Open, Step: s.Step, MapVersion: s.Map, PreparedVersion: s.Prepared,
		ArmedVersion: s.ArmedVersion, ArmedStep: s.ArmedStep, HeldStep: s.Held,
	}, s.Sequence, time.Now())
}

// handleOrder carries out an order of the group's leader.
func (a *Agent) handleOrder(o *meshpb.RankOrder) {
	if len(o.Forward) > 0 {
		go a.forwardOrder(context.Background(), o)
	}
	order := groupmap.Order{
		Rank: int(o.Rank), Kind: groupmap.OrderKind(o.Kind), Epoch: o.Epoch, Version: o.Version, Step: o.Step,
	}
	if groupmap.OrderKind(o.Kind) == groupmap.Prepare {
		m, err := a.decodeMap(o)
		if err != nil {
			a.log.Warn().Str("event", "order_unreadable").Uint64("version", o.Version).Str("cause", err.Error()).Msg("")
			return
		}
		order.Map = m
	}
	go a.executeOrder(context.Background(), a.engine, order)
}

// errUnknownBaseMap means that this agent lacks the map to which the difference
// in an order applies. The leader sends the whole map once the order has had no
// effect.
var errUnknownBaseMap = errors.New("rankagent: unknown base map of the difference in an order")

// decodeMap decodes the map of an order and keeps it as a base for later
// differences.
func (a *Agent) decodeMap(o *meshpb.RankOrder) (*groupmap.Map, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.recentMaps[mapKey{o.Epoch, o.Base}]
	if o.Base == 0 {
		base = a.initialMap()
	}
	var m *groupmap.Map
	var err error
	switch {
	case len(o.Map) > 0:
		m, err = groupmap.ParseMap(o.Map)
	case base == nil:
		err = errUnknownBaseMap
	default:
		m, err = groupmap.ApplyDifference(base, o.Difference)
	}
	if err != nil {
		return nil, err
	}
	m.Version = o.Version
	if len(a.recentMaps) >= maxRecentMaps {
		clear(a.recentMaps)
		if base != nil {
			a.recentMaps[mapKey{o.Epoch, o.Base}] = base
		}
	}
	a.recentMaps[mapKey{o.Epoch, o.Version}] = m
	return m, nil
}

// initialMap returns the map that the group starts with, or nil while its
// dimensions are unknown. The caller holds a.mu.
func (a *Agent) initialMap() *groupmap.Map {
	sets := len(a.heldExperts.Experts)
	if sets == 0 || len(a.lastCounts.Chosen)%sets != 0 {
		return nil
	}
	return groupmap.InitialMap(groupmap.Shape{Sets: sets, Ranks: a.report.Group.Size, Experts: len(a.lastCounts.Chosen) / sets})
}

// mapKey identifies a map. Versions are unique within an epoch only.
type mapKey struct{ epoch, version uint64 }

// maxRecentMaps is the greatest number of maps kept as bases for differences.
const maxRecentMaps = 4

// executeOrder sends one order to a server. If that is the local server, it
// then reads and sends its status at once.
func (a *Agent) executeOrder(ctx context.Context, engine Engine, o groupmap.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	err := engine.Order(orderCtx, o)
	cancel()
	a.metrics.countOrder(o.Kind.String(), err)
	entry := a.log.Info().Str("event", "order").Str("kind", o.Kind.String()).Int("rank", o.Rank).
		Uint64("epoch", o.Epoch).Uint64("version", o.Version).Uint64("step", o.Step)
	if err != nil {
		entry = entry.Str("cause", err.Error())
	}
	entry.Msg("")
	if engine == a.engine {
		a.mu.Lock()
		a.orderedAt = time.Now()
		a.mu.Unlock()
		a.reportStatus(ctx, true)
	}
}

// reportCounts reads how often each expert was chosen and, if that is due, sends the
// increase since the previous read to the initiator's agent.
func (a *Agent) reportCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.mu.Lock()
	report, up, held := a.report, a.up, a.heldExperts
	a.mu.Unlock()
	if !up || !report.State.Open || report.Group.Name == "" {
		return
	}
	counts, err := a.engine.ExpertCounts(ctx)
	if err != nil {
		a.log.Debug().Str("event", "counts_unread").Str("cause", err.Error()).Msg("")
		return
	}
	if held.Epoch != counts.Epoch || held.Version != report.State.MapVersion || held.Experts == nil {
		if held, err = a.engine.HeldExperts(ctx); err != nil {
			a.log.Debug().Str("event", "experts_unread").Str("cause", err.Error()).Msg("")
			return
		}
	}
	a.mu.Lock()
	previous := a.lastCounts
	a.lastCounts, a.heldExperts = counts, held
	chosen, unit := scaleCounts(countsSince(previous, counts))
	message := &meshpb.Popularity{
		Group: report.Group.Name, Epoch: counts.Epoch, Rank: uint32(report.Group.Rank),
		Counts: chosen, Unit: unit, Map: held.Version, Held: packExperts(held.Experts), Sets: uint32(len(held.Experts)),
	}
	now := time.Now()
	period := a.countsSendPeriod(report.Group.Size, proto.Size(message))
	a.leader.popularity.period = period
	due := now.Sub(a.countsSentAt) >= period-countsPeriod/2
	if due {
		a.countsSentAt = nextCountsOrigin(now, a.countsSentAt, period, report.Group)
	}
	initiator, isInitiator := a.leader.initiatorAgent()
	a.mu.Unlock()
	if !due {
		return
	}
	if isInitiator {
		a.handlePopularity(message)
		return
	}
	if initiator.ID != "" {
		a.mesh.Send(&meshpb.Packet{Popularity: message}, initiator)
	}
}

// countsLinkShare is the share of the initiator's link that the counts of its group
// may take.
const countsLinkShare = 0.2

// countsSendPeriod returns the time between two messages with the counts of a rank,
// of the given size in bytes. In a large group each rank sends seldom, so that all
// together do not exceed countsLinkShare: the requests of any few ranks stand for those
// of the others.
func (a *Agent) countsSendPeriod(ranks, messageBytes int) time.Duration {
	if a.options.LinkBytesPerSecond == 0 {
		return countsPeriod
	}
	seconds := float64(ranks*messageBytes) / (countsLinkShare * a.options.LinkBytesPerSecond)
	return max(countsPeriod, time.Duration(seconds*float64(time.Second)))
}

// nextCountsOrigin returns the time from which the period until the next message with
// counts is measured, after one was sent now. All agents start at once; after their
// first message they spread theirs over the period, by rank.
func nextCountsOrigin(now, lastOrigin time.Time, period time.Duration, g backends.Group) time.Time {
	if !lastOrigin.IsZero() || g.Size == 0 {
		return now
	}
	return now.Add(period * time.Duration(g.Rank-g.Size) / time.Duration(g.Size))
}

// countsSince returns how often each expert was chosen between two reads. It
// returns zeros if the reads differ in epoch or number of experts, and zero for
// a count that has decreased.
func countsSince(previous, current ExpertCounts) []uint32 {
	out := make([]uint32, len(current.Chosen))
	sameCounters := previous.Epoch == current.Epoch && len(previous.Chosen) == len(current.Chosen)
	for i, c := range current.Chosen {
		if sameCounters && previous.Chosen[i] <= c {
			out[i] = uint32(c - previous.Chosen[i])
		}
	}
	return out
}

// maxScaledCount is the largest count that takes one byte in a message.
const maxScaledCount = 127

// scaleCounts divides counts by a common unit so that each takes one byte in a
// message.
func scaleCounts(counts []uint32) (scaled []uint32, unit uint32) {
	unit = max(1, (slices.Max(append(counts, 0))+maxScaledCount-1)/maxScaledCount)
	scaled = make([]uint32, len(counts))
	for i, c := range counts {
		scaled[i] = (c + unit/2) / unit
	}
	return scaled, unit
}

// packExperts encodes each set as the number of its experts followed by the
// experts.
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

// unpackExperts decodes the output of packExperts. It returns nil if packed is
// malformed.
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

func (a *Agent) handlePopularity(p *meshpb.Popularity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Group != a.report.Group.Name {
		return
	}
	a.leader.popularity.add(rankCounts{
		epoch: p.Epoch, rank: int(p.Rank), counts: p.Counts, unit: p.Unit, mapVersion: p.Map, heldExperts: unpackExperts(p.Held, int(p.Sets)),
	}, a.report.Group.Size, time.Now())
}
