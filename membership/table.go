package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership/membershippb"
)

// originState is the known state of one instance, in its newest known
// incarnation.
type originState struct {
	instance Instance
	// heartbeat is the highest known value of the counter that the instance
	// increments in every gossip round.
	heartbeat uint32
	// lastHeard is the time of the last sign of life: a message, a heartbeat or
	// the publication of a record.
	lastHeard time.Time
	// latest holds the newest record of each kind, including direct ones.
	latest [KindLast + 1]*Record
	// gossiped holds the newest record of each kind that is not direct; these
	// are sent on to other instances.
	gossiped [KindLast + 1]*Record
	// version is the highest sequence ever stored in gossiped.
	version uint32
}

// hasFacts reports whether the KindFacts record of the instance has arrived.
func (o *originState) hasFacts() bool { return o.latest[KindFacts] != nil }

func (o *originState) leaving(now time.Time) bool {
	r := o.latest[KindLeaving]
	return r != nil && !r.expired(now)
}

// recordTable is the set of records that a node holds. It is not safe for
// concurrent use; Node guards it with its mutex.
type recordTable struct {
	origins     map[string]*originState
	byDigestKey map[uint32]*originState
	// acceptOldIncarnations disables the check that rejects records of older
	// incarnations. Tests set it to check that they fail without it.
	acceptOldIncarnations bool
}

func newRecordTable() *recordTable {
	return &recordTable{origins: map[string]*originState{}, byDigestKey: map[uint32]*originState{}}
}

// originFor returns the state of the given incarnation of id. It creates the
// state if there is none, and replaces that of an older incarnation. It returns
// nil if a newer incarnation is known.
func (t *recordTable) originFor(id string, incarnation uint64, now time.Time) *originState {
	o := t.origins[id]
	if o != nil && incarnation == o.instance.Incarnation {
		return o
	}
	if o != nil && incarnation < o.instance.Incarnation && !t.acceptOldIncarnations {
		return nil
	}
	if o != nil {
		delete(t.byDigestKey, digestKey(id, o.instance.Incarnation))
	}
	o = &originState{instance: Instance{ID: id, Incarnation: incarnation}, lastHeard: now}
	t.origins[id] = o
	t.byDigestKey[digestKey(id, incarnation)] = o
	return o
}

// merge adds a record to the table and reports whether it is the newest of its
// kind. It ignores malformed and expired records and those of older incarnations.
func (t *recordTable) merge(r Record, now time.Time) bool {
	if r.Origin == "" || r.Kind == 0 || r.Kind > KindLast || len(r.Payload) > MaxPayloadBytes {
		return false
	}
	if r.expired(now) {
		return false
	}
	o := t.originFor(r.Origin, r.Incarnation, now)
	if o == nil {
		return false
	}
	if !r.direct && newer(o.gossiped[r.Kind], &r) {
		o.gossiped[r.Kind] = &r
		o.version = max(o.version, r.Sequence)
	}
	if !newer(o.latest[r.Kind], &r) {
		return false
	}
	o.latest[r.Kind] = &r
	if r.PublishedAt.After(o.lastHeard) {
		o.lastHeard = r.PublishedAt
	}
	if r.Kind == KindFacts {
		o.applyFacts(r.Payload)
	}
	return true
}

// newer reports whether r replaces current, which may be nil.
func newer(current, r *Record) bool { return current == nil || r.Sequence > current.Sequence }

// applyFacts copies the payload of a KindFacts record into instance. It ignores a
// payload that cannot be decoded.
func (o *originState) applyFacts(payload []byte) {
	var f membershippb.Facts
	if proto.Unmarshal(payload, &f) != nil {
		return
	}
	o.instance.Addr = Address(f.GetAddr())
	o.instance.Zone = f.GetZone()
	o.instance.Region = f.GetRegion()
	o.instance.Role = Role(f.GetRole())
}

// expire removes expired records, except facts in latest, and origins that have
// been silent for longer than incarnationRetention.
func (t *recordTable) expire(now time.Time) {
	for id, o := range t.origins {
		for kind, r := range o.latest {
			if r == nil || !r.expired(now) || Kind(kind) == KindFacts {
				continue
			}
			o.latest[kind] = nil
		}
		for kind, r := range o.gossiped {
			if r != nil && r.expired(now) {
				o.gossiped[kind] = nil
			}
		}
		if now.Sub(o.lastHeard) > incarnationRetention {
			delete(t.byDigestKey, digestKey(id, o.instance.Incarnation))
			delete(t.origins, id)
		}
	}
}

// recordScope limits the records that are sent to one peer, given by its ID,
// role and zone. An agent needs the facts and leaving marks of itself, of the
// entries of its own zone and of the origins of suspects, and all suspects. An
// entry needs everything. The zero value includes everything.
type recordScope struct {
	id   string
	role Role
	zone string
}

