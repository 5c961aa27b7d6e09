package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/opscmd"
	"bluebellwind.example/internal/standin"
)

// runOperatorCommand runs one command line of the operators' client with the
// named certificate and its key. It returns the output, the error output and
// the exit code.
func (c *cluster) runOperatorCommand(certificate, line string) (string, string, int) {
	var root struct {
		cli.Globals
		opscmd.Commands
	}
	args := strings.Fields(line)
	for _, in := range c.instances {
		if in.Role == "entry" {
			args = append(args, "--entry", in.Address)
		}
	}
	args = append(args, "--authority", c.dir+"/ca.pem",
		"--certificate", c.dir+"/"+certificate+".pem", "--key", c.dir+"/"+certificate+".key")
	var stdout, stderr bytes.Buffer
	code := cli.Run(&root, &root.Globals, args, &cli.Env{Out: &stdout}, &stderr)
	return stdout.String(), stderr.String(), code
}

// Patterns of the parts of the client's output that differ between runs.
var (
	addressPattern   = regexp.MustCompile(`127\.0\.0\.1:\d+ *`)
	clockPattern     = regexp.MustCompile(`\d\d:\d\d:\d\d\.\d{3}`)
	elapsedPattern   = regexp.MustCompile(`after [\d.]+ms`)
	remainingPattern = regexp.MustCompile(`\d+ms left`)
	stepTimePattern  = regexp.MustCompile(`\d+\.\dms`)
	columnGapPattern = regexp.MustCompile(` {2,}`)
)

func normalise(text string) string {
	text = idPattern.ReplaceAllString(text, "ID")
	text = addressPattern.ReplaceAllString(text, "ADDRESS  ")
	text = clockPattern.ReplaceAllString(text, "TIME")
	text = elapsedPattern.ReplaceAllString(text, "after TOOK")
	text = remainingPattern.ReplaceAllString(text, "LEFT left")
	text = stepTimePattern.ReplaceAllString(text, "STEP")
	return columnGapPattern.ReplaceAllString(text, "  ")
}

func TestOperatorsFollowARollout(t *testing.T) {
	c, _ := newSmallCluster(t)
	_, err := c.authority.Issue(c.dir, "operator", keys.Operator)
	assert.NilError(t, err)
	var session strings.Builder
	recordCommand := func(line string, want int) {
		out, stderr, code := c.runOperatorCommand("operator", line)
		assert.Equal(t, code, want, "%s\n%s%s", line, out, stderr)
		fmt.Fprintf(&session, "== %s: %d\n%s%s\n", normalise(line), code, normalise(out), normalise(stderr))
	}

	c.eventually("the status lists all instances as serving", func() bool {
		out, _, _ := c.runOperatorCommand("operator", "status")
		return strings.Count(out, "serving") == len(c.instances)+2 // The list of servers adds a line for each of the two.
	})
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("white oak", false, 3))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK, body)
	recordCommand("rollout --revision 1 --wait", cli.CodeYes)
	recordCommand("status", cli.CodeYes)
	recordCommand("trace "+res.Header.Get("X-Request-Id"), cli.CodeYes)
	recordCommand("trace unknown", cli.CodeNegativeResult)

	c.platform.Publish("rules", "route to nowhere\n")
	c.eventually("every instance refuses revision 2", func() bool {
		out, _, _ := c.runOperatorCommand("operator", "rollout")
		return strings.Count(out, "refused") == len(c.instances)
	})
	recordCommand("rollout", cli.CodeNegativeResult)
	c.platform.Publish("rules", sessionRules+"# one more line\n")
	recordCommand("rollout --revision 3 --wait", cli.CodeYes)
	recordCommand("rollout -o json", cli.CodeYes)

	recordCommand("drain nobody", cli.CodeNegativeResult)
	recordCommand("drain --wait pledge-1", cli.CodeYes)
	<-c.processes["pledge-1"].exited
	assert.NilError(t, c.processes["pledge-1"].exitErr)
	assert.Assert(t, strings.Contains(c.processes["pledge-1"].log(), "event=drained"))
	golden.Assert(t, session.String(), "operators.golden")
}

