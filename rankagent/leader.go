package rankagent

import (
	"context"
	"math"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// holderRank is the rank whose agent plans and starts switches.
	holderRank = 0
	// silentAfter is the silence of an agent after which its rank is read and
	// ordered from afar, and the holder's part is taken over.
	silentAfter = 700 * time.Millisecond
	// farPeriod is the time between two reads of a rank from afar, which are
	// priced.
	farPeriod = 200 * time.Millisecond
	// popularityFresh is how old the news of a rank's choices may be.
	popularityFresh = 1200 * time.Millisecond
	// planPause is the time between two plans without a switch.
	planPause = 150 * time.Millisecond
	// settle is the time after a switch in which nothing is planned.
	settle = 50 * time.Millisecond
	// burstBytes is how many bytes of maps go out in one look, so that they do
	// not overrun the link of a small instance.
	burstBytes = 24 << 10
	// leastGain is by how much a plan must lower the busiest rank over the mean.
	leastGain = 0.15
)

const (
	// planTarget is the load of the busiest rank over the mean that is good enough.
	planTarget = 1.06
	// copyTime is how long a rank may copy for one plan: popularity changes
	// within seconds, and passes take longer meanwhile.
	copyTime = 200 * time.Millisecond
	// gainPerGigabyte is the least gain that is worth the copy of a gigabyte in a
	// group of gainRanks, which serves more requests the larger it is.
	gainPerGigabyte = 0.03
	gainRanks       = 8
	// usualBusy is the share of slots in use at which that holds. With fewer, the
	// busiest rank holds up less, and the gain must be greater by up to maxReserve;
	// with more, it may be less.
	usualBusy  = 0.6
	maxReserve = 4.0
	minReserve = 0.4
)

// planLimits bounds a plan of a group whose slots are in use to the share busy:
// what it costs must come back before popularity changes again.
func planLimits(e ingress.Experts, ranks int, busy float64) groupmap.Limits {
	reserve := min(maxReserve, max(minReserve, math.Pow(usualBusy/max(busy, 0.01), 2)))
	perCopy := gainPerGigabyte * e.MegabytesEach / 1000 * gainRanks / float64(max(1, ranks))
	limits := groupmap.Limits{TargetSkew: planTarget, MaxCopies: ranks, MinGainPerCopy: reserve * perCopy}
	if e.MegabytesEach > 0 && e.LinkMbps > 0 {
		each := time.Duration(e.MegabytesEach * 8 / e.LinkMbps * float64(time.Second))
		limits.MaxCopies = ranks * max(1, int(copyTime/each))
	}
	return limits
}

// leader keeps an agent's view of its group and leads it when it is its turn.
// The agent's lock guards it.
type leader struct {
	agent      *Agent
	group      backends.Group
	peers      map[int]mesh.Peer
	servers    map[int]string
	heard      map[int]time.Time
	sequences  map[int]uint64
	far        map[int]time.Time
	machine    *groupmap.Switch
	popularity popularity
	shape      groupmap.Shape
	engine     *ingress.Engine
	// busy is how many requests run and wait at each rank.
	busy map[int]int
	// inUse is the map that the group uses, as far as it is known here, and started
	// the last that a switch was started to.
	inUse, started *groupmap.Map
	planned        time.Time
	switched       time.Time
	reading        bool
}

// observe takes the state of a rank in; from is empty for the own one.
func (l *leader) observe(g backends.Group, from, server string, state groupmap.RankState, sequence uint64, now time.Time) {
	if from == "" && (l.machine == nil || l.group.Name != g.Name || l.group.Size != g.Size || l.group.Rank != g.Rank) {
		l.join(g)
	}
	if l.machine == nil || g.Rank >= l.group.Size {
		return
	}
	l.servers[g.Rank] = server
	if from != "" && sequence <= l.sequences[g.Rank] && now.Sub(l.heard[g.Rank]) < silentAfter {
		return // An older datagram that was overtaken.
	}
	l.sequences[g.Rank] = sequence
	l.heard[g.Rank] = now
	l.machine.Observe(g.Rank, state)
}

func (l *leader) join(g backends.Group) {
	l.group = g
	l.peers = make(map[int]mesh.Peer)
	l.servers = make(map[int]string)
	l.heard = make(map[int]time.Time)
	l.sequences = make(map[int]uint64)
	l.far = make(map[int]time.Time)
	l.busy = make(map[int]int)
	l.started = nil
	l.machine = groupmap.NewSwitch(g.Size, g.Rank == holderRank, groupmap.SwitchTiming{})
}

