package e2e

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/standin"
)

// liveStream is a stream whose first event has arrived.
type liveStream struct {
	body  io.ReadCloser
	read  *bufio.Reader
	first string
}

func (c *cluster) openStream(entry, prompt string, tokens int) *liveStream {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "https://"+c.entries[entry]+"/v1/chat/completions", strings.NewReader(chat(prompt, true, tokens)))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer demo-oakville")
	res, err := callers.Do(req)
	assert.NilError(c.t, err)
	assert.Equal(c.t, res.StatusCode, http.StatusOK)
	s := &liveStream{body: res.Body, read: bufio.NewReader(res.Body)}
	s.first, err = s.read.ReadString('\n')
	assert.NilError(c.t, err)
	return s
}

// rest reads the stream to its end.
func (s *liveStream) rest() (string, error) {
	defer s.body.Close()
	text, err := io.ReadAll(s.read)
	return s.first + string(text), err
}

func assertWhole(t *testing.T, text, prompt string, tokens int) {
	t.Helper()
	at := 0
	for i := range tokens {
		n := strings.Index(text[at:], standin.ResponseToken(prompt, i))
		assert.Assert(t, n >= 0, "token %d is missing", i)
		at += n
	}
	assert.Equal(t, strings.Count(text, `"content"`), tokens, "tokens came twice")
	assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.processes[name].cmd.Process.Signal(s))
	if s == syscall.SIGSTOP {
		c.eventually("every thread of "+name+" stands still", func() bool {
			return stopped(c.processes[name].cmd.Process.Pid)
		})
	}
}

// stopped says that no thread of a process runs any more: the kernel stops them
// one after the other, some time after the signal.
func stopped(pid int) bool {
	stats, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	for _, name := range stats {
		stat, readErr := os.ReadFile(name)
		_, after, _ := strings.Cut(string(stat), ") ")
		if readErr != nil || !strings.HasPrefix(after, "T") {
			return false
		}
	}
	return err == nil && len(stats) > 0
}

// drafts makes a cluster with n engines of the given pace and one entry.
func drafts(t *testing.T, n int, token time.Duration) (*cluster, []*standin.Engine) {
	t.Helper()
	c := newCluster(t, sessionRules)
	var engines []*standin.Engine
	for i := range n {
		e := standin.NewEngine(0, token)
		engines = append(engines, e)
		c.addAgent("draft-"+string(rune('1'+i)), "ga-1", "drafts", "", c.engine(e))
	}
	c.addEntry("entry-1", "ga-1")
	c.publish()
	return c, engines
}

func TestKilledAgentLeavesABrokenStream(t *testing.T) {
	c, _ := drafts(t, 1, 5*time.Millisecond)
	s := c.openStream("entry-1", "long", 10_000)
	c.signal("draft-1", syscall.SIGKILL)
	text, err := s.rest()
	assert.Assert(t, err != nil, "the stream ended as if whole")
	assert.Assert(t, !strings.Contains(text, "[DONE]"))
	assert.Assert(t, strings.Contains(text, "event: error"))
}

func TestDeadAgentIsPassedOver(t *testing.T) {
	c, _ := drafts(t, 2, 0)
	c.signal("draft-1", syscall.SIGKILL)
	<-c.processes["draft-1"].exited
	for range 20 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("elm", false, 3))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
}

func TestRefusalOfAnEngineHasAVerdict(t *testing.T) {
	c, engines := drafts(t, 2, 0)
	engines[0].SetFaults(standin.Faults{RefuseRequests: true})
	for range 10 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("yew", false, 3))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
	engines[1].SetFaults(standin.Faults{RefuseRequests: true})
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("yew", false, 3))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(body, `"verdict":"not run"`), body)
}

func TestFrozenAgentGetsTheCallerAFinalAnswer(t *testing.T) {
	c, _ := drafts(t, 1, 0)
	_, _, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("ash", false, 3))
	assert.NilError(t, err) // Leaves a connection for the next call.
	c.signal("draft-1", syscall.SIGSTOP)
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("ash", false, 3), "X-Request-Timeout", "300ms")
	c.signal("draft-1", syscall.SIGCONT)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout, body)
	assert.Assert(t, strings.Contains(body, `"verdict":"may have run"`), body)
}

func TestDrainedProcessesCutNoStream(t *testing.T) {
	const tokens = 60
	for _, drained := range []string{"entry-1", "draft-1"} {
		t.Run(drained, func(t *testing.T) {
			c, _ := drafts(t, 1, 10*time.Millisecond)
			var streams []*liveStream
			for range 5 {
				streams = append(streams, c.openStream("entry-1", "oak", tokens))
			}
			c.signal(drained, syscall.SIGTERM)
			for _, s := range streams {
				text, err := s.rest()
				assert.NilError(t, err)
				assertWhole(t, text, "oak", tokens)
			}
			<-c.processes[drained].exited
			assert.NilError(t, c.processes[drained].exitErr)
			assert.Assert(t, strings.Contains(c.processes[drained].log(), "event=drained"))
		})
	}
}

