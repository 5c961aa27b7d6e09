package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// An odd entry among those of the servers must neither end the processes that read the list
// nor keep them from following it, nor draw requests.
func TestOddEntriesOfServersDisturbNobody(t *testing.T) {
	r := startProcesses(t, Size{Gateways: 3, Groups: 1, RanksPerGroup: 4, PlainServers: 1})
	for _, service := range []string{appService, modelService} {
		for name, value := range platformtest.OddServerValues(service) {
			// A usable ID, so that only the value is odd.
			r.store.PutServerValue("odd-"+service+"-"+strings.ReplaceAll(name, " ", "-"), []byte(value))
		}
	}
	for _, id := range []string{"", "odd\r\nX-Odd: id", "odd id", strings.Repeat("x", 500)} {
		r.store.PutServer(platformtest.ServerEntry{ID: id, Service: appService, Address: "127.0.0.1:9", Zone: zone(0), Slots: plainSlots})
	}
	time.Sleep(time.Second)
	r.gateways[0].kill()
	assert.NilError(t, r.gateways[0].start())
	r.awaitAllReady(t)

	added, err := r.addPlainServer("app-new", "new")
	assert.NilError(t, err)
	c := r.newConfig("new")
	c.Version++
	c.Services["new"] = nil
	r.store.PutConfig(c)
	time.Sleep(time.Second)
	for _, g := range r.gateways {
		for range 20 {
			request := newRequest()
			request.Path = canaryPath
			response := g.sendOnce(t, request)
			assert.Equal(t, response.Status, http.StatusOK, "%s does not follow the list to %s", g.settings.Name, added.ID)
			assert.Equal(t, g.sendOnce(t, newRequest()).Status, http.StatusOK, "%s uses an odd entry", g.settings.Name)
		}
		stream := newRequest()
		stream.Path, stream.RouteType, stream.Timeout, stream.Model = streamPath, platformtest.Stream, streamCallerTimeout, modelName
		assert.Equal(t, g.sendOnce(t, stream).Status, http.StatusOK)
	}
	r.assertNoneEnded(t, map[string]int{r.gateways[0].settings.Name: 2})
}

// assertNoneEnded checks that no process has ended by itself. starts has the numbers of starts
// of those that the test has started again.
func (r *testbed) assertNoneEnded(t *testing.T, starts map[string]int) {
	t.Helper()
	for _, p := range r.processes() {
		assert.Equal(t, p.startNumber(), max(1, starts[p.settings.Name]), "%s has ended, see %s", p.settings.Name, p.path(".log"))
	}
}
