package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/rankagent"
)

const (
	feedRanks = 24
	feedGroup = "g"
	// remoteEpochMs is what the clocks of agents show at feedStart.
	remoteEpochMs = 1_790_000_000_000
)

var feedStart = time.Unix(1000, 0)

// feedWorld is a gateway and a group of agents. Three ranks after each other are in one zone,
// so that each zone has candidates.
type feedWorld struct {
	feed      *statusFeed
	directory *backends.Directory
	gateways  []mesh.Peer
}

func newFeedWorld(name, zone string) *feedWorld {
	d := backends.NewDirectory(zone, 1)
	for rank := range feedRanks {
		d.Put(backends.Server{
			ID: serverID(rank), Service: "svc", Address: serverAddress(rank), Zone: costZone(rank / 3), Slots: 10, Open: true,
			Group: backends.Group{Name: feedGroup, Epoch: 1, Rank: rank, Size: feedRanks},
		})
	}
	w := &feedWorld{feed: newStatusFeed(name, zone, d, costLogger()), directory: d}
	w.feed.disabledMechanism = os.Getenv("BBW_WITHOUT")
	for i := range 60 {
		if id := fmt.Sprintf("gw-%02d", i); id != name {
			w.gateways = append(w.gateways, mesh.Peer{ID: id, Role: mesh.Gateway, Zone: costZone(i)})
		}
	}
	return w
}

func serverID(rank int) string { return fmt.Sprintf("s%d", rank) }

func serverAddress(rank int) string { return fmt.Sprintf("10.0.0.%d:8000", rank+1) }

func agentPeer(rank int) mesh.Peer {
	return mesh.Peer{ID: fmt.Sprintf("agent-%02d", rank), Role: mesh.RankAgent, Zone: costZone(rank / 3), Incarnation: 1}
}

// readStatus returns a status that was read at a time. Its step is the time.
func readStatus(rank int, readAt time.Time) *meshpb.RankStatus {
	ms := readAt.Sub(feedStart).Milliseconds()
	return &meshpb.RankStatus{
		Server: serverAddress(rank), Up: true, Open: true, Group: feedGroup, Epoch: 1, Rank: uint32(rank), Size: feedRanks,
		Step: uint64(ms) + 1_000_000, ReadMs: remoteEpochMs + ms,
	}
}

func (w *feedWorld) tick(now time.Time) []subscription {
	return w.feed.tick(now, len(w.gateways)+1, func() []mesh.Peer { return w.gateways })
}

// heartbeats makes all agents send a status directly.
func (w *feedWorld) heartbeats(now time.Time) {
	for rank := range feedRanks {
		w.feed.handle(agentPeer(rank), &meshpb.Packet{Status: readStatus(rank, now)}, now)
	}
}

// digest makes a relay pass on the statuses of ranks that were read at a time.
func (w *feedWorld) digest(relay mesh.Peer, now, readAt time.Time, ranks ...int) {
	entries, servers := make([]rankagent.DigestEntry, 0, len(ranks)), make([]string, feedRanks)
	for rank := range servers {
		servers[rank] = serverAddress(rank)
	}
	for _, rank := range ranks {
		entries = append(entries, rankagent.DigestEntry{Status: readStatus(rank, readAt), Age: now.Sub(readAt)})
	}
	w.feed.handle(relay, &meshpb.Packet{StatusDigest: rankagent.EncodeDigest(entries, servers, true, 100*time.Millisecond)}, now)
}

func allRanks() []int {
	var out []int
	for rank := range feedRanks {
		out = append(out, rank)
	}
	return out
}

func (w *feedWorld) relay() string { return w.feed.groups[feedGroup].relay.ID }

