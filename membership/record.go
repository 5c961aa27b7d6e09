package membership

import (
	"time"

	"bluebellwind.example/membership/membershippb"
)

// Kind identifies the content of a record.
type Kind uint32

// The kinds of records. The callers of Publish define the payloads of KindLoad
// and KindSuspects.
const (
	// KindFacts holds the address, zone, region and role of an instance
	// (membershippb.Facts).
	KindFacts Kind = 1
	// KindLoad is the load report of a backend server, published by its agent.
	KindLoad Kind = 2
	// KindLeaving marks an instance that accepts no new work. An incarnation
	// cannot withdraw it.
	KindLeaving Kind = 3
	// KindSuspects lists requests that are suspected of crashing backend
	// servers.
	KindSuspects Kind = 4
	// KindStatus reports the current revision of an instance and problems with
	// it (membershippb.Status).
	KindStatus Kind = 5
	// KindLast is the highest kind in use.
	KindLast = KindStatus
)

// urgent reports whether records of the kind are pushed to peers immediately
// instead of with the next exchange.
func (k Kind) urgent() bool { return k == KindLeaving || k == KindSuspects }

// Record is a piece of state published by the instance Origin. It is immutable;
// readers must not modify the payload.
type Record struct {
	Origin      string
	Incarnation uint64
	Kind        Kind
	// Sequence increases with every record that an incarnation publishes.
	Sequence uint32
	// PublishedAt is the time at which the origin published the record, on the
	// clock of the instance that holds it: messages carry the age of a record
	// rather than a time.
	PublishedAt time.Time
	// TTL is how long the record is valid after PublishedAt.
	TTL     time.Duration
	Payload []byte
	// direct marks a record that is sent only by its origin and never gossiped.
	direct bool
}

func (r *Record) expired(now time.Time) bool { return now.Sub(r.PublishedAt) > r.TTL }

func (r *Record) toProto(now time.Time) *membershippb.Record {
	return &membershippb.Record{
		Origin:      r.Origin,
		Incarnation: r.Incarnation,
		Kind:        uint32(r.Kind),
		Sequence:    r.Sequence,
		TtlSeconds:  uint32(r.TTL / time.Second),
		AgeMillis:   uint32(max(0, now.Sub(r.PublishedAt)) / time.Millisecond),
		Payload:     r.Payload,
		Direct:      r.direct,
	}
}

func recordFromProto(p *membershippb.Record, now time.Time) Record {
	return Record{
		Origin:      p.GetOrigin(),
		Incarnation: p.GetIncarnation(),
		Kind:        Kind(p.GetKind()),
		Sequence:    p.GetSequence(),
		PublishedAt: now.Add(-time.Duration(p.GetAgeMillis()) * time.Millisecond),
		TTL:         time.Duration(p.GetTtlSeconds()) * time.Second,
		Payload:     p.GetPayload(),
		direct:      p.GetDirect(),
	}
}
