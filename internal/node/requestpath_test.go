package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/platform/platformtest"
)

// The load of TestRequestPathCost, at a load factor of 1.
const (
	pathGroups, pathRanksPerGroup = 2, 32
	pathGateways                  = 60
	pathRequestsPerSecond         = 4.4
	pathStatusesPerSecond         = 210
	pathHellosPerSecond           = 8
	pathMeanEvents                = 23
	pathPassTime                  = 100 * time.Millisecond
	pathWarmUp                    = 4 * time.Second
	pathKeepAlive                 = 15 * time.Second
	pathHost                      = "path.example"
	pathPrefix                    = "/draft/"
	pathService                   = "pool"
	pathKey                       = "key-path"
)

// pathCost is what the gateway process used while it was measured.
type pathCost struct {
	Seconds       float64
	UserSeconds   float64
	SystemSeconds float64
	// VoluntarySwitches is the number of times that a thread gave up its processor to wait.
	VoluntarySwitches int64
	// Reads and Writes are the system calls that read and write files and sockets, without
	// those that send and receive datagrams.
	Reads, Writes  int64
	Allocations    int64
	AllocatedBytes int64
	Collections    int64
}

// TestRequestPathCost measures the processor time and system calls per request of one gateway
// process before stand-in model servers. It runs for BBW_PATH seconds, with BBW_PATH_LOAD
// times the usual requests, BBW_PATH_STATUSES statuses a second and BBW_PATH_PROCS as GOMAXPROCS; BBW_PATH_PROFILE names the file
// for the processor profile:
//
//	BBW_PATH=20 go test -count=1 -v -run TestRequestPathCost ./internal/node
func TestRequestPathCost(t *testing.T) {
	seconds, err := strconv.ParseFloat(os.Getenv("BBW_PATH"), 64)
	if err != nil {
		t.Skip("set BBW_PATH to the number of seconds to measure")
	}
	load := 1.0
	if text := os.Getenv("BBW_PATH_LOAD"); text != "" {
		load, err = strconv.ParseFloat(text, 64)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	world := newPathWorld(t, ctx)
	settings := world.startGateway(t, seconds)
	go world.sendStatuses(ctx, settings.Mesh)
	caller := platformtest.NewCaller()
	defer caller.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if caller.GatewayReady(ctx, settings.Ready) {
			return poll.Success()
		}
		return poll.Continue("the gateway is not ready yet")
	}, poll.WithTimeout(10*time.Second))

	var sending sync.WaitGroup
	sendUntil := time.Now().Add(pathWarmUp + time.Duration((seconds+1)*float64(time.Second)))
	go func() {
		time.Sleep(pathWarmUp)
		world.counting.Store(true)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		world.counting.Store(false)
	}()
	// The same seed gives the same requests in each run, so that runs can be compared.
	rng := rand.New(rand.NewPCG(1, 1))
	for at := time.Now(); at.Before(sendUntil); at = at.Add(time.Duration(rng.ExpFloat64() / (pathRequestsPerSecond * load) * float64(time.Second))) {
		time.Sleep(time.Until(at))
		sending.Go(func() { world.request(ctx, caller, settings.Callers) })
	}
	var cost pathCost
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := os.ReadFile(world.result)
		if err != nil || json.Unmarshal(text, &cost) != nil {
			return poll.Continue("the gateway has not reported yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	sending.Wait()
	world.report(t, &cost)
}

// pathWorld is what surrounds the measured gateway.
type pathWorld struct {
	result string
	store  *platformtest.Store
	groups []*platformtest.Group
	// addresses are those of the servers, by ID.
	addresses map[string]string
	counting  atomic.Bool
	// requests, failed, events and connections are counted while counting is set.
	requests, failed, events, connections atomic.Int64
	sequence                              atomic.Int64
	started                               time.Time
}

// pathRecorder records nothing.
type pathRecorder struct{}

func (pathRecorder) RecordArrival(platformtest.Arrival) {}
func (pathRecorder) RecordRun(string, string)           {}
func (pathRecorder) RecordUnframed(string, string)      {}
func pathServer(group, rank int) string                 { return fmt.Sprintf("rank-%d-%02d", group, rank) }
func (w *pathWorld) membership(g, k int) *platformtest.GroupMembership {
	return &platformtest.GroupMembership{Name: fmt.Sprintf("g%d", g), Epoch: 1, Rank: k, Size: pathRanksPerGroup, Open: true}
}

func newPathWorld(t *testing.T, ctx context.Context) *pathWorld {
	w := &pathWorld{result: filepath.Join(t.TempDir(), "cost.json"), store: platformtest.NewStore(), addresses: make(map[string]string), started: time.Now()}
	shape := platformtest.GroupShape{
		Ranks: pathRanksPerGroup, LayerSets: 1, ExpertsPerSet: 64, ExpertsPerRank: 3, Slots: 10, PassTime: pathPassTime,
		PrepareTime: time.Second, GroupFormationTime: time.Second, AbortDelay: time.Second, MeanEvents: pathMeanEvents,
	}
	for g := range pathGroups {
		var ids []string
		for k := range pathRanksPerGroup {
			ids = append(ids, pathServer(g, k))
		}
		group := platformtest.NewGroup(fmt.Sprintf("g%d", g), pathService, ids, shape, pathRecorder{}, func(*platformtest.Rank, platformtest.GroupMembership) {})
		for k, rank := range group.Ranks() {
			address := w.serve(t, rank)
			w.addresses[rank.ID] = address
			w.store.PutServer(platformtest.ServerEntry{ID: rank.ID, Service: pathService, Address: address, Zone: "z", Slots: shape.Slots, Group: w.membership(g, k)})
		}
		w.groups = append(w.groups, group)
		go group.Run(ctx)
	}
	w.store.PutConfig(platformtest.Config{
		Version: 1, Services: map[string]*platformtest.GroupShape{pathService: &shape}, Keys: map[string][]string{"north": {pathKey}},
		Routes: []platformtest.Route{{
			Host: pathHost, Prefix: pathPrefix, Service: pathService, RouteType: platformtest.Stream, Timeout: 10 * time.Second, Objective: time.Second,
		}},
	})
	return w
}

// serve serves a rank, which states how long it keeps idle connections, and counts its
// connections.
func (w *pathWorld) serve(t *testing.T, rank http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, IdleTimeout: pathKeepAlive,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(pathKeepAlive.Seconds())))
			rank.ServeHTTP(rw, r)
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew && w.counting.Load() {
				w.connections.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(l) }() // Serve returns an error when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startGateway starts the gateway in a process of its own.
