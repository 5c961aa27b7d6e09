package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// relayedStatusPerRank times the number of ranks is the least time between two
	// statuses to the candidates of a large group while gateways get digests, so that a
	// candidate gets at most some 330 a second.
	relayedStatusPerRank = 3 * time.Millisecond
	// digestPeriod is the least time between two digests, and digestPeriodPerGateway
	// times the number of subscribed gateways too, so that a candidate sends at most 80
	// a second.
	digestPeriod           = 100 * time.Millisecond
	digestPeriodPerGateway = 12500 * time.Microsecond
	// subscriptionLifetime is how long digests are sent after a subscription.
	subscriptionLifetime = 1500 * time.Millisecond
	// HeartbeatPeriod is the time between two direct statuses to a gateway that gets
	// digests. It is below the 1.5 s for which gateways use a status.
	HeartbeatPeriod = 1300 * time.Millisecond
	// servedLifetime and servedPeriods bound, in time and in status periods of which the
	// greater counts, how long an agent believes a candidate that it serves a gateway.
	servedLifetime = 1200 * time.Millisecond
	servedPeriods  = 2.5
	// maxRelayedAge is the greatest age of a status in a digest. Gateways use none that
	// is older.
	maxRelayedAge = 1500 * time.Millisecond
	// maxSubscribers bounds the memory that subscriptions take.
	maxSubscribers = 1024
)

// RelaysStatuses reports whether the candidates of a group of size ranks pass its statuses
// on to the gateways.
func RelaysStatuses(size int) bool { return size > maxSmallGroup }

// IsCandidate reports whether the agent of a rank may lead its group, and in a large group
// passes the group's statuses on.
func IsCandidate(rank, size int) bool { return isCandidate(rank, size) }

// statusRelay holds the statuses of a large group at one of its candidates, the gateways
// that subscribed to them there, and which gateways are served by other candidates. It is
// guarded by the mutex of the agent.
type statusRelay struct {
	// group is the name of the group that latest is about.
	group       string
	latest      map[int]relayedStatus // By rank.
	subscribers map[string]subscriber // By ID.
	digestAt    time.Time             // When all subscribers last got a digest.
	// served holds, by the hash of its ID, until when a gateway counts as served by some
	// candidate.
	served map[uint32]time.Time
	// wake makes runRelay send at once.
	wake chan struct{}
}

// relayedStatus is the latest status of one rank.
type relayedStatus struct {
	status      *meshpb.RankStatus
	agent       string
	incarnation uint64
	clock       mesh.ReadClock
	readAt      time.Time
	// isNew is set until the status was in a digest to all subscribers.
	isNew bool
}

// subscriber is a gateway that gets digests.
type subscriber struct {
	peer         mesh.Peer
	knownServers uint64
	until        time.Time
	// sent is set once it has got a digest.
	sent bool
}

func newStatusRelay() statusRelay {
	return statusRelay{
		latest: make(map[int]relayedStatus), subscribers: make(map[string]subscriber), served: make(map[uint32]time.Time),
		wake: make(chan struct{}, 1),
	}
}

// relaying reports whether the local agent passes statuses on. The caller holds a.mu.
func (a *Agent) relaying() bool {
	g := a.report.Group
	return RelaysStatuses(g.Size) && isCandidate(g.Rank, g.Size) && !a.leaving
}

// noteRelayed records a status of the group unless it is older than what is known. Those of
// agents that state no time are not relayed. The caller holds a.mu.
func (a *Agent) noteRelayed(from mesh.Peer, s *meshpb.RankStatus, now time.Time) {
	if !a.relaying() || s.ReadMs == 0 || s.Group != a.report.Group.Name || int(s.Rank) >= a.report.Group.Size {
		return
	}
	r := &a.relay
	if r.group != s.Group {
		r.group = s.Group
		clear(r.latest)
	}
	e, known := r.latest[int(s.Rank)]
	sameAgent := known && e.agent == from.ID
	switch {
	case sameAgent && (from.Incarnation < e.incarnation || from.Incarnation == e.incarnation && s.ReadMs <= e.status.ReadMs):
		return
	case !sameAgent || from.Incarnation > e.incarnation:
		e = relayedStatus{agent: from.ID, incarnation: from.Incarnation}
	}
	e.status, e.readAt, e.isNew = s, e.clock.LocalTime(s.ReadMs, 0, now), true
	r.latest[int(s.Rank)] = e
}

// handleSubscription records that a gateway wants digests.
func (a *Agent) handleSubscription(from mesh.Peer, s *meshpb.StatusSubscription) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.relaying() || from.Role != mesh.Gateway || s.Group != a.report.Group.Name {
		return
	}
	old, known := a.relay.subscribers[from.ID]
	if !known && len(a.relay.subscribers) >= maxSubscribers {
		return
	}
	a.relay.subscribers[from.ID] = subscriber{
		peer: from, knownServers: s.KnownServers, until: time.Now().Add(subscriptionLifetime), sent: old.sent && old.knownServers == s.KnownServers,
	}
	if !known {
		a.log.Info().Str("event", "digest_subscribed").Str("gateway", from.ID).Int("gateways", len(a.relay.subscribers)).Msg("")
		select {
		case a.relay.wake <- struct{}{}:
		default:
		}
	}
}

