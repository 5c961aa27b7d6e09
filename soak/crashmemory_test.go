package soak

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that has crashed three servers must not crash three more each time that all gateways
// are killed together and no process remembers it.
func TestRequestThatCrashesServersIsStoppedAfterAllGatewaysWereKilled(t *testing.T) {
	const losses = 3
	r := startProcesses(t, Size{Gateways: 3, PlainServers: 3})
	deadly := newRequest()
	deadly.Path = safePath + "deadly"
	var crashes atomic.Int64
	for _, s := range r.plainServers {
		s.AddCrashingPath(deadly.Path, func() {
			crashes.Add(1)
			r.crashPlainServer(s)
		})
	}
	visitAll := func() {
		for _, g := range r.gateways {
			deadly.AttemptID = newRequest().AttemptID
			_ = g.sendOnce(t, deadly)
			time.Sleep(100 * time.Millisecond)
		}
	}
	visitAll()
	time.Sleep(crashDownTime)
	visitAll()
	before := crashes.Load()
	assert.Equal(t, before, int64(decisiveCrashes))
	for range losses {
		r.killAllGateways()
		assert.NilError(t, startAll(r.processes()))
		r.awaitAllReady(t)
		time.Sleep(crashDownTime)
		visitAll()
		visitAll()
	}
	assert.Assert(t, crashes.Load()-before <= losses, "%d crashes after %d losses of all gateways", crashes.Load()-before, losses)
}

// killAllGateways kills all gateways at the same time.
func (r *testbed) killAllGateways() {
	var kills sync.WaitGroup
	for _, g := range r.gateways {
		kills.Go(g.kill)
	}
	kills.Wait()
}
