package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// A request whose path holds an encoded slash must not be taken for one of the route that the
// decoded path would select: an unsafe request was repeated as a safe one.
func TestRequestWithAnEncodedSlashRunsOnce(t *testing.T) {
	r := startProcesses(t, Size{Gateways: 2, PlainServers: 3})
	c := r.newConfig(canaryService(0))
	c.Version++
	inner := c.Routes[2]
	inner.Prefix = unsafePath + "status/"
	c.Routes = append(c.Routes, inner)
	r.store.PutConfig(c)
	time.Sleep(time.Second)
	for _, s := range r.plainServers {
		s.SetFault(platformtest.ServerFault{DropResponse: 0.5})
	}
	for i := range 30 {
		request := newRequest()
		request.Path, request.RouteType = fmt.Sprintf("%sstatus%%2F%d", unsafePath, i), platformtest.Unsafe
		a := &attempt{organisation: permanentOrg, Request: request}
		caller := platformtest.NewCaller()
		_ = r.sendTo(t.Context(), caller, r.gateways[i%len(r.gateways)], a)
		caller.Close()
		assert.Check(t, len(a.ranOn) <= 1, "%s has run at %v", request.Path, a.ranOn)
	}
}
