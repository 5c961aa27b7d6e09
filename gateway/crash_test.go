package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
)

const (
	// crashNoticeDelay is how long after a crash the agent of the server tells of it, and
	// serverRestartTime how long the server is down.
	crashNoticeDelay  = 30 * time.Millisecond
	serverRestartTime = 300 * time.Millisecond
	crashingPart      = "bad"
)

// crashingServers adds servers that crash when they begin to answer a request with
// crashingPart. crashes counts such requests.
func crashingServers(h *harness, count int) (crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	for i := range count {
		var address string
		server := h.addServer(fmt.Sprint("s", i), func(c net.Conn, r *http.Request) {
			if !slices.Contains(strings.Split(r.Header.Get("Parts"), ","), crashingPart) {
				writeEvents(c, r, 1, 3, true)
				return
			}
			crashes.Add(1)
			writeEvents(c, r, 1, 0, false)
			time.AfterFunc(crashNoticeDelay, func() { reportUp(h, address, false) })
			time.AfterFunc(serverRestartTime, func() { reportUp(h, address, true) })
			c.Close()
		})
		address = server.Address
	}
	return crashes
}

func reportUp(h *harness, address string, up bool) {
	h.gateway.directory.UpdateStatus(address, backends.Status{Up: up, Open: true, ReceivedAt: time.Now()})
}

// Requests with one part in their prompts, no two alike, crashed one server after the
// other; the requests that shared their caller and their other parts were not served
// either.
func TestCrashingPromptPartIsStopped(t *testing.T) {
	h := newHarness(t)
	crashes := crashingServers(h, 6)
	h.start()
	for i := range 10 {
		got := h.send("/stream/x", "Id", fmt.Sprint("before", i), "Parts", "shared")
		assert.Equal(t, got.body, eventText(1, 3))
	}
	var served atomic.Int64
	var callers sync.WaitGroup
	const count = 40
	for i := range count {
		callers.Go(func() { h.send("/stream/x", "Id", fmt.Sprint("bad", i), "Parts", "shared,"+crashingPart) })
		callers.Go(func() {
			if got := h.send("/stream/x", "Id", fmt.Sprint("sound", i), "Parts", "shared"); got.body == eventText(1, 3) {
				served.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	assert.Check(t, crashes.Load() <= 3, "%d servers crashed", crashes.Load())
	assert.Check(t, served.Load() >= count*9/10, "%d of %d sound requests were served", served.Load(), count)
}

// A request was sent to the next server at once after it had crashed one.
func TestRequestThatCrashedAServerIsNotSentOnBeforeThatIsKnown(t *testing.T) {
	h := newHarness(t)
	crashes := crashingServers(h, 3)
	h.start()
	got := h.send("/stream/x", "Parts", crashingPart)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, crashes.Load(), int64(1))
}
