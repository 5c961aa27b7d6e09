package soak

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// Requests whose bodies reach a stopping gateway late in its grace period must be refused without
// having run: they were passed on, and cut at the end. Those that came whole soon after the stop
// signal must be served.
func TestRequestsLateInAPlannedStopAreAnswered(t *testing.T) {
	const (
		// excusedAfter is the time after the stop signal from which on a request that is passed
		// on must be answered by its server.
		excusedAfter = 3 * time.Second
		serviceTime  = 1500 * time.Millisecond
		patience     = 6 * time.Second
	)
	r := startProcesses(t, Size{Gateways: 1, PlainServers: 1})
	r.plainServers[0].SetFault(platformtest.ServerFault{Slowdown: float64(serviceTime / plainServiceTime)})
	c := r.newConfig(canaryService(0))
	c.Version++
	for i := range c.Routes {
		c.Routes[i].Timeout = patience
	}
	r.store.PutConfig(c)
	time.Sleep(time.Second)

	gateway := r.gateways[0]
	caller := platformtest.NewCaller()
	defer caller.Close()
	var requests sync.WaitGroup
	send := func(bodyDelay time.Duration) {
		request := newRequest()
		request.Path, request.RouteType, request.Timeout, request.BodyDelay = unsafePath, platformtest.Unsafe, patience, bodyDelay
		a := &attempt{organisation: permanentOrg, Request: request}
		requests.Go(func() { _ = r.sendTo(t.Context(), caller, gateway, a) })
	}
	stoppedAt := time.Now()
	gateway.signal(syscall.SIGTERM)
	grace := gateway.settings.Bounds.Grace()
	for time.Since(stoppedAt) < grace {
		age := time.Since(stoppedAt)
		if age < time.Second {
			send(0)
		}
		if age < 2*time.Second {
			send(excusedAfter + 200*time.Millisecond - age)
		}
		time.Sleep(150 * time.Millisecond)
	}
	requests.Wait()
	<-gateway.done()
	assert.Assert(t, time.Since(stoppedAt) < grace+patience)

	late, served := 0, 0
	for _, a := range r.history.attempts {
		switch {
		case a.BodyDelay > 0:
			late++
			assert.Check(t, a.response.Status == http.StatusServiceUnavailable, "a request whose body arrived late got %d, run at %d servers: %v", a.response.Status, len(a.ranOn), a.response.Err)
			assert.Check(t, len(a.ranOn) == 0, "a request whose body arrived late has run")
		case a.response.Status == http.StatusOK:
			served++
		default:
			assert.Equal(t, a.response.Status, http.StatusServiceUnavailable, "%v", a.response.Err)
			assert.Equal(t, len(a.ranOn), 0, "a request that was refused has run")
		}
	}
	assert.Assert(t, late > 5 && served > 3, "%d requests with late bodies, %d requests served", late, served)
}
