package mapswitch

import (
	"context"
	"fmt"
)

// RankEngine is the control interface of a model engine for one of its ranks. An
// order may take effect after its call has failed, but only in the engine process
// that it was sent to.
type RankEngine interface {
	Status(ctx context.Context) (RankStatus, error)
	Arm(ctx context.Context, o ArmOrder) error
	Confirm(ctx context.Context, a Attempt) error
	Release(ctx context.Context, a Attempt) error
}

// Agent processes the requests of leaders for the ranks that it controls. It keeps
// no state between requests, so a restart loses nothing. It is safe for
// concurrent use if its engines are.
type Agent struct {
	group string
	ranks map[Rank]RankEngine
	// ignoreProcess makes arm skip the check of the engine process. Tests set it
	// to show that the check is needed.
	ignoreProcess bool
}

// NewAgent returns an agent that controls the given ranks of one group.
func NewAgent(group string, ranks map[Rank]RankEngine) *Agent {
	return &Agent{group: group, ranks: ranks}
}

// Handle executes one request and then reads the register of the rank. If it
// returns an error, the request may or may not have taken effect, and the leader
// sends it again.
func (a *Agent) Handle(ctx context.Context, req Request) (Reply, error) {
	engine, ok := a.ranks[req.Rank]
	if !ok || req.Group != a.group {
		return Reply{}, fmt.Errorf("mapswitch: this agent does not control rank %d of group %q", req.Rank, req.Group)
	}
	if err := a.execute(ctx, engine, req); err != nil {
		return Reply{}, fmt.Errorf("mapswitch: send order to rank %d: %w", req.Rank, err)
	}
	status, err := engine.Status(ctx)
	if err != nil {
		return Reply{}, fmt.Errorf("mapswitch: read status of rank %d: %w", req.Rank, err)
	}
	return Reply{Group: req.Group, Rank: req.Rank, Kind: req.Kind, Attempt: req.Attempt, Status: status}, nil
}

// execute sends the order of a request, if it has one, to the engine.
func (a *Agent) execute(ctx context.Context, engine RankEngine, req Request) error {
	switch req.Kind {
	case Arm:
		return a.arm(ctx, engine, req.Arm)
	case Confirm:
		return engine.Confirm(ctx, req.Attempt)
	case Release:
		return engine.Release(ctx, req.Attempt)
	default:
		return nil
	}
}

// arm sends an order only to the engine process that was polled. A blank process
// that has replaced it would otherwise join with a map and a step that the group
// no longer uses.
func (a *Agent) arm(ctx context.Context, engine RankEngine, o *ArmOrder) error {
	if o == nil {
		return fmt.Errorf("request of kind Arm has no order")
	}
	status, err := engine.Status(ctx)
	if err != nil {
		return err
	}
	if status.Process != o.Condition.Process && !a.ignoreProcess {
		return nil
	}
	return engine.Arm(ctx, *o)
}
