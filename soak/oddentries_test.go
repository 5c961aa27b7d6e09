package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// oddEntries returns values that another writer may leave among the entries of the servers, by
// what is wrong with them. All but the undecodable ones claim to be of the service.
func oddEntries(service string) map[string]string {
	entry := func(fields string) string {
		return fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"zone-0","slots":6,"state":"ready"%s}`, service, fields)
	}
	replace := func(old, odd string) string { return strings.Replace(entry(""), old, odd, 1) }
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	return map[string]string{
		"nested":            nested,
		"nested objects":    strings.Repeat(`{"a":`, 150_000) + "1" + strings.Repeat("}", 150_000),
		"nested field":      entry(`,"models":` + nested),
		"nested cold time":  entry(`,"cold_remaining_ms":` + nested),
		"huge number":       replace(`"slots":6`, `"slots":1e999`),
		"long number":       replace(`"slots":6`, `"slots":`+strings.Repeat("9", 400_000)),
		"most slots":        replace(`"slots":6`, `"slots":9223372036854775807`),
		"negative slots":    replace(`"slots":6`, `"slots":-9223372036854775808`),
		"huge start":        entry(`,"born":9223372036854775807`),
		"negative start":    entry(`,"born":-9223372036854775808`),
		"port out of range": replace("127.0.0.1:9", "127.0.0.1:99999"),
		"port overflows":    replace("127.0.0.1:9", "127.0.0.1:18446744073709551617"),
		"negative port":     replace("127.0.0.1:9", "127.0.0.1:-1"),
		"port zero":         replace("127.0.0.1:9", "127.0.0.1:0"),
		"no port":           replace("127.0.0.1:9", "127.0.0.1"),
		"no host":           replace("127.0.0.1:9", ":9"),
		"foreign address":   replace("127.0.0.1:9", "http://[::1/x y"),
		"huge group":        entry(`,"group":{"name":"g0","epoch":18446744073709551615,"rank":0,"state":"open"},"size":9223372036854775807`),
		"huge rank":         entry(`,"group":{"name":"g0","epoch":1,"rank":9223372036854775807,"state":"open"},"size":4`),
		"negative rank":     entry(`,"group":{"name":"g0","epoch":1,"rank":-1,"state":"open"},"size":-4`),
		"foreign bytes":     "\xff\x00\xfe",
		"empty":             "",
	}
}

// An odd entry among those of the servers must neither end the processes that read the list
// nor keep them from following it, nor draw requests.
func TestOddEntriesOfServersDisturbNobody(t *testing.T) {
	r := startProcesses(t, Size{Gateways: 3, Groups: 1, RanksPerGroup: 4, PlainServers: 1})
	for _, service := range []string{appService, modelService} {
		for name, value := range oddEntries(service) {
			// A usable ID, so that only the value is odd.
			r.store.PutServerValue("odd-"+service+"-"+strings.ReplaceAll(name, " ", "-"), []byte(value))
		}
	}
	sound := []byte(fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"zone-0","slots":6,"state":"ready"}`, appService))
	for _, id := range []string{"", "odd\r\nX-Odd: id", "odd id", strings.Repeat("x", 500)} {
		r.store.PutServerValue(id, sound)
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
