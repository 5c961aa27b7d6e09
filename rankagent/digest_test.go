package rankagent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// drawnEntries returns statuses of some ranks of a group under load, and the addresses of
// all servers.
func drawnEntries(rng *rand.Rand, size int, share float64) (entries []DigestEntry, servers []string) {
	for rank := range size {
		server := fmt.Sprintf("10.20.%d.%d:8443", rank/200, rank%200+10)
		servers = append(servers, server)
		if rng.Float64() >= share {
			continue
		}
		entries = append(entries, DigestEntry{
			Status: &meshpb.RankStatus{
				Server: server, Up: true, Open: true, Group: "g0-1", Epoch: 3, Rank: uint32(rank), Size: uint32(size),
				Step: 183_000 + rng.Uint64N(3), Running: rng.Uint32N(11), Waiting: rng.Uint32N(4), PassUs: 61_000 + rng.Uint32N(3000),
				PaceMilli: paceUnit + 10*rng.Uint32N(2), ReadMs: 1_790_000_000_000 + rng.Int64N(200),
			},
			Age: time.Duration(rng.IntN(120)) * time.Millisecond,
		})
	}
	return entries, servers
}

func TestDigestsSurviveTheWire(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		entries, servers := drawnEntries(rng, 17+rng.IntN(60), rng.Float64())
		if len(entries) == 0 {
			continue
		}
		if rng.IntN(2) == 0 {
			entries[0].Status.Up, entries[0].Status.Open, entries[0].Status.PassUs, entries[0].Status.PaceMilli = false, false, 0, 0
		}
		withServers := rng.IntN(2) == 0
		payload, err := proto.Marshal(EncodeDigest(entries, servers, withServers, digestPeriod))
		assert.NilError(t, err)
		d := &meshpb.StatusDigest{}
		assert.NilError(t, proto.Unmarshal(payload, d))
		decoded, err := DecodeDigest(d)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(entries))
		if withServers {
			assert.DeepEqual(t, d.Servers, servers)
		}
		for i, e := range decoded {
			want := proto.Clone(entries[i].Status).(*meshpb.RankStatus)
			want.Server = ""
			assert.Assert(t, proto.Equal(e.Status, want), "%v\n%v", e.Status, want)
			assert.Equal(t, e.Age, entries[i].Age)
		}
	}
}

// A digest of another build, or a damaged one, must neither stop the process nor put the
// status of one rank in the place of another.
func TestInconsistentDigestsAreRefused(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	entries, servers := drawnEntries(rng, 32, 0.5)
	for name, damage := range map[string]func(*meshpb.StatusDigest){
		"no entries":       func(d *meshpb.StatusDigest) { d.AgeMs = nil },
		"fewer values":     func(d *meshpb.StatusDigest) { d.Running = d.Running[1:] },
		"more values":      func(d *meshpb.StatusDigest) { d.ReadMsDiff = append(d.ReadMsDiff, 1) },
		"no ranks":         func(d *meshpb.StatusDigest) { d.Ranks = nil },
		"rank too great":   func(d *meshpb.StatusDigest) { d.Ranks[0] = 32 },
		"no group":         func(d *meshpb.StatusDigest) { d.Group = "" },
		"huge size":        func(d *meshpb.StatusDigest) { d.Size = 1 << 31 },
		"other servers":    func(d *meshpb.StatusDigest) { d.Servers[3] = "x" },
		"fewer servers":    func(d *meshpb.StatusDigest) { d.Servers = d.Servers[1:] },
		"behind the start": func(d *meshpb.StatusDigest) { d.StepsBehind[0] = 1 << 40 },
		"negative pass":    func(d *meshpb.StatusDigest) { d.PassUsDiff[0] = -1 << 40 },
		"negative pace":    func(d *meshpb.StatusDigest) { d.PaceDiff[0] = -1 << 30 },
	} {
		d := proto.Clone(EncodeDigest(entries, slices.Clone(servers), true, digestPeriod)).(*meshpb.StatusDigest)
		_, err := DecodeDigest(d)
		assert.NilError(t, err)
		damage(d)
		_, err = DecodeDigest(d)
		assert.ErrorIs(t, err, errBadDigest, name)
	}
}

// A candidate has 24 KB/s for all its control messages. It sends at most 80 digests a second,
// of which each has the half of the ranks that is new.
func TestDigestsAreSmall(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	from := &meshpb.Peer{Id: "agent-31", Address: "10.20.0.41:7946", Role: 2, Zone: "se-hall1", Incarnation: 1_790_000_000_000_000_000}
	size := func(share float64, withServers bool) int {
		entries, servers := drawnEntries(rng, 32, share)
		return proto.Size(&meshpb.Packet{From: from, StatusDigest: EncodeDigest(entries, servers, withServers, digestPeriod)})
	}
	whole, full, half := size(1, true), size(1, false), size(0.5, false)
	t.Logf("32 ranks: %d bytes with addresses, %d without, %d for half of them", whole, full, half)
	assert.Assert(t, whole <= 1200 && full <= 520 && half <= 340, "%d, %d, %d", whole, full, half)
}

// relayingAgent returns the agent of a candidate of group g with 32 ranks.
func relayingAgent(t *testing.T) *Agent {
	t.Helper()
	a := newFakeAgent("s0", nil)
	a.report.Group.Name, a.report.Group.Size = "g", 32
	node := listen(t, mesh.Peer{ID: "self", Address: freeAddress(t), Role: mesh.RankAgent, Incarnation: 1}, "127.0.0.1:1", nil)
	a.mesh = node.node
	return a
}

