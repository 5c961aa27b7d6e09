package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// startProcesses starts the processes and simulated servers of a size, without callers and
// faults, and waits until the gateways are ready. The test ends them.
func startProcesses(t *testing.T, size Size) *testbed {
	t.Helper()
	return startProcessesOf(t, buildDaemon(t), size)
}

// startProcessesOf is startProcesses for a daemon that is built already.
func startProcessesOf(t *testing.T, daemon string, size Size) *testbed {
	t.Helper()
	r, err := newTestbed(t.Context(), daemon, logDir(t, strings.ReplaceAll(t.Name(), "/", "-")), int(time.Now().UnixNano()%1000), size)
	assert.NilError(t, err)
	t.Cleanup(r.close)
	go heartbeat(t.Context(), r.store, r.plainServers[0].entry)
	r.changeConfig()
	r.awaitAllReady(t)
	return r
}

// awaitAllReady waits until all gateways are ready.
func (r *testbed) awaitAllReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	health := &gatewayHealth{failedProbes: make(map[string]int)}
	go health.monitor(ctx, r.gateways)
	assert.NilError(t, r.awaitReady(ctx, health))
}

// newRequest returns a request on the safe route with the permanent key.
func newRequest() platformtest.Request {
	return platformtest.Request{
		AttemptID: newAttemptID(rand.New(rand.NewPCG(rand.Uint64(), 0))), Host: host, Path: safePath, APIKey: permanentKey,
		RouteType: platformtest.Safe, Timeout: plainCallerTimeout,
	}
}

// sendOnce sends a request to a gateway on a new connection.
func (g *gatewayProcess) sendOnce(t *testing.T, request platformtest.Request) platformtest.Response {
	t.Helper()
	caller := platformtest.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(t.Context(), request.Timeout+lateResponseWait)
	defer cancel()
	return caller.Do(ctx, g.callersAddress, request)
}
