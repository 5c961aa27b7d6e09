package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Removing the last organisation from the configuration must not let its revoked keys, and
// keys that never existed, through on any gateway, nor on one that starts afterwards.
func TestKeysAreRejectedAfterTheLastOrganisationIsRemoved(t *testing.T) {
	r := startProcesses(t, Size{Gateways: 3, PlainServers: 1})
	statusOf := func(g *gatewayProcess, key string) int {
		request := newRequest()
		request.APIKey = key
		return g.sendOnce(t, request).Status
	}
	for _, g := range r.gateways {
		assert.Equal(t, statusOf(g, permanentKey), http.StatusOK)
		assert.Equal(t, statusOf(g, ""), http.StatusUnauthorized)
	}

	withoutOrganisations := r.newConfig(canaryService(0))
	withoutOrganisations.Version++
	withoutOrganisations.Keys = map[string][]string{}
	r.store.PutConfig(withoutOrganisations)
	time.Sleep(time.Duration(bounds.RevokeMS) * time.Millisecond)
	r.gateways[0].kill()
	assert.NilError(t, r.gateways[0].start())
	r.awaitAllReady(t)

	for _, g := range r.gateways {
		for _, key := range []string{permanentKey, revocableKey(0), "key-unknown"} {
			assert.Equal(t, statusOf(g, key), http.StatusUnauthorized, "%s at %s", key, g.settings.Name)
		}
		assert.Equal(t, statusOf(g, ""), http.StatusOK, "a request without a key at %s", g.settings.Name)
	}
}
