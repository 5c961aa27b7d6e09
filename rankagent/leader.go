package rankagent

import (
	"context"
	"math"
	"slices"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// initiatorRank is the rank whose agent plans maps and starts switches. Package
	// groupmap sends its holds to the same rank.
	initiatorRank = 0
	// minSilenceTimeout is the least time without a status of an agent after which
	// the agent counts as silent: the active leader reads its rank and sends it
	// orders directly. If the silent agent was the active leader, that of the next
	// candidate takes over.
	minSilenceTimeout = 700 * time.Millisecond
	// silentStatusPeriods is the same time in periods of the status messages, of
	// which single ones are lost.
	silentStatusPeriods = 3
	// remoteReadPeriod is the time between two direct reads of the rank of a
	// silent agent. Unlike reads of the local server they have a cost.
	remoteReadPeriod = 200 * time.Millisecond
	// planPeriod is the time between two plans if no switch is started.
	planPeriod = 150 * time.Millisecond
	// settlePeriod is the time after a switch in which no map is planned.
	settlePeriod = 50 * time.Millisecond
	// maxBurstBytes is the greatest number of bytes of maps after which the leader
	// pauses, so that orders do not overrun the link of a small instance, and
	// burstLinkShare the share of the link that they may take.
	maxBurstBytes  = 24 << 10
	burstLinkShare = 0.5
	// A map is sent again after minPrepareResendInterval and prepareResendPerRank for
	// each rank, because the maps of a large group leave one after the other.
	minPrepareResendInterval = 350 * time.Millisecond
	prepareResendPerRank     = 8 * time.Millisecond
	// minSkewGain is the least reduction of the skew for which a switch is
	// started.
	minSkewGain = 0.15
)

const (
	// targetSkew is the load of the busiest rank over the mean load at which a set
	// of experts needs no improvement.
	targetSkew = 1.06
	// maxCopyDuration is how long the ranks may copy experts for one plan, on
	// average: popularity changes within seconds, and passes take longer during
	// the copy. A plan may always copy one expert for each rank.
	maxCopyDuration = 200 * time.Millisecond
	// minGainPerGigabyte is the least gain, see groupmap.Limits, that justifies
	// copying one gigabyte in a group of referenceRanks ranks. The required gain
	// is inversely proportional to the number of ranks, since a larger group
	// serves more requests.
	minGainPerGigabyte = 0.03
	referenceRanks     = 8
	// referenceBusyShare is the busy share, see busyShare, at which
	// minGainPerGigabyte applies. Below it the busiest rank delays fewer requests,
	// so the required gain grows, up to the factor maxGainFactor; above it the
	// required gain shrinks, down to the factor minGainFactor. The factor is the
	// square of the ratio of referenceBusyShare to the busy share.
	referenceBusyShare = 0.6
	maxGainFactor      = 4.0
	minGainFactor      = 0.4
)

// planLimits returns the limits of a plan for a group with the given busy
// share. The gain of a plan must make up for the cost of its copies before
// popularity changes again.
func planLimits(e ingress.Experts, ranks int, busyShare float64) groupmap.Limits {
	gainFactor := min(maxGainFactor, max(minGainFactor, math.Pow(referenceBusyShare/max(busyShare, 0.01), 2)))
	minGainPerCopy := minGainPerGigabyte * e.MegabytesEach / 1000 * referenceRanks / float64(max(1, ranks))
	limits := groupmap.Limits{TargetSkew: targetSkew, MaxCopies: ranks, MinGainPerCopy: gainFactor * minGainPerCopy}
	if e.MegabytesEach > 0 && e.LinkMbps > 0 {
		copyDuration := time.Duration(e.MegabytesEach * 8 / e.LinkMbps * float64(time.Second))
		limits.MaxCopies = ranks * max(1, int(maxCopyDuration/copyDuration))
	}
	return limits
}

