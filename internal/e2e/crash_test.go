package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/standin"
)

const (
	// maxCrashes is the largest number of servers that one crashing request may
	// crash while every entry has received all crash reports, as
	// docs/design/suspects.md states.
	maxCrashes     = 2
	crashMarker    = "the pledge that ends an engine"
	harmlessTokens = 200
)

// crashPrompt returns the prompt that crashes engines, in the wording of one
// attempt.
func crashPrompt(attempt int) string {
	return fmt.Sprintf("Draft a certificate for try %d. It goes to the school at Oakville, which planted "+
		"three hundred white oaks and a row of elms along the county road in March, with thanks from all "+
		"the crews. Please name the teacher and the class, and keep it to one page. Mind %s.", attempt, crashMarker)
}

// harmlessPrompt returns the prompt of harmless request i, which resembles no
// other prompt.
func harmlessPrompt(i int) string {
	r := rand.New(rand.NewPCG(uint64(i), 1))
	var b strings.Builder
	for range 40 {
		fmt.Fprintf(&b, "%x ", r.Uint32())
	}
	return b.String()
}

// newCrashCluster returns a cluster of three zones with one entry and three
// engines each.
func newCrashCluster(t *testing.T) (*cluster, []*standin.Engine) {
	t.Helper()
	c := newCluster(t, sessionRules)
	var engines []*standin.Engine
	for i := range 9 {
		e := standin.NewEngine(5*time.Millisecond, 5*time.Millisecond)
		e.SetFaults(standin.Faults{CrashText: crashMarker})
		engines = append(engines, e)
		c.addAgent(fmt.Sprintf("draft-%d", i+1), zoneName(i), "drafts", "", c.serveEngine(e))
	}
	for i := range 3 {
		c.addEntry(entryName(i), zoneName(i))
	}
	c.publish()
	for name := range c.adminAddresses {
		peers := 2 // The other entries.
		if c.callerAddresses[name] == "" {
			peers = 1 // The entry of the agent's zone.
		}
		c.eventually(name+" has discovered its peers", func() bool { return c.suspectPeers(name) == peers })
	}
	return c, engines
}

// suspectPeers returns the number of entries to which an instance sends crash
// reports.
func (c *cluster) suspectPeers(name string) (n int) {
	res, err := http.Get("http://" + c.adminAddresses[name] + "/metrics")
	assert.NilError(c.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	_, after, _ := strings.Cut(string(text), "bluebellwind_suspects_peers ")
	_, _ = fmt.Sscan(after, &n)
	return n
}

func zoneName(i int) string  { return fmt.Sprintf("ga-%d", i%3+1) }
func entryName(i int) string { return fmt.Sprintf("entry-%d", i%3+1) }

func totalCrashes(engines []*standin.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.CrashCount()
	}
	return n
}

// awaitCrashReports waits until every entry has received the reports of all
// crashes.
func (c *cluster) awaitCrashReports(engines []*standin.Engine) {
	c.t.Helper()
	c.eventually("all entries have received all crash reports", func() bool {
		for name := range c.callerAddresses {
			if strings.Count(c.processes[name].log(), "event=crash_learned") < totalCrashes(engines) {
				return false
			}
		}
		return true
	})
}

// sendHarmless sends a harmless request through one entry after another until
// it gets the complete response. The timeout only ends a test that would
// otherwise run forever.
func (c *cluster) sendHarmless(i int) error {
	prompt := harmlessPrompt(i)
	lastBody := ""
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		i++
		res, body, err := c.call(entryName(i), "POST", "/v1/chat/completions", "demo-oakville", chatBody(prompt, true, harmlessTokens))
		lastBody = body
		switch {
		case err == nil && res.StatusCode == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n"):
			if strings.Count(body, `"content"`) != harmlessTokens || !strings.Contains(body, standin.ResponseToken(prompt, harmlessTokens-1)) {
				return fmt.Errorf("a harmless request got a wrong response: %s", body)
			}
			return nil
		case strings.Contains(body, "quarantined"):
			return fmt.Errorf("a harmless request was quarantined: %s", body)
		}
	}
	return fmt.Errorf("a harmless request got no complete response within a minute; the last response was %s", lastBody)
}

