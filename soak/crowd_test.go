//go:build crowd

package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/internal/crowd"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/platform/platformtest"
)

// The crowd of each test, and the machine of each process: its memory in megabytes and its
// descriptors. They were fixed on the code that did not bear the crowd.
const (
	crowdMembers = 600
	crowdTime    = 3 * time.Second
	// datagramTime is as long as a process keeps a peer that it has heard of once.
	datagramTime     = 8 * time.Second
	crowdMemoryMB    = 128
	crowdDescriptors = 512
	crowdHeaderBytes = 16 << 10
	// calmDescriptors bounds the descriptors once the crowd has gone.
	calmDescriptors = 100
	// calmTimeout only ends a test that would otherwise wait forever.
	calmTimeout = time.Minute
	// headerOverhead is the size of the header of an ordinary request without its filler, at
	// most.
	headerOverhead = 1 << 10
)

// crowdTargets starts, for each part of a test, a gateway and the agents of two ranks on small
// machines.
type crowdTargets struct{ daemon string }

func newCrowdTargets(t *testing.T) crowdTargets { return crowdTargets{daemon: buildDaemon(t)} }

func (c crowdTargets) start(t *testing.T) *testbed {
	t.Helper()
	return startProcessesOf(t, c.daemon, Size{
		Gateways: 1, Groups: 1, RanksPerGroup: 2, PlainServers: 1, MemoryMB: crowdMemoryMB, MaxFDs: crowdDescriptors,
		MaxHeaderBytes: crowdHeaderBytes, Metrics: true,
	})
}

// bear plays a crowd and checks what the process held, and that ordinary callers are served
// afterwards.
func (r *testbed) bear(t *testing.T, p *process, duration time.Duration, play func(ctx context.Context)) {
	t.Helper()
	observed := p.observe()
	endWatch := observed.WatchDescriptors()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	endRequests := r.sendMeanwhile(t, ctx)
	play(ctx)
	<-ctx.Done()
	most, peak := endWatch(), peakMegabytes(t, p)
	sent, served := endRequests()
	t.Logf("%s held at most %d MB and %d descriptors; %d of %d ordinary requests beside the crowd were served", p.settings.Name, peak, most, served, sent)
	r.assertNoneEnded(t, nil)
	assert.Check(t, peak < crowdMemoryMB, "%d MB", peak)
	assert.Check(t, most < crowdDescriptors, "%d descriptors", most)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := observed.Descriptors(); n >= calmDescriptors {
			return poll.Continue("%d descriptors are open", n)
		}
		return poll.Success()
	}, poll.WithTimeout(calmTimeout))
	r.assertServes(t)
	r.assertNoneEnded(t, nil)
	r.assertAnswersHTTP(t, p)
}

// sendMeanwhile sends ordinary requests one after the other until ctx ends, each on a new
// connection. The function that it returns returns how many were sent and served, which depends
// on the speed of the machine and is only reported.
func (r *testbed) sendMeanwhile(t *testing.T, ctx context.Context) (end func() (sent, served int)) {
	t.Helper()
	sent, served := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			sent++
			if r.gateways[0].sendOnce(t, newRequest()).Status == http.StatusOK {
				served++
			}
		}
	}()
	return func() (int, int) {
		<-done
		return sent, served
	}
}

// assertServes checks that the gateway serves an ordinary request, and one with the largest
// header and body of the configuration.
func (r *testbed) assertServes(t *testing.T) {
	t.Helper()
	largest := newRequest()
	largest.RouteType, largest.Path = platformtest.Unsafe, unsafePath
	largest.Filler, largest.Payload = crowdHeaderBytes-headerOverhead, []byte(strings.Repeat("x", platformtest.MaxBodyBytes))
	for name, request := range map[string]platformtest.Request{"ordinary request": newRequest(), "largest request": largest} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			request.AttemptID = newRequest().AttemptID
			if response := r.gateways[0].sendOnce(t, request); response.Status != http.StatusOK {
				return poll.Continue("%s: status %d, %v", name, response.Status, response.Err)
			}
			return poll.Success()
		}, poll.WithTimeout(calmTimeout))
	}
}

// assertAnswersHTTP checks that the process still answers at its other addresses.
func (r *testbed) assertAnswersHTTP(t *testing.T, p *process) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: calmTimeout}
	response, err := client.Get("http://" + p.settings.Metrics + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	if p.settings.Ready != "" {
		assert.Assert(t, platformtest.NewCaller().GatewayReady(t.Context(), p.settings.Ready))
	}
}

// bearAll plays each behaviour against an address of a new process.
func bearAll(t *testing.T, behaviours []crowd.Behaviour, target func(*testbed) (p *process, address string)) {
	targets := newCrowdTargets(t)
	for _, b := range behaviours {
		t.Run(b.Name, func(t *testing.T) {
			r := targets.start(t)
			p, address := target(r)
			r.bear(t, p, crowdTime, func(ctx context.Context) { crowd.Run(ctx, crowd.TCP(address), crowdMembers, b) })
		})
	}
}

