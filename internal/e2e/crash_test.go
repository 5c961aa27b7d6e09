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
	// crashBound is the most servers that one crashing request takes down
	// while every entry has the reports, as docs/design/suspects.md states.
	crashBound     = 2
	crasher        = "the pledge that ends an engine"
	innocentTokens = 200
)

// crashText is the crashing request as its caller words it on one try.
func crashText(try int) string {
	return fmt.Sprintf("Draft a certificate for try %d. It goes to the school at Oakville, which planted "+
		"three hundred white oaks and a row of elms along the county road in March, with thanks from all "+
		"the crews. Please name the teacher and the class, and keep it to one page. Mind %s.", try, crasher)
}

// innocentText is the text of the i-th innocent, unlike all others.
func innocentText(i int) string {
	r := rand.New(rand.NewPCG(uint64(i), 1))
	var b strings.Builder
	for range 40 {
		fmt.Fprintf(&b, "%x ", r.Uint32())
	}
	return b.String()
}

// crashFleet is three zones with three engines and an entry each.
func crashFleet(t *testing.T) (*cluster, []*standin.Engine) {
	t.Helper()
	c := newCluster(t, sessionRules)
	var engines []*standin.Engine
	for i := range 9 {
		e := standin.NewEngine(5*time.Millisecond, 5*time.Millisecond)
		e.SetFaults(standin.Faults{CrashText: crasher})
		engines = append(engines, e)
		c.addAgent(fmt.Sprintf("draft-%d", i+1), zoneOf(i), "drafts", "", c.engine(e))
	}
	for i := range 3 {
		c.addEntry(entryOf(i), zoneOf(i))
	}
	c.publish()
	for name := range c.admins {
		peers := 2 // The other entries.
		if c.entries[name] == "" {
			peers = 1 // The entry of the agent's zone.
		}
		c.eventually(name+" knows its peers", func() bool { return c.peersOf(name) == peers })
	}
	return c, engines
}

// peersOf returns how many entries an instance would bring a report to.
func (c *cluster) peersOf(name string) (n int) {
	res, err := http.Get("http://" + c.admins[name] + "/metrics")
	assert.NilError(c.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	_, after, _ := strings.Cut(string(text), "bluebellwind_suspects_peers ")
	_, _ = fmt.Sscan(after, &n)
	return n
}

func zoneOf(i int) string  { return fmt.Sprintf("ga-%d", i%3+1) }
func entryOf(i int) string { return fmt.Sprintf("entry-%d", i%3+1) }

func crashesOf(engines []*standin.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.CrashCount()
	}
	return n
}

// settled waits until every entry has the report of every crash.
func (c *cluster) settled(engines []*standin.Engine) {
	c.t.Helper()
	c.eventually("all entries have all reports", func() bool {
		for name := range c.entries {
			if strings.Count(c.processes[name].log(), "event=crash_learned") < crashesOf(engines) {
				return false
			}
		}
		return true
	})
}

// innocent asks through one entry after another until it gets its whole answer.
// The bound only ends a test that would never end.
func (c *cluster) innocent(i int) error {
	prompt := innocentText(i)
	last := ""
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		i++
		res, body, err := c.call(entryOf(i), "POST", "/v1/chat/completions", "demo-oakville", chat(prompt, true, innocentTokens))
		last = body
		switch {
		case err == nil && res.StatusCode == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n"):
			if strings.Count(body, `"content"`) != innocentTokens || !strings.Contains(body, standin.ResponseToken(prompt, innocentTokens-1)) {
				return fmt.Errorf("an innocent got another answer: %s", body)
			}
			return nil
		case strings.Contains(body, "quarantined"):
			return fmt.Errorf("an innocent was condemned: %s", body)
		}
	}
	return fmt.Errorf("an innocent never got its answer; the last was %s", last)
}

// crash sends the crashing request through the next entry and reports whether
// the refusal is final. It returns when all entries have the reports of it.
func (c *cluster) crash(try int, engines []*standin.Engine) bool {
	c.t.Helper()
	res, body, err := c.call(entryOf(try), "POST", "/v1/chat/completions", "demo-oakville", chat(crashText(try), try%2 == 0, 9))
	assert.NilError(c.t, err)
	c.settled(engines)
	if !strings.Contains(body, `"code":"quarantined"`) {
		return false
	}
	assert.Equal(c.t, res.StatusCode, http.StatusUnprocessableEntity, body)
	assert.Assert(c.t, !strings.Contains(body, `"verdict":"not run"`), body)
	assert.Assert(c.t, res.Header.Get("Retry-After") != "", "the caller is not told when to come back")
	return true
}

// TestCrasherTakesDownAtMostTwoServers: a caller sends its crashing request
// again and again through all entries, in changing words.
func TestCrasherTakesDownAtMostTwoServers(t *testing.T) {
	c, engines := crashFleet(t)
	const innocents = 45
	results := make(chan error, innocents)
	for i := range innocents {
		go func() { results <- c.innocent(i) }()
	}
	c.eventually("every innocent was at work", func() bool {
		ran := 0
		for _, e := range engines {
			ran += e.TotalRuns()
		}
		return ran >= innocents
	})
	try := 0
	c.eventually("the final refusal", func() bool { try++; return c.crash(try, engines) })
	for range 10 {
		try++
		assert.Assert(t, c.crash(try, engines), "the refusal was not final")
	}
	for range innocents {
		assert.NilError(t, <-results)
	}
	assert.Assert(t, crashesOf(engines) <= crashBound, "%d servers crashed", crashesOf(engines))
	for _, p := range c.processes {
		assert.Assert(t, !strings.Contains(p.log(), "Oakville"), "a log holds content")
	}
}

// TestLostInstanceIsReported: an agent dies with a stream open, so the entry
// reports it; the request runs on probation at its home and is clear again.
func TestLostInstanceIsReported(t *testing.T) {
	c, engines := drafts(t, 2, 5*time.Millisecond)
	c.addEntry("entry-2", "ga-2")
	c.publish()
	c.eventually("the entries have met", func() bool { return c.peersOf("entry-1") == 1 })
	prompt := innocentText(1)
	held := c.openStream("entry-1", prompt, 10_000)
	dead := "draft-1"
	if engines[1].Running() == 1 {
		dead = "draft-2"
	}
	c.signal(dead, syscall.SIGKILL)
	_, err := held.rest()
	assert.Assert(t, err != nil, "the stream ended as if whole")
	told := func(event string) func() bool {
		return func() bool {
			return strings.Contains(c.processes["entry-1"].log(), event) && strings.Contains(c.processes["entry-2"].log(), event)
		}
	}
	c.eventually("both entries know of the loss", told("cause=instance_lost"))
	isDead := func(in platform.Instance) bool { return in.Name == dead }
	c.instances = slices.DeleteFunc(slices.Clone(c.instances), isDead) // The platform reads the old list.
	c.platform.SetInstances(c.instances)
	c.eventually("the whole answer", func() bool { return c.innocent(1) == nil })
	c.eventually("both entries clear it", told("event=suspect_cleared"))
}
