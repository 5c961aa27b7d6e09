package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// arrivalTimes records when requests reach a server.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// mostInASecond returns the greatest number of requests in any second.
func (a *arrivalTimes) mostInASecond() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i := range a.times {
		count := 0
		for _, t := range a.times[i:] {
			if t.Sub(a.times[i]) <= time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// A server that says that it is cold crashed under the requests that it got nevertheless.
func TestColdServerGetsNoMoreRequestsThanItsBudget(t *testing.T) {
	h := newHarness(t)
	h.service = ingress.Service{ColdPerSecond: 4, ColdStart: 3 * time.Second}
	var arrivals arrivalTimes
	h.addServer("cold", func(c net.Conn, r *http.Request) {
		arrivals.record()
		writeResponse(c, r, http.StatusOK, "ok", "Cold: 60000")
	})
	h.start()
	h.gateway.directory.SetColdBound(backends.ColdBound{Overshoot: 1.5, Slack: 2})
	refused := 0
	for i := range 120 {
		if got := h.send("/again/x", "Id", fmt.Sprint(i)); got.status != http.StatusOK {
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			refused++
		}
		time.Sleep(25 * time.Millisecond)
	}
	assert.Assert(t, refused > 0)
	most := arrivals.mostInASecond()
	assert.Assert(t, most <= 8 && most >= 6, "%d in a second", most)
	assert.Assert(t, strings.Contains(h.logOutput.String(), "is cold"), "%s", h.logOutput.String())
}

// Requests that one cold server does not take any more go to another server.
func TestRequestsBeyondABudgetGoToOtherServers(t *testing.T) {
	h := newHarness(t)
	h.service = ingress.Service{ColdPerSecond: 2, ColdStart: 3 * time.Second}
	var arrivals arrivalTimes
	h.addServer("cold", func(c net.Conn, r *http.Request) {
		arrivals.record()
		writeResponse(c, r, http.StatusOK, "ok", "Cold: 60000")
	})
	h.addServer("warm", func(c net.Conn, r *http.Request) { writeResponse(c, r, http.StatusOK, "ok") })
	h.start()
	for i := range 60 {
		assert.Equal(t, h.send("/again/x", "Id", fmt.Sprint(i)).status, http.StatusOK)
		time.Sleep(15 * time.Millisecond)
	}
	assert.Assert(t, arrivals.mostInASecond() <= 2, "%d in a second", arrivals.mostInASecond())
}

// An unreadable cold time is logged once for a server and changes nothing.
func TestUnreadableColdTimeIsLoggedOnce(t *testing.T) {
	h := newHarness(t)
	h.service = ingress.Service{ColdPerSecond: 1}
	h.addServer("a", func(c net.Conn, r *http.Request) {
		writeResponse(c, r, http.StatusOK, "ok", "Malformed-Cold: Cold-Remaining")
	})
	h.start()
	sendMany(t, h, "/again/x", 5)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, strings.Count(h.logOutput.String(), "header_unreadable"), 1)
	known, _ := h.gateway.directory.ColdServers(time.Now())
	assert.Equal(t, known, 0)
}