func (w *pathWorld) startGateway(t *testing.T, seconds float64) config.Node {
	handler := &http.Server{Handler: w.store.Handler("gateway"), ReadHeaderTimeout: time.Minute}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = handler.Serve(l) }() // As in serve.
	t.Cleanup(func() { _ = handler.Close() })
	settings := config.Node{
		Name: "gateway-0", Zone: "z", Mesh: freePathAddress(t, "udp"), Callers: freePathAddress(t, "tcp"), Ready: freePathAddress(t, "tcp"),
		Store: l.Addr().String(), MemoryMB: 128, MaxProcs: 1, Log: config.Log{Level: config.DefaultLogLevel},
		Bounds: config.Bounds{RevokeMS: 5000, RetryRatio: 0.2, RetryFree: 30, RetryWindowS: 10, GraceS: 5},
	}
	text, err := yaml.Marshal(settings)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "gateway.yaml")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	cmd := exec.Command(os.Args[0], "-test.run=^TestRequestPathGateway$", "-test.timeout=10m") //nolint:gosec // It is this program.
	cmd.Env = append(os.Environ(), "BBW_PATH_SETTINGS="+file, "BBW_PATH_RESULT="+w.result, fmt.Sprintf("BBW_PATH=%g", seconds))
	if procs := os.Getenv("BBW_PATH_PROCS"); procs != "" {
		cmd.Env = append(cmd.Env, "GOMAXPROCS="+procs)
	}
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // It fails only if the process has ended.
		_ = cmd.Wait()
	})
	return settings
}

