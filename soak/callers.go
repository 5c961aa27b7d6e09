package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

const (
	// probePeriod and probeTimeout are those of the platform's readiness probes;
	// after probeMisses a gateway gets no new connections.
	probePeriod  = 400 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	probeMisses  = 2
	// minThink and thinkSpread are the pause of a caller between two requests.
	minThink    = 20 * time.Millisecond
	thinkSpread = 100 * time.Millisecond
	// leaveShare of the requests are abandoned within leaveWithin.
	leaveShare  = 0.06
	leaveWithin = 300 * time.Millisecond
	// patience is how much longer than its deadline a caller listens, to see
	// what comes late.
	patience = 2 * time.Second
	// changingShare of the requests use keys that may have been revoked.
	changingShare = 0.3
	// plainDeadline and streamDeadline are what callers state.
	plainDeadline  = 1500 * time.Millisecond
	streamDeadline = 5 * time.Second
)

// rotation is the set of gateways that take callers. It is safe for concurrent
// use.
type rotation struct {
	mu     sync.Mutex
	misses map[string]int
}

// watch probes the gateways until ctx ends.
func (t *rotation) watch(ctx context.Context, gateways []*gatewayProcess) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		var probes sync.WaitGroup
		for _, g := range gateways {
			probes.Go(func() { t.probe(ctx, caller, g) })
		}
		probes.Wait()
		pause(ctx, probePeriod)
	}
}

func (t *rotation) probe(ctx context.Context, caller *platformtest.Caller, g *gatewayProcess) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := caller.GatewayReady(ctx, g.ready)
	t.mu.Lock()
	defer t.mu.Unlock()
	if ready {
		t.misses[g.settings.Name] = 0
	} else {
		t.misses[g.settings.Name]++
	}
}

// takes says that a gateway takes callers.
func (t *rotation) takes(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	misses, known := t.misses[name]
	return known && misses < probeMisses
}

// pick draws a gateway that takes callers, and any if none does.
func (t *rotation) pick(rng *rand.Rand, gateways []*gatewayProcess) *gatewayProcess {
	order := rng.Perm(len(gateways))
	for _, i := range order {
		if t.takes(gateways[i].settings.Name) {
			return gateways[i]
		}
	}
	return gateways[order[0]]
}

// call sends requests until ctx ends.
func (r *rig) call(ctx context.Context, seed uint64, t *rotation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	caller := platformtest.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		a := r.draw(rng)
		again := r.send(ctx, rng, caller, t, a)
		if again > 0 && again < a.Timeout/3 {
			pause(ctx, again)
			second := *a
			second.arrivals, second.ran = nil, nil
			second.AttemptID = newAttempt(rng)
			second.Timeout = a.Timeout - time.Since(a.sent)
			if second.Timeout > 0 && ctx.Err() == nil {
				r.send(ctx, rng, caller, t, &second)
			}
		}
		pause(ctx, minThink+time.Duration(rng.Int64N(int64(thinkSpread))))
	}
}

func newAttempt(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

// draw makes a request.
func (r *rig) draw(rng *rand.Rand) *attempt {
	a := &attempt{organisation: steadyOrg}
	a.AttemptID, a.Host, a.APIKey, a.Timeout = newAttempt(rng), host, steadyKey, plainDeadline
	switch kind := rng.Float64(); {
	case kind < 0.4:
		a.Path, a.RouteType, a.Timeout = draftPath, platformtest.Stream, streamDeadline
	case kind < 0.65:
		a.Path, a.RouteType = payPath, platformtest.Unsafe
	case kind < 0.8:
		a.Path, a.RouteType = lookPath, platformtest.Safe
	default:
		a.Path, a.RouteType = canaryPath, platformtest.Safe
	}
	if rng.Float64() < changingShare {
		a.APIKey, a.organisation = changingKey(rng.IntN(changingKeys)), changingOrg
	}
	return a
}

// send sends a request once and returns when its caller may come back, zero for
// never.
func (r *rig) send(ctx context.Context, rng *rand.Rand, caller *platformtest.Caller, t *rotation, a *attempt) time.Duration {
	g := t.pick(rng, r.gateways)
	// A request that is under way when the run ends is finished.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Timeout+patience)
	defer cancel()
	var left time.Time
	leaves := rng.Float64() < leaveShare
	if leaves {
		timer := time.AfterFunc(time.Duration(rng.Int64N(int64(leaveWithin))), cancel)
		defer timer.Stop()
	}
	a.gateway, a.life, a.sent = g.settings.Name, g.life(), time.Now()
	r.ledger.begin(a)
	answer := caller.Do(ctx, g.callers, a.Request)
	if leaves && ctx.Err() != nil {
		left = time.Now()
	}
	r.ledger.end(a, answer, left)
	if !promises(answer.Status) {
		return 0
	}
	return answer.RetryAfter
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
