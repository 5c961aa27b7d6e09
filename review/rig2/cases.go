package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// tenantKey is the key of the only tenant of most cases.
const tenantKey = "n2ctnfzs989anu6wsjnb"

func tenants() []any {
	return []any{map[string]any{"name": "hule930", "api_keys": []string{tenantKey}}}
}

// configure writes a configuration for the service pledge-app with the given routes.
func (r *rig) configure(version int, tenants []any, routes ...any) {
	r.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "pledge-app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
	})
	r.record("version %d of the configuration is acknowledged", version)
}

// plainRoute is a route of pledge-app as on the sheet of canopy-coop.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": 800, "target_latency_ms": 150,
		"priority": 2, "service": "pledge-app", "max_attempts": attempts, "public": false,
	}
}

// encodedSlash loses answers to requests on an unsafe route whose path holds an encoded slash: for
// four seconds, at most two of five answers of one of three servers.
func encodedSlash(r *rig) []string {
	const lossShare, lossTime = 0.4, 4 * time.Second
	var first *server
	var lossFrom time.Time
	served, lost := 0, 0
	answer := func(s *server, c net.Conn, request *http.Request) bool {
		if s == first && r.trouble && time.Since(lossFrom) < lossTime {
			served++
			if float64(lost+1) <= lossShare*float64(served) {
				lost++
				r.record("request %s: server %s loses its answer", request.Header.Get(headerAttempt), s.id)
				reset(c)
				return false
			}
		}
		return s.answerWhole(c, request, "recorded\n")
	}
	first = r.startServer("pledge-app", answer)
	r.startServer("pledge-app", answer)
	r.startServer("pledge-app", answer)
	r.configure(7, tenants(),
		plainRoute("pledge-write", "/pledges/", "unsafe", 1),
		plainRoute("pledge-read", "/pledges/status/", "safe", 2))
	r.startGateways(3)
	time.Sleep(stabilityWindow)
	lossFrom = time.Now()
	for i := range 40 {
		r.send(r.gateways[i%len(r.gateways)], call{
			label: "pledge-write", method: http.MethodPost, key: tenantKey, deadline: 1500 * time.Millisecond,
			target: fmt.Sprintf("/pledges/status%%2F%d", i), body: "seedlings=3",
		})
		time.Sleep(150 * time.Millisecond)
	}
	var broken []string
	for _, a := range r.ledger.all() {
		if len(a.runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: unsafe request %s has run %d times, at %s and %s", a.id, len(a.runs), a.runs[0].server, a.runs[1].server))
		}
	}
	return broken
}

const (
	// secondKey is the key of a second tenant, unheldKey one that no configuration holds.
	secondKey = "k7sw02mdqpz53hycbe1t"
	unheldKey = "zzzzzzzzzzzzzzzzzzzz"
	// revokeBound is revoke_ms of canopy-coop.
	revokeBound = 5 * time.Second
)

// lastTenant takes away the keys of both tenants, one after the other: each new version of the
// configuration holds one tenant less.
func lastTenant(r *rig) []string {
	for range 3 {
		r.startServer("pledge-app", func(s *server, c net.Conn, request *http.Request) bool {
			return s.answerWhole(c, request, "recorded\n")
		})
	}
	route := plainRoute("pledge-write", "/pledges/", "unsafe", 1)
	both := append(tenants(), map[string]any{"name": "mavo112", "api_keys": []string{secondKey}})
	r.configure(7, both, route)
	r.startGateways(3)
	time.Sleep(stabilityWindow)
	revokedAt := make(map[string]time.Time)
	revoke := func(version int, key string, left []any) {
		if !r.trouble {
			left = both
		}
		r.configure(version, left, route)
		if r.trouble {
			r.record("key %s is taken away", key)
			revokedAt[key] = time.Now()
		}
	}
	sendAll := func(keys ...string) {
		for _, key := range keys {
			for _, g := range r.gateways {
				r.send(g, call{
					label: "key " + key, method: http.MethodPost, target: "/pledges/2f", key: key,
					deadline: 1500 * time.Millisecond, body: "seedlings=3",
				})
			}
		}
	}
	sendAll(tenantKey, secondKey, unheldKey)
	revoke(12, tenantKey, both[1:])
	time.Sleep(revokeBound + time.Second)
	sendAll(tenantKey, secondKey, unheldKey)
	revoke(15, secondKey, []any{})
	time.Sleep(revokeBound + time.Second)
	sendAll(tenantKey, secondKey, unheldKey)
	var broken []string
	for _, a := range r.ledger.all() {
		if len(a.runs) == 0 {
			continue
		}
		key := strings.TrimPrefix(a.label, "key ")
		at, revoked := revokedAt[key]
		switch {
		case key == unheldKey:
			broken = append(broken, fmt.Sprintf("ROUTE: request %s with a key that no configuration ever held runs at %s", a.id, a.runs[0].server))
		case revoked && a.sentAt.Sub(at) > revokeBound:
			broken = append(broken, fmt.Sprintf("CONFIG: request %s with a key that was taken away %.1f s before runs at %s", a.id, a.sentAt.Sub(at).Seconds(), a.runs[0].server))
		}
	}
	return broken
}
