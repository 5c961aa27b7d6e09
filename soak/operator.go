package soak

import (
	"fmt"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// changingKeys is how many keys there are that may be revoked.
const changingKeys = 8

func changingKey(i int) string { return fmt.Sprintf("key-%d", i) }

// operator writes configurations. One goroutine uses it.
type operator struct {
	// number of configurations written; version is that of the last.
	number  int
	version int64
	revoked int
}

// changeConfig moves the canary route on to the next service.
func (r *rig) changeConfig() {
	r.operator.version += 1 + int64(r.operator.number%3)
	canary := canaryService(r.operator.number)
	r.operator.number++
	sent := time.Now()
	r.store.PutConfig(r.config(canary))
	r.ledger.stored(version{canary: canary, sent: sent, stored: time.Now()})
}

// revokeKey takes the next key away.
func (r *rig) revokeKey() {
	if r.operator.revoked == changingKeys {
		return
	}
	key := changingKey(r.operator.revoked)
	r.operator.revoked++
	r.changeConfig()
	r.ledger.revoke(key)
}

func (r *rig) config(canary string) platformtest.Config {
	ranked := shape
	ranked.Ranks = r.size.Ranks
	c := platformtest.Config{
		Version:  r.operator.version,
		Services: map[string]*platformtest.GroupShape{poolService: &ranked, appService: nil},
		Keys:     map[string][]string{steadyOrg: {steadyKey}, changingOrg: {}},
		Routes: []platformtest.Route{
			{Host: host, Prefix: draftPath, Service: poolService, RouteType: platformtest.Stream, Timeout: streamTimeout, Objective: streamObjective},
			{Host: host, Prefix: payPath, Service: appService, RouteType: platformtest.Unsafe, Timeout: plainTimeout, Objective: plainObjective},
			{Host: host, Prefix: lookPath, Service: appService, RouteType: platformtest.Safe, Timeout: plainTimeout, Objective: plainObjective},
			{Host: host, Prefix: canaryPath, Service: canary, RouteType: platformtest.Safe, Timeout: plainTimeout, Objective: plainObjective},
		},
	}
	for i := range canaries {
		c.Services[canaryService(i)] = nil
	}
	for i := r.operator.revoked; i < changingKeys; i++ {
		c.Keys[changingOrg] = append(c.Keys[changingOrg], changingKey(i))
	}
	return c
}
