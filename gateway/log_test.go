package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// assertLogged checks that the lines of a request name what docs/OPERATIONS.md
// relies on.
func assertLogged(t *testing.T, lines string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, is.Contains(lines, part))
	}
}

func TestRefusalUnderLoadIsExplained(t *testing.T) {
	s := newStage(t)
	b := s.server("a", func(c net.Conn, r *http.Request) { reply(c, r, 200, "ok") })
	s.servers[0].Group = backends.Group{Name: "g0", Epoch: 1, Size: 1}
	s.servers[0].Open = true
	s.engine = &ingress.Engine{Slots: 4, Step: 10 * time.Millisecond, AnswerTokens: 100, Stride: 5}
	s.start()
	s.gateway.directory.Report(b.Address, backends.Status{
		Up: true, Open: true, Group: s.servers[0].Group, Running: 4, Waiting: 9, At: time.Now(),
	})
	got := s.call("/again/x", "Id", "load-1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assertLogged(t, s.lines("load-1"), "event=refused", "status=503", "code=overloaded", `verdict="not run"`,
		"4 and 9 run and wait for 4 slots", "retry_after_ms=", "config=1", "organisation=north")
}

func TestBrokenStreamIsExplained(t *testing.T) {
	s := newStage(t)
	alternate(s,
		func(c net.Conn, r *http.Request) { events(c, r, 1, 3, false); c.Close() },
		func(c net.Conn, r *http.Request) { events(c, r, 4, 5, false); c.Close() })
	s.start()
	got := s.call("/stream/x", "Id", "cut-1")
	assert.Assert(t, got.err != nil)
	assertLogged(t, s.lines("cut-1"), "event=retry", "events=3", "the answer broke off", "event=no_retry",
		`why="the route allows no further server"`, "event=broken_off", "events=5", "sends=2")
}

func TestStaleProofIsExplained(t *testing.T) {
	s := newStage(t)
	s.keyProof = shortProof
	s.server("a", func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "never asked") })
	s.start()
	s.stopSource()
	time.Sleep(700 * time.Millisecond)
	got := s.call("/once/x", "Id", "stale-1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assertLogged(t, s.lines("stale-1"), "event=refused", "code=unavailable", `why="the configuration is not proved fresh"`,
		"proof_age_ms=", "config=1", "sends=0")
	assertLogged(t, s.logged.String(), "event=source_lost")
}
