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
	"bluebellwind.example/quarantine"
)

const (
	// agentInterval is the time between two reports of the agent of a server.
	agentInterval = 30 * time.Millisecond
	// serverRestartTime is how long a server that crashed is down.
	serverRestartTime = 300 * time.Millisecond
	crashingPart      = "bad"
)

// crashingServers adds servers with agents that crash when they begin to answer a request
// with crashingPart. crashes counts such requests.
func crashingServers(h *harness, count int) (crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	for i := range count {
		up := &atomic.Bool{}
		up.Store(true)
		server := h.addServer(fmt.Sprint("s", i), func(c net.Conn, r *http.Request) {
			if !slices.Contains(strings.Split(r.Header.Get("Parts"), ","), crashingPart) {
				writeEvents(c, r, 1, 3, true)
				return
			}
			crashes.Add(1)
			writeEvents(c, r, 1, 0, false)
			up.Store(false)
			time.AfterFunc(serverRestartTime, func() { up.Store(true) })
			c.Close()
		})
		h.agents = append(h.agents, func() { reportUp(h, server.Address, up.Load()) })
	}
	return crashes
}

// startAgents lets the agents of servers report now and every agentInterval.
func (h *harness) startAgents() {
	ended := make(chan struct{})
	h.t.Cleanup(func() { close(ended) })
	report := func() {
		for _, agent := range h.agents {
			agent()
		}
	}
	report()
	go func() {
		for ticker := time.NewTicker(agentInterval); ; {
			select {
			case <-ended:
				return
			case <-ticker.C:
				report()
			}
		}
	}()
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
	h.startAgents()
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
	h.startAgents()
	got := h.send("/stream/x", "Parts", crashingPart)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, crashes.Load(), int64(1))
}

// crashingPlainServers adds servers without agents that crash when they begin to run a
// request with the body that h.send sends, unless its Parts header is "sound". Their
// addresses then refuse connections for serverRestartTime. crashes counts such requests.
func crashingPlainServers(h *harness, count int) (crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	for i := range count {
		h.addRestartingServer(fmt.Sprint("p", i), func(c net.Conn, r *http.Request) (crash bool) {
			if r.Header.Get("Parts") == "sound" {
				writeResponse(c, r, http.StatusOK, "ok")
				return false
			}
			crashes.Add(1)
			return true
		})
	}
	return crashes
}

// addRestartingServer adds a server that handles each request with handle. When that
// reports a crash, the server closes all its connections and its address refuses new
// ones for serverRestartTime.
func (h *harness) addRestartingServer(id string, handle func(c net.Conn, r *http.Request) (crash bool)) {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	address := l.Addr().String()
	ended := make(chan struct{})
	h.t.Cleanup(func() { close(ended) })
	h.servers = append(h.servers, backends.Server{ID: id, Service: "svc", Address: address, Zone: "z", Slots: 4})
	go func() {
		for {
			serveUntilCrash(l, ended, handle)
			select {
			case <-ended:
				return
			case <-time.After(serverRestartTime):
			}
			// Another socket may have got the port meanwhile, until its connection ends.
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				if l, err = net.Listen("tcp", address); err == nil {
					break
				}
				if time.Now().After(end) {
					h.t.Errorf("restart server: %v", err)
					return
				}
			}
		}
	}()
}

// serveUntilCrash serves connections until a request crashes the server or ended is
// closed. It then closes the listener and all connections.
func serveUntilCrash(l net.Listener, ended <-chan struct{}, handle func(c net.Conn, r *http.Request) (crash bool)) {
	var mu sync.Mutex
	var conns []net.Conn
	crashed := make(chan struct{}, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			server := &stubServer{}
			go server.serve(c, func(c net.Conn, r *http.Request) {
				if handle(c, r) {
					select {
					case crashed <- struct{}{}:
					default:
					}
				}
			})
		}
	}()
	select {
	case <-crashed:
	case <-ended:
	}
	_ = l.Close()
	mu.Lock()
	defer mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// The repeats of a plain request crashed one server after the other: no gateway noticed