// Statuses come directly and through relays that may be frozen or slow: late, lost, twice
// and out of order. None may overwrite a newer one of its server, and none may look newer
// than it is.
func TestNoStatusLooksNewerThanItIs(t *testing.T) {
	const minDelay = time.Millisecond
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newFeedWorld("gw-00", "z0")
		type delivery struct {
			at   time.Time
			make func(now time.Time)
		}
		var deliveries []delivery
		delay := func() time.Duration {
			if rng.IntN(8) == 0 {
				return minDelay + time.Duration(rng.Int64N(int64(4*time.Second)))
			}
			return minDelay + time.Duration(rng.Int64N(int64(6*time.Millisecond)))
		}
		w.heartbeats(feedStart.Add(-time.Second)) // The clocks of the agents are known.
		for range 400 {
			readAt := feedStart.Add(time.Duration(rng.IntN(8000)) * time.Millisecond)
			rank, relay := rng.IntN(feedRanks), agentPeer(3*rng.IntN(8))
			for range 1 + rng.IntN(5)/4 { // Some come twice.
				if rng.IntN(3) == 0 {
					deliveries = append(deliveries, delivery{readAt.Add(delay()), func(now time.Time) {
						w.feed.handle(agentPeer(rank), &meshpb.Packet{Status: readStatus(rank, readAt)}, now)
					}})
					continue
				}
				// The relay states the age when it sends; the way to the gateway comes on top.
				sentAt := readAt.Add(delay())
				entries := []rankagent.DigestEntry{{Status: readStatus(rank, readAt), Age: sentAt.Sub(readAt)}}
				deliveries = append(deliveries, delivery{sentAt.Add(delay()), func(now time.Time) {
					servers := make([]string, feedRanks)
					servers[rank] = serverAddress(rank)
					w.feed.handle(relay, &meshpb.Packet{StatusDigest: rankagent.EncodeDigest(entries, servers, true, time.Second)}, now)
				}})
			}
		}
		slices.SortStableFunc(deliveries, func(a, b delivery) int { return a.at.Compare(b.at) })
		latest := make(map[int]uint64)
		for _, d := range deliveries {
			d.make(d.at)
			for rank := range feedRanks {
				s, known := w.directory.StatusOf(serverID(rank))
				if !known {
					continue
				}
				readAt := feedStart.Add(time.Duration(int64(s.LastPass)-1_000_000) * time.Millisecond)
				assert.Assert(t, s.ReceivedAt.Sub(readAt) <= 2*minDelay, "seed %d: a status looks %v newer than it is", seed, s.ReceivedAt.Sub(readAt))
				assert.Assert(t, s.LastPass >= latest[rank], "seed %d: an older status has replaced a newer one", seed)
				latest[rank] = s.LastPass
			}
		}
	}
}

// A relay that is killed, frozen or cut off sends nothing; one that is slow or cut off from
// the agents passes on nothing that is recent. The gateway moves on within 0.7 s, and does
// not return to that relay soon.
func TestGatewayLeavesARelayThatFails(t *testing.T) {
	for _, c := range []struct {
		name, cause string
		pass        func(w *feedWorld, relay mesh.Peer, now time.Time)
	}{
		{"sends nothing", relaySilent, func(*feedWorld, mesh.Peer, time.Time) {}},
		{"is slow", relayStale, func(w *feedWorld, relay mesh.Peer, now time.Time) {
			w.digest(relay, now, now.Add(-900*time.Millisecond), allRanks()...)
		}},
		{"hears few agents", relayStale, func(w *feedWorld, relay mesh.Peer, now time.Time) {
			w.digest(relay, now, now, allRanks()[:feedRanks/2-1]...)
		}},
	} {
		w := newFeedWorld("gw-00", "z0")
		now := feedStart
		w.heartbeats(now)
		w.tick(now)
		first := w.feed.groups[feedGroup].relay
		step := func(pass bool) {
			now = now.Add(feedTick)
			if now.Sub(feedStart)%(1300*time.Millisecond) == 0 {
				w.heartbeats(now)
			}
			current := w.feed.groups[feedGroup].relay
			if pass || current.ID != first.ID {
				w.digest(current, now, now.Add(-20*time.Millisecond), allRanks()...)
			} else {
				c.pass(w, first, now)
			}
			w.tick(now)
		}
		for range 20 {
			step(true)
			assert.Equal(t, w.relay(), first.ID, c.name)
		}
		failedAt := now
		for w.relay() == first.ID && now.Sub(failedAt) < 5*time.Second {
			step(false)
		}
		assert.Assert(t, now.Sub(failedAt) <= relayTimeout+feedTick, "%s: left after %v", c.name, now.Sub(failedAt))
		assert.Equal(t, w.feed.relayChanges[c.cause].Load(), uint64(1), c.name)
		second := w.relay()
		for range 60 {
			step(false)
			assert.Equal(t, w.relay(), second, c.name)
		}
	}
}

