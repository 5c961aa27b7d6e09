package gateway

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// setZone moves the last added server to a zone.
func (h *harness) setZone(zone string) { h.servers[len(h.servers)-1].Zone = zone }

// evacuate evacuates zones in the directory. The switch "evacuation" leaves the directory
// without them.
func (h *harness) evacuate(zones ...string) {
	if os.Getenv("BBW_WITHOUT") != "evacuation" {
		h.gateway.directory.SetEvacuated(zones)
	}
}

// Requests may have been placed at a server, and its connection may be open, when the
// evacuation of its zone becomes known. None of them may be sent there.
func TestRequestPlacedBeforeTheEvacuationIsNotSent(t *testing.T) {
	h := newHarness(t)
	a := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	x := &exchange{g: h.gateway, request: request{serviceName: "svc"}}
	choice := &backends.Choice{Server: a.Server}
	assert.NilError(t, x.beforeSend(choice))
	h.evacuate("z")
	err := x.beforeSend(choice)
	assert.ErrorIs(t, err, errZoneEvacuated)
	assert.Assert(t, !maybeSent(err))
	assert.Equal(t, x.sendCount, 1)
	assert.Equal(t, x.handleSendError(choice, err), outcomeNotRun)
}

// Retries, resumed streams and standbys after the evacuation began must go to another zone;
// a stream that runs in the evacuated zone must go on to its end.
func TestEvacuationLeavesRunningRequestsAlone(t *testing.T) {
	cases := map[string]struct {
		path  string
		write func(c net.Conn, r *http.Request)
	}{
		"runs on": {"/stream/x", func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 6, true) }},
		"retry":   {"/again/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "") }},
		"resume":  {"/stream/x", func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false) }},
		"standby": {"/again/x", func(net.Conn, *http.Request) { time.Sleep(time.Second) }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			arrived, evacuated := make(chan bool, 1), make(chan bool)
			first := h.addServer("first", func(c net.Conn, r *http.Request) {
				arrived <- true
				<-evacuated
				test.write(c, r)
			})
			h.setZone("za")
			others := h.addServer("other", func(c net.Conn, r *http.Request) {
				if strings.HasPrefix(r.RequestURI, "/stream/") {
					writeEvents(c, r, 4, 6, true)
					return
				}
				writeResponse(c, r, 200, "ok")
			})
			h.setZone("zb")
			inZone := h.addServer("second", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "wrong") })
			h.setZone("za")
			h.start()
			h.gateway.directory.BackOff("other", time.Minute, time.Now())
			h.gateway.directory.BackOff("second", time.Minute, time.Now())
			var got callerResponse
			done := make(chan bool)
			go func() { defer close(done); got = h.send(test.path) }()
			<-arrived
			// The servers can be chosen again; one of them is in the zone.
			h.source.mu.Lock()
			for _, s := range h.servers[1:] {
				s.Started = 7
				h.gateway.directory.Put(s)
			}
			h.source.mu.Unlock()
			h.evacuate("za")
			close(evacuated)
			<-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, strings.Contains(got.body, "ok") || got.body == eventText(1, 6), "%s", got.body)
			assert.Equal(t, inZone.requestCount.Load(), int64(0))
			assert.Equal(t, first.requestCount.Load(), int64(1))
			assert.Equal(t, others.requestCount.Load() == 0, name == "runs on")
		})
	}
}

// Callers must be told at once, with a reason, that all servers are in evacuated zones, and
// must not be invited back.
func TestCallersAreToldOfTheEvacuation(t *testing.T) {
	h := newHarness(t)
	a := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	h.evacuate("z")
	for i, path := range []string{"/once/x", "/again/x", "/stream/x", "/public/x"} {
		began := time.Now()
		got := h.send(path, "Id", "e"+strconv.Itoa(i))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.header.Get("Retry-After"), "")
		assert.Assert(t, strings.Contains(got.body, "evacuated"), "%s", got.body)
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	}
	assert.Equal(t, a.requestCount.Load(), int64(0))
	assert.Assert(t, strings.Contains(h.logLines("e0"), "code=zone_evacuated"), "%s", h.logLines("e0"))
	var metrics strings.Builder
	h.gateway.Metrics().WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), "bluebellwind_evacuated_zones 1\n"))
	assert.Assert(t, strings.Contains(metrics.String(), `bluebellwind_refusals_total{code="zone_evacuated"} 4`), "%s", metrics.String())
	h.gateway.directory.SetEvacuated(nil)
	assert.Equal(t, h.send("/again/x").status, http.StatusOK, "the end of the evacuation takes effect at once")
}

// A process that was suspended may have missed an evacuation, so it must ask before it
// sends, also for routes that need no key. A source that is gone must not stop it.
func TestSuspendedGatewayAsksBeforeItSends(t *testing.T) {
	h := newHarness(t)
	a := h.addServer("a", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.start()
	x := &exchange{g: h.gateway, request: request{serviceName: "svc", route: &ingress.Route{}}}
	choice := &backends.Choice{Server: a.Server}
	limits := *h.gateway.limits.Load()
	limits.MaxZonesAge = time.Nanosecond
	h.gateway.Reload(limits)
	assert.ErrorIs(t, x.checkSend(choice), errConfigStale)
	assert.Equal(t, h.send("/public/x").status, http.StatusServiceUnavailable)
	h.stopSource()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if x.checkSend(choice) == nil {
			return poll.Success()
		}
		return poll.Continue("the source is not known to be gone yet")
	})
	assert.Equal(t, h.send("/public/x").status, http.StatusOK)
	assert.Equal(t, a.requestCount.Load(), int64(1))
}
