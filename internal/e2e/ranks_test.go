package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/standin"
)

const rankRules = `group drafts models certificate-8b # asked for by Dana
route model certificate-8b to group drafts # asked for by Dana
organisation oakville token sha256:0000000000000000000000000000000000000000000000000000000000000000 # asked for by Dana
weights skew 1 rebalance 0.01 # asked for by Dana
`

// ranksByAgent lists the ranks that each agent of the group hosts.
var ranksByAgent = map[string][]int{"draft-1": {0, 1}, "draft-2": {2}, "draft-3": {3}}

// orderBlocker blocks one order of a switch attempt at the engine.
type orderBlocker struct {
	mu        sync.Mutex
	remaining int
	lastPath  string
	counting  bool
	reached   chan struct{}
	release   chan struct{}
}

// blockOrder blocks the n-th order of the next attempt until release is closed.
// reached is closed when that order arrives.
func (b *orderBlocker) blockOrder(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counting = false
	b.remaining, b.reached, b.release = n, make(chan struct{}), make(chan struct{})
}

func (b *orderBlocker) onOrder(_ int, path string) {
	b.mu.Lock()
	if path == "/arm" && b.lastPath != "/arm" {
		b.counting = true
	}
	b.lastPath = path
	if b.counting {
		b.remaining--
	}
	blocked, reached, release := b.counting && b.remaining == 0, b.reached, b.release
	b.mu.Unlock()
	if blocked {
		close(reached)
		<-release
	}
}

// rankCluster is a cluster with a rank group and its agents.
type rankCluster struct {
	*cluster
	group    *standin.RankGroup
	rankURLs []string
	blocker  *orderBlocker
}