// A candidate that says that it leaves is left at once, and one that the group does not
// have any more too.
func TestGatewayLeavesARelayThatLeaves(t *testing.T) {
	w := newFeedWorld("gw-00", "z0")
	w.heartbeats(feedStart)
	assert.Equal(t, len(w.tick(feedStart)), 1)
	first := w.feed.groups[feedGroup].relay
	for rank := range feedRanks {
		if agentPeer(rank).ID == first.ID {
			s := readStatus(rank, feedStart.Add(time.Millisecond))
			s.Leaving = true
			w.feed.handle(first, &meshpb.Packet{Status: s}, feedStart.Add(time.Millisecond))
		}
	}
	sent := w.tick(feedStart.Add(feedTick))
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].to.ID != first.ID)
}

// Each relay bears its part: the gateways of a zone spread over its candidates.
func TestGatewaysSpreadOverRelaysInTheirZones(t *testing.T) {
	perRelay := make(map[string]int)
	for i := range 60 {
		w := newFeedWorld(fmt.Sprintf("gw-%02d", i), costZone(i))
		w.heartbeats(feedStart)
		sent := w.tick(feedStart)
		assert.Equal(t, len(sent), 1)
		assert.Equal(t, sent[0].to.Zone, costZone(i), "a gateway uses a relay in its zone")
		perRelay[sent[0].to.ID]++
	}
	for id, n := range perRelay {
		assert.Assert(t, n <= 10, "%s serves %d gateways", id, n)
	}
	// Without a candidate in their zone, gateways spread over all of them.
	perRelay = make(map[string]int)
	for i := range 60 {
		w := newFeedWorld(fmt.Sprintf("gw-%02d", i), "elsewhere")
		w.heartbeats(feedStart)
		perRelay[w.tick(feedStart)[0].to.ID]++
	}
	assert.Equal(t, len(perRelay), 8)
	for id, n := range perRelay {
		assert.Assert(t, n >= 7 && n <= 8, "%s serves %d gateways", id, n)
	}
}

// Few gateways, small groups and agents of older builds are served as before.
func TestWithoutRelaysNothingIsSubscribed(t *testing.T) {
	w := newFeedWorld("gw-00", "z0")
	w.gateways = w.gateways[:minRelayGateways-2]
	w.heartbeats(feedStart)
	assert.Equal(t, len(w.tick(feedStart)), 0)
	w = newFeedWorld("gw-00", "z0")
	for rank := range feedRanks {
		s := readStatus(rank, feedStart)
		s.ReadMs = 0
		w.feed.handle(agentPeer(rank), &meshpb.Packet{Status: s}, feedStart)
	}
	assert.Equal(t, len(w.tick(feedStart)), 0)
	s, known := w.directory.StatusOf(serverID(3))
	assert.Assert(t, known && s.ReceivedAt.Equal(feedStart))
}

// A digest without addresses whose servers the gateway does not know must not be applied to
// other servers. The gateway asks for the addresses at once.
func TestDigestOfUnknownServersIsNotUsed(t *testing.T) {
	w := newFeedWorld("gw-00", "z0")
	w.heartbeats(feedStart)
	w.tick(feedStart)
	relay := w.feed.groups[feedGroup].relay
	now := feedStart.Add(50 * time.Millisecond)
	entries := []rankagent.DigestEntry{{Status: readStatus(2, now)}}
	servers := make([]string, feedRanks)
	for rank := range servers {
		servers[rank] = serverAddress(feedRanks - 1 - rank)
	}
	w.feed.handle(relay, &meshpb.Packet{StatusDigest: rankagent.EncodeDigest(entries, servers, false, time.Second)}, now)
	s, _ := w.directory.StatusOf(serverID(2))
	assert.Equal(t, s.ReceivedAt, feedStart)
	assert.Equal(t, w.feed.unknownServers.Load(), uint64(1))
	assert.Equal(t, len(w.tick(now.Add(feedTick))), 1)
	w.feed.handle(relay, &meshpb.Packet{StatusDigest: rankagent.EncodeDigest(entries, servers, true, time.Second)}, now)
	s, _ = w.directory.StatusOf(serverID(feedRanks - 1 - 2))
	assert.Equal(t, s.ReceivedAt, now)
	assert.Assert(t, w.tick(now.Add(time.Second))[0].message.KnownServers != 0)
}

