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

// liveStream is a stream of which the first line has been received.
type liveStream struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	firstLine string
}

func (c *cluster) openStream(entry, prompt string, tokens int) *liveStream {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "https://"+c.callerAddresses[entry]+"/v1/chat/completions", strings.NewReader(chatBody(prompt, true, tokens)))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer demo-oakville")
	res, err := httpClient.Do(req)
	assert.NilError(c.t, err)
	assert.Equal(c.t, res.StatusCode, http.StatusOK)
	s := &liveStream{body: res.Body, reader: bufio.NewReader(res.Body)}
	s.firstLine, err = s.reader.ReadString('\n')
	assert.NilError(c.t, err)
	return s
}

// readRest reads the stream to its end and returns its complete text.
func (s *liveStream) readRest() (string, error) {
	defer s.body.Close()
	text, err := io.ReadAll(s.reader)
	return s.firstLine + string(text), err
}

func assertComplete(t *testing.T, text, prompt string, tokens int) {
	t.Helper()
	offset := 0
	for i := range tokens {
		n := strings.Index(text[offset:], standin.ResponseToken(prompt, i))
		assert.Assert(t, n >= 0, "token %d is missing", i)
		offset += n
	}
	assert.Equal(t, strings.Count(text, `"content"`), tokens, "the number of tokens is wrong")
	assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.processes[name].cmd.Process.Signal(s))
	if s == syscall.SIGSTOP {
		c.eventually("all threads of "+name+" are stopped", func() bool {
			return allThreadsStopped(c.processes[name].cmd.Process.Pid)
		})
	}
}

// allThreadsStopped reports whether all threads of a process are stopped. The
// kernel stops them one after the other, some time after the signal.
func allThreadsStopped(pid int) bool {
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

// newDraftCluster returns a cluster with one entry and n engines, and the
// engines.
func newDraftCluster(t *testing.T, n int, tokenInterval time.Duration) (*cluster, []*standin.Engine) {
	t.Helper()
	c := newCluster(t, sessionRules)
	var engines []*standin.Engine
	for i := range n {
		e := standin.NewEngine(0, tokenInterval)
		engines = append(engines, e)
		c.addAgent("draft-"+string(rune('1'+i)), "ga-1", "drafts", "", c.serveEngine(e))
	}
	c.addEntry("entry-1", "ga-1")
	c.publish()
	return c, engines
}

func TestKilledAgentLeavesABrokenStream(t *testing.T) {
	c, _ := newDraftCluster(t, 1, 5*time.Millisecond)
	s := c.openStream("entry-1", "long", 10_000)
	c.signal("draft-1", syscall.SIGKILL)
	text, err := s.readRest()
	assert.Assert(t, err != nil, "the truncated stream ended without an error")
	assert.Assert(t, !strings.Contains(text, "[DONE]"))
	assert.Assert(t, strings.Contains(text, "event: error"))
}

func TestDeadAgentIsPassedOver(t *testing.T) {
	c, _ := newDraftCluster(t, 2, 0)
	c.signal("draft-1", syscall.SIGKILL)
	<-c.processes["draft-1"].exited
	for range 20 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("elm", false, 3))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
}

func TestRefusalOfAnEngineHasAVerdict(t *testing.T) {
	c, engines := newDraftCluster(t, 2, 0)
	engines[0].SetFaults(standin.Faults{RefuseRequests: true})
	for range 10 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("yew", false, 3))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
	engines[1].SetFaults(standin.Faults{RefuseRequests: true})
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("yew", false, 3))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(body, `"verdict":"not run"`), body)
}

func TestFrozenAgentGetsTheCallerAFinalAnswer(t *testing.T) {
	c, _ := newDraftCluster(t, 1, 0)
	_, _, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("ash", false, 3))
	assert.NilError(t, err) // The call leaves an open connection for the next one.
	c.signal("draft-1", syscall.SIGSTOP)
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("ash", false, 3), "X-Request-Timeout", "300ms")
	c.signal("draft-1", syscall.SIGCONT)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout, body)
	assert.Assert(t, strings.Contains(body, `"verdict":"may have run"`), body)
}

func TestDrainedProcessesCutNoStream(t *testing.T) {
	const tokens = 60
	for _, drained := range []string{"entry-1", "draft-1"} {
		t.Run(drained, func(t *testing.T) {
			c, _ := newDraftCluster(t, 1, 10*time.Millisecond)
			var streams []*liveStream
			for range 5 {
				streams = append(streams, c.openStream("entry-1", "oak", tokens))
			}
			c.signal(drained, syscall.SIGTERM)
			for _, s := range streams {
				text, err := s.readRest()
				assert.NilError(t, err)
				assertComplete(t, text, "oak", tokens)
			}
			<-c.processes[drained].exited
			assert.NilError(t, c.processes[drained].exitErr)
			assert.Assert(t, strings.Contains(c.processes[drained].log(), "event=drained"))
		})
	}
}

