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

// assertLogged checks that the log lines of a request contain the parts that
// docs/OPERATIONS.md relies on.
func assertLogged(t *testing.T, lines string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, is.Contains(lines, part))
	}
}

func TestRefusalUnderLoadIsExplained(t *testing.T) {
	h := newHarness(t)
	b := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.servers[0].Group = backends.Group{Name: "g0", Epoch: 1, Size: 1}
	h.servers[0].Open = true
	h.engine = &ingress.Engine{Slots: 4, Step: 10 * time.Millisecond, AnswerTokens: 100, Stride: 5}
	h.start()
	h.gateway.directory.UpdateStatus(b.Address, backends.Status{
		Up: true, Open: true, Group: h.servers[0].Group, Running: 4, Waiting: 9, ReceivedAt: time.Now(),
	})
	got := h.send("/again/x", "Id", "load-1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assertLogged(t, h.logLines("load-1"), "event=refused", "status=503", "code=overloaded", `verdict="not run"`,
		"4 and 9 run and wait for 4 slots", "retry_after_ms=", "config=1", "organisation=north",
		"rule=load", "priority=", "expected_wait_ms=", "allowed_wait_ms=")
}

func TestBrokenStreamIsExplained(t *testing.T) {
	h := newHarness(t)
	addFailoverServers(h,
		func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false); c.Close() },
		func(c net.Conn, r *http.Request) { writeEvents(c, r, 4, 5, false); c.Close() })
	h.start()
	got := h.send("/stream/x", "Id", "cut-1")
	assert.Assert(t, got.err != nil)
	assertLogged(t, h.logLines("cut-1"), "event=retry", "events=3", "the answer broke off", "event=no_retry",
		`why="the route allows no further server"`, "event=broken_off", "given_up=false", "events=5", "sends=2")
}

// What a request and the crash of its server have to do with each other could not be seen.
func TestCrashOfAServerIsExplained(t *testing.T) {
	h := newHarness(t)
	crash := func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 0, false); c.Close() }
	a := h.addServer("a", crash)
	h.start()
	h.send("/stream/x", "Id", "crash-1", "Parts", "p1,p2")
	h.gateway.directory.UpdateStatus(a.Address, backends.Status{Up: false, ReceivedAt: time.Now()})
	assertLogged(t, h.logLines("crash-1"), "event=server_crashed", "server=a", "begun=true", "parts=p1,p2")
}

func TestPanicOfAHandlerIsExplained(t *testing.T) {
	h := newHarness(t)
	h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	h.gateway.directory = nil
	got := h.send("/again/x", "Id", "panic-1")
	assert.Assert(t, got.err != nil)
	assertLogged(t, h.logLines("panic-1"), "event=panic", "cause=")
}

func TestStaleProofIsExplained(t *testing.T) {
	h := newHarness(t)
	h.maxProofAge = shortProofAge
	h.addServer("a", func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "unexpected request") })
	h.start()
	h.stopSource()
	time.Sleep(700 * time.Millisecond)
	got := h.send("/once/x", "Id", "stale-1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assertLogged(t, h.logLines("stale-1"), "event=refused", "code=unavailable", `why="the configuration is not proved fresh"`,
		"proof_age_ms=", "config=1", "sends=0")
	assertLogged(t, h.logOutput.String(), "event=source_lost")
}