func newRankCluster(t *testing.T) *rankCluster {
	t.Helper()
	c := &rankCluster{cluster: newCluster(t, rankRules), blocker: &orderBlocker{}}
	c.group = standin.NewRankGroup(standin.RankGroupConfig{
		Ranks: 4, Layers: 2, Experts: 16, Slots: 6,
		StepInterval: time.Millisecond, SimulatedStepTime: time.Second, WindowSteps: 5, WindowTokens: 100_000,
		PopularityDrift: 0.02, TopExpertWindows: 40, Seed: 7,
		SkipConfirmation: os.Getenv("BBW_WITHOUT") == "unanimity",
		OnOrder:          c.blocker.onOrder,
	})
	for rank := range 4 {
		server := httptest.NewServer(c.group.RankHandler(rank))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		c.rankURLs = append(c.rankURLs, server.URL)
	}
	for name := range ranksByAgent {
		c.startRankAgent(name)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.group.Run(ctx)
	return c
}

// startRankAgent starts or restarts the agent of the given name.
func (c *rankCluster) startRankAgent(name string) {
	c.t.Helper()
	s := c.settings(name, "ga-1", keys.Agent)
	ranks := &config.RankGroup{
		Total: 4, Layers: 2, Experts: 16, Slots: 6,
		BytesPerExpert: 1, StoreBytesPerSecond: 1 << 30,
		MoveCost:     config.Duration(time.Millisecond),
		PlanInterval: config.Duration(100 * time.Millisecond),
		Stall:        config.Duration(200 * time.Millisecond),
		LeadSteps:    20,
	}
	for _, rank := range ranksByAgent[name] {
		ranks.Hosted = append(ranks.Hosted, config.HostedRank{Rank: rank, URL: c.rankURLs[rank]})
	}
	s.Agent = &config.Agent{Backend: c.rankURLs[ranksByAgent[name][0]], Group: "drafts", Ranks: ranks}
	addresses := c.startProcess("agent", s)
	c.adminAddresses[name] = addresses["admin"]
	instances := []platform.Instance{{Name: name, Zone: "ga-1", Role: "server", Address: addresses["peers"], Group: "drafts", Ranks: ranksByAgent[name]}}
	for _, in := range c.instances {
		if in.Name != name {
			instances = append(instances, in)
		}
	}
	c.instances = instances
	c.platform.SetInstances(instances)
}

// leader returns the name of the agent that currently leads a switch attempt,
// empty if there is none.
func (c *rankCluster) leader() string {
	for name := range ranksByAgent {
		text := c.processes[name].log()
		offset := strings.LastIndex(text, "event=map_switch")
		if offset >= 0 && strings.HasPrefix(text[offset:], "event=map_switch_started") {
			return name
		}
	}
	return ""
}

// awaitSwitch waits until the ranks have used more than the given number of
// labels and have run further steps, and checks that all ranks used the same
// label in every step so far.
func (c *rankCluster) awaitSwitch(labelRuns int) {
	c.t.Helper()
	labelsDiffer := func() bool { return c.group.CheckLabels() != nil }
	c.eventually(fmt.Sprintf("the group uses more than %d labels", labelRuns), func() bool { return labelsDiffer() || len(c.group.LabelRuns()) > labelRuns })
	steps := c.group.Steps()
	c.eventually("the group continues to run steps", func() bool { return labelsDiffer() || c.group.Steps() > steps+100 })
	assert.NilError(c.t, c.group.CheckLabels())
}

func TestRankGroupGetsMapsThatFollowItsPopularity(t *testing.T) {
	c := newRankCluster(t)
	c.awaitSwitch(2)
	assert.Assert(t, c.group.LoadedExperts() > 0)
	c.group.SetSpeed(1, 0.5)
	c.eventually("the slow rank gets a smaller load than the others", func() bool {
		loads := c.group.TokenLoads()
		return loads[1] > 0 && loads[1] < 0.8*min(loads[0], loads[2], loads[3])
	})
	c.eventually("the agent lists its ranks as running", func() bool {
		res, err := http.Get("http://" + c.adminAddresses["draft-1"] + "/-/ranks")
		assert.NilError(t, err)
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return strings.Count(string(text), "state=running") == len(ranksByAgent["draft-1"])
	})
	c.group.ReplaceProcess(3) // The new process gets the map in use from another rank.
	c.awaitSwitch(len(c.group.LabelRuns()))
}

// TestOneMapWhileLeadersDieAndFreeze kills or stops the leading agent at each
// order of a map switch in turn, while another agent is stopped. In two rounds
// it also replaces the engine process of a rank. It guards against ranks that
// use different maps in one step because a leader failed halfway through a
// switch.
func TestOneMapWhileLeadersDieAndFreeze(t *testing.T) {
	const orders = 8 // One arm order and one confirm order for each of the four ranks.
	c := newRankCluster(t)
	c.awaitSwitch(0)
	for n := 1; n <= orders; n++ {
		before := len(c.group.LabelRuns())
		c.blocker.blockOrder(n)
		<-c.blocker.reached
		c.eventually("the log names the leader", func() bool { return c.leader() != "" })
		leader := c.leader()
		other := "draft-3"
		if leader == other {
			other = "draft-2"
		}
		c.signal(other, syscall.SIGSTOP)
		if n%3 == 0 {
			c.group.ReplaceProcess(n / 3) // The blocked order is for the earlier process.
		}
		if n%2 == 1 {
			c.signal(leader, syscall.SIGKILL)
			<-c.processes[leader].exited
			close(c.blocker.release)
			c.startRankAgent(leader)
		} else {
			c.signal(leader, syscall.SIGSTOP)
			close(c.blocker.release)
			steps := c.group.Steps()
			passedOrHeld := func() bool { return c.group.Steps() > steps+200 || c.group.Held() }
			c.eventually("the group runs past the switch or is held at it", passedOrHeld)
			c.signal(leader, syscall.SIGCONT)
		}
		c.signal(other, syscall.SIGCONT)
		c.awaitSwitch(before)
	}
	t.Logf("%d steps with %d labels", c.group.Steps(), len(c.group.LabelRuns()))
}