func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	c, engines := newDraftCluster(t, 2, 10*time.Millisecond)
	stream := c.openStream("entry-1", "held", 300)
	draining := 0
	if engines[1].TotalRuns() == 1 {
		draining = 1
	}
	name := "draft-" + string(rune('1'+draining))
	c.signal(name, syscall.SIGTERM)
	c.eventually("the drain starts", func() bool {
		return strings.Contains(c.processes[name].log(), "event=drain_started")
	})
	for range 20 {
		res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("new", false, 2))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK, body)
	}
	assert.Equal(t, engines[draining].TotalRuns(), 1, "a draining server got a new request")
	text, err := stream.readRest()
	assert.NilError(t, err)
	assertComplete(t, text, "held", 300)
}

func TestAbandonedStreamFreesItsServer(t *testing.T) {
	c, engines := newDraftCluster(t, 1, 5*time.Millisecond)
	s := c.openStream("entry-1", "gone", 100_000)
	assert.Equal(t, engines[0].Running(), 1)
	s.body.Close()
	c.eventually("the engine runs no request", func() bool { return engines[0].Running() == 0 })
}

func TestKilledAgentNeverRecordsAPledgeTwice(t *testing.T) {
	c := newCluster(t, sessionRules)
	pledges := standin.NewService(100 * time.Millisecond)
	backend := c.serveService(pledges)
	c.addAgent("pledge-1", "ga-1", "", "pledges", backend)
	c.addEntry("entry-1", "ga-1")
	c.addEntry("entry-2", "ga-2")
	c.publish()
	const body = `{"seedlings":7}`
	ticket := c.requestTicket("entry-1", "/pledges", body)
	first := make(chan string)
	go func() {
		_, text, _ := c.call("entry-1", "POST", "/pledges", "demo-oakville", body, "Idempotency-Key", ticket)
		first <- text
	}()
	c.eventually("the service has started the call", func() bool { return pledges.StartedCalls() == 1 })
	c.signal("pledge-1", syscall.SIGKILL)
	assert.Assert(t, strings.Contains(<-first, `"verdict":"may have run"`))

	// A new instance with another incarnation replaces the killed one, in front
	// of the same service.
	c.instances = c.instances[1:]
	c.addAgent("pledge-1", "ga-1", "", "pledges", backend)
	c.publish()
	c.eventually("the new incarnation refuses the old ticket", func() bool {
		res, text, err := c.call("entry-2", "POST", "/pledges", "demo-oakville", body, "Idempotency-Key", ticket)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(text, `"verdict":"may have run"`), text)
		return res.StatusCode == http.StatusConflict
	})
	c.eventually("the service has recorded the first call", func() bool { return len(pledges.Records()) > 0 })
	assert.Equal(t, pledges.StartedCalls(), 1)
	assert.DeepEqual(t, pledges.Records(), []string{body})
}

func TestRulesSpreadWhileThePlatformIsDown(t *testing.T) {
	c, pledges := newSmallCluster(t)
	c.requestTicket("entry-1", "/pledges", "{}") // The instances have discovered each other.
	c.platform.SetDown(true)
	c.addEntry("entry-2", "ga-2", c.instances[len(c.instances)-1].Address)
	c.waitReady("entry-2")
	ticket := c.requestTicket("entry-2", "/pledges", "{}")
	res, body, err := c.call("entry-2", "POST", "/pledges", "demo-oakville", "{}", "Idempotency-Key", ticket)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusCreated, body)
	assert.DeepEqual(t, pledges.Records(), []string{"{}"})
}

func TestRulesNeverGoBack(t *testing.T) {
	c, _ := newDraftCluster(t, 1, 0)
	next := sessionRules + "route GET /species to service pledges # asked for by Ellis\n"
	c.platform.Publish("rules", next)
	inForce := func() bool { return strings.Contains(c.processes["entry-1"].log(), "event=rules_in_force revision=2") }
	c.eventually("revision 2 is in force", inForce)
	c.platform.Restore("rules", platform.Value{Revision: 1, Value: sessionRules})
	c.addEntry("entry-2", "ga-2") // Reads revision 1 from the restored service, while entry-1 has revision 2.
	c.platform.SetInstances(c.instances)
	c.waitReady("entry-2")
	c.eventually("an entry reports the stale rules", func() bool {
		return strings.Contains(c.processes["entry-1"].log(), "event=rules_stale") ||
			strings.Contains(c.processes["entry-2"].log(), "event=rules_stale")
	})
	for _, entry := range []string{"entry-1", "entry-2"} {
		c.eventually(entry+" has revision 2", func() bool {
			res, _, err := c.call(entry, "GET", "/species", "demo-oakville", "")
			return err == nil && res.StatusCode == http.StatusServiceUnavailable // The route exists, but its service has no server.
		})
	}
	assert.Equal(t, strings.Count(c.processes["entry-1"].log(), "event=rules_in_force"), 2)
}
