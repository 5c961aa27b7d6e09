package soak

import (
	"fmt"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// revocableKeyCount is the number of API keys that may be revoked during a run.
const revocableKeyCount = 8

func revocableKey(i int) string { return fmt.Sprintf("key-%d", i) }

// operator writes configurations. It is used by one goroutine only.
type operator struct {
	// configCount is the number of configurations written, version the version of
	// the last one, and revokedKeys the number of API keys that it no longer
	// contains.
	configCount int
	version     int64
	revokedKeys int
}

// changeConfig writes a new configuration, in which the canary route leads to
// the next service.
func (r *testbed) changeConfig() {
	r.operator.version += 1 + int64(r.operator.configCount%3)
	canary := canaryService(r.operator.configCount)
	r.operator.configCount++
	sent := time.Now()
	r.store.PutConfig(r.newConfig(canary))
	r.history.recordConfig(configChange{canaryService: canary, writeStartedAt: sent, acknowledgedAt: time.Now()})
}

// revokeKey removes the next API key from the configuration, if any is left.
func (r *testbed) revokeKey() {
	if r.operator.revokedKeys == revocableKeyCount {
		return
	}
	key := revocableKey(r.operator.revokedKeys)
	r.operator.revokedKeys++
	r.changeConfig()
	r.history.recordRevocation(key)
}

func (r *testbed) newConfig(canary string) platformtest.Config {
	shape := groupShape
	shape.Ranks = r.size.RanksPerGroup
	c := platformtest.Config{
		Version:        r.operator.version,
		MaxHeaderBytes: r.size.MaxHeaderBytes,
		Services:       map[string]*platformtest.GroupShape{modelService: &shape, appService: nil},
		Keys:           map[string][]string{permanentOrg: {permanentKey, sharedKey}, revocableOrg: {}},
		Routes: []platformtest.Route{
			{Host: host, Prefix: streamPath, Service: modelService, RouteType: platformtest.Stream, Timeout: streamRouteTimeout, Objective: streamTargetLatency},
			{Host: host, Prefix: unsafePath, Service: appService, RouteType: platformtest.Unsafe, Timeout: plainRouteTimeout, Objective: plainTargetLatency},
			{Host: host, Prefix: safePath, Service: appService, RouteType: platformtest.Safe, Timeout: plainRouteTimeout, Objective: plainTargetLatency},
			{Host: host, Prefix: canaryPath, Service: canary, RouteType: platformtest.Safe, Timeout: plainRouteTimeout, Objective: plainTargetLatency},
		},
	}
	if r.size.ColdServers {
		enableColdServers(&c)
	}
	for i := range canaryServiceCount {
		c.Services[canaryService(i)] = nil
	}
	for i := r.operator.revokedKeys; i < revocableKeyCount; i++ {
		c.Keys[revocableOrg] = append(c.Keys[revocableOrg], revocableKey(i))
	}
	return c
}