// includesOrigin reports whether the peer needs any records of o.
func (s recordScope) includesOrigin(o *originState) bool {
	if s.role != Agent {
		return true
	}
	if o.instance.ID == s.id || o.instance.Role == Entry && o.instance.Zone == s.zone {
		return true
	}
	return o.gossiped[KindSuspects] != nil
}

// includesKind reports whether the peer needs records of kind k.
func (s recordScope) includesKind(k Kind) bool {
	if s.role != Agent || k == KindSuspects {
		return true
	}
	return k == KindFacts || k == KindLeaving
}

// aliveInScope returns the live origins within the scope. They are sorted by ID,
// so that equal states produce equal messages.
func (t *recordTable) aliveInScope(scope recordScope, now time.Time, aliveTimeout time.Duration) []*originState {
	out := make([]*originState, 0, len(t.origins))
	for _, o := range t.origins {
		if now.Sub(o.lastHeard) <= aliveTimeout && scope.includesOrigin(o) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *originState) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return out
}

// digestOf returns the digest of the origins, in their order.
func digestOf(origins []*originState) *membershippb.Digest {
	d := &membershippb.Digest{
		Keys:       make([]uint32, len(origins)),
		Versions:   make([]uint32, len(origins)),
		Heartbeats: make([]uint32, len(origins)),
	}
	for i, o := range origins {
		d.Keys[i] = digestKey(o.instance.ID, o.instance.Incarnation)
		d.Versions[i] = o.version
		d.Heartbeats[i] = o.heartbeat
	}
	return d
}

// reconcile compares a peer's digest with the table and applies the heartbeats in
// it. It returns the records within the scope that the peer lacks, the heartbeats
// that are newer here, and the digest keys of origins for which the peer has
// newer records.
func (t *recordTable) reconcile(d *membershippb.Digest, scope recordScope, now time.Time, aliveTimeout time.Duration) (missing []*membershippb.Record, heartbeats *membershippb.Digest, wantedKeys []uint32) {
	peerIndex := make(map[uint32]int, len(d.GetKeys()))
	for i, key := range d.GetKeys() {
		if i >= len(d.GetVersions()) || i >= len(d.GetHeartbeats()) {
			break
		}
		peerIndex[key] = i
		o := t.byDigestKey[key]
		if o == nil || d.Versions[i] > o.version {
			wantedKeys = append(wantedKeys, key)
		}
		t.applyHeartbeat(o, d.Heartbeats[i], now)
	}
	totalBytes := 0
	heartbeats = &membershippb.Digest{}
	for _, o := range t.aliveInScope(scope, now, aliveTimeout) {
		key := digestKey(o.instance.ID, o.instance.Incarnation)
		i, ok := peerIndex[key]
		var peerVersion, peerHeartbeat uint32
		if ok {
			peerVersion, peerHeartbeat = d.Versions[i], d.Heartbeats[i]
		}
		if o.heartbeat > peerHeartbeat {
			heartbeats.Keys = append(heartbeats.Keys, key)
			heartbeats.Heartbeats = append(heartbeats.Heartbeats, o.heartbeat)
		}
		missing, totalBytes = appendNewerRecords(missing, totalBytes, o, peerVersion, scope, now)
	}
	return missing, heartbeats, wantedKeys
}

// applyHeartbeat records a heartbeat that is higher than the known one as a sign
// of life at now. It ignores a nil origin.
func (t *recordTable) applyHeartbeat(o *originState, heartbeat uint32, now time.Time) {
	if o != nil && heartbeat > o.heartbeat {
		o.heartbeat = heartbeat
		o.lastHeard = now
	}
}

// appendNewerRecords appends to out the records of o within the scope whose
// sequence is above afterVersion. It appends all of them, or none if totalBytes
// already exceeds maxMessageRecordBytes: the peer takes the highest sequence it
// receives as the version it holds, and would not request an omitted lower one.
// It returns out and the updated total, which allows 24 bytes for the encoded
// fields of a record other than payload and origin.
func appendNewerRecords(out []*membershippb.Record, totalBytes int, o *originState, afterVersion uint32, scope recordScope, now time.Time) ([]*membershippb.Record, int) {
	if o.version <= afterVersion || totalBytes > maxMessageRecordBytes {
		return out, totalBytes
	}
	for kind, r := range o.gossiped {
		if r == nil || r.Sequence <= afterVersion || r.expired(now) || !scope.includesKind(Kind(kind)) {
			continue
		}
		out = append(out, r.toProto(now))
		totalBytes += len(r.Payload) + len(r.Origin) + 24
	}
	return out, totalBytes
}