// leader holds an agent's view of its group and sends orders to the ranks while
// the agent is the active leader. It is guarded by the mutex of the agent.
type leader struct {
	agent *Agent
	group backends.Group
	// These maps are indexed by rank: the rank's agent, the address of its server,
	// when its last status arrived, the sequence of its last status message and
	// when it was last read directly.
	peers        map[int]mesh.Peer
	servers      map[int]string
	heardAt      map[int]time.Time
	sequences    map[int]uint64
	remoteReadAt map[int]time.Time
	// mapSwitch is nil until the group of the local rank is known.
	mapSwitch  *groupmap.Switch
	popularity popularity
	// shape and engineConfig are zero until readShape has read them.
	shape        groupmap.Shape
	engineConfig *ingress.Engine
	// passTimes is the relative pass time of each rank, see Report.
	passTimes map[int]float64
	// requestsByRank is the number of running and waiting requests of each rank.
	requestsByRank map[int]int
	// currentMap is the map in use at the last plan, or nil. startedMap is the map
	// of the last switch that was started.
	currentMap, startedMap *groupmap.Map
	// plannedAt is the time of the last plan. It lies in the future while the
	// configuration cannot be read.
	plannedAt time.Time
	// notReadyAt is when the group was last seen not ready for a switch.
	notReadyAt time.Time
	// readingShape is set while readShape reads the configuration, planning while
	// computePlan computes a map.
	readingShape, planning bool
	// silenceTimeout is the time without a status after which an agent is silent; it
	// is updated at each tick.
	silenceTimeout time.Duration
}

// observe updates the state of a rank. from is the ID of the agent that sent
// it, and empty for the local rank.
func (l *leader) observe(g backends.Group, from, server string, state groupmap.RankState, sequence uint64, now time.Time) {
	if from == "" && (l.mapSwitch == nil || l.group.Name != g.Name || l.group.Size != g.Size || l.group.Rank != g.Rank) {
		l.joinGroup(g)
	}
	if l.mapSwitch == nil || g.Rank >= l.group.Size {
		return
	}
	l.servers[g.Rank] = server
	if from != "" && sequence <= l.sequences[g.Rank] && now.Sub(l.heardAt[g.Rank]) < minSilenceTimeout {
		return // A delayed datagram; a newer one was processed before.
	}
	l.sequences[g.Rank] = sequence
	l.heardAt[g.Rank] = now
	l.mapSwitch.Observe(g.Rank, state)
}

func (l *leader) joinGroup(g backends.Group) {
	l.group = g
	l.peers = make(map[int]mesh.Peer)
	l.servers = make(map[int]string)
	l.heardAt = make(map[int]time.Time)
	l.sequences = make(map[int]uint64)
	l.remoteReadAt = make(map[int]time.Time)
	l.requestsByRank = make(map[int]int)
	l.passTimes = make(map[int]float64)
	l.startedMap = nil
	l.silenceTimeout = minSilenceTimeout
	l.mapSwitch = groupmap.NewSwitch(g.Size, g.Rank == initiatorRank, groupmap.SwitchTiming{
		PrepareResendInterval: minPrepareResendInterval + time.Duration(g.Size)*prepareResendPerRank,
	})
}

// setPeer records the agent of a rank.
func (l *leader) setPeer(p mesh.Peer, rank int) {
	if l.peers != nil && rank < l.group.Size {
		l.peers[rank] = p
	}
}

// statusPeers returns the agents that get the status of the local rank. A candidate
// sends it to the whole group, whose agents need to know it; the others send it to the
// candidates. Until the agents of those are known, all agents get it.
func (l *leader) statusPeers() []mesh.Peer {
	if l.mapSwitch == nil {
		return l.agent.mesh.Peers(mesh.RankAgent)
	}
	var out []mesh.Peer
	toAll := isCandidate(l.group.Rank, l.group.Size)
	for rank := range l.group.Size {
		if rank == l.group.Rank || !toAll && !isCandidate(rank, l.group.Size) {
			continue
		}
		p, known := l.peers[rank]
		if !known {
			return l.agent.mesh.Peers(mesh.RankAgent)
		}
		out = append(out, p)
	}
	return out
}

