package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestColdServersGetNoMoreThanTheirBound lets all plain servers become cold without notice, while gateways are killed, stopped and continued. Their entries say so 2 s later.
func TestColdServersGetNoMoreThanTheirBound(t *testing.T) {
	size := fixedSize(12 * time.Second)
	size.Gateways, size.ColdServers = 5, os.Getenv("BBW_WITHOUT") != "coldrate"
	dir := logDir(t, t.Name())
	most := 0
	report, err := runPlan(context.Background(), buildDaemon(t), dir, 1, 0, size, func(r *testbed, _ *rand.Rand) []fault {
		cool := func() func() {
			var ends []func()
			for _, s := range r.plainServers {
				ends = append(ends, r.coolServer(s, 2*time.Second))
			}
			return func() {
				r.history.mu.Lock()
				for i := range r.history.coldPeriods {
					most = max(most, r.history.mostInASecond(&r.history.coldPeriods[i]))
				}
				r.history.mu.Unlock()
				for _, end := range ends {
					end()
				}
			}
		}
		return []fault{
			{name: "servers become cold", at: time.Second, duration: 11 * time.Second, inject: cool},
			{name: "gateway stopped and continued", at: 4 * time.Second, duration: 2 * time.Second, inject: r.pauseGateway(r.gateways[0])},
			{name: "gateway killed", at: 5 * time.Second, duration: 500 * time.Millisecond, inject: r.killGateway(r.gateways[1])},
			{name: "gateway killed", at: 8 * time.Second, duration: 300 * time.Millisecond, inject: r.killGateway(r.gateways[2])},
		}
	})
	assert.NilError(t, err)
	checkReport(t, report, dir)
	t.Logf("at most %d requests in a second reached a cold server", most)
	assert.Assert(t, most > 2, "cold servers must have got requests")
}