// freePathAddress returns an address on which nothing listens.
func freePathAddress(t *testing.T, network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// sendStatuses sends the statuses of all servers, and the greetings of other processes, as
// agents and gateways do.
func (w *pathWorld) sendStatuses(ctx context.Context, to string) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	go func() {
		for buffer := make([]byte, 64<<10); ctx.Err() == nil; {
			_, _, _ = socket.ReadFrom(buffer) // What the gateway sends is not needed.
		}
	}()
	target, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		panic(err)
	}
	send := func(packet *meshpb.Packet) {
		payload, err := proto.Marshal(packet)
		if err != nil {
			panic(err)
		}
		_, _ = socket.WriteTo(payload, target) // The gateway may not have started yet.
	}
	own := socket.LocalAddr().String()
	agent := func(id string) *meshpb.Peer {
		return &meshpb.Peer{Id: "agent-" + id, Address: own, Role: uint32(mesh.RankAgent), Zone: "z", Incarnation: 1}
	}
	gateway := func(i int) *meshpb.Peer {
		return &meshpb.Peer{Id: fmt.Sprintf("gateway-%d", i), Address: own, Role: uint32(mesh.Gateway), Zone: "z", Incarnation: 1}
	}
	perSecond := pathStatusesPerSecond
	if n, err := strconv.Atoi(os.Getenv("BBW_PATH_STATUSES")); err == nil {
		perSecond = n
	}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		g, k := n%pathGroups, n/pathGroups%pathRanksPerGroup
		id := pathServer(g, k)
		send(&meshpb.Packet{From: agent(id), Status: &meshpb.RankStatus{
			Server: w.addresses[id], Up: true, Group: fmt.Sprintf("g%d", g), Epoch: 1, Rank: uint32(k), Size: pathRanksPerGroup, Open: true,
			Step: uint64(time.Since(w.started) / pathPassTime), Map: 1, Prepared: 1, Running: uint32(2 + rand.IntN(4)), PaceMilli: 1000,
			Sequence: uint64(n), PassUs: uint32(pathPassTime.Microseconds()),
		}})
		if statusesPerHello := max(1, perSecond/pathHellosPerSecond); n%statusesPerHello == 0 {
			i := n / statusesPerHello
			hello := &meshpb.Packet{From: gateway(1 + i%(pathGateways-1))}
			for j := range 24 {
				hello.Peers = append(hello.Peers, gateway(1+(i*24+j)%(pathGateways-1)))
			}
			send(hello)
		}
	}
}

func (w *pathWorld) request(ctx context.Context, caller *platformtest.Caller, address string) {
	n := w.sequence.Add(1)
	r := platformtest.Request{
		AttemptID: fmt.Sprintf("%s%08d", strings.Repeat("a", 50), n), Host: pathHost, Path: pathPrefix + "x", APIKey: pathKey,
		RouteType: platformtest.Stream, Timeout: 9500 * time.Millisecond, Model: "m",
		Prompt: []platformtest.PromptPart{{ID: "ab12", Tokens: 60}, {ID: fmt.Sprintf("%x", n), Tokens: 40}},
	}
	response := caller.Do(ctx, address, r)
	if !w.counting.Load() {
		return
	}
	w.requests.Add(1)
	w.events.Add(int64(strings.Count(string(response.Body), "\n\n")))
	if response.Err != nil || response.Status != http.StatusOK {
		w.failed.Add(1)
	}
}