func TestDrainAskedByAnOperatorLetsAStreamFinish(t *testing.T) {
	c := newCluster(t, sessionRules)
	engine := standin.NewEngine(0, 20*time.Millisecond)
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(engine))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	_, err := c.authority.Issue(c.dir, "operator", keys.Operator)
	assert.NilError(t, err)
	streamed := make(chan string, 1)
	go func() {
		_, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("fir", true, 50))
		streamed <- fmt.Sprint(body, err)
	}()
	c.eventually("the stream runs", func() bool { return engine.Running() == 1 })
	for _, name := range []string{"draft-1", "entry-1"} {
		out, stderr, code := c.runOperatorCommand("operator", "drain "+name)
		assert.Equal(t, code, cli.CodeYes, stderr)
		assert.Equal(t, out, name+" drains: 1 requests in flight\n")
	}
	assert.Assert(t, strings.HasSuffix(<-streamed, "data: [DONE]\n\n<nil>"))
	for _, name := range []string{"draft-1", "entry-1"} {
		<-c.processes[name].exited
		assert.NilError(t, c.processes[name].exitErr)
	}
}

func TestOnlyOperatorsMayAsk(t *testing.T) {
	c, _ := newSmallCluster(t)
	for _, certificate := range []string{"entry-1", "draft-1"} {
		_, stderr, code := c.runOperatorCommand(certificate, "drain entry-1")
		assert.Equal(t, code, cli.CodeFailure, certificate)
		assert.Assert(t, strings.Contains(stderr, "unknown rpc"), stderr)
	}
	assert.Assert(t, !strings.Contains(c.processes["entry-1"].log(), "drain_started"))
}

// metric returns the value of one metric of an instance.
func (c *cluster) metric(instance, name string) float64 {
	c.t.Helper()
	res, err := http.Get("http://" + c.adminAddresses[instance] + "/metrics")
	assert.NilError(c.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			assert.NilError(c.t, err)
			return v
		}
	}
	c.t.Fatalf("%s has no metric %s:\n%s", instance, name, text)
	return 0
}

func TestMetricsTellOrganisationsApartAndGoroutinesDoNotGrow(t *testing.T) {
	const requests, workers, slack = 10_000, 16, 200
	c, _ := newSmallCluster(t)
	c.requestTicket("entry-1", "/pledges", `{"seedlings":1}`)
	send := func(n int) {
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for range n / workers {
					res, body, err := c.call("entry-1", "GET", "/pledges/all", "demo-oakville", "")
					if err != nil || res.StatusCode != http.StatusOK {
						t.Errorf("%v %v", err, body)
						return
					}
				}
			})
		}
		wg.Wait()
	}
	send(10 * workers) // Opens the connections that later requests reuse.
	before := c.metric("entry-1", "go_goroutines") + c.metric("pledge-1", "go_goroutines")
	send(requests)
	after := c.metric("entry-1", "go_goroutines") + c.metric("pledge-1", "go_goroutines")
	assert.Assert(t, after <= before+slack, "%v goroutines before and %v after", before, after)
	t.Logf("%v goroutines before and %v after %d requests", before, after, requests)

	label := `{organisation="oakville",class="interactive"}`
	assert.Assert(t, c.metric("entry-1", "bluebellwind_whole_answer_seconds_count"+label) >= requests)
	assert.Assert(t, c.metric("pledge-1", "bluebellwind_queue_seconds_count"+label) >= requests)
	assert.Equal(t, c.metric("entry-1", "bluebellwind_rules_revision"), 1.0)
	assert.Equal(t, c.metric("entry-1", "bluebellwind_draining"), 0.0)
	_, _, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("fir", true, 4))
	assert.NilError(t, err)
	assert.Equal(t, c.metric("entry-1", "bluebellwind_first_token_seconds_count"+label), 1.0)
	assert.Equal(t, c.metric("entry-1", "bluebellwind_between_tokens_seconds_count"+label), 4.0) // The final event counts as well.
	_, _, err = c.call("entry-1", "GET", "/nothing", "demo-oakville", "")
	assert.NilError(t, err)
	assert.Equal(t, c.metric("entry-1", `bluebellwind_refusals_total{code="no_route",verdict="not run"}`), 1.0)
}
