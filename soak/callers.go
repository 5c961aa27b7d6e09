package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

const (
	// probeInterval and probeTimeout are those of the platform's readiness
	// probes. After unhealthyThreshold failed probes in a row a gateway gets no
	// new connections.
	probeInterval      = 400 * time.Millisecond
	probeTimeout       = 300 * time.Millisecond
	unhealthyThreshold = 2
	// A caller waits for at least minThinkTime and less than
	// minThinkTime+thinkTimeSpread between two requests.
	minThinkTime    = 20 * time.Millisecond
	thinkTimeSpread = 100 * time.Millisecond
	// abandonedShare is the share of the requests whose caller disconnects, which
	// it does within maxAbandonDelay.
	abandonedShare  = 0.06
	maxAbandonDelay = 300 * time.Millisecond
	// lateResponseWait is how long a caller waits beyond its timeout, in order to
	// observe late responses.
	lateResponseWait = 2 * time.Second
	// revocableKeyShare is the share of the requests with API keys that may have
	// been revoked.
	revocableKeyShare = 0.3
	// sharedKeyShare is the share of the sound requests with the API key that
	// requests with a crashing part have.
	sharedKeyShare = 0.2
	// plainCallerTimeout and streamCallerTimeout are the timeouts that callers
	// state in their requests.
	plainCallerTimeout  = 1500 * time.Millisecond
	streamCallerTimeout = 5 * time.Second
)

// gatewayHealth holds the results of the readiness probes, by which callers
// select gateways. It is safe for concurrent use.
type gatewayHealth struct {
	mu           sync.Mutex
	failedProbes map[string]int
}

// monitor probes the gateways until ctx ends.
func (h *gatewayHealth) monitor(ctx context.Context, gateways []*gatewayProcess) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		var probes sync.WaitGroup
		for _, g := range gateways {
			probes.Go(func() { h.probe(ctx, caller, g) })
		}
		probes.Wait()
		sleep(ctx, probeInterval)
	}
}

func (h *gatewayHealth) probe(ctx context.Context, caller *platformtest.Caller, g *gatewayProcess) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := caller.GatewayReady(ctx, g.readyAddress)
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready {
		h.failedProbes[g.settings.Name] = 0
	} else {
		h.failedProbes[g.settings.Name]++
	}
}

// healthy reports whether a gateway has been probed and its latest
// unhealthyThreshold probes have not all failed.
func (h *gatewayHealth) healthy(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed, known := h.failedProbes[name]
	return known && failed < unhealthyThreshold
}

// pickGateway draws a healthy gateway, or any gateway if none is healthy.
func (h *gatewayHealth) pickGateway(rng *rand.Rand, gateways []*gatewayProcess) *gatewayProcess {
	order := rng.Perm(len(gateways))
	for _, i := range order {
		if h.healthy(gateways[i].settings.Name) {
			return gateways[i]
		}
	}
	return gateways[order[0]]
}

// runCaller sends requests until ctx ends. It retries a refused request once,
// as a new attempt, if the response asks for a short delay.
func (r *testbed) runCaller(ctx context.Context, seed uint64, health *gatewayHealth) {
	rng := rand.New(rand.NewPCG(seed, 1))
	caller := platformtest.NewCaller()
	defer caller.Close()
	for ctx.Err() == nil {
		a := r.drawRequest(rng)
		retryDelay := r.send(ctx, rng, caller, health, a)
		if retryDelay > 0 && retryDelay < a.Timeout/3 {
			sleep(ctx, retryDelay)
			retry := *a
			retry.isRetry, retry.wholeUnframedAt = true, time.Time{}
			retry.arrivals, retry.ranOn = nil, nil
			retry.AttemptID = newAttemptID(rng)
			retry.Timeout = a.Timeout - time.Since(a.sentAt)
			if retry.Timeout > 0 && ctx.Err() == nil {
				r.send(ctx, rng, caller, health, &retry)
			}
		}
		sleep(ctx, minThinkTime+time.Duration(rng.Int64N(int64(thinkTimeSpread))))
	}
}

func newAttemptID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

// drawRequest draws a request: its route, timeout and API key.
func (r *testbed) drawRequest(rng *rand.Rand) *attempt {
	a := &attempt{organisation: permanentOrg}
	a.AttemptID, a.Host, a.APIKey, a.Timeout = newAttemptID(rng), host, permanentKey, plainCallerTimeout
	switch routeDraw := rng.Float64(); {
	case routeDraw < 0.4:
		a.Path, a.RouteType, a.Timeout = streamPath, platformtest.Stream, streamCallerTimeout
		a.Model, a.Prompt = modelName, drawPrompt(rng)
	case routeDraw < 0.65:
		a.Path, a.RouteType = unsafePath, platformtest.Unsafe
	case routeDraw < 0.8:
		a.Path, a.RouteType = safePath, platformtest.Safe
	default:
		a.Path, a.RouteType = canaryPath, platformtest.Safe
	}
	switch keyDraw := rng.Float64(); {
	case keyDraw < revocableKeyShare:
		a.APIKey, a.organisation = revocableKey(rng.IntN(revocableKeyCount)), revocableOrg
	case keyDraw < revocableKeyShare+sharedKeyShare:
		a.APIKey = sharedKey
	}
	return a
}

// send sends a request once. It returns the delay after which the caller may
// retry, zero if it must not.
func (r *testbed) send(ctx context.Context, rng *rand.Rand, caller *platformtest.Caller, health *gatewayHealth, a *attempt) time.Duration {
	g := health.pickGateway(rng, r.gateways)
	// A request that is in flight when the run ends is completed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Timeout+lateResponseWait)
	defer cancel()
	abandons := rng.Float64() < abandonedShare
	if abandons {
		timer := time.AfterFunc(time.Duration(rng.Int64N(int64(maxAbandonDelay))), cancel)
		defer timer.Stop()
	}
	response := r.sendTo(ctx, caller, g, a)
	if !statesNotRun(response.Status) {
		return 0
	}
	return response.RetryAfter
}

// sendTo sends a request to a gateway once and records it. The caller disconnects if
// ctx is cancelled.
func (r *testbed) sendTo(ctx context.Context, caller *platformtest.Caller, g *gatewayProcess, a *attempt) platformtest.Response {
	a.gateway, a.startNumber, a.sentAt = g.settings.Name, g.startNumber(), time.Now()
	r.history.recordSent(a)
	response := caller.Do(ctx, g.callersAddress, a.Request)
	var disconnectedAt time.Time
	if errors.Is(ctx.Err(), context.Canceled) {
		disconnectedAt = time.Now()
	}
	r.history.recordResponse(a, response, disconnectedAt)
	return response
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
