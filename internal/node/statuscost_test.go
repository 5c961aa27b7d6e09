package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
	"bluebellwind.example/rankagent"
)

const (
	costGateways      = 60
	costGroups        = 2
	costRanks         = 32
	costWarmUp        = 12 * time.Second
	costDuration      = 20 * time.Second
	costRequestPeriod = time.Second * 10 / 44 // At the measured gateway.
	costZones         = 3
	costGroupName     = "g0-%d"
)

// costPlan tells the processes of a measurement who takes part.
type costPlan struct {
	Gateways, Agents []string // Addresses.
	Dir              string
	// FailureZones says that the agents are in the zones of failureRig.
	FailureZones bool
}

// zone returns the zone of agent i.
func (p *costPlan) zone(i int) string {
	if p.FailureZones {
		return failureZone(i)
	}
	return costZone(i)
}

// costResult is what one process used while it was measured.
type costResult struct {
	Role              string
	CPUMillisPerS     float64
	SystemMillisPerS  float64
	SwitchesPerS      float64
	SentPerS, SentKBs float64
	RecvPerS, RecvKBs float64
	StatusAgeMs       float64 `json:",omitempty"`
	OldestStatusMs    float64 `json:",omitempty"`
}

// TestStatusCost measures what a gateway spends on the statuses of 64 agents, and an agent
// on sending them to 60 gateways. Both run in processes of their own; all others share
// one. It runs only if BBW_STATUS_COST names a directory, to which the profiles are
// written. BBW_WITHOUT=relays measures gateways that do not subscribe.
func TestStatusCost(t *testing.T) {
	dir := os.Getenv("BBW_STATUS_COST")
	if dir == "" {
		t.Skip("BBW_STATUS_COST names no directory for the profiles")
	}
	if text := os.Getenv("BBW_STATUS_COST_PLAN"); text != "" {
		var plan costPlan
		assert.NilError(t, json.Unmarshal([]byte(text), &plan))
		measureCost(t, plan, os.Getenv("BBW_STATUS_COST_ROLE"))
		return
	}
	plan := costPlan{Gateways: loopbackAddresses(0, costGateways), Agents: loopbackAddresses(1, costGroups*costRanks), Dir: dir}
	encoded, err := json.Marshal(plan)
	assert.NilError(t, err)
	var commands []*exec.Cmd
	// The agents of ranks 0 and 4 are candidates, that of rank 1 is not.
	for _, role := range []string{"gateway", "candidate", "agent"} {
		c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestStatusCost$", "-test.v")
		c.Env = append(os.Environ(), "BBW_STATUS_COST_PLAN="+string(encoded), "BBW_STATUS_COST_ROLE="+role, "GOMAXPROCS=1")
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		assert.NilError(t, c.Start())
		commands = append(commands, c)
	}
	for i := 1; i < costGateways; i++ {
		startCostGateway(t, plan, i)
	}
	for i := range plan.Agents {
		if i != 1 && i != 4 {
			startCostAgent(t, plan, i)
		}
	}
	for _, c := range commands {
		assert.NilError(t, c.Wait())
	}
}

// loopbackAddresses returns addresses with an IP each, outside the range of ports that the
// system hands out: a port that was free may be taken before its process opens it.
func loopbackAddresses(network, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("127.77.%d.%d:20177", network, i+1))
	}
	return out
}

func measureCost(t *testing.T, plan costPlan, role string) {
	debug.SetGCPercent(gcPercent)
	var node *mesh.Node
	var directory *backends.Directory
	switch role {
	case "gateway":
		node, directory = startCostGateway(t, plan, 0)
		go serveCostRequests(t.Context(), directory)
	case "candidate":
		node = startCostAgent(t, plan, 4)
	case "agent":
		node = startCostAgent(t, plan, 1)
	}
	time.Sleep(costWarmUp)
	profile, err := os.Create(filepath.Join(plan.Dir, role+".pprof"))
	profiling := os.Getenv("BBW_STATUS_COST_PROFILE") != ""
	assert.NilError(t, err)
	if profiling {
		assert.NilError(t, pprof.StartCPUProfile(profile))
	}
	before, usedBefore := node.Traffic(), usage(t)
	ages, oldest := sampleAges(directory, costDuration)
	used, after := usage(t), node.Traffic()
	if profiling {
		pprof.StopCPUProfile()
	}
	assert.NilError(t, profile.Close())
	seconds := costDuration.Seconds()
	result := costResult{
		Role:             role,
		CPUMillisPerS:    float64((cpuOf(used) - cpuOf(usedBefore)).Microseconds()) / 1000 / seconds,
		SystemMillisPerS: float64(used.Stime.Nano()-usedBefore.Stime.Nano()) / 1e6 / seconds,
		SwitchesPerS:     float64(used.Nvcsw-usedBefore.Nvcsw) / seconds,
		SentPerS:         float64(after.SentDatagrams-before.SentDatagrams) / seconds,
		SentKBs:          float64(after.SentBytes-before.SentBytes) / 1000 / seconds,
		RecvPerS:         float64(after.ReceivedDatagrams-before.ReceivedDatagrams) / seconds,
		RecvKBs:          float64(after.ReceivedBytes-before.ReceivedBytes) / 1000 / seconds,
		StatusAgeMs:      ages, OldestStatusMs: oldest,
	}
	text, err := json.Marshal(result)
	assert.NilError(t, err)
	fmt.Println("status cost:", string(text))
}

