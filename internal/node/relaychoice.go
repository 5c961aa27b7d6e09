package node

import (
	"slices"
	"time"

	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// candidate is an agent that passes statuses on.
type candidate struct {
	peer    mesh.Peer
	heardAt time.Time
}

// subscription is a message that is to be sent.
type subscription struct {
	to      mesh.Peer
	message *meshpb.StatusSubscription
}

// tick chooses relays and returns the subscriptions that are due. count is the number of
// live gateways, and gateways returns the other ones.
func (f *statusFeed) tick(now time.Time, count int, gateways func() []mesh.Peer) []subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.expiredAt) >= idleGroupSpan {
		f.expiredAt = now
		for address, c := range f.servers {
			if now.Sub(c.usedAt) > idleGroupSpan {
				delete(f.servers, address)
			}
		}
	}
	var out []subscription
	for name, g := range f.groups {
		if now.Sub(g.heardAt) > idleGroupSpan {
			delete(f.groups, name)
			continue
		}
		if count < minRelayGateways {
			g.subscribed = false
			continue
		}
		f.checkRelay(name, g, gateways, now)
		if g.subscribed && now.Sub(g.sentAt) >= subscribePeriod {
			g.sentAt = now
			out = append(out, subscription{g.relay, &meshpb.StatusSubscription{Group: name, KnownServers: g.serversHash}})
		}
	}
	return out
}

// timeout returns the time without a useful digest after which the relay has failed.
func (g *groupFeed) timeout() time.Duration {
	return max(relayTimeout, min(relayTimeoutPeriods*g.period, candidateLifetime))
}

// checkRelay changes the relay of a group if there is none, it has left or failed, or
// another one is preferred. The caller holds mu.
func (f *statusFeed) checkRelay(name string, g *groupFeed, gateways func() []mesh.Peer, now time.Time) {
	cause := ""
	g.noteUseful(now)
	switch {
	case !g.subscribed:
		cause = relayFirst
	case !g.isCandidate(g.relay.ID):
		cause = relayLeft
	case now.Sub(later(g.subscribedAt, g.usefulAt)) >= g.timeout() && f.disabledMechanism != "relay-failover":
		cause = relaySilent
		if now.Sub(g.digestAt) < g.timeout()/2 {
			cause = relayStale
		}
		g.failedUntil[g.relay.ID] = now.Add(failedRelaySpan)
	case now.Sub(g.checkedAt) >= preferencePeriod:
		cause = relayPreferred
	default:
		return
	}
	g.checkedAt = now
	next, found := f.preferredRelay(g, gateways(), now)
	if !found || g.subscribed && next.ID == g.relay.ID && next.Incarnation == g.relay.Incarnation && cause == relayPreferred {
		return
	}
	f.relayChanges[cause].Add(1)
	f.log.Info().Str("event", "status_relay").Str("group", name).Str("relay", next.ID).Str("previous", g.relay.ID).Str("cause", cause).Msg("")
	g.relay, g.subscribed, g.subscribedAt = next, true, now
	g.sentAt, g.digestAt, g.usefulAt, g.period = time.Time{}, time.Time{}, time.Time{}, 0
	clear(g.relayed)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (g *groupFeed) isCandidate(id string) bool {
	for _, c := range g.candidates {
		if c.peer.ID == id {
			return true
		}
	}
	return false
}

// preferredRelay returns the candidate that this gateway should use. Gateways of a zone
// take the candidates there in turn, and all gateways all candidates if their zones have
// none. Candidates that failed lately come last.
func (f *statusFeed) preferredRelay(g *groupFeed, gateways []mesh.Peer, now time.Time) (mesh.Peer, bool) {
	var local, all []mesh.Peer
	for rank := range g.size {
		c, known := g.candidates[rank]
		if !known || now.Sub(c.heardAt) >= candidateLifetime {
			continue
		}
		all = append(all, c.peer)
		if c.peer.Zone == f.zone {
			local = append(local, c.peer)
		}
	}
	index, localIndex := 0, 0
	for _, gw := range gateways {
		if gw.ID < f.name {
			index++
			if gw.Zone == f.zone {
				localIndex++
			}
		}
	}
	order := slices.Concat(rotate(local, localIndex), rotate(all, index))
	for _, p := range order {
		if !now.Before(g.failedUntil[p.ID]) {
			return p, true
		}
	}
	if len(order) == 0 {
		return mesh.Peer{}, false
	}
	return slices.MinFunc(order, func(a, b mesh.Peer) int { return g.failedUntil[a.ID].Compare(g.failedUntil[b.ID]) }), true
}

// rotate returns a list that begins with element n, counted around.
func rotate(list []mesh.Peer, n int) []mesh.Peer {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}
