package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/backends"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/rankagent"
)

const (
	// feedTick is the time between two checks of the relays.
	feedTick = 100 * time.Millisecond
	// subscribePeriod is the time between two subscriptions. Relays keep one for 1.5 s.
	subscribePeriod = 400 * time.Millisecond
	// relayTimeout is the time without a useful digest after which a gateway subscribes
	// to another relay, and relayTimeoutPeriods the same time in periods of the digests;
	// the greater one counts.
	relayTimeout        = 600 * time.Millisecond
	relayTimeoutPeriods = 3
	// failedRelaySpan is how long a relay that failed is not chosen.
	failedRelaySpan = 15 * time.Second
	// preferencePeriod is the time between two checks whether a relay that serves well is
	// still the one that this gateway should use. All gateways together spread over the
	// relays, and each uses one in its zone if there is one.
	preferencePeriod = 5 * time.Second
	// candidateLifetime is the time without a status of a candidate after which it is not
	// chosen: three heartbeats.
	candidateLifetime = 3 * rankagent.HeartbeatPeriod
	// minRelayGateways is the least number of gateways with which they subscribe. With
	// fewer an agent sends no fewer datagrams to the candidates than to the gateways.
	minRelayGateways = 16
	// idleGroupSpan is how long a group is remembered of which no agent reports.
	idleGroupSpan = 30 * time.Second
)

// The causes of a change of relays, for logs and metrics.
const (
	relayFirst     = "first"
	relaySilent    = "silent"
	relayStale     = "stale"
	relayLeft      = "left"
	relayPreferred = "preferred"
)

// statusFeed passes the statuses of servers to the directory. It gets those of large groups
// in digests, for which it subscribes to one candidate of each group. It is safe for
// concurrent use.
type statusFeed struct {
	name, zone string
	directory  *backends.Directory
	log        *logging.Bounded

	// disabledMechanism names a mechanism that a test switches off to see it fail.
	disabledMechanism string

	direct, digests, badDigests, unknownServers atomic.Uint64
	relayChanges                                map[string]*atomic.Uint64 // By cause; not changed after the start.

	mu sync.Mutex
	// servers is keyed by address, groups by name.
	servers map[string]*serverClock
	groups  map[string]*groupFeed
	// expiredAt is when clocks of servers that are gone were last forgotten.
	expiredAt time.Time
}

// serverClock is the clock of the agent of a server.
type serverClock struct {
	agent       string
	incarnation uint64
	clock       mesh.ReadClock
	usedAt      time.Time
}

// groupFeed is what a gateway knows of the relays of one group.
type groupFeed struct {
	size    int
	heardAt time.Time
	// candidates is keyed by rank.
	candidates map[int]candidate
	// failedUntil holds, by ID, when a relay that failed may be chosen again.
	failedUntil map[string]time.Time
	// relay is the agent that this gateway subscribes to, if subscribed is set.
	relay      mesh.Peer
	subscribed bool
	// subscribedAt is when relay was chosen, sentAt when the last subscription was sent,
	// digestAt when it last sent a digest, usefulAt when it was last seen to pass on
	// enough statuses, and checkedAt when the choice was last checked.
	subscribedAt, sentAt, digestAt, usefulAt, checkedAt time.Time
	period                                              time.Duration
	// serversHash stands for addresses, the servers by rank, in digests without them.
	serversHash uint64
	addresses   []string
	// clocks are those of the agents of these servers.
	clocks []*serverClock
	// heardDirectly and relayed hold, by rank, when the agent was last heard directly,
	// and when relay last passed on a status of it that was not old.
	heardDirectly, relayed map[int]time.Time
}

func newStatusFeed(name, zone string, directory *backends.Directory, logger *logging.Bounded) *statusFeed {
	f := &statusFeed{
		name: name, zone: zone, directory: directory, log: logger,
		servers: make(map[string]*serverClock), groups: make(map[string]*groupFeed), relayChanges: make(map[string]*atomic.Uint64),
	}
	for _, cause := range []string{relayFirst, relaySilent, relayStale, relayLeft, relayPreferred} {
		f.relayChanges[cause] = &atomic.Uint64{}
	}
	return f
}

