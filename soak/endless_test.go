package soak

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/crowd"
	"bluebellwind.example/platform/platformtest"
)

// endlessAnswers are answers of a faulty process that go on until the caller closes: what is
// written first, and what is then written again and again.
var endlessAnswers = map[string][2]string{
	"head":            {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"},
	"line of a head":  {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", 4096)},
	"no head":         {"", strings.Repeat("\x00\xff", 2048)},
	"blank lines":     {"", strings.Repeat("\r\n", 2048)},
	"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Filler: x\r\n\r\n", 64)},
	"body":            {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[", strings.Repeat("[", 4096)},
	"long body":       {"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", strings.Repeat(" ", 4096)},
	"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("\"", 4096) + "\r\n"},
	"empty extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"},
	"event":           {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 4096)},
	"comments":        {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", strings.Repeat(":\n", 2048)},
	"failure":         {"HTTP/1.1 500 Internal Server Error\r\n\r\n", strings.Repeat("x", 4096)},
	"refusal":         {"HTTP/1.1 503 Service Unavailable\r\n\r\n", strings.Repeat("x", 4096)},
}

// endlessServer answers each connection with one of endlessAnswers.
type endlessServer struct {
	listener net.Listener
	answer   [2]string
	// echo returns lines to add to the head of the answer, from those of the request.
	echo func(request *http.Request) string
}

func startEndlessServer(t *testing.T, answer [2]string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &endlessServer{listener: l, answer: answer, echo: platformtest.EchoHeader}
	var conns sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		conns.Wait()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { s.serve(ctx, c) })
		}
	}()
	return s
}

func (s *endlessServer) address() string { return s.listener.Addr().String() }

func (s *endlessServer) serve(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	first := strings.Replace(s.answer[0], "\r\n", "\r\n"+s.echo(request), 1)
	for _, err = c.Write([]byte(first)); err == nil; _, err = c.Write([]byte(s.answer[1])) {
	}
}

// observe returns the running process, as seen from outside.
func (p *process) observe() crowd.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return crowd.Process{}
	}
	return crowd.Process{PID: p.cmd.Process.Pid}
}

// peakMegabytes returns the most memory that a process has held, which must not have ended.
func peakMegabytes(t *testing.T, p *process) int {
	t.Helper()
	peak := p.observe().PeakMB()
	assert.Assert(t, peak > 0, "%s has ended", p.settings.Name)
	return peak
}

// gatewayMemoryMB and agentMemoryMB are the limits of a gateway and of an agent on the
// platform.
const (
	gatewayMemoryMB = 284
	agentMemoryMB   = 152
)

// A server that sends bytes without end, in a head or a body, must neither use up the memory of
// the gateways that call it, nor end the requests of other callers.
func TestGatewaysBearServersThatSendBytesWithoutEnd(t *testing.T) {
	r := startProcesses(t, Size{Gateways: 1, PlainServers: 2, MemoryMB: gatewayMemoryMB})
	g := r.gateways[0]
	faulty := "faulty"
	c := r.newConfig(faulty)
	c.Version++
	c.Services[faulty] = nil
	c.Routes = append(c.Routes, platformtest.Route{
		Host: host, Prefix: "/stream-of-faulty/", Service: faulty, RouteType: platformtest.Stream, Timeout: streamRouteTimeout, Objective: streamTargetLatency,
	})
	r.store.PutConfig(c)
	var requests sync.WaitGroup
	for name, answer := range endlessAnswers {
		s := startEndlessServer(t, answer)
		r.store.PutServer(platformtest.ServerEntry{ID: strings.ReplaceAll(name, " ", "-"), Service: faulty, Address: s.address(), Zone: zone(0), Slots: plainSlots})
	}
	time.Sleep(500 * time.Millisecond)
	const callers = 20
	until := time.Now().Add(8 * time.Second)
	for range callers {
		for path, routeType := range map[string]platformtest.RouteType{canaryPath: platformtest.Safe, "/stream-of-faulty/": platformtest.Stream} {
			requests.Go(func() {
				for time.Now().Before(until) {
					request := newRequest()
					request.Path, request.RouteType = path, routeType
					_ = g.sendOnce(t, request)
				}
			})
		}
	}
	sound, served := 0, 0
	for time.Now().Before(until) {
		sound++
		if g.sendOnce(t, newRequest()).Status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	requests.Wait()
	r.assertNoneEnded(t, nil)
	peak := peakMegabytes(t, g.process)
	t.Logf("%d of %d sound requests were served, at most %d MB were held", served, sound, peak)
	assert.Assert(t, peak < gatewayMemoryMB, "%d MB", peak)
	assert.Assert(t, served >= sound*95/100, "%d of %d sound requests were served", served, sound)
}

// startReaders starts a gateway and an agent as processes. The faulty server is the store of both
// and the agent's model server. runIndex is as for newTestbed.
func startReaders(t *testing.T, daemon string, runIndex int, faulty *endlessServer) *testbed {
	t.Helper()
	dir := logDir(t, strings.ReplaceAll(t.Name(), "/", "-"))
	r := &testbed{size: Size{MemoryMB: gatewayMemoryMB}, history: newHistory(), store: platformtest.NewStore()}
	var err error
	r.addresses, err = newAddressAllocator(runIndex)
	assert.NilError(t, err)
	t.Cleanup(r.close)
	gateway, err := r.settings("gateway-0", 0)
	assert.NilError(t, err)
	gateway.Store = faulty.address()
	r.gateways = []*gatewayProcess{{process: newProcess(daemon, "gateway", dir, gateway)}}
	agent, err := r.settings("agent-0", 0)
	assert.NilError(t, err)
	agent.Seeds, agent.Store, agent.Server, agent.Service = r.seedAddresses(), faulty.address(), faulty.address(), modelService
	agent.MemoryMB, agent.Callers, agent.Ready = agentMemoryMB, "", ""
	r.agents = []*process{newProcess(daemon, "rank-agent", dir, agent)}
	assert.NilError(t, startAll(r.processes()))
	return r
}

// writeToPeer writes bytes to a gateway at the address for its peers, until the test ends or the
// gateway closes the connection.
func writeToPeer(t *testing.T, address string) {
	t.Helper()
	peer, err := net.Dial("tcp", address)
	for end := time.Now().Add(readyTimeout); err != nil && time.Now().Before(end); peer, err = net.Dial("tcp", address) {
		time.Sleep(readyPollInterval)
	}
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	go func() {
		bytes := []byte(strings.Repeat("\xff\x7f", 2048))
		for _, err := peer.Write(bytes); err == nil; _, err = peer.Write(bytes) {
		}
	}()
}

// A store, a model server beside its agent, and a peer that send bytes without end must not use
// up the memory of the processes that read them.
func TestReadersBearBytesWithoutEnd(t *testing.T) {
	daemon := buildDaemon(t)
	runIndex := 0
	for name, answer := range endlessAnswers {
		runIndex++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startReaders(t, daemon, runIndex, startEndlessServer(t, answer))
			writeToPeer(t, r.gateways[0].settings.Mesh)
			time.Sleep(6 * time.Second)
			gatewayPeak, agentPeak := peakMegabytes(t, r.gateways[0].process), peakMegabytes(t, r.agents[0])
			t.Logf("the gateway held at most %d MB, the agent %d MB", gatewayPeak, agentPeak)
			assert.Check(t, gatewayPeak < gatewayMemoryMB, "gateway: %d MB", gatewayPeak)
			assert.Check(t, agentPeak < agentMemoryMB, "agent: %d MB", agentPeak)
			r.assertNoneEnded(t, nil)
		})
	}
}