// An agent that has started again may have a clock that is set back. Its statuses count
// although their times are earlier, once those of the process before have expired.
func TestStatusesOfARestartedAgentCount(t *testing.T) {
	w := newFeedWorld("gw-00", "z0")
	w.heartbeats(feedStart.Add(10 * time.Second))
	now := feedStart.Add(13 * time.Second)
	w.directory.Expire(now)
	restarted := agentPeer(5)
	restarted.Incarnation = 2
	w.feed.handle(restarted, &meshpb.Packet{Status: readStatus(5, feedStart)}, now)
	s, known := w.directory.StatusOf(serverID(5))
	assert.Assert(t, known && s.ReceivedAt.Equal(now))
}

func TestStatusMetrics(t *testing.T) {
	w := newFeedWorld("gw-00", "z0")
	set := metrics.NewSet()
	w.feed.register(set)
	w.heartbeats(feedStart)
	w.tick(feedStart)
	w.feed.handle(agentPeer(0), &meshpb.Packet{StatusDigest: &meshpb.StatusDigest{Group: feedGroup}}, feedStart)
	var out strings.Builder
	set.WritePrometheus(&out)
	for _, line := range []string{
		`bluebellwind_status_messages_received{kind="direct"} 24`, `bluebellwind_status_relay_changes{cause="first"} 1`,
		`bluebellwind_status_digests_dropped{cause="malformed"} 1`,
	} {
		assert.Assert(t, strings.Contains(out.String(), line), out.String())
	}
}

// The cost of one direct status, and of one digest with half of a group of 32 ranks, from
// the datagram to the directory.
func BenchmarkStatusMessages(b *testing.B) {
	directory := costDirectory("z0", 1)
	feed := newStatusFeed("gw-0", "z0", directory, costLogger())
	handler := packetHandler(directory, feed, &gossip{}, costLogger())
	status := func(rank int, ms int64) *meshpb.RankStatus {
		return &meshpb.RankStatus{
			Server: costServer(rank), Up: true, Open: true, Group: costGroup(0).Name, Epoch: 1, Rank: uint32(rank), Size: costRanks,
			Step: 100_000 + uint64(ms)/60, Running: uint32(ms % 10), PaceMilli: 1010, PassUs: 61_000, ReadMs: ms, Sequence: uint64(ms),
		}
	}
	from := &meshpb.Peer{Id: "agent-0", Address: "10.20.0.41:7946", Role: 2, Zone: "se-hall1", Incarnation: 1_790_000_000_000_000_000}
	peer := mesh.Peer{ID: from.Id, Role: mesh.RankAgent, Zone: from.Zone, Incarnation: from.Incarnation}
	servers := make([]string, costRanks)
	for rank := range servers {
		servers[rank] = costServer(rank)
		handler(peer, &meshpb.Packet{Status: status(rank, 1)})
	}
	receive := func(payload []byte) {
		packet := &meshpb.Packet{}
		if proto.Unmarshal(payload, packet) != nil {
			b.Fatal("unreadable")
		}
		handler(peer, packet)
	}
	encode := func(packet *meshpb.Packet) []byte {
		packet.From = from
		payload, err := proto.Marshal(packet)
		assert.NilError(b, err)
		return payload
	}
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			b.StopTimer()
			payload := encode(&meshpb.Packet{Status: status(0, int64(i)+1_000_000)})
			b.StartTimer()
			receive(payload)
		}
	})
	b.Run("digest", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			b.StopTimer()
			var entries []rankagent.DigestEntry
			for rank := range costRanks / 2 {
				entries = append(entries, rankagent.DigestEntry{Status: status(2*rank, int64(i)+1_000_000_000), Age: time.Millisecond})
			}
			payload := encode(&meshpb.Packet{StatusDigest: rankagent.EncodeDigest(entries, servers, i == 0, 100*time.Millisecond)})
			b.StartTimer()
			receive(payload)
		}
	})
}
