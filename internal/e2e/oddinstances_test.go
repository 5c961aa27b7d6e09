package e2e

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/standin"
)

// An odd element of the instance list must neither end the processes that read the list nor
// keep them from following it.
func TestOddInstancesInTheListDisturbNobody(t *testing.T) {
	c, _ := newDraftCluster(t, 1, 0)
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	c.platform.AddToInstances(
		nested, strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000),
		`{"name":"odd-1","zone":"ga-1","role":"server","address":"127.0.0.1:9","group":"drafts","ranks":`+nested+`}`,
		`{"name":"odd-2","zone":"ga-1","role":"server","address":"127.0.0.1:9","group":"drafts","ranks":[1e999]}`,
		`{"name":"odd-3","zone":"ga-1","role":"server","address":"127.0.0.1:9","group":"drafts","ranks":[9223372036854775807,-1]}`,
		`{"name":"odd-4","zone":"ga-1","role":"server","address":"127.0.0.1:99999","group":"drafts"}`,
		`{"name":"odd-5","zone":"ga-1","role":"entry","address":"127.0.0.1:99999"}`,
		`{"name":"","zone":"ga-1","role":"entry","address":"127.0.0.1:9"}`,
		`{"name":7}`, `"odd"`, `null`, `1e999`,
	)
	added := standin.NewEngine(0, 0)
	c.addAgent("draft-2", "ga-1", "drafts", "", c.serveEngine(added))
	c.publish()
	c.eventually("the entry follows the list to the new agent", func() bool {
		text, err := c.openStream("entry-1", "short", 1).readRest()
		assert.NilError(t, err)
		assertComplete(t, text, "short", 1)
		return added.TotalRuns() > 0
	})
	for name, p := range c.processes {
		select {
		case <-p.exited:
			t.Errorf("%s has ended", name)
		default:
		}
	}
}