// meet notes which agent stands beside a rank.
func (l *leader) meet(p mesh.Peer, rank int) {
	if l.peers != nil && rank < l.group.Size {
		l.peers[rank] = p
	}
}

// agents returns whom to tell how the own rank stands: the group's agents, and
// all agents until those are known.
func (l *leader) agents() []mesh.Peer {
	if l.machine == nil || len(l.peers) < l.group.Size-1 {
		return l.agent.mesh.Peers(mesh.RankAgent)
	}
	out := make([]mesh.Peer, 0, len(l.peers))
	for rank, p := range l.peers {
		if rank != l.group.Rank {
			out = append(out, p)
		}
	}
	return out
}

// holderAgent returns the agent that plans; own says that it is this one.
func (l *leader) holderAgent() (p mesh.Peer, own bool) {
	if l.group.Rank == holderRank {
		return mesh.Peer{}, true
	}
	return l.peers[holderRank], false
}

// leads says whether this agent gives orders: the holder's does, and while it
// is silent the first that is not.
func (l *leader) leads(now time.Time) bool {
	for rank := range l.group.Rank {
		if now.Sub(l.heard[rank]) < silentAfter {
			return false
		}
	}
	return l.machine != nil
}

// tick plans, and gives the orders that are due.
func (l *leader) tick(ctx context.Context) {
	a := l.agent
	now := time.Now()
	a.mu.Lock()
	if !l.leads(now) || !a.up {
		a.mu.Unlock()
		return
	}
	l.plan(ctx, now)
	floor := uint64(a.options.Uptime().Milliseconds())
	orders := l.machine.Tick(now, floor)
	sends := make([]func() int, 0, len(orders))
	for _, o := range orders {
		sends = append(sends, l.send(ctx, o, now))
	}
	silent := l.silentRanks(now)
	a.mu.Unlock()
	sendPaced(ctx, sends)
	for rank, server := range silent {
		go l.readFar(ctx, rank, server)
	}
}

// sendPaced sends orders, with pauses in which the link can take their bytes.
func sendPaced(ctx context.Context, sends []func() int) {
	bytes := 0
	for _, send := range sends {
		bytes += send()
		if bytes < burstBytes {
			continue
		}
		bytes = 0
		select {
		case <-ctx.Done():
			return
		case <-time.After(leadPeriod):
		}
	}
}

// send returns what carries an order to its rank and returns the bytes of the
// order that go over the link.
func (l *leader) send(ctx context.Context, o groupmap.Order, now time.Time) func() int {
	a := l.agent
	if o.Rank == l.group.Rank {
		return func() int {
			go a.carryOut(ctx, a.engine, o)
			return 0
		}
	}
	peer, known := l.peers[o.Rank]
	if !known || now.Sub(l.heard[o.Rank]) >= silentAfter {
		engine := a.options.Dial(l.servers[o.Rank])
		return func() int {
			go a.carryOut(ctx, engine, o)
			return 0
		}
	}
	message := &meshpb.RankOrder{
		Kind: uint32(o.Kind), Group: l.group.Name, Epoch: o.Epoch, Version: o.Version, Step: o.Step, Rank: uint32(o.Rank),
	}
	if o.Map != nil {
		l.describe(message, o)
	}
	return func() int {
		a.mesh.Send(&meshpb.Packet{Order: message}, peer)
		return len(message.Map) + len(message.Difference)
	}
}

// describe puts the map of an order into a message: the difference from the map
// in use, or all of it when that had no effect.
func (l *leader) describe(message *meshpb.RankOrder, o groupmap.Order) {
	whole := o.Map.AppendBinary(nil)
	if l.inUse != nil && !o.Resent {
		message.Difference = o.Map.AppendDifference(nil, l.inUse)
		message.Base = l.inUse.Version
	}
	if len(message.Difference) == 0 || len(message.Difference) > len(whole) {
		message.Difference, message.Map = nil, whole
	}
}

// silentRanks returns the servers whose agents are silent and that are due to
// be read from afar, while anything is left of a switch: what a silent agent said
// last may be from before its hold.
func (l *leader) silentRanks(now time.Time) map[int]string {
	if l.machine.Settled() {
		return nil
	}
	out := make(map[int]string)
	for rank, server := range l.servers {
		if rank == l.group.Rank || now.Sub(l.heard[rank]) < silentAfter || now.Sub(l.far[rank]) < farPeriod {
			continue
		}
		l.far[rank] = now
		out[rank] = server
	}
	return out
}

