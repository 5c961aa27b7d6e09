package node

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/rankagent"
)

const (
	failureRanks = costRanks
	// relayRank is the only candidate in the zone of the gateway under test, which
	// therefore prefers it.
	relayRank = 4
	// maxRelayChange and maxStatusAge are lenient, as tests run on busy machines: the
	// gateway moves on after 0.6 to 0.7 s, and direct statuses come each 1.3 s.
	maxRelayChange = 3 * time.Second
	maxStatusAge   = 2500 * time.Millisecond
)

// timedEngine is a server whose step is the time in milliseconds, so that a test knows how
// old a status is.
type timedEngine struct {
	costEngine
	down atomic.Bool
}

func (e *timedEngine) Report(context.Context) (rankagent.Report, error) {
	if e.down.Load() {
		return rankagent.Report{}, syscall.ECONNREFUSED
	}
	return rankagent.Report{
		Group: e.group, Running: 1, RelativePassTime: 1,
		State: groupmap.RankState{Epoch: 1, Open: true, Step: uint64(time.Now().UnixMilli())},
	}, nil
}

// failureRig is a gateway in front of a group, whose preferred relay is a process of its
// own. The other gateways subscribe to nothing, like those of an older build.
type failureRig struct {
	feed      *statusFeed
	directory *backends.Directory
	relay     *exec.Cmd
	engines   []*timedEngine
	// cut makes the gateway neither hear the relay nor be heard by it.
	cut atomic.Bool
}

func relayID() string { return fmt.Sprintf("agent-%d", relayRank) }

func failureZone(rank int) string {
	if rank == relayRank {
		return "near"
	}
	return "far"
}

// TestRelayProcess is the process of the relay that TestStatusesFlowWhenARelayFails starts.
func TestRelayProcess(t *testing.T) {
	text := os.Getenv("BBW_RELAY_PLAN")
	if text == "" {
		t.Skip("run by TestStatusesFlowWhenARelayFails")
	}
	var plan costPlan
	assert.NilError(t, json.Unmarshal([]byte(text), &plan))
	startAgent(t, plan, relayRank, &timedEngine{costEngine: costEngine{group: costGroup(relayRank)}})
	time.Sleep(2 * time.Minute)
}

