package membership

import "time"

// Timing holds the periods and timeouts of a node. A zero field means its
// default.
type Timing struct {
	// TickPeriod is the time between two steps of Run.
	TickPeriod time.Duration
	// GossipPeriod is the minimum time between two digest exchanges that a node
	// starts, unless an exchange fails. In a large fleet the time is
	// GossipPeriodPerInstance times the number of live instances, up to
	// GossipPeriodMax.
	GossipPeriod            time.Duration
	GossipPeriodPerInstance time.Duration
	GossipPeriodMax         time.Duration
	// DirectLoadPeriodPerEntry times the number of live entries of the zone is
	// the time between two load reports that an agent sends to these entries,
	// between DirectLoadPeriodMin and DirectLoadPeriodMax.
	DirectLoadPeriodPerEntry time.Duration
	DirectLoadPeriodMin      time.Duration
	DirectLoadPeriodMax      time.Duration
	// CrossZoneLoadPeriod is the time between two load reports of an agent that
	// also spread to other zones.
	CrossZoneLoadPeriod time.Duration
	// StatusPeriod is the time between two status records whose reported
	// problems do not change.
	StatusPeriod time.Duration
	// AliveTimeout is how long an instance counts as alive after the last sign
	// of life.
	AliveTimeout time.Duration
	// ExchangeTimeout limits the duration of one exchange with a peer.
	ExchangeTimeout time.Duration
	// JoinTimeout limits how long a joining node waits for replies of ready
	// peers.
	JoinTimeout time.Duration
	// ReadDelayPerRank times an instance's read rank, which is its position in
	// the order in which the instances of its zone read, is how long it waits
	// for a revision from peers before it reads the configuration service
	// itself.
	ReadDelayPerRank time.Duration
	// WatchTimeout limits the duration of one watch on the configuration
	// service.
	WatchTimeout time.Duration
	// ReadRetryPeriod is the average time between two failing reads of the
	// configuration service.
	ReadRetryPeriod time.Duration
}

// withDefaults returns t with the defaults in place of zero fields.
func (t Timing) withDefaults() Timing {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.TickPeriod, 100*time.Millisecond)
	set(&t.GossipPeriod, 5*time.Second)
	set(&t.GossipPeriodPerInstance, 7500*time.Microsecond)
	set(&t.GossipPeriodMax, 8*time.Second)
	set(&t.DirectLoadPeriodPerEntry, 80*time.Millisecond)
	set(&t.DirectLoadPeriodMin, 500*time.Millisecond)
	set(&t.DirectLoadPeriodMax, 4*time.Second)
	set(&t.CrossZoneLoadPeriod, 30*time.Second)
	set(&t.StatusPeriod, 60*time.Second)
	set(&t.AliveTimeout, 45*time.Second)
	set(&t.ExchangeTimeout, 2*time.Second)
	set(&t.JoinTimeout, 5*time.Second)
	set(&t.ReadDelayPerRank, 500*time.Millisecond)
	set(&t.WatchTimeout, 30*time.Second)
	set(&t.ReadRetryPeriod, 2*time.Second)
	return t
}

const (
	// relaysPerZone is the number of entries of a zone that exchange digests
	// with other zones.
	relaysPerZone = 6
	// readersPerZone is the number of instances of a zone that watch the
	// configuration service.
	readersPerZone = 2
	// urgentFanout is the maximum number of entries of its zone to which an
	// instance sends an urgent record or a new revision number as soon as it
	// learns of it. An entry also sends a new revision number to at most this
	// many agents of its zone.
	urgentFanout = 6
	// listedPeerOdds is N in "one in N gossip exchanges goes to a listed
	// instance that is not known to be alive". The listed instances are the
	// seeds and those in the platform's instance list.
	listedPeerOdds = 8
	// maxJoinPeers is the maximum number of peers that a joining node asks for
	// their revision at the same time.
	maxJoinPeers = 3
	// maxMessageRecordBytes is the total record size above which no further
	// origin's records are added to the reply to a digest.
	maxMessageRecordBytes = 48 << 10
	// MaxPayloadBytes is the maximum size of a record's payload.
	MaxPayloadBytes = 4 << 10
	// MaxTextBytes is the maximum size of a revision's text. The configuration
	// service has the same limit.
	MaxTextBytes = 1 << 20
	// incarnationRetention is how long the incarnation of a silent origin is
	// kept, so that records of an older process with the same ID are rejected.
	incarnationRetention = 2 * time.Hour
	// leavingTTL is the time to live of a leaving mark.
	leavingTTL = 30 * time.Minute
	// readFailureThreshold is the number of consecutive failed reads after which
	// other instances of the zone read the configuration service instead.
	readFailureThreshold = 2
)

// directLoadPeriod returns the time between two load reports of an agent to the
// entries of its zone.
func (t Timing) directLoadPeriod(entryCount int) time.Duration {
	return min(max(t.DirectLoadPeriodPerEntry*time.Duration(entryCount), t.DirectLoadPeriodMin), t.DirectLoadPeriodMax)
}

// LoadPeriods returns the usual time between two load reports that this instance
// receives from an agent of its own zone, and from an agent of another zone. The
// second adds twice GossipPeriodMax for the gossip between the zones.
func (n *Node) LoadPeriods() (sameZone, otherZone time.Duration) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	zoneEntries := filter(n.alive(now), func(i Instance) bool { return i.Role == Entry && i.Zone == n.self.Zone })
	return n.timing.directLoadPeriod(len(zoneEntries)), n.timing.CrossZoneLoadPeriod + 2*n.timing.GossipPeriodMax
}