// sampleAges waits for a duration and returns the mean age of the statuses in a directory,
// in milliseconds, and the greatest age seen.
func sampleAges(directory *backends.Directory, duration time.Duration) (mean, oldest float64) {
	deadline := time.Now().Add(duration)
	var sum float64
	n := 0
	for time.Now().Before(deadline) {
		time.Sleep(170 * time.Millisecond)
		if directory == nil {
			continue
		}
		now := time.Now()
		for _, s := range directory.Servers() {
			if status, known := directory.StatusOf(s.ID); known {
				age := float64(now.Sub(status.ReceivedAt).Microseconds()) / 1000
				sum += age
				oldest = max(oldest, age)
				n++
			}
		}
	}
	return sum / float64(max(n, 1)), oldest
}

func usage(t *testing.T) syscall.Rusage {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return u
}

func cpuOf(u syscall.Rusage) time.Duration {
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func costLogger() *logging.Bounded { return logging.NewBounded(io.Discard, "info") }

func costSeeds(plan costPlan) []string { return slices.Concat(plan.Gateways[:2], plan.Agents[:2]) }

func costZone(i int) string { return fmt.Sprintf("z%d", i%costZones) }

func costServer(i int) string { return fmt.Sprintf("10.0.0.%d:8000", i+1) }

func costDirectory(zone string, seed uint64) *backends.Directory {
	directory := backends.NewDirectory(zone, seed)
	for i := range costGroups * costRanks {
		directory.Put(backends.Server{
			ID: fmt.Sprintf("s%d", i), Service: "svc", Address: costServer(i), Zone: costZone(i), Slots: 10, Open: true, Group: costGroup(i),
		})
	}
	return directory
}

func costGroup(i int) backends.Group {
	return backends.Group{Name: fmt.Sprintf(costGroupName, i/costRanks), Epoch: 1, Rank: i % costRanks, Size: costRanks}
}

// serveCostRequests chooses servers at the rate of the measured gateway's requests.
func serveCostRequests(ctx context.Context, directory *backends.Directory) {
	engine := &ingress.Engine{Slots: 10, Step: 5 * time.Millisecond, AnswerTokens: 140, Stride: 5, PrefillPerSecond: 60_000}
	service := &ingress.Service{Name: "svc", Engine: engine}

	for ctx.Err() == nil {
		time.Sleep(costRequestPeriod)
		_, _ = directory.Pick(backends.PickRequest{
			Service: service, ServiceName: "svc", PromptTokens: 800, StartObjective: 400 * time.Millisecond, GatewayCount: costGateways,
		}, time.Now())
	}
}

func startCostAgent(t *testing.T, plan costPlan, i int) *mesh.Node {
	t.Helper()
	return startAgent(t, plan, i, &costEngine{group: costGroup(i), start: time.Now()})
}

// startAgent runs agent i of a plan, whose server is engine.
func startAgent(t *testing.T, plan costPlan, i int, engine rankagent.Engine) *mesh.Node {
	t.Helper()
	logger := costLogger()
	agent := rankagent.New(rankagent.Options{
		Server: costServer(i), Service: "svc", Log: logger.Logger,
		Dial:   func(string) rankagent.Engine { return engine },
		Config: func(context.Context) (*ingress.Config, error) { return nil, nil },
		Uptime: func() time.Duration { return time.Hour },

		LinkBytesPerSecond: 8 * bytesPerMegabit,
	})
	node, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: fmt.Sprintf("agent-%d", i), Address: plan.Agents[i], Role: mesh.RankAgent, Zone: plan.zone(i), Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: costSeeds(plan), Handler: agent.Handle, OnError: func(error) {},
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go agent.Run(ctx, node)
	return node
}

func startCostGateway(t *testing.T, plan costPlan, i int) (*mesh.Node, *backends.Directory) {
	t.Helper()
	zone := costZone(i)
	directory := costDirectory(zone, uint64(i))
	logger := costLogger()
	statuses := newStatusFeed(fmt.Sprintf("gw-%d", i), zone, directory, logger)
	handler := packetHandler(directory, statuses, &gossip{}, logger)
	node, err := mesh.Listen(mesh.Options{
		Self: mesh.Peer{
			ID: fmt.Sprintf("gw-%d", i), Address: plan.Gateways[i], Role: mesh.Gateway, Zone: zone, Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: costSeeds(plan), Handler: handler, OnError: func(error) {},
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go node.Run(ctx)
	if os.Getenv("BBW_WITHOUT") != "relays" {
		go statuses.run(ctx, node)
	}
	go clock.Every(ctx, time.Second, func(now time.Time) { directory.Expire(now) })
	return node, directory
}

// costEngine is a server whose group makes a pass each 60 ms.
type costEngine struct {
	group backends.Group
	start time.Time
	reads atomic.Uint64
}

func (e *costEngine) Report(context.Context) (rankagent.Report, error) {
	n := e.reads.Add(1)
	step := uint64(time.Since(e.start) / (60 * time.Millisecond))
	return rankagent.Report{
		Group: e.group, Running: int(n % 10), Waiting: int(n % 3), RelativePassTime: 1.01,
		State: groupmap.RankState{Epoch: 1, Open: true, Step: 100_000 + step},
	}, nil
}

func (e *costEngine) ExpertCounts(context.Context) (rankagent.ExpertCounts, error) {
	return rankagent.ExpertCounts{}, errors.New("no counts")
}

func (e *costEngine) HeldExperts(context.Context) (rankagent.HeldExperts, error) {
	return rankagent.HeldExperts{}, errors.New("no experts")
}

func (e *costEngine) Order(context.Context, groupmap.Order) error { return nil }
