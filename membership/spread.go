package membership

import (
	"context"
	"time"

	"bluebellwind.example/membership/membershippb"
)

// startExchange sends m to peer in the background and continues the exchange
// while replies request more. It then calls done, unless it is nil, with the
// first reply, which is nil if there was none. The caller may hold n.mu.
func (n *Node) startExchange(peer Address, m *membershippb.Message, done func(reply *membershippb.Message)) {
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.timing.ExchangeTimeout)
		defer cancel()
		var firstReply *membershippb.Message
		for range maxExchangeRounds {
			reply, err := n.opts.Exchanger.Exchange(ctx, peer, m)
			if err != nil || reply == nil {
				n.scheduleRetry()
				break
			}
			if firstReply == nil {
				firstReply = reply
			}
			if m = n.handleReply(reply); m == nil {
				break
			}
		}
		if done != nil {
			done(firstReply)
		}
	})
}

// scheduleRetry brings the next gossip exchange forward after a failed exchange,
// so that a lost message delays state by less than a gossip period. It also
// allows an outstanding text request to be repeated.
func (n *Node) scheduleRetry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.textRequestDeadline = time.Time{}
	retryAt := n.now().Add(n.timing.GossipPeriod / retriesPerGossipPeriod)
	if retryAt.Before(n.nextGossip) {
		n.nextGossip = retryAt
	}
}

// retriesPerGossipPeriod is the highest number of exchanges that a node attempts
// in one GossipPeriod while its peers do not reply.
const retriesPerGossipPeriod = 5

// maxExchangeRounds is the maximum number of messages that the initiator sends
// in one exchange: the digest, the records and text that the peer requests, and
// a request for a text that was announced in the meantime.
const maxExchangeRounds = 3

// pushUrgent immediately sends the records of o to peers other than the sender
// from which they came. The caller holds n.mu.
func (n *Node) pushUrgent(o *originState, sender string, now time.Time) {
	if n.opts.withoutUrgent || o == nil {
		return
	}
	m := n.newMessage()
	m.Records, _ = appendNewerRecords(nil, 0, o, 0, recordScope{}, now)
	if len(m.GetRecords()) == 0 {
		return
	}
	for _, peer := range n.urgentPeers(sender, o.instance.ID == n.self.ID, now) {
		n.startExchange(peer.Addr, m, nil)
	}
}

// announceRevision immediately sends the number and digest of the current
// revision to peers, which request the text if they need it. Only entries send
// it to agents. The caller holds n.mu.
func (n *Node) announceRevision(now time.Time) {
	if n.opts.withoutUrgent {
		return
	}
	m := n.newMessage()
	for _, peer := range n.urgentPeers("", true, now) {
		n.startExchange(peer.Addr, m, nil)
	}
	agents := filter(n.alive(now), func(i Instance) bool {
		return i.Role == Agent && i.Zone == n.self.Zone && i.ID != n.self.ID
	})
	if n.self.Role != Entry {
		return
	}
	for _, peer := range n.pickRandom(agents, urgentFanout) {
		n.startExchange(peer.Addr, m, nil)
	}
}

// urgentPeers returns up to urgentFanout entries of this zone, chosen at random.
// If this node is the origin of the state or a relay, it adds one entry of each
// other zone. It leaves out the instance with the ID exclude. The caller holds
// n.mu.
func (n *Node) urgentPeers(exclude string, isOrigin bool, now time.Time) []Instance {
	entries := filter(n.assumedAlive(now), func(i Instance) bool {
		return i.Role == Entry && i.ID != n.self.ID && (exclude == "" || i.ID != exclude)
	})
	sameZone := filter(entries, func(i Instance) bool { return i.Zone == n.self.Zone })
	out := n.pickRandom(sameZone, urgentFanout)
	if !isOrigin && !n.isRelay(entries) {
		return out
	}
	for _, zone := range zonesOf(entries) {
		if zone == n.self.Zone {
			continue
		}
		otherZone := filter(entries, func(i Instance) bool { return i.Zone == zone })
		out = append(out, n.pickRandom(otherZone, 1)...)
	}
	return out
}

// pickRandom returns up to count randomly chosen instances. It shuffles the
// slice in place. The caller holds n.mu.
func (n *Node) pickRandom(instances []Instance, count int) []Instance {
	n.rng.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	return instances[:min(count, len(instances))]
}