// sendCrashing sends the crashing request through the next entry and reports
// whether the entry refused it as quarantined. It returns once all entries have
// received the crash reports.
func (c *cluster) sendCrashing(attempt int, engines []*standin.Engine) bool {
	c.t.Helper()
	res, body, err := c.call(entryName(attempt), "POST", "/v1/chat/completions", "demo-oakville", chatBody(crashPrompt(attempt), attempt%2 == 0, 9))
	assert.NilError(c.t, err)
	c.awaitCrashReports(engines)
	if !strings.Contains(body, `"code":"quarantined"`) {
		return false
	}
	assert.Equal(c.t, res.StatusCode, http.StatusUnprocessableEntity, body)
	assert.Assert(c.t, !strings.Contains(body, `"verdict":"not run"`), body)
	assert.Assert(c.t, res.Header.Get("Retry-After") != "", "the refusal has no Retry-After header")
	return true
}

// TestCrasherTakesDownAtMostTwoServers sends the crashing request repeatedly
// through all entries, with a different wording each time. Without crash
// reports and quarantine, each attempt would crash another server.
func TestCrasherTakesDownAtMostTwoServers(t *testing.T) {
	c, engines := newCrashCluster(t)
	const harmlessRequests = 45
	results := make(chan error, harmlessRequests)
	for i := range harmlessRequests {
		go func() { results <- c.sendHarmless(i) }()
	}
	c.eventually("all harmless requests have run", func() bool {
		ran := 0
		for _, e := range engines {
			ran += e.TotalRuns()
		}
		return ran >= harmlessRequests
	})
	attempt := 0
	c.eventually("the crashing request is quarantined", func() bool { attempt++; return c.sendCrashing(attempt, engines) })
	for range 10 {
		attempt++
		assert.Assert(t, c.sendCrashing(attempt, engines), "the request was not refused as quarantined")
	}
	for range harmlessRequests {
		assert.NilError(t, <-results)
	}
	assert.Assert(t, totalCrashes(engines) <= maxCrashes, "%d servers crashed", totalCrashes(engines))
	for _, p := range c.processes {
		assert.Assert(t, !strings.Contains(p.log(), "Oakville"), "a log contains content of a request")
	}
}

// After all entries had been killed together, nobody remembered which requests had crashed
// their servers, and such a request took down two more.
func TestCrasherIsRememberedAfterAllEntriesWereKilled(t *testing.T) {
	c, engines := newCrashCluster(t)
	attempt := 0
	c.eventually("the crashing request is quarantined", func() bool { attempt++; return c.sendCrashing(attempt, engines) })
	before := totalCrashes(engines)
	isEntry := func(in platform.Instance) bool { return in.Role == platform.RoleEntry }
	c.instances = slices.DeleteFunc(slices.Clone(c.instances), isEntry) // The platform may still be reading the old list.
	for name := range c.callerAddresses {
		c.signal(name, syscall.SIGKILL)
		<-c.processes[name].exited
	}
	for i := range 3 {
		c.addEntry(entryName(i), zoneName(i))
	}
	c.publish()
	c.awaitCrashReports(engines)
	for range 6 {
		attempt++
		assert.Check(t, c.sendCrashing(attempt, engines), "the request was not refused as quarantined")
	}
	assert.Equal(t, totalCrashes(engines), before)
}

// TestLostInstanceIsReported kills an agent during a stream. The entry must
// report the request as a possible cause, run it on probation at its home, and
// clear it after a complete response.
func TestLostInstanceIsReported(t *testing.T) {
	c, engines := newDraftCluster(t, 2, 5*time.Millisecond)
	c.addEntry("entry-2", "ga-2")
	c.publish()
	c.eventually("the entries have discovered each other", func() bool { return c.suspectPeers("entry-1") == 1 })
	prompt := harmlessPrompt(1)
	stream := c.openStream("entry-1", prompt, 10_000)
	killedAgent := "draft-1"
	if engines[1].Running() == 1 {
		killedAgent = "draft-2"
	}
	c.signal(killedAgent, syscall.SIGKILL)
	_, err := stream.readRest()
	assert.Assert(t, err != nil, "the truncated stream ended without an error")
	bothLogged := func(event string) func() bool {
		return func() bool {
			return strings.Contains(c.processes["entry-1"].log(), event) && strings.Contains(c.processes["entry-2"].log(), event)
		}
	}
	c.eventually("both entries have received the report", bothLogged("cause=instance_lost"))
	isKilledAgent := func(in platform.Instance) bool { return in.Name == killedAgent }
	c.instances = slices.DeleteFunc(slices.Clone(c.instances), isKilledAgent) // The platform may still be reading the old list.
	c.platform.SetInstances(c.instances)
	c.eventually("the request gets its complete response", func() bool { return c.sendHarmless(1) == nil })
	c.eventually("both entries clear the request", bothLogged("event=suspect_cleared"))
}