// that the servers, which have no agents, had crashed, since they were back before
// another request met their addresses.
func TestRepeatsOfARequestThatCrashesPlainServersAreStopped(t *testing.T) {
	h := newHarness(t)
	crashes := crashingPlainServers(h, 5)
	h.start()
	for range 6 {
		h.send("/again/x")
		time.Sleep(2 * serverRestartTime)
	}
	assert.Check(t, crashes.Load() <= 3, "%d servers crashed", crashes.Load())
	got := h.send("/again/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, h.send("/again/y", "Parts", "sound").status, http.StatusOK)
}

// One request that may be repeated crashed a server with each of its attempts, since it
// did not wait until it was known that the last one had crashed.
func TestPlainRequestIsNotSentToAFourthServerAfterThreeCrashes(t *testing.T) {
	h := newHarness(t)
	h.maxAttempts = 4
	crashes := crashingPlainServers(h, 4)
	h.start()
	got := h.send("/again/x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, crashes.Load(), int64(3))
}

// A server that closes connections but accepts new ones has not crashed.
func TestRequestsOfAServerThatOnlyClosesConnectionsAreNotHeld(t *testing.T) {
	h := newHarness(t)
	h.maxAttempts = 1
	h.addServer("a", func(c net.Conn, _ *http.Request) { _ = c.Close() })
	h.start()
	for range 4 {
		got := h.send("/again/x")
		assert.Assert(t, got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable, "%d", got.status)
	}
	time.Sleep(crashProbeDelays[len(crashProbeDelays)-1] + 2*crashPollInterval)
	assert.Equal(t, h.gateway.quarantine.HeldCount(time.Now()), 0)
	assert.Assert(t, strings.Contains(h.logLines("1"), "event=server_not_crashed"))
}

// streamsThatCrashLate adds servers without agents whose streams of 12 events go on after the
// last event that the caller has. The servers crash after the given number of events of a
// stream whose request has the Parts header "deadly". crashes counts these.
func streamsThatCrashLate(h *harness, count, events int) (crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	for i := range count {
		h.addRestartingServer(fmt.Sprint("p", i), func(c net.Conn, r *http.Request) (crash bool) {
			first := 1
			if _, err := fmt.Sscan(r.Header.Get("Last"), &first); err == nil {
				first++
			}
			if r.Header.Get("Parts") == "deadly" {
				writeEvents(c, r, first, first+events-1, false)
				time.Sleep(20 * time.Millisecond)
				crashes.Add(1)
				return true
			}
			writeEvents(c, r, first, 12, true)
			return false
		})
	}
	return crashes
}

// A stream that crashed its servers after its beginning was never held: each attempt of the
// caller crashed two servers.
func TestStreamThatCrashesServersAfterItsBeginningIsStopped(t *testing.T) {
	for _, events := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			h := newHarness(t)
			crashes := streamsThatCrashLate(h, 6, events)
			h.start()
			for i := range 6 {
				_ = h.send("/stream/x", "Id", fmt.Sprint(i), "Parts", "deadly")
				time.Sleep(serverRestartTime)
			}
			assert.Check(t, crashes.Load() <= 3, "%d servers crashed", crashes.Load())
			assert.Equal(t, h.send("/stream/y", "Parts", "sound").body, eventText(1, 12))
		})
	}
}

// A stream whose server crashes once, for whatever reason, must go on at another server at
// once, also if requests with a part of its prompt are held.
func TestStreamPastItsBeginningGoesOnAfterACrash(t *testing.T) {
	h := newHarness(t)
	var crashed atomic.Bool
	for i := range 2 {
		h.addRestartingServer(fmt.Sprint("p", i), func(c net.Conn, r *http.Request) (crash bool) {
			if crashed.CompareAndSwap(false, true) {
				writeEvents(c, r, 1, 5, false)
				time.Sleep(20 * time.Millisecond)
				return true
			}
			writeEvents(c, r, 6, 12, true)
			return false
		})
	}
	h.start()
	part := (&Call{SharedParts: []string{"shared"}}).partTraits()
	now := time.Now()
	h.gateway.quarantine.RecordCrash(part, quarantine.Strike{Server: 1, At: now}, now)
	time.AfterFunc(10*time.Millisecond, func() {
		h.gateway.quarantine.RecordCrash(part, quarantine.Strike{Server: 2, At: now}, now)
	})
	got := h.send("/stream/x", "Parts", "shared")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 12))
}
