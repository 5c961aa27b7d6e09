package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
	"bluebellwind.example/rules"
)

// targetLifetimeStalls is the minimum time, in stall times, for which a loaded map
// stays the target of a switch.
const targetLifetimeStalls = 10

// rankPlanner plans the expert maps of the group while this agent hosts the lowest
// live rank. It is not safe for concurrent use; only run uses it.
type rankPlanner struct {
	*rankManager
	planner expertmap.Planner
	// The fields up to lastWindowEnd hold what was measured since this agent began
	// to plan. lastWindowEnd is the latest end of a measurement window.
	popularity    *expertmap.Estimator
	speeds        *expertmap.SpeedEstimator
	cursors       map[mapswitch.Rank]windowCursor
	lastWindowEnd time.Time
	currentMap    *expertmap.Map
	isPlanning    bool
}

// windowCursor is the position up to which the measurement windows of a rank were
// read: the number of the last window, and the engine process that counts them.
type windowCursor struct {
	process uint64
	window  uint64
}

func newRankPlanner(r *rankManager) *rankPlanner {
	p := &rankPlanner{rankManager: r}
	p.resetEstimates()
	return p
}

// resetEstimates discards all measurements.
func (p *rankPlanner) resetEstimates() {
	p.popularity = expertmap.NewEstimator(p.settings.Layers, p.settings.Experts)
	p.speeds = expertmap.NewSpeedEstimator(p.settings.Total)
	p.cursors = map[mapswitch.Rank]windowCursor{}
	p.lastWindowEnd = time.Time{}
}

func (p *rankPlanner) run(ctx context.Context) {
	clock.Every(ctx, p.settings.PlanInterval.Std(), func(time.Time) {
		if !p.updatePlanning() {
			return
		}
		if err := p.planRound(ctx); err != nil {
			p.groupEvent(p.log.Warn(), "map_not_planned").Str("cause", err.Error()).Msg("")
		}
	})
}

// updatePlanning reports whether this agent plans for the group. It discards all
// measurements when the agent ceases to do so.
func (p *rankPlanner) updatePlanning() bool {
	wasPlanning := p.isPlanning
	p.isPlanning = p.hasLowestLiveRank()
	if wasPlanning == p.isPlanning {
		return p.isPlanning
	}
	if p.isPlanning {
		p.groupEvent(p.log.Info(), "map_planning_begun").Msg("")
		return true
	}
	p.resetEstimates()
	p.groupEvent(p.log.Info(), "map_planning_ended").Msg("")
	return false
}

// planRound observes the group and, if a new map is worth its cost, has it loaded
// and makes it the target.
func (p *rankPlanner) planRound(ctx context.Context) error {
	observations, err := p.observeGroup(ctx)
	if err != nil {
		return err
	}
	inUse, ok := commonLabel(observations)
	if !ok || p.switchPending(inUse) {
		return nil
	}
	if err := p.updateCurrentMap(ctx, inUse); err != nil {
		return err
	}
	p.recordTimeSpread(observations)
	plan, err := p.planner.Plan(p.planInput(observations))
	if err != nil {
		return err
	}
	p.metrics.plans.Inc()
	if !plan.Changed() {
		return nil
	}
	return p.applyPlan(ctx, &plan)
}

// commonLabel returns the label of the map that all ranks use. It returns false if
// a rank is under a hold or uses another label, and so has to be repaired first.
func commonLabel(observations []*rankpb.Observation) (mapswitch.Label, bool) {
	label := observations[0].GetStatus().Native().InUse
	for _, observation := range observations {
		status := observation.GetStatus().Native()
		if status.Hold != nil || status.InUse != label {
			return mapswitch.Label{}, false
		}
	}
	return label, true
}

// switchPending reports whether the target map is not yet in use.
func (p *rankPlanner) switchPending(inUse mapswitch.Label) bool {
	target := p.targetMapID(time.Now())
	return target != "" && target != inUse.Map
}

// updateCurrentMap sets currentMap to the map in use, which it fetches if needed.
func (p *rankPlanner) updateCurrentMap(ctx context.Context, inUse mapswitch.Label) error {
	if inUse.IsZero() {
		p.currentMap = nil
		return nil
	}
	if p.currentMap != nil && p.currentMap.Label() == string(inUse.Map) {
		return nil
	}
	parsed, err := expertmap.ParseMap(p.findMap(ctx, inUse.Map))
	if err != nil {
		return fmt.Errorf("agent: reading map %s, which is in use: %w", inUse.Map, err)
	}
	p.currentMap = parsed
	return nil
}

