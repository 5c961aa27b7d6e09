package gateway

import (
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// Where the route and the organisation both have a list, both apply.
func TestHomeRegions(t *testing.T) {
	cases := []struct{ route, organisation, want []string }{
		{nil, nil, nil},
		{[]string{}, []string{}, nil},
		{[]string{"a"}, nil, []string{"a"}},
		{nil, []string{"b"}, []string{"b"}},
		{[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{[]string{"a"}, []string{"b"}, []string{}},
	}
	for _, c := range cases {
		got := homeRegions(&ingress.Route{AllowedRegions: c.route}, &ingress.Organisation{AllowedRegions: c.organisation})
		assert.DeepEqual(t, got, c.want)
	}
	assert.DeepEqual(t, homeRegions(&ingress.Route{AllowedRegions: []string{"a"}}, nil), []string{"a"})
	assert.Assert(t, homeRegions(&ingress.Route{}, nil) == nil)
}

// startInRegions starts the gateway with zones za and zb in the regions east and west, and an
// organisation whose home is east. The switch "regions" puts both zones into east.
func (h *harness) startInRegions() {
	h.homeRegions = []string{"east"}
	h.start()
	regions := map[string]string{"za": "east", "zb": "west"}
	if os.Getenv("BBW_WITHOUT") == "regions" {
		regions["zb"] = "east"
	}
	h.gateway.directory.SetRegions(regions)
}

// A request must not leave its regions when its first server fails, breaks off its stream,
// turns the request away or is silent, on any route.
func TestRequestNeverLeavesItsRegions(t *testing.T) {
	cases := map[string]struct {
		path  string
		write func(c net.Conn, r *http.Request)
	}{
		"retry":   {"/again/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "") }},
		"resume":  {"/stream/x", func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 3, false) }},
		"refusal": {"/once/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "", "Not-Run: 1") }},
		"standby": {"/again/x", func(net.Conn, *http.Request) { time.Sleep(time.Second) }},
		"public":  {"/public/x", func(c net.Conn, r *http.Request) { writeResponse(c, r, 500, "") }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addServer("home", test.write)
			h.setZone("za")
			elsewhere := h.addServer("elsewhere", func(c net.Conn, r *http.Request) {
				if strings.HasPrefix(r.RequestURI, "/stream/") {
					writeEvents(c, r, 4, 6, true)
					return
				}
				writeResponse(c, r, 200, "ok")
			})
			h.setZone("zb")
			unknown := h.addServer("unknown", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
			h.setZone("zz")
			h.startInRegions()
			for range 4 {
				got := h.send(test.path)
				assert.Assert(t, got.err != nil || got.status != http.StatusOK, "%+v", got)
			}
			assert.Equal(t, elsewhere.requestCount.Load(), int64(0))
			assert.Equal(t, unknown.requestCount.Load(), int64(0))
		})
	}
}

// Callers whose regions have no server must be told at once, with the cause, and not be
// invited back.
func TestCallersAreToldOfTheirRegions(t *testing.T) {
	h := newHarness(t)
	elsewhere := h.addServer("elsewhere", func(c net.Conn, r *http.Request) { writeResponse(c, r, 200, "ok") })
	h.setZone("zb")
	h.startInRegions()
	got := h.send("/again/x", "Id", "r0")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "")
	assert.Assert(t, strings.Contains(got.body, "region"), "%s", got.body)
	assert.Equal(t, elsewhere.requestCount.Load(), int64(0))
	assert.Assert(t, strings.Contains(h.logLines("r0"), "code=region_not_allowed"), "%s", h.logLines("r0"))
	assert.Equal(t, h.send("/public/x", "Key", "").status, http.StatusOK, "a caller without a home is served anywhere")
}
