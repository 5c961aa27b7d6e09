package rankagent

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/backends"
	"bluebellwind.example/mesh/meshpb"
)

// reportCounts reads how often each expert was chosen and, if that is due, sends the
// increase since the previous read towards the initiator's agent. Older choices would hide
// that other experts have come into demand.
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
	now := time.Now()
	a.mu.Lock()
	previous := a.lastCounts
	a.lastCounts, a.heldExperts = counts, held
	message := newPopularity(report.Group, counts.Epoch, held, countsSince(previous, counts))
	route := a.countsRoute(report.Group, proto.Size(message), now)
	a.leader.popularity.period = route.rankPeriod
	due := now.Sub(a.countsSentAt) >= route.period-countsPeriod/2
	if due {
		a.countsSentAt = nextCountsOrigin(now, a.countsSentAt, route.period, report.Group)
		message = a.countsRelay.addTo(message)
	}
	a.mu.Unlock()
	switch {
	case !due:
	case route.local:
		a.handlePopularity(message)
	case route.to.ID != "":
		a.mesh.Send(&meshpb.Packet{Popularity: message}, route.to)
	}
}

// newPopularity returns the message with the counts of one rank.
func newPopularity(g backends.Group, epoch uint64, held HeldExperts, chosen []uint32) *meshpb.Popularity {
	counts, unit := scaleCounts(chosen)
	return &meshpb.Popularity{
		Group: g.Name, Epoch: epoch, Rank: uint32(g.Rank), Counts: counts, Unit: unit,
		Map: held.Version, Held: packExperts(held.Experts), Sets: uint32(len(held.Experts)),
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
