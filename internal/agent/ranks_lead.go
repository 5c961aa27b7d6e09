package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// statusTimeout bounds one reading of the status of all hosted ranks.
const statusTimeout = 500 * time.Millisecond

// rankCandidate runs the map switches that this agent leads. It is not safe for
// concurrent use; run calls all methods that change it.
type rankCandidate struct {
	*rankManager
	candidate      *mapswitch.Candidate
	ownStatus      mapswitch.RankStatus
	ownStatusKnown bool
}

func (c *rankCandidate) run(ctx context.Context) {
	ticker := time.NewTicker(c.settings.Stall.Std() / ticksPerStall)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-c.replies:
			previous := c.candidate.CurrentLeader()
			c.process(ctx, previous, c.candidate.Handle(reply, time.Now()))
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *rankCandidate) tick(ctx context.Context) {
	c.refreshOwnStatus(ctx)
	previous := c.candidate.CurrentLeader()
	if previous == nil && (!c.ownStatusKnown || c.draining()) {
		return
	}
	now := time.Now()
	view := mapswitch.View{WantedMap: c.targetMapID(now), OwnStatus: c.ownStatus}
	for rank, owner := range c.rankOwners() {
		if owner.alive {
			view.Live = append(view.Live, rank)
		}
	}
	c.process(ctx, previous, c.candidate.Tick(view, now))
}

// refreshOwnStatus reads the status of the hosted ranks and keeps the one with the
// most urgent need of repair: a rank without a map, otherwise one under a hold.
func (c *rankCandidate) refreshOwnStatus(ctx context.Context) {
	statuses, err := c.statuses(ctx)
	c.ownStatusKnown = err == nil
	if !c.ownStatusKnown {
		return
	}
	slices.SortStableFunc(statuses, func(a, b mapswitch.RankStatus) int { return repairUrgency(b) - repairUrgency(a) })
	c.ownStatus = statuses[0]
}

func repairUrgency(s mapswitch.RankStatus) int {
	switch {
	case s.HasNoMap():
		return 2
	case s.Hold != nil:
		return 1
	default:
		return 0
	}
}

// statuses returns the status of the hosted ranks, in the order of the settings.
func (r *rankManager) statuses(ctx context.Context) ([]mapswitch.RankStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var statuses []mapswitch.RankStatus
	for _, hosted := range r.settings.Hosted {
		status, err := r.clients[mapswitch.Rank(hosted.Rank)].Status(ctx)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// process sends the candidate's requests, and logs the start or the outcome of an
// attempt to switch the map. previous is the leader of the switch attempt that was
// under way before the candidate returned the requests, or nil if there was none.
func (c *rankCandidate) process(ctx context.Context, previous *mapswitch.Leader, requests []mapswitch.Request) {
	current := c.candidate.CurrentLeader()
	if previous == nil && current != nil {
		c.groupEvent(c.log.Info(), "map_switch_started").Msg("")
	}
	if previous != nil && current != previous {
		c.recordOutcome(previous)
	}
	c.send(ctx, requests)
}

func (c *rankCandidate) recordOutcome(leader *mapswitch.Leader) {
	switch leader.Outcome() {
	case mapswitch.Switched:
		c.metrics.switched.Inc()
		c.groupEvent(c.log.Info(), "map_switched").
			Str("label", leader.Label().String()).Uint64("step", leader.Step()).Msg("")
	case mapswitch.Failed:
		c.metrics.failed.Inc()
		c.groupEvent(c.log.Warn(), "map_switch_failed").
			Str("label", leader.Label().String()).Uint64("step", leader.Step()).Msg("")
	default:
		c.groupEvent(c.log.Info(), "map_switch_unneeded").Msg("")
	}
}

// send sends each agent its requests in one call. The leader repeats a request
// that gets no reply.
func (c *rankCandidate) send(ctx context.Context, requests []mapswitch.Request) {
	if len(requests) == 0 {
		return
	}
	owners := c.rankOwners()
	batches := map[string][]mapswitch.Request{}
	for _, req := range requests {
		if owner, ok := owners[req.Rank]; ok {
			batches[owner.address] = append(batches[owner.address], req)
		}
	}
	for address, batch := range batches {
		go c.deliver(ctx, address, batch)
	}
}

func (c *rankCandidate) deliver(ctx context.Context, address string, batch []mapswitch.Request) {
	callCtx, cancel := context.WithTimeout(ctx, c.settings.Stall.Std())
	defer cancel()
	var replies []mapswitch.Reply
	if address == "" {
		replies = c.handle(callCtx, batch)
	} else {
		replies = c.callRemote(callCtx, address, batch)
	}
	for _, reply := range replies {
		select {
		case c.replies <- reply:
		case <-ctx.Done():
			return
		}
	}
}

func (r *rankManager) callRemote(ctx context.Context, address string, batch []mapswitch.Request) []mapswitch.Reply {
	order := &rankpb.OrderRequest{Group: r.group}
	for _, req := range batch {
		order.Requests = append(order.Requests, rankpb.FromRequest(req))
	}
	response, err := rankpb.NewDRPCRanksClient(r.pool.Get(ctx, address)).Order(ctx, order)
	if err != nil {
		r.log.Debug().Str("event", "rank_order_unanswered").Str("to", address).Str("cause", err.Error()).Msg("")
		return nil
	}
	replies := make([]mapswitch.Reply, 0, len(response.GetReplies()))
	for _, reply := range response.GetReplies() {
		replies = append(replies, reply.Native(r.group))
	}
	return replies
}

// handle carries out requests on the hosted ranks. A failed request has no reply.
func (r *rankManager) handle(ctx context.Context, batch []mapswitch.Request) []mapswitch.Reply {
	var (
		mu      sync.Mutex
		replies []mapswitch.Reply
		wg      sync.WaitGroup
	)
	for _, req := range batch {
		wg.Go(func() {
			reply, err := r.switchAgent.Handle(ctx, req)
			if err != nil {
				r.log.Debug().Str("event", "rank_order_failed").Str("cause", err.Error()).Msg("")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}
