package e2e

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bluebellwind.example/internal/standin"
)

var sessionRules = `organisation oakville token ` + tokenHash("demo-oakville") + ` # asked for by Dana
group drafts models certificate-8b # asked for by Dana
service pledges # asked for by Dana
route model certificate-8b to group drafts # asked for by Dana
route POST /pledges to service pledges once # asked for by Dana
route GET /pledges* to service pledges # asked for by Dana
`

func chatBody(prompt string, stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"certificate-8b","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
}

// Patterns of the parts of a session that differ between runs.
var (
	idPattern     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	ticketPattern = regexp.MustCompile(`bbt1\.[A-Za-z0-9_.-]+`)
)

func transcript(title string, res *http.Response, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "== %s\n%d\n", title, res.StatusCode)
	for _, name := range []string{"Content-Type", "Retry-After", "Idempotency-Key", "Idempotency-Replayed"} {
		if v := res.Header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	b.WriteString("\n" + strings.TrimSpace(body) + "\n\n")
	return ticketPattern.ReplaceAllString(idPattern.ReplaceAllString(b.String(), "ID"), "TICKET")
}

func newSmallCluster(t *testing.T) (*cluster, *standin.Service) {
	c := newCluster(t, sessionRules)
	pledges := standin.NewService(0)
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(standin.NewEngine(0, 0)))
	c.addAgent("pledge-1", "ga-1", "", "pledges", c.serveService(pledges))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	return c, pledges
}

// requestTicket requests a ticket until the entry has discovered its servers
// and issues one.
func (c *cluster) requestTicket(entry, path, body string) string {
	c.t.Helper()
	var ticket string
	c.eventually("a ticket", func() bool {
		res, _, err := c.call(entry, "POST", path, "demo-oakville", body)
		assert.NilError(c.t, err)
		ticket = res.Header.Get("Idempotency-Key")
		return ticket != ""
	})
	return ticket
}

func TestGoldenSession(t *testing.T) {
	c, pledges := newSmallCluster(t)
	ticket := c.requestTicket("entry-1", "/pledges", `{"seedlings":40}`)
	steps := []struct {
		title, method, path, token, body string
		headers                          []string
	}{
		{"a streamed draft", "POST", "/v1/chat/completions", "demo-oakville", chatBody("white oak", true, 3), nil},
		{"a whole draft", "POST", "/v1/chat/completions", "demo-oakville", chatBody("white oak", false, 3), nil},
		{"no credentials", "POST", "/v1/chat/completions", "", chatBody("white oak", false, 3), nil},
		{"wrong credentials", "POST", "/v1/chat/completions", "demo-nobody", chatBody("white oak", false, 3), nil},
		{"broken JSON", "POST", "/v1/chat/completions", "demo-oakville", `{"model":`, nil},
		{"unknown model", "POST", "/v1/chat/completions", "demo-oakville", `{"model":"x"}`, nil},
		{"a deadline in the past", "POST", "/v1/chat/completions", "demo-oakville", chatBody("a", false, 3), []string{"X-Request-Deadline", "2020-01-01T00:00:00Z"}},
		{"an impossible priority", "POST", "/v1/chat/completions", "demo-oakville", chatBody("a", false, 3), []string{"Priority", "u=9"}},
		{"a pledge without a ticket", "POST", "/pledges", "demo-oakville", `{"seedlings":40}`, []string{"Idempotency-Key", "my-own-key"}},
		{"a pledge with a ticket", "POST", "/pledges", "demo-oakville", `{"seedlings":40}`, []string{"Idempotency-Key", ticket}},
		{"the same pledge again", "POST", "/pledges", "demo-oakville", `{"seedlings":40}`, []string{"Idempotency-Key", ticket}},
		{"the ticket with another body", "POST", "/pledges", "demo-oakville", `{"seedlings":41}`, []string{"Idempotency-Key", ticket}},
		{"reading pledges", "GET", "/pledges/all", "demo-oakville", "", nil},
		{"a path without a rule", "GET", "/nothing", "demo-oakville", "", nil},
	}
	var session strings.Builder
	for _, s := range steps {
		res, body, err := c.call("entry-1", s.method, s.path, s.token, s.body, s.headers...)
		assert.NilError(t, err)
		session.WriteString(transcript(s.title, res, body))
	}
	golden.Assert(t, session.String(), "session.golden")
	assert.DeepEqual(t, pledges.Records(), []string{`{"seedlings":40}`})
	for _, p := range c.processes {
		assert.Assert(t, !strings.Contains(p.log(), "white oak"), "a log contains content of a request")
		assert.Assert(t, !strings.Contains(p.log(), "demo-oakville"), "a log contains a bearer token")
	}
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	c, _ := newSmallCluster(t)
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", strings.Repeat("x", 2<<20))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Assert(t, strings.Contains(body, `"verdict":"not run"`))
}

func TestCutStreamLooksBroken(t *testing.T) {
	c := newCluster(t, sessionRules)
	engine := standin.NewEngine(0, time.Millisecond)
	engine.SetFaults(standin.Faults{TruncateAfter: 2})
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(engine))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	_, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("fir", true, 5))
	assert.Assert(t, err != nil, "the truncated response ended without an error: %q", body)
	assert.Assert(t, strings.Contains(body, "event: error"))
	assert.Assert(t, !strings.Contains(body, "[DONE]"))
}

func TestCrossedAnswerIsNotDelivered(t *testing.T) {
	c := newCluster(t, sessionRules)
	engine := standin.NewEngine(0, 0)
	engine.SetFaults(standin.Faults{WrongRequestID: true})
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(engine))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	res, body, err := c.call("entry-1", "POST", "/v1/chat/completions", "demo-oakville", chatBody("fir", false, 5))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, body)
	assert.Assert(t, strings.Contains(body, `"verdict":"may have run"`), body)
}

// TestMadeUpTicketsDoNotEvadeALimit sends requests with forged tickets as their
// keys. A request for a ticket counts against the limit even if its key looks
// like a ticket.
func TestMadeUpTicketsDoNotEvadeALimit(t *testing.T) {
	limited := strings.Replace(sessionRules, " # asked for", " limit 1 requests/s # asked for", 1)
	c := newCluster(t, limited)
	c.addAgent("pledge-1", "ga-1", "", "pledges", c.serveService(standin.NewService(0)))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	refused := 0
	for range 100 {
		res, body, err := c.call("entry-1", "POST", "/pledges", "demo-oakville", "{}", "Idempotency-Key", "bbt1.made-up")
		assert.NilError(t, err)
		if res.StatusCode == http.StatusTooManyRequests {
			refused++
			assert.Assert(t, res.Header.Get("Idempotency-Key") == "" && res.Header.Get("Retry-After") != "", body)
		}
	}
	assert.Assert(t, refused > 50, "only %d of 100 requests in quick succession were refused at 1 request/s", refused)
}
