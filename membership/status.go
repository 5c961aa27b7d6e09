package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership/membershippb"
)

// InstanceStatus is the status of one instance in the output of the rollout
// command.
type InstanceStatus struct {
	Instance Instance
	RevisionStatus
	// SourceFailing is set if the instance reads the configuration service and
	// its last reads failed.
	SourceFailing bool
	// Age is the time since the instance published this status.
	Age time.Duration
}

// RolloutStatus returns the status of every instance that reported one, sorted
// by ID. It reflects a new revision number of another instance within
// Timing.StatusPeriod, and a refusal, a conflict or a stale service within
// seconds.
func (n *Node) RolloutStatus() []InstanceStatus {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []InstanceStatus
	for id, o := range n.table.origins {
		if id == n.self.ID {
			own := InstanceStatus{Instance: n.self, RevisionStatus: n.store.Status(), SourceFailing: n.consecutiveFailedReads >= readFailureThreshold}
			out = append(out, own)
			continue
		}
		if s, age, ok := o.status(now); ok {
			out = append(out, instanceStatus(o.instance, s, age))
		}
	}
	slices.SortFunc(out, func(a, b InstanceStatus) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}

// status returns the decoded status record and its age. The result is false if
// there is none, or it has expired or cannot be decoded.
func (o *originState) status(now time.Time) (*membershippb.Status, time.Duration, bool) {
	r := o.latest[KindStatus]
	if r == nil || r.expired(now) {
		return nil, 0, false
	}
	var s membershippb.Status
	if proto.Unmarshal(r.Payload, &s) != nil {
		return nil, 0, false
	}
	return &s, now.Sub(r.PublishedAt), true
}

// instanceStatus converts a status record of instance i.
func instanceStatus(i Instance, s *membershippb.Status, age time.Duration) InstanceStatus {
	return InstanceStatus{
		Instance: i,
		RevisionStatus: RevisionStatus{
			Number:      s.GetNumber(),
			Digest:      s.GetDigest(),
			Refused:     Refusal{Number: s.GetRefusedNumber(), Digest: s.GetRefusedDigest(), Reason: s.GetRefusedReason()},
			Conflict:    s.GetConflict(),
			StaleNumber: s.GetStaleNumber(),
		},
		SourceFailing: s.GetSourceFailing(),
		Age:           age,
	}
}

// statusPayload returns the content of this instance's status record, with the
// refusal reason cut to maxReasonBytes. The caller holds n.mu.
func (n *Node) statusPayload() *membershippb.Status {
	s := n.store.Status()
	reason := s.Refused.Reason
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return &membershippb.Status{
		Number: s.Number, Digest: s.Digest,
		RefusedNumber: s.Refused.Number, RefusedDigest: s.Refused.Digest, RefusedReason: reason,
		SourceFailing: n.consecutiveFailedReads >= readFailureThreshold,
		Conflict:      s.Conflict, StaleNumber: s.StaleNumber,
	}
}

// maxReasonBytes is the maximum length of a refusal reason in a status record.
const maxReasonBytes = 200

// sameProblems reports whether two statuses agree in all fields that report a
// problem: refusal, failing reads, conflict and stale service.
func sameProblems(a, b *membershippb.Status) bool {
	return a.GetRefusedNumber() == b.GetRefusedNumber() &&
		a.GetRefusedDigest() == b.GetRefusedDigest() &&
		a.GetSourceFailing() == b.GetSourceFailing() &&
		a.GetConflict() == b.GetConflict() &&
		a.GetStaleNumber() == b.GetStaleNumber()
}