func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	c, engines := drafts(t, 2, 10*time.Millisecond)
	held := c.openStream("entry-1", "held", 300)
	leaving := 0
	if engines[1].TotalRuns() == 1 {
		leaving = 1
	}
	name := "draft-" + string(rune('1'+leaving))
	c.signal(name, syscall.SIGTERM)
	c.eventually("the drain starts", func() bool {
		return strings.Contains(c.processes[name].log(), "event=drain_started")
	})
	for range 20 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chat("new", false, 2))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
	assert.Equal(t, engines[leaving].TotalRuns(), 1, "a leaving server got new work")
	text, err := held.rest()
	assert.NilError(t, err)
	assertWhole(t, text, "held", 300)
}

func TestAbandonedStreamFreesItsServer(t *testing.T) {
	c, engines := drafts(t, 1, 5*time.Millisecond)
	s := c.openStream("entry-1", "gone", 100_000)
	assert.Equal(t, engines[0].Running(), 1)
	s.body.Close()
	c.eventually("the engine is free", func() bool { return engines[0].Running() == 0 })
}

func TestKilledAgentNeverRecordsAPledgeTwice(t *testing.T) {
	c := newCluster(t, sessionRules)
	pledges := standin.NewService(100 * time.Millisecond)
	backend := c.service(pledges)
	c.addAgent("pledge-1", "ga-1", "", "pledges", backend)
	c.addEntry("entry-1", "ga-1")
	c.addEntry("entry-2", "ga-2")
	c.publish()
	const body = `{"seedlings":7}`
	ticket := c.ticketFor("entry-1", "/pledges", body)
	first := make(chan string)
	go func() {
		_, text, _ := c.call("entry-1", "POST", "/pledges", "demo-oakville", body, "Idempotency-Key", ticket)
		first <- text
	}()
	c.eventually("the service works on it", func() bool { return pledges.StartedCalls() == 1 })
	c.signal("pledge-1", syscall.SIGKILL)
	assert.Assert(t, strings.Contains(<-first, `"verdict":"may have run"`))

	// The instance is replaced: another incarnation before the same service.
	c.instances = c.instances[1:]
	c.addAgent("pledge-1", "ga-1", "", "pledges", backend)
	c.publish()
	c.eventually("the new incarnation refuses the old ticket", func() bool {
		res, text, err := c.call("entry-2", "POST", "/pledges", "demo-oakville", body, "Idempotency-Key", ticket)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(text, `"verdict":"may have run"`), text)
		return res.StatusCode == http.StatusConflict
	})
	c.eventually("the service has recorded the first try", func() bool { return len(pledges.Records()) > 0 })
	assert.Equal(t, pledges.StartedCalls(), 1)
	assert.DeepEqual(t, pledges.Records(), []string{body})
}

func TestRulesSpreadWhileThePlatformIsDown(t *testing.T) {
	c, pledges := smallCluster(t)
	c.ticketFor("entry-1", "/pledges", "{}") // The instances have met.
	c.platform.SetDown(true)
	c.addEntry("entry-2", "ga-2", c.instances[len(c.instances)-1].Address)
	c.waitReady("entry-2")
	ticket := c.ticketFor("entry-2", "/pledges", "{}")
	res, body, err := c.call("entry-2", "POST", "/pledges", "demo-oakville", "{}", "Idempotency-Key", ticket)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusCreated, body)
	assert.DeepEqual(t, pledges.Records(), []string{"{}"})
}

func TestRulesNeverGoBack(t *testing.T) {
	c, _ := drafts(t, 1, 0)
	next := sessionRules + "route GET /species to service pledges # asked for by Ellis\n"
	c.platform.Publish("rules", next)
	inForce := func() bool { return strings.Contains(c.processes["entry-1"].log(), "event=rules_in_force revision=2") }
	c.eventually("revision 2 is in force", inForce)
	c.platform.Restore("rules", platform.Value{Revision: 1, Value: sessionRules})
	c.addEntry("entry-2", "ga-2") // Starts against the restored service; entry-1 knows better.
	c.platform.SetInstances(c.instances)
	c.waitReady("entry-2")
	c.eventually("the stale service is noticed", func() bool {
		return strings.Contains(c.processes["entry-1"].log(), "event=rules_stale") ||
			strings.Contains(c.processes["entry-2"].log(), "event=rules_stale")
	})
	for _, entry := range []string{"entry-1", "entry-2"} {
		c.eventually(entry+" has revision 2", func() bool {
			res, _, err := c.call(entry, "GET", "/species", "demo-oakville", "")
			return err == nil && res.StatusCode == http.StatusServiceUnavailable // Routed; no server.
		})
	}
	assert.Equal(t, strings.Count(c.processes["entry-1"].log(), "event=rules_in_force"), 2)
}
