package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// firstRestore brings the store back from an older copy for the first time, from before a key was
// taken away, while one gateway starts again.
func firstRestore(r *rig) []string {
	// The pages tell neither the first era nor when the operator writes again.
	firstEra, writeAgain := int64(setting("FIRST_ERA", 0)), time.Duration(setting("WRITE_AGAIN_MS", 1500))*time.Millisecond
	const (
		awayTime      = 500 * time.Millisecond
		drillAfter    = 6 * time.Second
		requestPeriod = 50 * time.Millisecond
	)
	r.store.era = firstEra
	r.record("the first era is %d, the operator writes again after %v", firstEra, writeAgain)
	for range 3 {
		r.startServer("pledge-app", func(s *server, c net.Conn, request *http.Request) bool {
			return s.answerWhole(c, request, "recorded\n")
		})
	}
	route := plainRoute("pledge-write", "/pledges/", "unsafe", 1)
	other := map[string]any{"name": "mavo112", "api_keys": []string{secondKey}}
	r.configure(7, append(tenants(), other), route)
	r.startGateways(3)
	time.Sleep(stabilityWindow)
	older := r.store.copy()
	time.Sleep(time.Second)

	withoutKey := []any{map[string]any{"name": "hule930", "api_keys": []string{}}, other}
	r.configure(12, withoutKey, route)
	revokedAt := time.Now()
	r.record("the key of hule930 is taken away")
	write := call{label: "revoked key", method: http.MethodPost, target: "/pledges/2f", key: tenantKey, deadline: 1500 * time.Millisecond, body: "seedlings=3"}
	time.Sleep(revokeBound + 200*time.Millisecond)
	for _, g := range r.gateways {
		r.send(g, write)
	}
	time.Sleep(drillAfter - time.Since(revokedAt))

	killed := r.gateways[2]
	killed.kill()
	r.record("%s is killed", killed.name)
	if r.trouble {
		r.store.goAway()
		r.record("the store is away")
	}
	time.Sleep(awayTime)
	if r.trouble {
		r.store.restore(older)
		r.record("the store is back from a copy %.1f s old", time.Since(revokedAt).Seconds()+1)
	}
	back := time.Now()
	killed.start()
	r.record("%s is started again", killed.name)
	r.record("%s says that it is ready: %v", killed.name, killed.awaitReady(time.Second))
	for time.Since(back) < writeAgain {
		for _, g := range r.gateways {
			r.send(g, write)
		}
		time.Sleep(requestPeriod)
	}
	r.configure(12, withoutKey, route)
	r.record("the operator has written its configuration again")
	time.Sleep(stabilityWindow)
	for _, g := range r.gateways {
		r.send(g, write)
	}
	var broken []string
	for _, a := range r.ledger.all() {
		if late := a.sentAt.Sub(revokedAt); late > revokeBound && len(a.runs) > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: request %s with a key that was taken away %.1f s before runs at %s", a.id, late.Seconds(), a.runs[0].server))
		}
	}
	return broken
}

// setting returns a number from the environment.
func setting(name string, preset int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return preset
}
