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

// hosts are the agents of the group and the ranks beside each.
var hosts = map[string][]int{"draft-1": {0, 1}, "draft-2": {2}, "draft-3": {3}}

// orderGate holds up one order of an attempt at the engine.
type orderGate struct {
	mu      sync.Mutex
	left    int
	last    string
	counts  bool
	reached chan struct{}
	release chan struct{}
}

// set holds up the n-th order of the next attempt.
func (g *orderGate) set(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts = false
	g.left, g.reached, g.release = n, make(chan struct{}), make(chan struct{})
}

func (g *orderGate) onOrder(_ int, path string) {
	g.mu.Lock()
	if path == "/arm" && g.last != "/arm" {
		g.counts = true
	}
	g.last = path
	if g.counts {
		g.left--
	}
	hit, reached, release := g.counts && g.left == 0, g.reached, g.release
	g.mu.Unlock()
	if hit {
		close(reached)
		<-release
	}
}

// rankCluster is a rank group with its agents.
type rankCluster struct {
	*cluster
	group *standin.RankGroup
	urls  []string
	gate  *orderGate
}

func newRankCluster(t *testing.T) *rankCluster {
	t.Helper()
	c := &rankCluster{cluster: newCluster(t, rankRules), gate: &orderGate{}}
	c.group = standin.NewRankGroup(standin.RankGroupConfig{
		Ranks: 4, Layers: 2, Experts: 16, Slots: 6,
		Pause: time.Millisecond, StepTime: time.Second, WindowSteps: 5, WindowTokens: 100_000,
		Drift: 0.02, TurnWindows: 40, Seed: 7,
		ObeyAtOnce: os.Getenv("BBW_WITHOUT") == "unanimity",
		OnOrder:    c.gate.onOrder,
	})
	for rank := range 4 {
		server := httptest.NewServer(c.group.Handler(rank))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		c.urls = append(c.urls, server.URL)
	}
	for name := range hosts {
		c.startRanks(name)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.group.Run(ctx)
	return c
}

// startRanks starts the agent of the given name, again if it ran before.
func (c *rankCluster) startRanks(name string) {
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
	for _, rank := range hosts[name] {
		ranks.Hosted = append(ranks.Hosted, config.HostedRank{Rank: rank, URL: c.urls[rank]})
	}
	s.Agent = &config.Agent{Backend: c.urls[hosts[name][0]], Group: "drafts", Ranks: ranks}
	at := c.start("agent", s)
	c.admins[name] = at["admin"]
	kept := []platform.Instance{{Name: name, Zone: "ga-1", Role: "server", Address: at["peers"], Group: "drafts", Ranks: hosts[name]}}
	for _, in := range c.instances {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	c.instances = kept
	c.platform.SetInstances(kept)
}

// leader returns an agent that leads an attempt now.
func (c *rankCluster) leader() string {
	for name := range hosts {
		text := c.processes[name].log()
		at := strings.LastIndex(text, "event=map_switch")
		if at >= 0 && strings.HasPrefix(text[at:], "event=map_switch_started") {
			return name
		}
	}
	return ""
}

// switched waits until the group runs on under a label that is new since then,
// and checks every step so far.
func (c *rankCluster) switched(since int) {
	c.t.Helper()
	split := func() bool { return c.group.Check() != nil }
	c.eventually(fmt.Sprintf("the group runs under a label after the %dth", since), func() bool { return split() || len(c.group.Runs()) > since })
	steps := c.group.Steps()
	c.eventually("the group steps on", func() bool { return split() || c.group.Steps() > steps+100 })
	assert.NilError(c.t, c.group.Check())
}

func TestRankGroupGetsMapsThatFollowItsPopularity(t *testing.T) {
	c := newRankCluster(t)
	c.switched(2)
	assert.Assert(t, c.group.Loaded() > 0)
	c.group.SetSpeed(1, 0.5)
	c.eventually("the straggler gets less than the others", func() bool {
		loads := c.group.Loads()
		return loads[1] > 0 && loads[1] < 0.8*min(loads[0], loads[2], loads[3])
	})
	c.eventually("the operator sees the ranks run", func() bool {
		res, err := http.Get("http://" + c.admins["draft-1"] + "/-/ranks")
		assert.NilError(t, err)
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return strings.Count(string(text), "state=running") == len(hosts["draft-1"])
	})
	c.group.Replace(3) // A blank rank gets the map in use from another rank.
	c.switched(len(c.group.Runs()))
}

// TestOneMapWhileLeadersDieAndFreeze kills the leading agent at each order of a
// switch in turn, or freezes it, while another agent is frozen. In two rounds a
// rank is replaced as well.
func TestOneMapWhileLeadersDieAndFreeze(t *testing.T) {
	const orders = 8 // Four ranks are armed, then confirmed.
	c := newRankCluster(t)
	c.switched(0)
	for n := 1; n <= orders; n++ {
		before := len(c.group.Runs())
		c.gate.set(n)
		<-c.gate.reached
		c.eventually("the leader is known", func() bool { return c.leader() != "" })
		led := c.leader()
		other := "draft-3"
		if led == other {
			other = "draft-2"
		}
		c.signal(other, syscall.SIGSTOP)
		if n%3 == 0 {
			c.group.Replace(n / 3) // The held order is for the rank that was there.
		}
		if n%2 == 1 {
			c.signal(led, syscall.SIGKILL)
			<-c.processes[led].exited
			close(c.gate.release)
			c.startRanks(led)
		} else {
			c.signal(led, syscall.SIGSTOP)
			close(c.gate.release)
			steps := c.group.Steps()
			held := func() bool { return c.group.Steps() > steps+200 || c.group.Standing() }
			c.eventually("the group runs past the switch or stands at it", held)
			c.signal(led, syscall.SIGCONT)
		}
		c.signal(other, syscall.SIGCONT)
		c.switched(before)
	}
	t.Logf("%d steps under %d labels", c.group.Steps(), len(c.group.Runs()))
}
