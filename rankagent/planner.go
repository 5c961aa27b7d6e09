package rankagent

import (
	"context"
	"math"
	"slices"
	"time"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
)

const (
	// targetSkew is the load of the busiest rank over the mean load at which a set
	// of experts needs no improvement.
	targetSkew = 1.06
	// maxCopyDuration is how long the ranks may copy experts for one plan, on
	// average: popularity changes within seconds, and passes take longer during
	// the copy. A plan may always copy one expert for each rank.
	maxCopyDuration = 200 * time.Millisecond
	// maxCopiesEach bounds the experts that one plan copies to each rank, on average,
	// however fast the link is.
	maxCopiesEach = 1000
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
		copies := maxCopyDuration.Seconds() * e.LinkMbps / (e.MegabytesEach * 8)
		limits.MaxCopies = ranks * int(min(maxCopiesEach, max(1, copies)))
	}
	return limits
}

// plan starts a switch to a better map if the gain justifies its cost.
func (l *leader) plan(ctx context.Context, now time.Time) {
	if l.planning || l.agent.stopping || l.group.Rank != initiatorRank || !l.mapSwitch.Ready() {
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
	if l.agent.stopping || out.SkewBefore-out.SkewAfter < minSkewGain || version != in.current.Version || epoch != in.epoch || l.shape != in.shape {
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
		if engine != nil && l.group.Size == group.Size {
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
