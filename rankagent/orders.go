package rankagent

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh/meshpb"
)

// handleOrder carries out an order of the group's leader.
func (a *Agent) handleOrder(o *meshpb.RankOrder) {
	if o.Kind < uint32(groupmap.Prepare) || o.Kind > uint32(groupmap.Release) {
		a.log.Warn().Str("event", "order_unreadable").Uint64("version", o.Version).Str("cause", "unknown kind").Msg("")
		return
	}
	if len(o.Forward) > 0 {
		go a.forwardOrder(o)
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
		if !a.beginPrepare(o) {
			return
		}
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
	if !a.knowsDimensions() {
		return nil
	}
	sets := len(a.heldExperts.Experts)
	return groupmap.InitialMap(groupmap.Shape{Sets: sets, Ranks: a.report.Group.Size, Experts: len(a.lastCounts.Chosen) / sets})
}

// knowsDimensions reports whether the dimensions of the group's maps are known. The
// caller holds a.mu.
func (a *Agent) knowsDimensions() bool {
	sets := len(a.heldExperts.Experts)
	return sets != 0 && len(a.lastCounts.Chosen)%sets == 0
}

// knowsMapInUse reports whether the agent can apply a difference to the map in use at
// its rank. The caller holds a.mu.
func (a *Agent) knowsMapInUse() bool {
	state := a.report.State
	if state.MapVersion == 0 {
		return a.knowsDimensions()
	}
	return a.recentMaps[mapKey{state.Epoch, state.MapVersion}] != nil
}

// mapKey identifies a map. Versions are unique within an epoch only.
type mapKey struct{ epoch, version uint64 }

// maxRecentMaps is the greatest number of maps kept as bases for differences.
const maxRecentMaps = 4

// executeOrder sends one order to a server. If that is the local server, it
// then reads and sends its status at once. The answer of another server is recorded.
func (a *Agent) executeOrder(ctx context.Context, engine Engine, o groupmap.Order) {
	var err error
	if engine == a.engine {
		err = a.orderLocal(ctx, o)
	} else {
		err = a.orderOnce(ctx, engine, o, orderTimeout)
	}
	a.metrics.countOrder(o.Kind.String(), err)
	if engine == a.engine && o.Kind == groupmap.Prepare {
		a.endPrepare(o, err)
	}
	entry := a.log.Info().Str("event", "order").Str("kind", o.Kind.String()).Int("rank", o.Rank).
		Uint64("epoch", o.Epoch).Uint64("version", o.Version).Uint64("step", o.Step)
	if err != nil {
		entry = entry.Str("cause", err.Error())
	}
	entry.Msg("")
	if engine != a.engine {
		if err == nil {
			a.confirm(o)
		}
		return
	}
	a.mu.Lock()
	a.orderedAt = time.Now()
	a.mu.Unlock()
	a.reportStatus(ctx, true)
}
