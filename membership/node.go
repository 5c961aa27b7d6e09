package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership/membershippb"
)

// Exchanger sends a message to a peer and returns its reply. An error means
// that the peer may or may not have seen the message. Implementations are safe
// for concurrent use and honour the deadline of ctx.
type Exchanger interface {
	Exchange(ctx context.Context, peer Address, m *membershippb.Message) (*membershippb.Message, error)
}

// Options configure a Node.
type Options struct {
	Self Instance
	// Seeds are the instances from the settings, which the node contacts first.
	Seeds     []Instance
	Exchanger Exchanger
	Store     *Store
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// RandomSeed seeds the random choice of peers and the jitter. Nodes with the
	// same seed and incarnation make the same choices.
	RandomSeed uint64
	Timing     Timing
	// Spawn runs an exchange; nil means in a new goroutine. The node calls it
	// with its lock held, so it must not run the function before it returns.
	Spawn func(func())

	// Each of these switches disables one mechanism. Tests set them to check
	// that they fail without the mechanism.
	withoutIncarnations bool
	withoutJoin         bool
	withoutUrgent       bool
	withoutTextRepeat   bool
	withoutPauseCheck   bool
}

// Node maintains the membership state of one instance. It is safe for concurrent
// use.
type Node struct {
	opts    Options
	timing  Timing
	store   *Store
	now     func() time.Time
	spawn   func(func())
	started time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	self  Instance
	table *recordTable
	// listedByKey holds the seeds and the platform's instance list, without
	// this instance, by Instance.key.
	listedByKey map[string]Instance
	// lastSequence is the sequence of the newest record of this instance.
	lastSequence   uint32
	nextGossip     time.Time
	nextLoadReport time.Time
	nextStatus     time.Time
	// lastCrossZoneLoad is when the last load report that also spreads to other
	// zones was published.
	lastCrossZoneLoad time.Time
	lastStatus        *membershippb.Status
	gossipRound       uint64
	// changed holds, for each kind, the channel that the next change closes.
	changed [KindLast + 1]chan struct{}
	// joined is false after a start or a pause until peers were asked for
	// their revision; everJoined stays true after the first join.
	joined      bool
	everJoined  bool
	joinStarted time.Time
	lastStep    time.Time
	// rejectUntil is the end of the period after a pause in which requests are
	// rejected.
	rejectUntil time.Time
	// joinReadyReplies counts the replies of ready peers in this join,
	// joinPending the join requests without a reply so far, and joinAsked holds
	// the peers asked in this round.
	joinReadyReplies int
	joinPending      int
	joinAsked        map[Address]bool
	superseded       bool
	leaving          bool
	// consecutiveFailedReads counts the failed reads of the configuration
	// service since the last successful one.
	consecutiveFailedReads int
	// newestAnnounced is the newest revision, without its text, that a peer
	// announced and the store needed.
	newestAnnounced Revision
	// requestedRevision is the revision whose text was last requested from a
	// peer. Until textRequestDeadline no other request for it or an older one
	// is made.
	requestedRevision   Revision
	textRequestDeadline time.Time
	// textRepeatAt is when the text of newestAnnounced is asked for again if it has not
	// arrived; zero if it is not awaited.
	textRepeatAt time.Time
	// compressedText caches the compressed text of the revision whose digest is
	// compressedDigest.
	compressedText   []byte
	compressedDigest uint64
}

// New returns a node that knows only itself and the seeds. The caller then
// calls Run, or Step periodically. New returns an error if o lacks the
// exchanger, the store, or the ID, address, zone, role or incarnation of Self.
func New(o Options) (*Node, error) {
	if o.Self.ID == "" || o.Self.Addr == "" || o.Self.Zone == "" {
		return nil, errors.New("membership: the node needs an ID, an address and a zone")
	}
	if o.Self.Role != Entry && o.Self.Role != Agent {
		return nil, fmt.Errorf("membership: unknown role %d", o.Self.Role)
	}
	if o.Self.Incarnation == 0 || o.Exchanger == nil || o.Store == nil {
		return nil, errors.New("membership: the node needs an incarnation, an exchanger and a store")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Spawn == nil {
		o.Spawn = func(f func()) { go f() }
	}
	n := &Node{
		opts: o, timing: o.Timing.withDefaults(), store: o.Store, now: o.Now, spawn: o.Spawn,
		rng:         rand.New(rand.NewPCG(o.RandomSeed, o.Self.Incarnation)),
		self:        o.Self,
		table:       newRecordTable(),
		listedByKey: map[string]Instance{},
		joinAsked:   map[Address]bool{},
		joined:      o.withoutJoin,
	}
	n.table.acceptOldIncarnations = o.withoutIncarnations
	for k := range n.changed {
		n.changed[k] = make(chan struct{})
	}
	n.started = n.now()
	n.joinStarted, n.lastStep = n.started, n.started
	n.addListed(o.Seeds)
	n.nextStatus = n.started.Add(n.jitter(n.timing.StatusPeriod))
	n.nextGossip = n.started.Add(n.jitter(n.timing.GossipPeriod))
	n.publishFacts(n.started)
	return n, nil
}

// jitter returns a random duration between 0 and d. The caller holds n.mu.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d) + 1))
}