// handleServed records which gateways another candidate of the group serves.
func (a *Agent) handleServed(s *meshpb.ServedGateways) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Group == "" || s.Group != a.report.Group.Name {
		return
	}
	now := time.Now()
	lifetime := max(servedLifetime, time.Duration(servedPeriods*float64(a.statusPeriod())))
	for _, gateway := range s.Gateways {
		if len(a.relay.served) < maxSubscribers {
			a.relay.served[gateway] = now.Add(lifetime)
		}
	}
}

// servedMessage returns a message that names the subscribers, or nil if there are none. The
// caller holds a.mu.
func (a *Agent) servedMessage(now time.Time) *meshpb.ServedGateways {
	a.expireSubscribers(now)
	if len(a.relay.subscribers) == 0 || !a.relaying() {
		return nil
	}
	m := &meshpb.ServedGateways{Group: a.report.Group.Name}
	for id := range a.relay.subscribers {
		m.Gateways = append(m.Gateways, mesh.HashID(id))
	}
	return m
}

func (a *Agent) expireSubscribers(now time.Time) {
	for id, s := range a.relay.subscribers {
		if now.After(s.until) || !a.relaying() {
			delete(a.relay.subscribers, id)
			a.log.Info().Str("event", "digest_unsubscribed").Str("gateway", id).Int("gateways", len(a.relay.subscribers)).Msg("")
		}
	}
}

// anyServed reports whether a candidate of the group serves gateways. It forgets what has
// expired. The caller holds a.mu.
func (a *Agent) anyServed(now time.Time) bool {
	if !RelaysStatuses(a.report.Group.Size) {
		return false
	}
	for gateway, until := range a.relay.served {
		if now.After(until) {
			delete(a.relay.served, gateway)
		}
	}
	a.expireSubscribers(now)
	return len(a.relay.served) > 0 || len(a.relay.subscribers) > 0
}

// withoutServed returns the gateways that no candidate serves. The caller holds a.mu.
func (a *Agent) withoutServed(gateways []mesh.Peer, now time.Time) []mesh.Peer {
	out := make([]mesh.Peer, 0, len(gateways))
	for _, g := range gateways {
		_, subscribed := a.relay.subscribers[g.ID]
		if until, served := a.relay.served[mesh.HashID(g.ID)]; !subscribed && (!served || now.After(until)) {
			out = append(out, g)
		}
	}
	return out
}

// runRelay sends digests while there are subscribers, until ctx ends.
func (a *Agent) runRelay(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.relay.wake:
		}
		if wait := a.sendDigests(time.Now()); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// sendDigests sends what is new to all subscribers when the period is over, and a whole
// digest to those that are new or do not know the servers. It returns the time until the
// next digest, or 0 if there are no subscribers.
func (a *Agent) sendDigests(now time.Time) time.Duration {
	a.mu.Lock()
	a.expireSubscribers(now)
	r := &a.relay
	if len(r.subscribers) == 0 {
		a.mu.Unlock()
		return 0
	}
	period := max(digestPeriod, digestPeriodPerGateway*time.Duration(len(r.subscribers)))
	due := now.Sub(r.digestAt) >= period
	all, changed := a.digestEntries(now, due)
	if due {
		r.digestAt = now
	}
	servers := a.serverAddresses()
	hash := hashServers(servers)
	var knowing, lacking []mesh.Peer
	for id, s := range r.subscribers {
		switch {
		case s.sent && !due:
		case s.sent && s.knownServers == hash:
			knowing = append(knowing, s.peer)
		default:
			lacking = append(lacking, s.peer)
		}
		s.sent = true
		r.subscribers[id] = s
	}
	wait := max(r.digestAt.Add(period).Sub(now), time.Millisecond)
	a.mu.Unlock()
	if len(knowing) > 0 && len(changed) > 0 {
		a.mesh.Send(&meshpb.Packet{StatusDigest: EncodeDigest(changed, servers, false, period)}, knowing...)
		a.metrics.digestsSent.Add(len(knowing))
	}
	if len(lacking) > 0 && len(all) > 0 {
		a.mesh.Send(&meshpb.Packet{StatusDigest: EncodeDigest(all, servers, true, period)}, lacking...)
		a.metrics.digestsSent.Add(len(lacking))
	}
	return wait
}

// digestEntries returns the statuses of the latest epoch that are not too old, by rank, and
// those of them that are new. With take, these are not new any more. The caller holds a.mu.
func (a *Agent) digestEntries(now time.Time, take bool) (all, changed []DigestEntry) {
	if a.relay.group != a.report.Group.Name {
		return nil, nil
	}
	var epoch uint64
	for _, e := range a.relay.latest {
		if now.Sub(e.readAt) <= maxRelayedAge {
			epoch = max(epoch, e.status.Epoch)
		}
	}
	for rank := range a.report.Group.Size {
		e, found := a.relay.latest[rank]
		if !found || now.Sub(e.readAt) > maxRelayedAge || e.status.Epoch != epoch {
			continue
		}
		entry := DigestEntry{Status: e.status, Age: now.Sub(e.readAt)}
		all = append(all, entry)
		if e.isNew {
			changed = append(changed, entry)
		}
		if take {
			e.isNew = false
			a.relay.latest[rank] = e
		}
	}
	return all, changed
}

// serverAddresses returns the addresses of the group's servers by rank, as far as they are
// known. The caller holds a.mu.
func (a *Agent) serverAddresses() []string {
	servers := make([]string, a.report.Group.Size)
	for rank := range servers {
		if e, found := a.relay.latest[rank]; found {
			servers[rank] = e.status.Server
		}
	}
	return servers
}