// initiatorAgent returns the agent of initiatorRank. isInitiator is true if
// that is the local agent.
func (l *leader) initiatorAgent() (p mesh.Peer, isInitiator bool) {
	if l.group.Rank == initiatorRank {
		return mesh.Peer{}, true
	}
	return l.peers[initiatorRank], false
}

// isActive reports whether this agent is the active leader: the candidate of the
// lowest rank that is not silent.
func (l *leader) isActive(now time.Time) bool {
	if l.mapSwitch == nil || !isCandidate(l.group.Rank, l.group.Size) {
		return false
	}
	for rank := range l.group.Rank {
		if isCandidate(rank, l.group.Size) && now.Sub(l.heardAt[rank]) < l.silenceTimeout {
			return false
		}
	}
	return true
}

// tick plans a map if that is due, and sends the orders that are due.
func (l *leader) tick(ctx context.Context) {
	a := l.agent
	now := time.Now()
	a.mu.Lock()
	l.silenceTimeout = max(minSilenceTimeout, silentStatusPeriods*a.statusPeriod())
	if !l.isActive(now) || !a.up {
		a.mu.Unlock()
		return
	}
	l.plan(ctx, now)
	minVersion := uint64(a.options.Uptime().Milliseconds())
	orders := l.mapSwitch.Tick(now, minVersion)
	sends := l.orderSenders(ctx, orders, now)
	silent := l.silentRanksToRead(now)
	a.mu.Unlock()
	sendPaced(ctx, sends, a.burstBytes())
	for rank, server := range silent {
		go l.readRemote(ctx, rank, server)
	}
}

// burstBytes returns the number of bytes of maps that may leave in one leaderPeriod.
func (a *Agent) burstBytes() int {
	if a.options.LinkBytesPerSecond == 0 {
		return maxBurstBytes
	}
	return min(maxBurstBytes, int(burstLinkShare*a.options.LinkBytesPerSecond*leaderPeriod.Seconds()))
}

// sendPaced sends orders. It pauses for leaderPeriod after each burstBytes, so
// that the link can transmit them.
func sendPaced(ctx context.Context, sends []func() int, burstBytes int) {
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
		case <-time.After(leaderPeriod):
		}
	}
}

// orderSenders returns functions that send the orders, see orderSender. In a large
// group the agents of candidates pass maps on to the others.
func (l *leader) orderSenders(ctx context.Context, orders []groupmap.Order, now time.Time) []func() int {
	var sends []func() int
	for _, r := range assignRelays(orders, l.relays(now)) {
		sends = append(sends, l.orderSender(ctx, r.order, r.forward, now))
	}
	return sends
}

// relays returns the ranks whose agents can pass orders on: the candidates of a large
// group, which know the agents of all ranks, unless they are silent.
func (l *leader) relays(now time.Time) []int {
	if l.group.Size <= maxSmallGroup {
		return nil
	}
	var out []int
	for rank := range l.group.Size {
		_, known := l.peers[rank]
		if known && isCandidate(rank, l.group.Size) && now.Sub(l.heardAt[rank]) < l.silenceTimeout {
			out = append(out, rank)
		}
	}
	return out
}

// orderSender returns a function that sends an order to its rank, and to the forward
// ranks through the agent of that rank. The function returns how many bytes of map
// data it sent over the mesh. The rank of a silent or unknown agent gets the order
// directly.
func (l *leader) orderSender(ctx context.Context, o groupmap.Order, forward []uint32, now time.Time) func() int {
	a := l.agent
	if o.Rank == l.group.Rank {
		return func() int {
			go a.executeOrder(ctx, a.engine, o)
			return 0
		}
	}
	peer, known := l.peers[o.Rank]
	if !known || now.Sub(l.heardAt[o.Rank]) >= l.silenceTimeout {
		engine := a.options.Dial(l.servers[o.Rank])
		return func() int {
			go a.executeOrder(ctx, engine, o)
			return 0
		}
	}
	message := &meshpb.RankOrder{
		Kind: uint32(o.Kind), Group: l.group.Name, Epoch: o.Epoch, Version: o.Version, Step: o.Step, Rank: uint32(o.Rank),
		Forward: forward,
	}
	if o.Map != nil {
		l.encodeMap(message, o)
	}
	return a.orderPacketSender(message, peer)
}

