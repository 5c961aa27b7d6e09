package suspects

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/suspects/suspectspb"
)

// MaxReportRequests is the largest number of requests in a Report. If more were
// in flight, the report holds those that had sent the fewest tokens.
const MaxReportRequests = 256

// MaxReportBytes limits the size of an encoded Report. It allows for
// MaxReportRequests requests, which take 56 bytes each with their framing, and
// for the remaining fields.
const MaxReportBytes = MaxReportRequests*58 + 128

// maxZoneBytes is the length to which NewReport truncates the name of the
// availability zone.
const maxZoneBytes = 64

// Cause is the event that a Report describes.
type Cause uint8

// The events that are reported.
const (
	// ServerCrashed means that the server process ended while its agent kept
	// running.
	ServerCrashed Cause = iota + 1
	// InstanceLost means that the server was lost together with its agent.
	InstanceLost
	// Completed means that a run of a suspect or of a similar request completed.
	// The report clears that request.
	Completed
)

// InFlightRequest is a request that a server is running or was running when it
// crashed.
type InFlightRequest struct {
	Fingerprint Fingerprint
	// Probation says that the request ran on probation. A server runs at most one
	// such request at a time.
	Probation bool
	// TokensSent is the number of tokens sent so far. It is not encoded in
	// reports.
	TokensSent int
}

// Report describes one crash, loss or completed run. It is sent to all entries.
type Report struct {
	// ServerID identifies the incarnation of the server that crashed or was lost. It
	// is zero if Cause is Completed.
	ServerID uint64
	// At is the time of the event.
	At time.Time
	// Zone is the availability zone of the server.
	Zone  string
	Cause Cause
	// Requests holds the requests that were in flight or, if Cause is Completed,
	// the requests that completed.
	Requests []InFlightRequest
}

// NewReport returns a report that respects MaxReportRequests and maxZoneBytes.
// Its time is truncated to milliseconds, the precision of the encoding.
func NewReport(server uint64, at time.Time, zone string, cause Cause, requests []InFlightRequest) Report {
	kept := slices.Clone(requests)
	if len(kept) > MaxReportRequests {
		slices.SortStableFunc(kept, func(a, b InFlightRequest) int { return a.TokensSent - b.TokensSent })
		kept = kept[:MaxReportRequests]
	}
	zone = strings.ToValidUTF8(zone[:min(len(zone), maxZoneBytes)], "") // The cut may lie within a character.
	return Report{ServerID: server, At: at.Truncate(time.Millisecond), Zone: zone, Cause: cause, Requests: kept}
}

// Encode returns the encoded report. A report from NewReport takes at most
// MaxReportBytes.
func (r Report) Encode() ([]byte, error) {
	m := &suspectspb.Report{
		Server: r.ServerID, AtMs: r.At.UnixMilli(), Zone: r.Zone,
		Cause: suspectspb.Cause(r.Cause),
	}
	for i := range r.Requests {
		p := &r.Requests[i].Fingerprint
		m.Requests = append(m.Requests, &suspectspb.InFlight{
			Organisation: p.Organisation, Id: p.ID, Sketch: p.Sketch[:], Probation: r.Requests[i].Probation,
		})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("suspects: encode report: %w", err)
	}
	return data, nil
}

// Decode parses a report from Encode. It returns an error if the report is
// larger than MaxReportBytes, has an unknown cause or has a sketch of the wrong
// length.
func Decode(data []byte) (Report, error) {
	if len(data) > MaxReportBytes {
		return Report{}, fmt.Errorf("suspects: report of %d bytes is too large", len(data))
	}
	var m suspectspb.Report
	if err := proto.Unmarshal(data, &m); err != nil {
		return Report{}, fmt.Errorf("suspects: decode report: %w", err)
	}
	if m.GetCause() < suspectspb.Cause_CAUSE_SERVER_CRASHED || m.GetCause() > suspectspb.Cause_CAUSE_COMPLETED {
		return Report{}, fmt.Errorf("suspects: report has unknown cause %d", m.GetCause())
	}
	r := Report{
		ServerID: m.GetServer(), At: time.UnixMilli(m.GetAtMs()), Zone: m.GetZone(),
		Cause: Cause(m.GetCause()),
	}
	for _, q := range m.GetRequests() {
		if len(q.GetSketch()) != sketchSlots {
			return Report{}, fmt.Errorf("suspects: report has a sketch of invalid length %d", len(q.GetSketch()))
		}
		r.Requests = append(r.Requests, InFlightRequest{
			Fingerprint: Fingerprint{Organisation: q.GetOrganisation(), ID: q.GetId(), Sketch: Sketch(q.GetSketch())},
			Probation:   q.GetProbation(),
		})
	}
	return r, nil
}
