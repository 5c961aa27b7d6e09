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
	// maxCopyDuration is how long a rank may copy experts for one plan: popularity
	// changes within seconds, and a switch waits for the rank that copies longest. A
	// plan may always copy one expert to each rank.
	maxCopyDuration = 120 * time.Millisecond
	// maxCopiesEach bounds the experts that one plan copies to each rank, however fast
	// the link is.
	maxCopiesEach = 1000
	// maxCopySeconds bounds the time of a copy that plans reckon with.
	maxCopySeconds = 3600.0
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

// planLimits returns the limits of a plan for a group with the given busy share, whose
// map in use has the given skew. If the size of an expert and the rate of the link are
// known, the gain of a copy is weighed by w, otherwise by the busy share and the number
// of ranks.
func planLimits(e ingress.Experts, ranks int, busyShare float64, w groupmap.Worth, skew float64) groupmap.Limits {
	limits := groupmap.Limits{TargetSkew: targetSkew, MaxCopies: ranks}
	if !weighable(e) {
		gainFactor := min(maxGainFactor, max(minGainFactor, math.Pow(referenceBusyShare/max(busyShare, 0.01), 2)))
		limits.MinGainPerCopy = gainFactor * minGainPerGigabyte * e.MegabytesEach / 1000 * referenceRanks / float64(max(1, ranks))
		return limits
	}
	copies := maxCopyDuration.Seconds() / copySeconds(e)
	limits.MaxCopiesPerRank = int(min(maxCopiesEach, max(1, copies)))
	limits.MaxCopies = ranks * limits.MaxCopiesPerRank
	limits.MinGainPerCopy = w.MinGainPerCopy(shapeOf(e, ranks), skew)
	return limits
}

// weighable reports whether the cost of copying an expert is known.
func weighable(e ingress.Experts) bool { return e.MegabytesEach > 0 && e.LinkMbps > 0 }

// copySeconds returns how long a rank copies one expert, at most maxCopySeconds.
func copySeconds(e ingress.Experts) float64 {
	return min(maxCopySeconds, e.MegabytesEach*8/e.LinkMbps)
}

// worth returns what a copy of an expert costs, and who benefits from it.
func (l *leader) worth(now time.Time) groupmap.Worth {
	e := l.engineConfig.Experts
	if !weighable(e) {
		return groupmap.Worth{}
	}
	return groupmap.Worth{
		Requests: l.requests(), Lifetime: l.popularity.lifetime.Remaining(now),
		CopyDuration: time.Duration(copySeconds(e) * float64(time.Second)), Gigabytes: e.MegabytesEach / 1000,
	}
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
	load := l.popularity.loadBySet(current, l.shape, now)
	if load == nil {
		return
	}
	l.mapSwitch.SetCurrentMap(current)
	l.currentMap = current
	l.planning = true
	go l.computePlan(planInput{
		current: current, epoch: epoch, shape: l.shape, present: cloneLoad(load),
		demand:  groupmap.Demand{Load: l.popularity.demand(load, l.engineConfig.Experts, now), TokenTimes: l.tokenTimes()},
		experts: l.engineConfig.Experts, busyShare: l.busyShare(), worth: l.worth(now),
	})
}

// planInput is what a plan is computed from.
type planInput struct {
	current *groupmap.Map
	epoch   uint64
	// present is the present load, and demand what the map is planned for.
	present [][]float64
	demand  groupmap.Demand
	shape   groupmap.Shape
	experts ingress.Experts
	// busyShare and worth are what the cost of the plan is weighed by.
	busyShare float64
	worth     groupmap.Worth
}

// planResult tells what became of a plan. It is the label "result" of the metric of plans.
type planResult string

const (
	planStarted  planResult = "started"
	planNotWorth planResult = "not_worth"
	planEmpty    planResult = "no_gain"
	planOutdated planResult = "outdated"
)