// encodeMap puts the map of an order into a message: as the difference from the
// map in use, or whole if the order had no effect before or the difference is
// empty or longer.
func (l *leader) encodeMap(message *meshpb.RankOrder, o groupmap.Order) {
	encoded := o.Map.AppendBinary(nil)
	if l.currentMap != nil && !o.Resent {
		message.Difference = o.Map.AppendDifference(nil, l.currentMap)
		message.Base = l.currentMap.Version
	}
	if len(message.Difference) == 0 || len(message.Difference) > len(encoded) {
		message.Difference, message.Map = nil, encoded
	}
}

// silentRanksToRead returns the servers, by rank, whose agents are silent and
// which are due for a direct read. There are none once the switch has settled.
// Until then, a rank may hold a pass without its silent agent having reported
// the hold.
func (l *leader) silentRanksToRead(now time.Time) map[int]string {
	if l.mapSwitch.Settled() {
		return nil
	}
	out := make(map[int]string)
	for rank, server := range l.servers {
		if rank == l.group.Rank || now.Sub(l.heardAt[rank]) < l.silenceTimeout || now.Sub(l.remoteReadAt[rank]) < remoteReadPeriod {
			continue
		}
		l.remoteReadAt[rank] = now
		out[rank] = server
	}
	return out
}

// readRemote reads a rank whose agent is silent directly from its server.
func (l *leader) readRemote(ctx context.Context, rank int, server string) {
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
		l.mapSwitch.Observe(rank, report.State)
	}
}

// plan starts a switch to a better map if the gain justifies its cost.
func (l *leader) plan(ctx context.Context, now time.Time) {
	if l.planning || l.group.Rank != initiatorRank || !l.mapSwitch.Ready() {
		if l.group.Rank == initiatorRank && l.mapSwitch != nil {
			l.notReadyAt = now
		}
		return
	}
	if now.Sub(l.plannedAt) < planPeriod || now.Sub(l.notReadyAt) < settlePeriod || !l.allRanksHeard(now) {
		return
	}
	if l.shape.Sets == 0 {
		l.readShape(ctx)
		return
	}
	l.plannedAt = now
	version, epoch := l.mapSwitch.Version()
	current := l.mapInUse(version)
	if current == nil || l.popularity.epoch != epoch || current.Validate(l.shape) != nil || !l.popularity.fits(l.shape) {
		return
	}
	load := l.popularity.loadBySet(current, l.shape)
	if load == nil {
		return
	}
	l.mapSwitch.SetCurrentMap(current)
	l.currentMap = current
	l.planning = true
	go l.computePlan(planInput{
		current: current, epoch: epoch, shape: l.shape, demand: groupmap.Demand{Load: cloneLoad(load), TokenTimes: l.tokenTimes()},
		limits: planLimits(l.engineConfig.Experts, l.group.Size, l.busyShare()),
	})
}

// planInput is what a plan is computed from.
type planInput struct {
	current *groupmap.Map
	epoch   uint64
	demand  groupmap.Demand
	shape   groupmap.Shape
	limits  groupmap.Limits
}

func cloneLoad(load [][]float64) [][]float64 {
	out := make([][]float64, len(load))
	for set := range load {
		out[set] = slices.Clone(load[set])
	}
	return out
}