// register adds the metrics of the feed to set.
func (f *statusFeed) register(set *metrics.Set) {
	gauge := func(name string, v *atomic.Uint64) {
		set.NewGauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge(`bluebellwind_status_messages_received{kind="direct"}`, &f.direct)
	gauge(`bluebellwind_status_messages_received{kind="digest"}`, &f.digests)
	gauge(`bluebellwind_status_digests_dropped{cause="malformed"}`, &f.badDigests)
	gauge(`bluebellwind_status_digests_dropped{cause="unknown_servers"}`, &f.unknownServers)
	for cause, n := range f.relayChanges {
		gauge(`bluebellwind_status_relay_changes{cause="`+cause+`"}`, n)
	}
}

// run subscribes to relays until ctx ends.
func (f *statusFeed) run(ctx context.Context, meshNode *mesh.Node) {
	clock.Every(ctx, feedTick, func(time.Time) {
		gateways := func() []mesh.Peer { return meshNode.Peers(mesh.Gateway) }
		for _, s := range f.tick(time.Now(), meshNode.Count(mesh.Gateway), gateways) {
			meshNode.Send(&meshpb.Packet{StatusSubscription: s.message}, s.to)
		}
	})
}

// handle takes in what a packet says of statuses.
func (f *statusFeed) handle(from mesh.Peer, packet *meshpb.Packet, now time.Time) {
	if s := packet.GetStatus(); s != nil {
		f.handleStatus(from, s, now)
	}
	if d := packet.GetStatusDigest(); d != nil {
		f.handleDigest(from, d, now)
	}
}

// handleStatus takes in a status that an agent sent itself.
func (f *statusFeed) handleStatus(from mesh.Peer, s *meshpb.RankStatus, now time.Time) {
	f.direct.Add(1)
	readAt := now
	if s.ReadMs != 0 {
		f.mu.Lock()
		c := f.serverClock(s.Server, now)
		if c.agent != from.ID || c.incarnation < from.Incarnation {
			*c = serverClock{agent: from.ID, incarnation: from.Incarnation, usedAt: now}
		}
		if f.disabledMechanism != "read-times" {
			readAt = c.clock.LocalTime(s.ReadMs, 0, now)
		}
		f.noteAgent(from, s, now)
		f.mu.Unlock()
	}
	if f.directory.UpdateStatus(s.Server, f.status(s, readAt)) {
		f.logChange(s.Server, s)
	}
}

// serverClock returns the clock of a server. The caller holds mu.
func (f *statusFeed) serverClock(address string, now time.Time) *serverClock {
	c := f.servers[address]
	if c == nil {
		c = &serverClock{}
		f.servers[address] = c
	}
	c.usedAt = now
	return c
}

// noteAgent records an agent that passes statuses on. The caller holds mu.
func (f *statusFeed) noteAgent(from mesh.Peer, s *meshpb.RankStatus, now time.Time) {
	size, rank := int(s.Size), int(s.Rank)
	if s.Group == "" || !rankagent.RelaysStatuses(size) {
		return
	}
	g := f.groups[s.Group]
	if g == nil {
		g = &groupFeed{
			candidates: make(map[int]candidate), failedUntil: make(map[string]time.Time),
			heardDirectly: make(map[int]time.Time), relayed: make(map[int]time.Time),
		}
		f.groups[s.Group] = g
	}
	if rank >= size {
		return
	}
	g.heardAt, g.size, g.heardDirectly[rank] = now, size, now
	if !rankagent.IsCandidate(rank, size) {
		return
	}
	old, known := g.candidates[rank]
	switch {
	case known && old.peer.ID == from.ID && from.Incarnation < old.peer.Incarnation:
	case s.Leaving:
		delete(g.candidates, rank)
	default:
		g.candidates[rank] = candidate{peer: from, heardAt: now}
	}
}

// handleDigest takes in the statuses that a candidate of a group passes on.
func (f *statusFeed) handleDigest(from mesh.Peer, d *meshpb.StatusDigest, now time.Time) {
	f.digests.Add(1)
	entries, err := rankagent.DecodeDigest(d)
	if err != nil {
		f.badDigests.Add(1)
		f.log.Debug().Str("event", "digest_unreadable").Str("relay", from.ID).Str("cause", err.Error()).Msg("")
		return
	}
	addresses, statuses, known := f.digestStatuses(from, d, entries, now)
	if !known {
		f.unknownServers.Add(1)
		return
	}
	for _, i := range f.directory.UpdateStatuses(addresses, statuses) {
		s := &statuses[i]
		f.logChange(addresses[i], &meshpb.RankStatus{Group: s.Group.Name, Epoch: s.Group.Epoch, Up: s.Up, Open: s.Open})
	}
}

// digestStatuses returns the statuses in a digest and the addresses of their servers. known
// is false if the addresses are not known.
func (f *statusFeed) digestStatuses(
	from mesh.Peer, d *meshpb.StatusDigest, entries []rankagent.DigestEntry, now time.Time,
) (addresses []string, statuses []backends.Status, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[d.Group]
	if g == nil {
		return nil, nil, false
	}
	if len(d.Servers) > 0 && g.serversHash != d.ServersHash {
		g.serversHash, g.addresses = d.ServersHash, d.Servers
		g.clocks = make([]*serverClock, len(d.Servers))
		for rank, address := range d.Servers {
			g.clocks[rank] = f.serverClock(address, now)
		}
	}
	isRelay := g.subscribed && g.relay.ID == from.ID
	if isRelay {
		g.digestAt, g.period = now, time.Duration(d.PeriodMs)*time.Millisecond
	}
	if g.serversHash != d.ServersHash || len(g.addresses) != int(d.Size) {
		g.sentAt = time.Time{} // The next subscription says so at once.
		return nil, nil, false
	}
	addresses, statuses = make([]string, 0, len(entries)), make([]backends.Status, 0, len(entries))
	for _, e := range entries {
		rank := int(e.Status.Rank)
		address := g.addresses[rank]
		if address == "" {
			continue
		}
		clock := g.clocks[rank]
		clock.usedAt = now
		readAt := clock.clock.LocalTime(e.Status.ReadMs, e.Age, now)
		if f.disabledMechanism == "read-times" {
			readAt = now
		}
		addresses, statuses = append(addresses, address), append(statuses, f.status(e.Status, readAt))
		if isRelay && now.Sub(readAt) < g.timeout() {
			g.relayed[rank] = now
		}
	}
	return addresses, statuses, true
}

// noteUseful records when the relay was last useful: since then it has passed on statuses of
// at least half of the agents that are heard directly. A relay that is slow, or cut off from
// others, does not. The caller holds the mutex of the feed.
func (g *groupFeed) noteUseful(now time.Time) {
	direct := 0
	var relayed []time.Time
	for rank := range g.size {
		if now.Sub(g.heardDirectly[rank]) >= 2*rankagent.HeartbeatPeriod {
			continue
		}
		direct++
		if at := g.relayed[rank]; now.Sub(at) < g.timeout() {
			relayed = append(relayed, at)
		}
	}
	half := max(1, (direct+1)/2)
	if len(relayed) >= half {
		slices.SortFunc(relayed, func(a, b time.Time) int { return b.Compare(a) })
		g.usefulAt = relayed[half-1]
	}
}

// status converts the status of a server that was read at readAt.
func (f *statusFeed) status(s *meshpb.RankStatus, readAt time.Time) backends.Status {
	status := statusFromProto(s, readAt)
	if f.disabledMechanism == "read-order" {
		status.ReadStamp = 0
	}
	return status
}

// statusFromProto converts the status of a server that was read at readAt.
func statusFromProto(s *meshpb.RankStatus, readAt time.Time) backends.Status {
	return backends.Status{
		Up:               s.Up,
		Group:            backends.Group{Name: s.Group, Epoch: s.Epoch, Rank: int(s.Rank), Size: int(s.Size)},
		Open:             s.Open,
		Running:          int(s.Running),
		Waiting:          int(s.Waiting),
		LastPass:         s.Step,
		PassTime:         time.Duration(s.PassUs) * time.Microsecond,
		RelativePassTime: float64(s.PaceMilli) / 1000,
		ReceivedAt:       readAt,
		ReadStamp:        s.ReadMs,
	}
}

// logChange logs that a server is new, went up or down, or that its group starts or stops
// accepting requests.
func (f *statusFeed) logChange(address string, s *meshpb.RankStatus) {
	f.log.Info().Str("event", "rank").Str("server", address).Str("group", s.Group).
		Uint64("epoch", s.Epoch).Bool("up", s.Up).Bool("open", s.Open).Msg("")
}