// improve computes a plan and decides whether it is worth carrying out: the result is
// planStarted, planNotWorth or planEmpty.
func (in planInput) improve() (groupmap.PlanResult, planResult) {
	skew := groupmap.Skew(in.current, in.demand, in.shape)
	limits := planLimits(in.experts, in.shape.Ranks, in.busyShare, in.worth, skew)
	if math.IsInf(limits.MinGainPerCopy, 1) {
		return groupmap.PlanResult{Map: in.current, SkewBefore: skew, SkewAfter: skew}, planNotWorth
	}
	out := groupmap.Plan(in.current, in.demand, in.shape, limits)
	switch gain := out.SkewBefore - out.SkewAfter; {
	case gain <= 0:
		return out, planEmpty
	case gain < minSkewGain || weighable(in.experts) && !in.worth.Justifies(out, in.shape):
		return out, planNotWorth
	}
	return out, planStarted
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
	out, result := in.improve()
	presentSkew := groupmap.Skew(in.current, groupmap.Demand{Load: in.present, TokenTimes: in.demand.TokenTimes}, in.shape)
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.planning = false
	l.agent.metrics.skew.Store(int64(presentSkew * 1000))
	if l.mapSwitch == nil {
		l.agent.metrics.countPlan(planOutdated)
		return
	}
	version, epoch := l.mapSwitch.Version()
	if result != planStarted {
		l.agent.metrics.countPlan(result)
		l.noteDropped(out, in, result, time.Now())
		return
	}
	if l.agent.stopping || version != in.current.Version || epoch != in.epoch || l.shape != in.shape {
		l.agent.metrics.countPlan(planOutdated)
		return
	}
	out.Map.Version = l.mapSwitch.NextVersion(uint64(l.agent.options.Uptime().Milliseconds()))
	l.mapSwitch.SetPassDuration(l.agent.passTimer.meanDuration)
	l.mapSwitch.SetReceiptTimeout(l.receiptTimeout(len(out.Map.AppendDifference(nil, in.current))))
	if !l.mapSwitch.Start(out.Map, time.Now()) {
		l.agent.metrics.countPlan(planOutdated)
		return
	}
	l.startedMap = out.Map
	l.beginSwitchTimes(out.Map.Version, time.Now())
	l.agent.metrics.countPlan(planStarted)
	l.agent.metrics.copiedBytes.AddInt64(int64(float64(out.Copies) * in.experts.MegabytesEach * 1e6))
	l.agent.metrics.switches.Inc()
	l.agent.log.Info().Str("event", "map_planned").Str("group", l.group.Name).Uint64("epoch", epoch).
		Uint64("version", out.Map.Version).Int("copies", out.Copies).Int64("plan_ms", time.Since(began).Milliseconds()).
		Int64("pass_ms", l.agent.passTimer.meanDuration.Milliseconds()).Float64("busy", in.busyShare).
		Int("requests", in.worth.Requests).Int64("lifetime_ms", in.worth.Lifetime.Milliseconds()).
		Float64("megabytes", float64(out.Copies)*in.experts.MegabytesEach).
		Float64("skew", presentSkew).Float64("skew_before", out.SkewBefore).Float64("skew_after", out.SkewAfter).Msg("")
	l.agent.wakeLeader()
}

// droppedLogPeriod is the time between two log lines about dropped plans, of which there
// may be one each planPeriod.
const droppedLogPeriod = 10 * time.Second

// droppedPlans counts the plans that were dropped as not worth their cost since the last
// log line about them.
type droppedPlans struct {
	count    int
	loggedAt time.Time
}

// noteDropped logs plans that were dropped as not worth their cost, once in
// droppedLogPeriod.
func (l *leader) noteDropped(out groupmap.PlanResult, in planInput, result planResult, now time.Time) {
	if result != planNotWorth {
		return
	}
	l.dropped.count++
	if now.Sub(l.dropped.loggedAt) < droppedLogPeriod {
		return
	}
	l.agent.log.Info().Str("event", "map_plans_dropped").Str("group", l.group.Name).Int("plans", l.dropped.count).
		Int("copies", out.Copies).Int("requests", in.worth.Requests).Int64("lifetime_ms", in.worth.Lifetime.Milliseconds()).
		Float64("skew_before", out.SkewBefore).Float64("skew_after", out.SkewAfter).Msg("")
	l.dropped = droppedPlans{loggedAt: now}
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
	return float64(l.requests()) / float64(max(1, l.engineConfig.Slots*l.group.Size))
}

// requests returns the running and waiting requests of the group.
func (l *leader) requests() int {
	requests := 0
	for _, n := range l.requestsByRank {
		requests += n
	}
	return requests
}

func shapeOf(e ingress.Experts, ranks int) groupmap.Shape {
	return groupmap.Shape{Sets: e.Sets, Ranks: ranks, Experts: e.PerSet, MaxExpertsPerRank: e.Places, MaxCopiesPerRank: e.Spare}
}