// computePlan computes a plan and starts a switch to its map if that gains enough. A
// plan for a large group takes long, so the agent is not locked meanwhile.
func (l *leader) computePlan(in planInput) {
	began := time.Now()
	out := groupmap.Plan(in.current, in.demand, in.shape, in.limits)
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.planning = false
	l.agent.metrics.skew.Store(int64(out.SkewBefore * 1000))
	version, epoch := l.mapSwitch.Version()
	if out.SkewBefore-out.SkewAfter < minSkewGain || version != in.current.Version || epoch != in.epoch || l.shape != in.shape {
		return
	}
	out.Map.Version = l.mapSwitch.NextVersion(uint64(l.agent.options.Uptime().Milliseconds()))
	l.mapSwitch.SetPassDuration(l.agent.passTimer.meanDuration)
	if !l.mapSwitch.Start(out.Map, time.Now()) {
		return
	}
	l.startedMap = out.Map
	l.agent.metrics.switches.Inc()
	l.agent.log.Info().Str("event", "map_planned").Str("group", l.group.Name).Uint64("epoch", epoch).
		Uint64("version", out.Map.Version).Int("copies", out.Copies).Int64("plan_ms", time.Since(began).Milliseconds()).
		Int64("pass_ms", l.agent.passTimer.meanDuration.Milliseconds()).Float64("busy", l.busyShare()).
		Float64("skew_before", out.SkewBefore).Float64("skew_after", out.SkewAfter).Msg("")
	l.agent.wakeLeader()
}

// minSlowPassTime is the relative pass time above which a rank counts as slow. Lesser
// differences are noise, for which no expert is worth moving.
const minSlowPassTime = 1.3

// tokenTimes returns the time that each rank needs for a token, relative to that of a
// rank that is not slow.
func (l *leader) tokenTimes() []float64 {
	times := make([]float64, l.group.Size)
	for rank := range times {
		times[rank] = 1
		if t := l.passTimes[rank]; t > minSlowPassTime {
			times[rank] = t
		}
	}
	return times
}

// mapInUse returns the map with the given version: that of the last switch that
// was started, or the one that the ranks report. It returns nil if neither is
// known.
func (l *leader) mapInUse(version uint64) *groupmap.Map {
	if l.startedMap != nil && l.startedMap.Version == version {
		return l.startedMap
	}
	return l.popularity.mapInUse(version)
}

// allRanksHeard reports whether no agent of the group is silent.
func (l *leader) allRanksHeard(now time.Time) bool {
	for rank := range l.group.Size {
		if now.Sub(l.heardAt[rank]) >= l.silenceTimeout {
			return false
		}
	}
	return true
}

// readShape reads the dimensions of the group's maps from the configuration in
// the background. They do not change during the lifetime of the group.
func (l *leader) readShape(ctx context.Context) {
	if l.readingShape {
		return
	}
	l.readingShape = true
	group := l.group
	go func() {
		engine := l.agent.loadEngineConfig(ctx)
		l.agent.mu.Lock()
		defer l.agent.mu.Unlock()
		l.readingShape = false
		l.plannedAt = time.Now().Add(configRetryDelay)
		if engine != nil {
			l.engineConfig, l.shape = engine, shapeOf(engine.Experts, group.Size)
			l.plannedAt = time.Time{}
		}
	}()
}

const (
	configTimeout    = time.Second
	configRetryDelay = time.Second
)

// loadEngineConfig returns the engine configuration of the agent's service, or
// nil if it cannot be read.
func (a *Agent) loadEngineConfig(ctx context.Context) *ingress.Engine {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
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

// busyShare returns the running and waiting requests of the group divided by
// its slots, the number of requests that it can run concurrently. It exceeds 1
// if there are more requests than slots.
func (l *leader) busyShare() float64 {
	requests := 0
	for _, n := range l.requestsByRank {
		requests += n
	}
	return float64(requests) / float64(max(1, l.engineConfig.Slots*l.group.Size))
}

func shapeOf(e ingress.Experts, ranks int) groupmap.Shape {
	return groupmap.Shape{Sets: e.Sets, Ranks: ranks, Experts: e.PerSet, MaxExpertsPerRank: e.Places, MaxCopiesPerRank: e.Spare}
}