// report logs the cost, per second and per request.
func (w *pathWorld) report(t *testing.T, c *pathCost) {
	n := float64(w.requests.Load())
	t.Logf("%.0f requests in %.0f s, %d failed, %.1f events each; connections opened: %.2f a request",
		n, c.Seconds, w.failed.Load(), float64(w.events.Load())/n, float64(w.connections.Load())/n)
	t.Logf("processor time: %.2f%% of a core, %.2f ms a request (user %.2f, system %.2f)",
		100*(c.UserSeconds+c.SystemSeconds)/c.Seconds, 1000*(c.UserSeconds+c.SystemSeconds)/n, 1000*c.UserSeconds/n, 1000*c.SystemSeconds/n)
	t.Logf("a request: %.0f reads, %.0f writes, %.0f waits of threads, %.0f allocations, %.0f KB; %.2f collections/s",
		float64(c.Reads)/n, float64(c.Writes)/n, float64(c.VoluntarySwitches)/n,
		float64(c.Allocations)/n, float64(c.AllocatedBytes)/n/1024, float64(c.Collections)/c.Seconds)
	assert.Equal(t, w.failed.Load(), int64(0))
}

// TestRequestPathGateway is the gateway process of TestRequestPathCost.
func TestRequestPathGateway(t *testing.T) {
	settings := os.Getenv("BBW_PATH_SETTINGS")
	if settings == "" {
		t.Skip("it is started by TestRequestPathCost")
	}
	seconds, err := strconv.ParseFloat(os.Getenv("BBW_PATH"), 64)
	assert.NilError(t, err)
	go measurePath(time.Duration(seconds * float64(time.Second)))
	assert.NilError(t, RunGateway(settings))
}

// measurePath measures this process after the warm-up and writes the result. A profile is
// taken only if it is asked for, because it costs processor time itself.
func measurePath(duration time.Duration) {
	time.Sleep(pathWarmUp)
	if name := os.Getenv("BBW_PATH_PROFILE"); name != "" {
		out, err := os.Create(name) //nolint:gosec // The name is given by whoever runs the test.
		if err != nil {
			panic(err)
		}
		runtime.SetCPUProfileRate(500)
		if err := pprof.StartCPUProfile(out); err != nil {
			panic(err)
		}
		defer pprof.StopCPUProfile()
	}
	began := time.Now()
	before := usedSoFar()
	time.Sleep(duration)
	after := usedSoFar()
	after.Seconds = time.Since(began).Seconds()
	after.UserSeconds -= before.UserSeconds
	after.SystemSeconds -= before.SystemSeconds
	after.VoluntarySwitches -= before.VoluntarySwitches
	after.Reads -= before.Reads
	after.Writes -= before.Writes
	after.Allocations -= before.Allocations
	after.AllocatedBytes -= before.AllocatedBytes
	after.Collections -= before.Collections
	text, err := json.Marshal(after)
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(os.Getenv("BBW_PATH_RESULT"), text, 0o600); err != nil {
		panic(err)
	}
}

// usedSoFar returns what this process has used since its start.
func usedSoFar() pathCost {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c := pathCost{
		UserSeconds:       time.Duration(usage.Utime.Nano()).Seconds(),
		SystemSeconds:     time.Duration(usage.Stime.Nano()).Seconds(),
		VoluntarySwitches: usage.Nvcsw,
		Allocations:       int64(memory.Mallocs),
		AllocatedBytes:    int64(memory.TotalAlloc),
		Collections:       int64(memory.NumGC),
	}
	c.Reads, c.Writes = ownSystemCalls()
	return c
}

// ownSystemCalls returns the numbers of system calls that read and wrote, as the kernel
// counts them for this process.
func ownSystemCalls() (reads, writes int64) {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		n, _ := strconv.ParseInt(value, 10, 64) // Lines that are not needed may have other values.
		switch name {
		case "syscr":
			reads = n
		case "syscw":
			writes = n
		}
	}
	return reads, writes
}