// readFar reads a rank whose agent is silent.
func (l *leader) readFar(ctx context.Context, rank int, server string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := l.agent.options.Dial(server).Report(ctx)
	if err != nil {
		l.agent.log.Debug().Str("event", "rank_unread").Int("rank", rank).Str("cause", err.Error()).Msg("")
		return
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	if report.Group.Name == l.group.Name && report.Group.Rank == rank {
		l.machine.Observe(rank, report.State)
	}
}

// plan starts a switch to a better map if one is worth its cost.
func (l *leader) plan(ctx context.Context, now time.Time) {
	if l.group.Rank != holderRank || !l.machine.Ready() {
		if l.group.Rank == holderRank && l.machine != nil {
			l.switched = now
		}
		return
	}
	if now.Sub(l.planned) < planPause || now.Sub(l.switched) < settle || !l.allHeard(now) {
		return
	}
	if l.shape.Sets == 0 {
		l.readShape(ctx)
		return
	}
	l.planned = now
	version, epoch := l.machine.Version()
	current := l.current(version, now)
	if current == nil || l.popularity.epoch != epoch || current.Validate(l.shape) != nil || !l.popularity.covers(l.shape) {
		return
	}
	load := l.popularity.loads(current, l.shape)
	if load == nil {
		return
	}
	l.machine.SetCurrentMap(current)
	l.inUse = current
	out := groupmap.Plan(current, load, l.shape, planLimits(l.engine.Experts, l.group.Size, l.busyShare()))
	l.agent.meters.skew.Store(int64(out.SkewBefore * 1000))
	if out.SkewBefore-out.SkewAfter < leastGain {
		return
	}
	out.Map.Version = l.machine.NextVersion(uint64(l.agent.options.Uptime().Milliseconds()))
	l.machine.SetPassDuration(l.agent.passes.mean)
	if l.machine.Start(out.Map, now) {
		l.started = out.Map
		l.agent.meters.switches.Inc()
		l.agent.log.Info().Str("event", "map_planned").Str("group", l.group.Name).Uint64("epoch", epoch).
			Uint64("version", out.Map.Version).Int("copies", out.Copies).
			Int64("pass_ms", l.agent.passes.mean.Milliseconds()).Float64("busy", l.busyShare()).
			Float64("skew_before", out.SkewBefore).Float64("skew_after", out.SkewAfter).Msg("")
	}
}

// current returns the map in use: the one that was started last, or what the
// ranks say that they hold; nil while that is not known.
func (l *leader) current(version uint64, now time.Time) *groupmap.Map {
	if l.started != nil && l.started.Version == version {
		return l.started
	}
	return l.popularity.current(version, now, popularityFresh)
}

// allHeard says that all ranks have told lately how they stand.
func (l *leader) allHeard(now time.Time) bool {
	for rank := range l.group.Size {
		if now.Sub(l.heard[rank]) >= silentAfter {
			return false
		}
	}
	return true
}

// readShape reads the dimensions of the group's maps, which do not change while
// the group lives.
func (l *leader) readShape(ctx context.Context) {
	if l.reading {
		return
	}
	l.reading = true
	group := l.group
	go func() {
		engine := l.agent.engineOf(ctx)
		l.agent.mu.Lock()
		defer l.agent.mu.Unlock()
		l.reading = false
		l.planned = time.Now().Add(shapeRetry)
		if engine != nil {
			l.engine, l.shape = engine, shape(engine.Experts, group.Size)
			l.planned = time.Time{}
		}
	}()
}

const (
	shapeTimeout = time.Second
	shapeRetry   = time.Second
)

// engineOf reads what the configuration says of the own service's engines; nil
// if it cannot.
func (a *Agent) engineOf(ctx context.Context) *ingress.Engine {
	ctx, cancel := context.WithTimeout(ctx, shapeTimeout)
	defer cancel()
	config, err := a.options.Config(ctx)
	if err != nil || config == nil {
		a.log.Warn().Str("event", "config_unread").Bool("published", config != nil).Msg("")
		return nil
	}
	for i := range config.Services {
		if s := &config.Services[i]; s.Name == a.options.Service && s.Engine != nil {
			return s.Engine
		}
	}
	a.log.Warn().Str("event", "service_unknown").Str("service", a.options.Service).Msg("")
	return nil
}

// busyShare is the share of the group's slots that are in use or waited for.
func (l *leader) busyShare() float64 {
	busy := 0
	for _, n := range l.busy {
		busy += n
	}
	return float64(busy) / float64(max(1, l.engine.Slots*l.group.Size))
}

func shape(e ingress.Experts, ranks int) groupmap.Shape {
	return groupmap.Shape{Sets: e.Sets, Ranks: ranks, Experts: e.PerSet, MaxExpertsPerRank: e.Places, MaxCopiesPerRank: e.Spare}
}
