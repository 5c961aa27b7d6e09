package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

const (
	// Repeats of a request that crashes plain servers are sent at intervals of at least
	// minRepeatInterval and less than minRepeatInterval+repeatIntervalSpread.
	minRepeatInterval    = 100 * time.Millisecond
	repeatIntervalSpread = 400 * time.Millisecond
	// minRepeatPeriod is the minimum time for which the repeats come.
	minRepeatPeriod = 7500 * time.Millisecond
)

// repeatRequest makes one request crash the plain servers that begin to run it, and sends
// it again and again at any gateway until the end of the fault. Servers come back under
// their address and ID. The request still crashes servers after that.
func (r *testbed) repeatRequest(rng *rand.Rand) func() func() {
	path, routeType := safePath, platformtest.Safe
	if rng.IntN(2) == 0 {
		path, routeType = unsafePath, platformtest.Unsafe
	}
	path += fmt.Sprintf("%016x", rng.Uint64())
	rng = rand.New(rand.NewPCG(rng.Uint64(), 4))
	return func() func() {
		for _, s := range r.plainServers {
			s.AddCrashingPath(path, func() { r.crashPlainServer(s) })
		}
		ctx, cancel := context.WithCancel(context.Background())
		var sending sync.WaitGroup
		sending.Go(func() { r.runRepeatingCaller(ctx, rng, path, routeType) })
		return func() { cancel(); sending.Wait() }
	}
}

// runRepeatingCaller sends the request until ctx ends, without waiting for responses in
// between.
func (r *testbed) runRepeatingCaller(ctx context.Context, rng *rand.Rand, path string, routeType platformtest.RouteType) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		a, g := &attempt{organisation: permanentOrg, crashing: true}, r.drawGateway(rng)
		a.AttemptID, a.Host, a.APIKey, a.Timeout = newAttemptID(rng), host, permanentKey, plainCallerTimeout
		a.Path, a.RouteType, a.Payload = path, routeType, []byte("again")
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Timeout+lateResponseWait)
			defer cancel()
			r.sendTo(ctx, caller, g, a)
		})
		sleep(ctx, minRepeatInterval+time.Duration(rng.Int64N(int64(repeatIntervalSpread))))
	}
}

// crashPlainServer crashes a plain server that has begun to run a request. Unlike a fault
// of its link it excuses no gateway.
func (r *testbed) crashPlainServer(s *plainServer) {
	endCrash := r.history.beginFault(crashOf(s.ID))
	s.link.setMode(linkRefused)
	time.AfterFunc(crashDownTime, func() { s.link.setMode(linkOpen); endCrash() })
}

// decisiveCrashes is the number of crashes of plain servers under a request after which,
// and maxStopDelay later, it must no longer reach servers.
const decisiveCrashes = 3

// repeatArrivals finds requests that have crashed plain servers and still reach servers.
func (h *history) repeatArrivals() []string {
	arrivals := make(map[string][]repeatArrival)
	for _, a := range h.attempts {
		if !a.crashing {
			continue
		}
		for _, got := range a.arrivals {
			arrivals[a.Path] = append(arrivals[a.Path], repeatArrival{at: got.At, server: got.Server, gateway: a.gateway})
		}
	}
	var out []string
	for path, all := range arrivals {
		out = append(out, h.lateRepeats(path, all)...)
	}
	return out
}

// repeatArrival is the arrival of a crashing request at a server.
type repeatArrival struct {
	at              time.Time
	server, gateway string
}

// lateRepeats returns the violation of the request for a path, each arrival of which has
// crashed a server.
func (h *history) lateRepeats(path string, arrivals []repeatArrival) []string {
	if len(arrivals) < decisiveCrashes {
		return nil
	}
	slices.SortFunc(arrivals, func(a, b repeatArrival) int { return a.at.Compare(b.at) })
	stopBy := arrivals[decisiveCrashes-1].at.Add(maxStopDelay)
	late := 0
	for _, got := range arrivals {
		if got.at.After(stopBy) && h.gatewayInTouch(got.gateway, got.at, got.at) && h.unaffected(got.server, got.at, got.at) {
			late++
		}
	}
	if late <= allowedAfterStop {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d arrived at servers later than %v after its crash number %d, of %d",
		path, late, maxStopDelay, decisiveCrashes, len(arrivals))}
}
