package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// treeFanout is the number of agents to which an agent forwards a call. It bounds
// the bytes that the agent that plans for a large group sends and receives.
const treeFanout = 2

// subtree is an agent to call and the agents to which it forwards the call.
type subtree struct {
	address     string
	descendants []string
}

// subtrees divides the agents at addresses into at most treeFanout subtrees of
// nearly equal size.
func subtrees(addresses []string) []subtree {
	var trees []subtree
	for i, address := range addresses {
		if i < treeFanout {
			trees = append(trees, subtree{address: address})
			continue
		}
		tree := &trees[i%treeFanout]
		tree.descendants = append(tree.descendants, address)
	}
	return trees
}

// callTree calls local for this agent and remote for each subtree, all
// concurrently. It returns when all calls have returned.
func callTree(addresses []string, local func() error, remote func(tree subtree) error) error {
	trees := subtrees(addresses)
	errs := make([]error, len(trees)+1)
	var wg sync.WaitGroup
	for i, tree := range trees {
		wg.Go(func() {
			if err := remote(tree); err != nil {
				errs[i] = fmt.Errorf("agent at %s: %w", tree.address, err)
			}
		})
	}
	errs[len(trees)] = local()
	wg.Wait()
	return errors.Join(errs...)
}

// observeTree observes all ranks that are hosted by this agent or by the agents to
// which the request is forwarded. It fails if one of them cannot be observed.
func (r *rankManager) observeTree(ctx context.Context, req *rankpb.ObserveRequest) (*rankpb.ObserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	total := &observationTotal{reply: &rankpb.ObserveReply{}}
	err := callTree(req.GetPassOn(),
		func() error { return r.observeLocal(ctx, req, total) },
		func(tree subtree) error {
			forwarded := &rankpb.ObserveRequest{Group: req.GetGroup(), After: req.GetAfter(), PassOn: tree.descendants}
			reply, err := rankpb.NewDRPCRanksClient(r.pool.Get(ctx, tree.address)).Observe(ctx, forwarded)
			if err == nil {
				total.add(reply.GetRanks(), reply.GetPopularity())
			}
			return err
		})
	return total.reply, err
}

func (r *rankManager) observeLocal(ctx context.Context, req *rankpb.ObserveRequest, total *observationTotal) error {
	for _, hosted := range r.settings.Hosted {
		client := r.clients[mapswitch.Rank(hosted.Rank)]
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		observation := &rankpb.Observation{Rank: uint32(hosted.Rank), Status: rankpb.FromStatus(status), Window: lastWindow(req, hosted.Rank)}
		windows, err := client.Windows(ctx, observation.Window)
		if err != nil {
			return err
		}
		for _, window := range windows {
			observation.Window = max(observation.Window, window.Number)
			observation.Load += window.Load
			observation.Seconds += window.Seconds
			total.add(nil, popularityOf(window))
		}
		total.add([]*rankpb.Observation{observation}, nil)
	}
	return nil
}

// lastWindow returns the number of the last window of rank that the planner has
// read, or 0 if it has read none.
func lastWindow(req *rankpb.ObserveRequest, rank int) uint64 {
	i := slices.IndexFunc(req.GetAfter(), func(c *rankpb.Cursor) bool { return int(c.GetRank()) == rank })
	if i < 0 {
		return 0
	}
	return req.GetAfter()[i].GetWindow()
}

func popularityOf(window rankctl.Window) *rankpb.Popularity {
	popularity := &rankpb.Popularity{StartMs: window.StartMs, EndMs: window.EndMs}
	for _, tokens := range window.Tokens {
		popularity.Layers = append(popularity.Layers, &rankpb.Layer{Tokens: tokens})
	}
	return popularity
}

// observationTotal collects the observations of ranks and adds up the popularity
// of experts. It is safe for concurrent use.
type observationTotal struct {
	mu    sync.Mutex
	reply *rankpb.ObserveReply
}

func (t *observationTotal) add(ranks []*rankpb.Observation, p *rankpb.Popularity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reply.Ranks = append(t.reply.Ranks, ranks...)
	if p == nil {
		return
	}
	popularity := t.reply.GetPopularity()
	if popularity == nil {
		t.reply.Popularity = p
		return
	}
	popularity.StartMs = min(popularity.StartMs, p.GetStartMs())
	popularity.EndMs = max(popularity.EndMs, p.GetEndMs())
	// All engines of a group report the same layers and experts. Surplus ones are
	// ignored.
	for layer := range min(len(popularity.Layers), len(p.GetLayers())) {
		tokens, added := popularity.Layers[layer].Tokens, p.Layers[layer].GetTokens()
		for expert := range min(len(tokens), len(added)) {
			tokens[expert] += added[expert]
		}
	}
}

// stageTree loads a map into all ranks that are hosted by this agent or by the
// agents to which the request is forwarded. It fails if one of them cannot load it.
func (r *rankManager) stageTree(ctx context.Context, req *rankpb.StageRequest) error {
	parsed, err := expertmap.ParseMap(req.GetMap())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, mapLoadTimeout)
	defer cancel()
	return callTree(req.GetPassOn(),
		func() error { return r.stageLocal(ctx, parsed.Label(), req.GetMap()) },
		func(tree subtree) error {
			forwarded := &rankpb.StageRequest{Group: req.GetGroup(), Map: req.GetMap(), PassOn: tree.descendants}
			_, err := rankpb.NewDRPCRanksClient(r.pool.Get(ctx, tree.address)).Stage(ctx, forwarded)
			return err
		})
}

func (r *rankManager) stageLocal(ctx context.Context, label string, encoded []byte) error {
	errs := make([]error, len(r.settings.Hosted))
	var wg sync.WaitGroup
	for i, hosted := range r.settings.Hosted {
		wg.Go(func() { errs[i] = r.clients[mapswitch.Rank(hosted.Rank)].Load(ctx, label, encoded) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