// publishFacts publishes the address, zone, region and role of this instance. The
// caller holds n.mu.
func (n *Node) publishFacts(now time.Time) {
	facts, err := proto.Marshal(&membershippb.Facts{
		Addr: string(n.self.Addr), Zone: n.self.Zone, Region: n.self.Region,
		Role: membershippb.Role(n.self.Role),
	})
	if err != nil {
		return
	}
	n.putOwnRecord(KindFacts, facts, incarnationRetention, false, now)
}

// putOwnRecord stores a new record of this instance in the table. The caller
// holds n.mu.
func (n *Node) putOwnRecord(k Kind, payload []byte, ttl time.Duration, direct bool, now time.Time) {
	n.lastSequence++
	r := Record{
		Origin: n.self.ID, Incarnation: n.self.Incarnation, Kind: k, Sequence: n.lastSequence,
		PublishedAt: now, TTL: ttl, Payload: payload, direct: direct,
	}
	if n.table.merge(r, now) {
		n.notifyChanged(k)
	}
}

// notifyChanged wakes the waiters on Changed for the kind. The caller holds
// n.mu.
func (n *Node) notifyChanged(k Kind) {
	close(n.changed[k])
	n.changed[k] = make(chan struct{})
}

// Publish replaces this instance's record of the given kind. The record is
// valid for ttl, which peers see truncated to whole seconds. The node sends
// load reports to the entries of its zone at the direct load period, and lets
// them spread to other zones at Timing.CrossZoneLoadPeriod, so callers may
// publish them at any rate. Leaving marks and suspects are pushed to peers
// immediately. KindFacts and KindStatus are published only by the node itself.
// Publish returns an error for these and unknown kinds, for a payload above
// MaxPayloadBytes, and if the node is superseded.
func (n *Node) Publish(k Kind, payload []byte, ttl time.Duration) error {
	if k != KindLoad && k != KindLeaving && k != KindSuspects {
		return fmt.Errorf("membership: kind %d cannot be published", k)
	}
	if len(payload) > MaxPayloadBytes {
		return fmt.Errorf("membership: payload of %d bytes, more than %d", len(payload), MaxPayloadBytes)
	}
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.superseded {
		return errors.New("membership: superseded by a newer process with the same instance ID")
	}
	if k == KindLoad {
		n.publishLoad(payload, ttl, now)
		return nil
	}
	n.putOwnRecord(k, payload, ttl, false, now)
	n.pushUrgent(n.table.origins[n.self.ID], "", now)
	return nil
}

// publishLoad stores a load report. One report in each CrossZoneLoadPeriod
// spreads by gossip and is valid for at least three of these periods; the others
// are only sent directly. The caller holds n.mu.
func (n *Node) publishLoad(payload []byte, ttl time.Duration, now time.Time) {
	crossZone := now.Sub(n.lastCrossZoneLoad) >= n.timing.CrossZoneLoadPeriod
	if crossZone {
		n.lastCrossZoneLoad = now
		ttl = max(ttl, 3*n.timing.CrossZoneLoadPeriod)
	}
	n.putOwnRecord(KindLoad, payload, ttl, !crossZone, now)
}

// Leave marks this instance as leaving. The mark cannot be withdrawn. It
// returns an error if the node is superseded.
func (n *Node) Leave() error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	return n.Publish(KindLeaving, nil, leavingTTL)
}

// Snapshot returns the unexpired records of a kind in no particular order. Expiry
// is checked during the call, so a process that was paused gets no outdated
// record.
func (n *Node) Snapshot(k Kind) []Record {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Record
	for _, o := range n.table.origins {
		if r := o.latest[k]; r != nil && !r.expired(now) {
			out = append(out, *r)
		}
	}
	return out
}

// Changed returns a channel that is closed when a record of the kind next
// changes. Call it before Snapshot to miss no change. The expiry of a record does
// not close the channel.
func (n *Node) Changed(k Kind) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed[k]
}

// SetInstanceList replaces the platform's instance list, which may be out of
// date. An instance counts as leaving if the list or its own record marks it. An
// instance missing from the list may still be running.
func (n *Node) SetInstanceList(instances []Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listedByKey = make(map[string]Instance, len(instances)+len(n.opts.Seeds))
	n.addListed(n.opts.Seeds)
	n.addListed(instances)
}

// addListed adds instances to listedByKey, except this one and those without an
// address. The caller holds n.mu.
func (n *Node) addListed(instances []Instance) {
	for _, i := range instances {
		if i.key() != n.self.ID && i.Addr != n.self.Addr && i.Addr != "" {
			n.listedByKey[i.key()] = i
		}
	}
}

// Superseded reports whether another process runs under this instance's ID with
// a higher incarnation. This process must then stop serving.
func (n *Node) Superseded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.superseded
}