// callerBehaviours are those of callers with a known key, whose requests are read.
func callerBehaviours() []crowd.Behaviour {
	request := newRequest()
	return crowd.HTTP(host, safePath, request.HeaderLines())
}

// Callers that send heads without end, or stop within them, ended a gateway, which ran out of
// memory, or took all of its descriptors.
func TestCrowdOfCallers(t *testing.T) {
	bearAll(t, callerBehaviours(), func(r *testbed) (*process, string) {
		return r.gateways[0].process, r.gateways[0].callersAddress
	})
}

// A crowd at the address of readiness probes must not end the gateway either.
func TestCrowdAtReadiness(t *testing.T) {
	bearAll(t, crowd.ShortHTTP(host, "/"), func(r *testbed) (*process, string) {
		return r.gateways[0].process, r.gateways[0].settings.Ready
	})
}

// A crowd at the address of metrics ended a gateway with few connections: its limit on a head
// was a megabyte.
func TestCrowdAtMetricsOfGateway(t *testing.T) {
	bearAll(t, crowd.ShortHTTP(host, "/metrics"), func(r *testbed) (*process, string) {
		return r.gateways[0].process, r.gateways[0].settings.Metrics
	})
}

// The same for a rank agent.
func TestCrowdAtMetricsOfRankAgent(t *testing.T) {
	bearAll(t, crowd.ShortHTTP(host, "/metrics"), func(r *testbed) (*process, string) {
		return r.agents[0], r.agents[0].settings.Metrics
	})
}

// peerBehaviours are those of strangers at the address for calls between gateways: messages that
// are announced as long as drpc allows and never end, and others.
func peerBehaviours() []crowd.Behaviour {
	frame := string(binary.AppendUvarint([]byte{1 << 1, 1, 1}, 4<<20)) // An invocation in pieces.
	pieces := string(binary.AppendUvarint([]byte{1 << 1, 1, 1}, 4096)) + strings.Repeat("x", 4096)
	return []crowd.Behaviour{
		{Name: "long frame that stops", First: frame + strings.Repeat("x", 4<<20-8)},
		{Name: "pieces that stop", First: strings.Repeat(pieces, 1000)},
		{Name: "bytes without end", Repeated: strings.Repeat("\xff\x7f", 2048)},
		{Name: "byte by byte", First: frame, Repeated: "x", Pause: 200 * time.Millisecond},
		{Name: "silence"},
	}
}

// Strangers at the address for calls between gateways made a gateway hold megabytes each.
func TestCrowdOfPeers(t *testing.T) {
	bearAll(t, peerBehaviours(), func(r *testbed) (*process, string) {
		return r.gateways[0].process, r.gateways[0].settings.Mesh
	})
}

// sendNewPeers sends datagrams that name peers which do not exist, each time others, from several
// senders.
func sendNewPeers(t *testing.T, ctx context.Context, address string) {
	t.Helper()
	const senders = 4
	var crowd sync.WaitGroup
	for sender := range senders {
		crowd.Go(func() { sendNewPeersOf(t, ctx, address, sender) })
	}
	crowd.Wait()
}

func sendNewPeersOf(t *testing.T, ctx context.Context, address string, sender int) {
	socket, err := net.Dial("udp", address)
	if !assert.Check(t, err == nil) {
		return
	}
	defer socket.Close()
	const peersPerDatagram, pause = 15, time.Millisecond
	name := fmt.Sprintf("%s-%d", strings.Repeat("x", 4000), sender)
	for n := 0; ctx.Err() == nil; n++ {
		packet := &meshpb.Packet{From: &meshpb.Peer{Id: fmt.Sprintf("%s-%d", name, n), Address: "127.0.0.1:9", Role: uint32(mesh.Gateway), Zone: "z", Incarnation: 1}}
		for i := range peersPerDatagram {
			packet.Peers = append(packet.Peers, &meshpb.Peer{Id: fmt.Sprintf("%s-%d-%d", name, n, i), Address: "127.0.0.1:9", Role: uint32(mesh.RankAgent), Zone: "z", Incarnation: 1})
		}
		payload, err := proto.Marshal(packet)
		assert.Check(t, err == nil)
		_, _ = socket.Write(payload) // A full socket drops it.
		time.Sleep(pause)
	}
}

// Datagrams that name ever new peers made each process keep all of them, and answer each.
func TestCrowdOfDatagrams(t *testing.T) {
	targets := newCrowdTargets(t)
	for role, target := range map[string]func(*testbed) *process{
		"gateway":    func(r *testbed) *process { return r.gateways[0].process },
		"rank agent": func(r *testbed) *process { return r.agents[0] },
	} {
		t.Run(role, func(t *testing.T) {
			r := targets.start(t)
			p := target(r)
			r.bear(t, p, datagramTime, func(ctx context.Context) { sendNewPeers(t, ctx, p.settings.Mesh) })
		})
	}
}
