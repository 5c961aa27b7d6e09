package agent

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc/drpcmux"

	"bluebellwind.example/internal/peering"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// controlTimeout bounds a call between agents of a group that does not load a map.
const controlTimeout = 2 * time.Second

// rankService is the RPC service for the other agents of the group.
type rankService struct{ *rankManager }

// register adds the service to mux if the backend server hosts ranks.
func (r *rankManager) register(mux *drpcmux.Mux, p *peering.Peering) error {
	if r == nil {
		return nil
	}
	r.peering = p
	return rankpb.DRPCRegisterRanks(mux, rankService{r})
}

// Order implements the drpc service.
func (s rankService) Order(ctx context.Context, req *rankpb.OrderRequest) (*rankpb.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	batch := make([]mapswitch.Request, 0, len(req.GetRequests()))
	for _, request := range req.GetRequests() {
		batch = append(batch, request.Native(req.GetGroup()))
	}
	orderReply := &rankpb.OrderReply{}
	for _, reply := range s.handle(ctx, batch) {
		orderReply.Replies = append(orderReply.Replies, rankpb.FromReply(reply))
	}
	return orderReply, nil
}

// Observe implements the drpc service.
func (s rankService) Observe(ctx context.Context, req *rankpb.ObserveRequest) (*rankpb.ObserveReply, error) {
	if err := s.checkGroup(req.GetGroup()); err != nil {
		return nil, err
	}
	return s.observeTree(ctx, req)
}

// Stage implements the drpc service.
func (s rankService) Stage(ctx context.Context, req *rankpb.StageRequest) (*rankpb.StageReply, error) {
	if err := s.checkGroup(req.GetGroup()); err != nil {
		return nil, err
	}
	return &rankpb.StageReply{}, s.stageTree(ctx, req)
}

// FetchMap implements the drpc service.
func (s rankService) FetchMap(ctx context.Context, req *rankpb.FetchMapRequest) (*rankpb.FetchMapReply, error) {
	if err := s.checkGroup(req.GetGroup()); err != nil {
		return nil, err
	}
	return &rankpb.FetchMapReply{Map: s.findLocalMap(ctx, mapswitch.MapID(req.GetId()))}, nil
}

// checkGroup returns an error if group is not the group of the hosted ranks.
func (r *rankManager) checkGroup(group string) error {
	if group != r.group {
		return fmt.Errorf("agent: group %q is not here", group)
	}
	return nil
}
