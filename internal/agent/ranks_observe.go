package agent

import (
	"context"
	"fmt"
	"time"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// observeGroup returns the observations of all ranks, indexed by rank. It returns
// an error if one is missing, because a group that lacks a rank cannot be switched.
func (p *rankPlanner) observeGroup(ctx context.Context) ([]*rankpb.Observation, error) {
	otherAgents, err := p.otherAgentAddresses()
	if err != nil {
		return nil, err
	}
	req := &rankpb.ObserveRequest{Group: p.group, PassOn: otherAgents}
	for rank, cursor := range p.cursors {
		req.After = append(req.After, &rankpb.Cursor{Rank: uint32(rank), Window: cursor.window})
	}
	reply, err := p.observeTree(ctx, req)
	if err != nil {
		return nil, err
	}
	byRank := make([]*rankpb.Observation, p.settings.Total)
	for _, observation := range reply.GetRanks() {
		if int(observation.GetRank()) < len(byRank) {
			byRank[observation.GetRank()] = observation
		}
	}
	for rank, observation := range byRank {
		if observation == nil {
			return nil, fmt.Errorf("agent: no observation of rank %d", rank)
		}
	}
	p.recordWindows(byRank, reply.GetPopularity())
	return byRank, nil
}

// recordWindows adds the new measurement windows to the estimates. Windows of an
// engine process that ended between two rounds are lost, as are late reports.
func (p *rankPlanner) recordWindows(observations []*rankpb.Observation, popularity *rankpb.Popularity) {
	for _, observation := range observations {
		p.recordRankWindows(observation)
	}
	start, end := time.UnixMilli(popularity.GetStartMs()), time.UnixMilli(popularity.GetEndMs())
	for l, layer := range popularity.GetLayers() {
		err := p.popularity.Observe(expertmap.TokenReport{Layer: l, Start: start, End: end, Tokens: layer.GetTokens()})
		if err != nil {
			p.log.Warn().Str("event", "popularity_refused").Str("group", p.group).Str("cause", err.Error()).Msg("")
			return
		}
	}
	if end.After(p.lastWindowEnd) && popularity != nil {
		p.lastWindowEnd = end
	}
}

func (p *rankPlanner) recordRankWindows(observation *rankpb.Observation) {
	rank, process := mapswitch.Rank(observation.GetRank()), observation.GetStatus().GetProcess()
	if previous, ok := p.cursors[rank]; ok && previous.process != process {
		// The windows were requested by the numbers of the earlier process, so this
		// observation is not used.
		p.speeds.Forget(int(rank))
		p.cursors[rank] = windowCursor{process: process}
		return
	}
	p.cursors[rank] = windowCursor{process: process, window: observation.GetWindow()}
	if observation.GetLoad() > 0 {
		// If the time is invalid, the speed keeps its earlier estimate.
		_ = p.speeds.Observe(int(rank), observation.GetLoad(), observation.GetSeconds())
	}
}

// recordTimeSpread sets the metrics of how unequal the ranks' computing times were
// since the last round.
func (p *rankPlanner) recordTimeSpread(observations []*rankpb.Observation) {
	shortest, longest, total := observations[0].GetSeconds(), 0.0, 0.0
	for _, observation := range observations {
		seconds := observation.GetSeconds()
		shortest, longest, total = min(shortest, seconds), max(longest, seconds), total+seconds
	}
	if total > 0 {
		mean := total / float64(len(observations))
		p.metrics.maxOverMean.Set(longest / mean)
		p.metrics.spreadOverMean.Set((longest - shortest) / mean)
	}
}