func newFailureRig(t *testing.T, network int) *failureRig {
	t.Helper()
	plan := costPlan{
		Gateways: loopbackAddresses(network, minRelayGateways), Agents: loopbackAddresses(network+1, failureRanks),
		FailureZones: true,
	}
	encoded, err := json.Marshal(plan)
	assert.NilError(t, err)
	r := &failureRig{relay: exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestRelayProcess$")}
	r.relay.Env = append(os.Environ(), "BBW_RELAY_PLAN="+string(encoded))
	assert.NilError(t, r.relay.Start())
	t.Cleanup(func() {
		_ = r.relay.Process.Kill()
		_ = r.relay.Wait()
	})
	for rank := range failureRanks {
		engine := &timedEngine{costEngine: costEngine{group: costGroup(rank)}}
		r.engines = append(r.engines, engine)
		if rank != relayRank {
			startAgent(t, plan, rank, engine)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for i := 1; i < minRelayGateways; i++ {
		go listenAs(t, plan, i, func(mesh.Peer, *meshpb.Packet) {}).Run(ctx)
	}
	r.directory = costDirectory("near", 1)
	r.feed = newStatusFeed("gw-0", "near", r.directory, costLogger())
	r.feed.disabledMechanism = os.Getenv("BBW_WITHOUT")
	handler := packetHandler(r.directory, r.feed, &gossip{}, costLogger())
	node := listenAs(t, plan, 0, func(from mesh.Peer, packet *meshpb.Packet) {
		if from.ID == relayID() && r.cut.Load() {
			return
		}
		handler(from, packet)
	})
	go node.Run(ctx)
	go r.feed.run(ctx, node)
	return r
}

// listenAs returns the node of gateway i of a plan.
func listenAs(t *testing.T, plan costPlan, i int, handler mesh.Handler) *mesh.Node {
	t.Helper()
	node, err := mesh.Listen(mesh.Options{
		Self:  mesh.Peer{ID: fmt.Sprintf("gw-%d", i), Address: plan.Gateways[i], Role: mesh.Gateway, Zone: "near", Incarnation: 1},
		Seeds: costSeeds(plan), Handler: handler, OnError: func(error) {},
	})
	assert.NilError(t, err)
	return node
}

// currentRelay returns the relay of the gateway, and whether it passes statuses on.
func (r *failureRig) currentRelay() (id string, flows bool) {
	r.feed.mu.Lock()
	defer r.feed.mu.Unlock()
	g := r.feed.groups[costGroup(0).Name]
	if g == nil || !g.subscribed {
		return "", false
	}
	return g.relay.ID, !g.usefulAt.IsZero()
}

// oldest returns the age of the oldest status of the servers whose agents are not the
// failed relay, and how much newer a status looks than it is.
func (r *failureRig) oldest() (age, tooNew time.Duration) {
	for rank := range failureRanks {
		if rank == relayRank {
			continue
		}
		s, known := r.directory.StatusOf(fmt.Sprintf("s%d", rank))
		if !known {
			return time.Hour, 0
		}
		readAt := time.UnixMilli(int64(s.LastPass))
		age = max(age, time.Since(readAt))
		if s.Up {
			tooNew = max(tooNew, s.ReceivedAt.Sub(readAt))
		}
	}
	return age, tooNew
}

// A relay that is killed, frozen or cut off must not leave its gateways without statuses:
// they move to another one, and direct statuses bridge the gap. When a frozen one goes on,
// what it passes on late must not look new.
func TestStatusesFlowWhenARelayFails(t *testing.T) {
	for i, c := range []struct {
		name      string
		fail, end func(r *failureRig)
	}{
		{"killed", func(r *failureRig) { _ = r.relay.Process.Kill() }, func(*failureRig) {}},
		{"frozen", func(r *failureRig) { _ = r.relay.Process.Signal(syscall.SIGSTOP) }, func(r *failureRig) { _ = r.relay.Process.Signal(syscall.SIGCONT) }},
		{"cut off", func(r *failureRig) { r.cut.Store(true) }, func(r *failureRig) { r.cut.Store(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFailureRig(t, 10+2*i)
			// After two seconds the agents know who is served, and no earlier relay sends
			// digests any more.
			servedSince := time.Time{}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				id, flows := r.currentRelay()
				age, _ := r.oldest()
				if id != relayID() || !flows || age >= maxStatusAge {
					servedSince = time.Time{}
				} else if servedSince.IsZero() {
					servedSince = time.Now()
				}
				if !servedSince.IsZero() && time.Since(servedSince) >= 2*time.Second {
					return poll.Success()
				}
				return poll.Continue("the preferred relay does not serve the gateway yet")
			}, poll.WithTimeout(60*time.Second), poll.WithDelay(20*time.Millisecond))
			c.fail(r)
			failedAt := time.Now()
			var changedAt, flowsAt time.Time
			var worst, worstTooNew time.Duration
			observe := func() {
				age, tooNew := r.oldest()
				worst, worstTooNew = max(worst, age), max(worstTooNew, tooNew)
				id, flows := r.currentRelay()
				if id != relayID() && changedAt.IsZero() {
					changedAt = time.Now()
				}
				if id != relayID() && flows && flowsAt.IsZero() {
					flowsAt = time.Now()
				}
				time.Sleep(5 * time.Millisecond)
			}
			for time.Since(failedAt) < maxRelayChange {
				observe()
			}
			c.end(r)
			for time.Since(failedAt) < maxRelayChange+2*time.Second {
				observe()
			}
			assert.Assert(t, !changedAt.IsZero() && !flowsAt.IsZero(), "no other relay serves the gateway")
			for cause, n := range r.feed.relayChanges {
				t.Logf("changes of the relay, %s: %d", cause, n.Load())
			}
			t.Logf("another relay after %v, its statuses after %v; oldest status %v, newest error %v",
				changedAt.Sub(failedAt), flowsAt.Sub(failedAt), worst, worstTooNew)
			assert.Assert(t, worst <= maxStatusAge, "a status was %v old", worst)
			assert.Assert(t, worstTooNew <= 250*time.Millisecond, "a status looked %v newer than it was", worstTooNew)
		})
	}
}

// A gateway that gets digests must learn at once, as before, that a server went down.
func TestChangeOfAServedGatewaysServerIsToldAtOnce(t *testing.T) {
	r := newFailureRig(t, 20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, flows := r.currentRelay(); flows {
			return poll.Success()
		}
		return poll.Continue("no relay serves the gateway yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	time.Sleep(time.Second)
	var worst time.Duration
	for _, rank := range []int{1, 5, 8, 17, 30} {
		r.engines[rank].down.Store(true)
		began := time.Now()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s, known := r.directory.StatusOf(fmt.Sprintf("s%d", rank)); known && !s.Up {
				return poll.Success()
			}
			return poll.Continue("not known yet")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		worst = max(worst, time.Since(began))
	}
	t.Logf("the gateway knew of a server that went down after %v at most", worst)
	assert.Assert(t, worst <= time.Second)
}
