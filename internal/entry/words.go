package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/membership"
	"bluebellwind.example/wire"
)

const (
	// minReportsInterval is the minimum time between two reads of the reports.
	minReportsInterval = 50 * time.Millisecond
	// reportsTimeout bounds the wait for a change, because the expiry of a report
	// is not signalled.
	reportsTimeout = time.Second
)

// watchAgentReports copies the reports of agents from the membership to the
// directory until ctx ends.
func (e *Entry) watchAgentReports(ctx context.Context) {
	node := e.peering.Node
	for ctx.Err() == nil {
		loads, leaving, facts := node.Changed(membership.KindLoad), node.Changed(membership.KindLeaving), node.Changed(membership.KindFacts)
		e.directory.SetAgentReports(agentReports(node), time.Now())
		sleep(ctx, minReportsInterval)
		select {
		case <-loads:
		case <-leaving:
		case <-facts:
		case <-time.After(reportsTimeout):
		case <-ctx.Done():
		}
	}
}

// agentReports returns the reports of live agents in their current incarnation.
// It ignores reports that cannot be decoded.
func agentReports(node *membership.Node) []fleet.AgentReport {
	alive := map[string]membership.Instance{}
	for _, in := range node.Alive() {
		alive[in.ID] = in
	}
	var out []fleet.AgentReport
	for _, r := range node.Snapshot(membership.KindLoad) {
		in, ok := alive[r.Origin]
		if !ok || in.Role != membership.Agent || r.Incarnation != in.Incarnation {
			continue
		}
		report := &wire.Report{}
		if proto.Unmarshal(r.Payload, report) != nil {
			continue
		}
		out = append(out, fleet.AgentReport{
			Name:        in.ID,
			Zone:        in.Zone,
			Address:     string(in.Addr),
			Incarnation: in.Incarnation,
			Leaving:     in.Leaving,
			Report:      report,
			At:          r.PublishedAt,
		})
	}
	return out
}
