package agent

import (
	"context"
	"sync"
	"time"

	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// mapLoadTimeout bounds the loading of a map: by one rank, or by all ranks when a
// new map is distributed.
const mapLoadTimeout = 5 * time.Minute

// rankEngine is a hosted rank. When an order names a map that the rank has not
// loaded, as after a replacement of the engine process, it loads the map.
type rankEngine struct {
	*rankctl.Client
	rank    mapswitch.Rank
	manager *rankManager
}

// Arm implements mapswitch.RankEngine.
func (e *rankEngine) Arm(ctx context.Context, o mapswitch.ArmOrder) error {
	err := e.Client.Arm(ctx, o)
	if rankctl.NotLoaded(err) {
		e.manager.loadInBackground(e.rank, o.Label.Map)
		if o.Join != nil {
			e.manager.loadInBackground(e.rank, o.Join.InUse.Map)
		}
	}
	return err
}

// mapLoad identifies the loading of one map by one rank.
type mapLoad struct {
	rank mapswitch.Rank
	id   mapswitch.MapID
}

// mapLoadTracker prevents concurrent loads of the same map by the same rank. It is
// safe for concurrent use.
type mapLoadTracker struct {
	mu         sync.Mutex
	inProgress map[mapLoad]bool
}

func (t *mapLoadTracker) begin(load mapLoad) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress[load] {
		return false
	}
	t.inProgress[load] = true
	return true
}

func (t *mapLoadTracker) end(load mapLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, load)
}

// loadInBackground fetches the map from a rank of the group and loads it, without
// blocking the order that named it. The leader repeats that order until the map is
// loaded.
func (r *rankManager) loadInBackground(rank mapswitch.Rank, id mapswitch.MapID) {
	load := mapLoad{rank, id}
	if id == "" || !r.mapLoads.begin(load) {
		return
	}
	go func() {
		defer r.mapLoads.end(load)
		ctx, cancel := context.WithTimeout(context.Background(), mapLoadTimeout)
		defer cancel()
		encoded := r.findMap(ctx, id)
		if encoded == nil {
			r.log.Warn().Str("event", "map_not_found").Str("group", r.group).Str("map", string(id)).Msg("")
			return
		}
		err := r.clients[rank].Load(ctx, string(id), encoded)
		if err != nil {
			r.log.Warn().Str("event", "map_load_failed").Str("group", r.group).Int("rank", int(rank)).Str("map", string(id)).Str("cause", err.Error()).Msg("")
			return
		}
		r.log.Info().Str("event", "map_loaded").Str("group", r.group).Int("rank", int(rank)).Str("map", string(id)).Msg("")
	}()
}

// findMap returns the encoded map from a hosted rank, otherwise from another agent
// of the group, otherwise nil.
func (r *rankManager) findMap(ctx context.Context, id mapswitch.MapID) []byte {
	if encoded := r.findLocalMap(ctx, id); encoded != nil {
		return encoded
	}
	tried := map[string]bool{"": true}
	for _, owner := range r.rankOwners() {
		if tried[owner.address] {
			continue
		}
		tried[owner.address] = true
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		response, err := rankpb.NewDRPCRanksClient(r.pool.Get(callCtx, owner.address)).FetchMap(callCtx, &rankpb.FetchMapRequest{Group: r.group, Id: string(id)})
		cancel()
		if err == nil && len(response.GetMap()) > 0 {
			return response.GetMap()
		}
	}
	return nil
}

func (r *rankManager) findLocalMap(ctx context.Context, id mapswitch.MapID) []byte {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, client := range r.clients {
		if encoded, err := client.Map(ctx, string(id)); err == nil && len(encoded) > 0 {
			return encoded
		}
	}
	return nil
}