func (p *rankPlanner) planInput(observations []*rankpb.Observation) expertmap.PlanInput {
	input := expertmap.PlanInput{
		Layers:       p.settings.Layers,
		Experts:      p.settings.Experts,
		Slots:        p.settings.Slots,
		Popularity:   p.popularity.Estimate(p.lastWindowEnd.Add(p.settings.PlanInterval.Std() / 2)),
		Current:      p.currentMap,
		PlanInterval: p.settings.PlanInterval.Std(),
		Weights:      p.planWeights(),
		Costs: expertmap.MoveCosts{
			BytesPerExpert:      p.settings.BytesPerExpert,
			StoreBytesPerSecond: p.settings.StoreBytesPerSecond,
			StepDisturbance:     p.settings.MoveCost.Std(),
		},
	}
	owners := p.rankOwners()
	var hosts []string
	for rank, speed := range p.speeds.Speeds(nil) {
		name := owners[mapswitch.Rank(rank)].name
		host := slices.Index(hosts, name)
		if host < 0 {
			host = len(hosts)
			hosts = append(hosts, name)
		}
		input.Ranks = append(input.Ranks, expertmap.Rank{Host: host, Slots: p.settings.Slots, Speed: speed, Alive: observations[rank] != nil})
	}
	return input
}

// planWeights returns the weights of the rules in force, or equal weights if these
// rules do not parse.
func (p *rankPlanner) planWeights() expertmap.ObjectiveWeights {
	ruleSet, _ := rules.Parse("rules", p.peering.Store.Current().Text)
	if ruleSet == nil {
		return expertmap.ObjectiveWeights{Skew: 1, Cost: 1}
	}
	return expertmap.ObjectiveWeights{Skew: ruleSet.Weights.Skew, Cost: ruleSet.Weights.Rebalance}
}

// applyPlan has all ranks load the planned map and then makes it the target.
func (p *rankPlanner) applyPlan(ctx context.Context, plan *expertmap.Plan) error {
	encoded, err := plan.Map.AppendBinary(nil)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	if err := p.stageOnGroup(ctx, encoded); err != nil {
		return fmt.Errorf("agent: loading map %s on all ranks: %w", plan.Map.Label(), err)
	}
	p.metrics.movedBytes.AddInt64(plan.Bytes)
	p.groupEvent(p.log.Info(), "map_staged").Str("map", plan.Map.Label()).
		Int("moves", len(plan.Moves)).Int64("bytes", plan.Bytes).
		Int("repairs", plan.RepairMoves).Int("deferred", plan.DeferredMoves).
		Float64("max_over_mean_before", plan.SkewBefore.MaxOverMean).
		Float64("max_over_mean_after", plan.SkewAfter.MaxOverMean).
		Dur("took", time.Since(startedAt)).Msg("")
	lifetime := max(p.settings.PlanInterval.Std(), targetLifetimeStalls*p.settings.Stall.Std())
	p.setTargetMap(targetMap{id: mapswitch.MapID(plan.Map.Label()), expires: time.Now().Add(lifetime)})
	return nil
}

// otherAgentAddresses returns the sorted addresses of the other agents of the
// group. It returns an error if no agent is known for a rank.
func (p *rankPlanner) otherAgentAddresses() ([]string, error) {
	owners := p.rankOwners()
	if len(owners) != p.settings.Total {
		return nil, fmt.Errorf("agent: the hosts of only %d of %d ranks are known", len(owners), p.settings.Total)
	}
	var addresses []string
	for _, owner := range owners {
		if owner.address != "" && !slices.Contains(addresses, owner.address) {
			addresses = append(addresses, owner.address)
		}
	}
	slices.Sort(addresses)
	return addresses, nil
}

func (p *rankPlanner) stageOnGroup(ctx context.Context, encoded []byte) error {
	otherAgents, err := p.otherAgentAddresses()
	if err != nil {
		return err
	}
	return p.stageTree(ctx, &rankpb.StageRequest{Group: p.group, Map: encoded, PassOn: otherAgents})
}
