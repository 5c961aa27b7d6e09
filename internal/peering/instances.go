package peering

import (
	"context"
	"math/rand/v2"
	"time"

	"bluebellwind.example/internal/platform"
	"bluebellwind.example/membership"
)

// pollInstances reads the instance list periodically until ctx ends. The list is
// only used to discover instances and to detect that they are leaving; all other
// state is reported by the instances themselves.
func (p *Peering) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		p.readInstances(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.pollDelay()):
		}
	}
}

func (p *Peering) readInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := p.platform.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.onError("instances", err)
		}
		return
	}
	p.Node.SetInstanceList(toMembers(list.Instances))
	if p.onInstanceList != nil {
		p.onInstanceList(list)
	}
}

// pollDelay returns the time until the next read of the instance list. It is
// randomized between half and one and a half times the mean, so that the
// instances do not read at the same time.
func (p *Peering) pollDelay() time.Duration {
	mean := max(minMeanPollDelay, time.Duration(len(p.Node.Alive()))*pollDelayPerInstance)
	return mean/2 + rand.N(mean)
}

// toMembers converts the platform's instance list to membership instances.
func toMembers(list []platform.Instance) []membership.Instance {
	out := make([]membership.Instance, 0, len(list))
	for _, inst := range list {
		role := membership.Entry
		if inst.Role == platform.RoleServer {
			role = membership.Agent
		}
		out = append(out, membership.Instance{
			ID:      inst.Name,
			Addr:    membership.Address(inst.Address),
			Zone:    inst.Zone,
			Region:  inst.Region,
			Role:    role,
			Leaving: inst.Leaving,
		})
	}
	return out
}