func relayedFrom(a *Agent, rank int, incarnation uint64, s *meshpb.RankStatus, now time.Time) {
	s.Group, s.Rank, s.Size = "g", uint32(rank), 32
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteRelayed(mesh.Peer{ID: agentID(rank), Incarnation: incarnation}, s, now)
}

// A digest has only statuses that may still be used, of the latest epoch, each once, and
// the latest one of each rank in whichever order they come.
func TestDigestsHoldTheLatestStatuses(t *testing.T) {
	a := relayingAgent(t)
	now := time.Unix(1000, 0)
	relayedFrom(a, 1, 1, &meshpb.RankStatus{Epoch: 2, ReadMs: 5000, Running: 7}, now)
	relayedFrom(a, 1, 1, &meshpb.RankStatus{Epoch: 2, ReadMs: 4900, Running: 9}, now)
	relayedFrom(a, 2, 1, &meshpb.RankStatus{Epoch: 1, ReadMs: 5000}, now)
	relayedFrom(a, 3, 1, &meshpb.RankStatus{Epoch: 2}, now) // States no time.
	relayedFrom(a, 4, 2, &meshpb.RankStatus{Epoch: 2, ReadMs: 100, Running: 4}, now)
	relayedFrom(a, 4, 1, &meshpb.RankStatus{Epoch: 2, ReadMs: 9000, Running: 5}, now) // Of the process before.
	ranks := func(entries []DigestEntry) []uint32 {
		var out []uint32
		for _, e := range entries {
			out = append(out, e.Status.Rank, e.Status.Running)
		}
		return out
	}
	all, changed := a.digestEntries(now, true)
	assert.DeepEqual(t, ranks(all), []uint32{1, 7, 4, 4})
	assert.DeepEqual(t, ranks(changed), []uint32{1, 7, 4, 4})
	all, changed = a.digestEntries(now.Add(100*time.Millisecond), true)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, len(changed), 0)
	assert.Equal(t, all[0].Age, 100*time.Millisecond)
	all, _ = a.digestEntries(now.Add(maxRelayedAge+time.Millisecond), true)
	assert.Equal(t, len(all), 0)
}

// A relay that was frozen reads statuses that waited in its socket. It must not pass them
// on as new ones.
func TestFrozenRelayStatesTheAgeOfWhatWaited(t *testing.T) {
	a := relayingAgent(t)
	now := time.Unix(1000, 0)
	for i := range int64(10) {
		relayedFrom(a, 1, 1, &meshpb.RankStatus{ReadMs: 1000 + 200*i}, now.Add(time.Duration(200*i)*time.Millisecond))
	}
	woken := now.Add(2800 * time.Millisecond)
	relayedFrom(a, 1, 1, &meshpb.RankStatus{ReadMs: 1000 + 2000}, woken)
	all, _ := a.digestEntries(woken, false)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].Age, 800*time.Millisecond)
}

// Gateways that no candidate serves, for example of an older build, get statuses directly
// as before, and all of them do again once a candidate does not say any more that it
// serves them.
func TestAgentsServeGatewaysWithoutARelay(t *testing.T) {
	a := relayingAgent(t)
	now := time.Now()
	gateways := []mesh.Peer{{ID: "gw-a"}, {ID: "gw-b"}, {ID: "gw-c"}}
	assert.Assert(t, !a.anyServed(now))
	a.handleServed(&meshpb.ServedGateways{Group: "other", Gateways: []uint32{mesh.HashID("gw-a")}})
	assert.Assert(t, !a.anyServed(now))
	a.handleServed(&meshpb.ServedGateways{Group: "g", Gateways: []uint32{mesh.HashID("gw-a")}})
	a.handleSubscription(mesh.Peer{ID: "gw-b", Role: mesh.Gateway}, &meshpb.StatusSubscription{Group: "g"})
	assert.Assert(t, a.anyServed(now))
	assert.DeepEqual(t, a.withoutServed(gateways, now), gateways[2:])
	late := time.Now().Add(max(servedLifetime, subscriptionLifetime) + time.Millisecond)
	assert.DeepEqual(t, a.withoutServed(gateways, now.Add(servedLifetime+time.Second)), []mesh.Peer{{ID: "gw-a"}, {ID: "gw-c"}})
	assert.Assert(t, !a.anyServed(late))
	assert.DeepEqual(t, a.withoutServed(gateways, late), gateways)
}

// Groups of at most 16 ranks, and agents that are no candidates, take no subscriptions.
func TestOnlyCandidatesOfLargeGroupsRelay(t *testing.T) {
	for _, c := range []struct {
		rank, size int
		relays     bool
	}{{0, 16, false}, {0, 17, true}, {1, 32, false}, {4, 32, true}} {
		a := relayingAgent(t)
		a.report.Group.Rank, a.report.Group.Size = c.rank, c.size
		a.handleSubscription(mesh.Peer{ID: "gw", Role: mesh.Gateway}, &meshpb.StatusSubscription{Group: "g"})
		a.handleSubscription(mesh.Peer{ID: "x", Role: mesh.RankAgent}, &meshpb.StatusSubscription{Group: "g"})
		assert.Equal(t, len(a.relay.subscribers) == 1, c.relays, "rank %d of %d", c.rank, c.size)
		assert.Equal(t, a.statusMessage().ReadMs != 0, false, "no read yet")
		a.stampRead(time.Now())
		assert.Equal(t, a.statusMessage().ReadMs != 0, c.size > 16)
	}
}
