package suspects

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// suspicionTTL is how long a crash counts as evidence against the requests
	// that were in flight.
	suspicionTTL = 24 * time.Hour
	// similarIsolationTTL is how long after a crash a request is isolated if it
	// was not in flight itself and is only similar to a request that was.
	similarIsolationTTL = 15 * time.Minute
	// maxSuspects limits the number of suspects in a Registry. Above it, the
	// oldest suspect is dropped.
	maxSuspects = 8192
	// massLossThreshold is the number of instances of one availability zone that
	// must be lost at most massLossWindow before or after a loss for that loss to
	// count as an infrastructure failure. Such a loss is no evidence against the
	// requests in flight.
	massLossThreshold = 3
	massLossWindow    = 10 * time.Second
	// quarantineThreshold is the number of servers crashed during probation runs
	// at which a request is quarantined. Crashes during other runs never count:
	// a request that is in flight on all servers is in flight during every
	// crash, whatever caused it.
	quarantineThreshold = 1
	// quarantineThresholdIfCompleted replaces quarantineThreshold if a similar
	// request has completed since the first crash: a single crash during a
	// probation run may then be a coincidence.
	quarantineThresholdIfCompleted = 2
	// maxCompletedPerOrg limits the completed runs kept for each organisation.
	maxCompletedPerOrg = 32
	// maxRelatedSuspects is the number of related suspects at which the search of
	// relatedSuspects ends.
	maxRelatedSuspects = 256
)

// Verdict says whether and where a request may run.
type Verdict uint8

// The verdicts, from the least to the most restrictive.
const (
	// Clear means that the request may run on any server.
	Clear Verdict = iota
	// Isolated means that the request may run only on probation, on its home
	// server.
	Isolated
	// Quarantined means that the request is refused at once and must not be
	// retried.
	Quarantined
)

// Decision is the verdict on one request, with the data needed to apply it.
type Decision struct {
	Verdict Verdict
	// HomeKey is the key from which HomeServer selects the home server. It is set
	// for Isolated only. Entries that hold the same reports compute the same key.
	HomeKey uint64
	// ExpiresAt is the time at which the verdict expires. It is set for Isolated
	// and Quarantined only.
	ExpiresAt time.Time
	// ExactMatch says that this request itself, and not only a similar one, was in
	// flight during a crash. While its home server is busy, its caller should
	// retry sooner than callers of requests that are only similar, because a
	// completed run of it removes the evidence against those, too.
	ExactMatch bool
}

// crash is one crash of a server or loss of an instance. It is evidence against
// the requests that were in flight.
type crash struct {
	server uint64 // Report.ServerID
	at     time.Time
	zone   string
	cause  Cause
}

// completedRun is a completed run of a suspect or of a similar request.
type completedRun struct {
	fingerprint Fingerprint
	at          time.Time
}

// suspect is one request that was in flight during a crash.
type suspect struct {
	fingerprint Fingerprint
	crash       crash
	probation   bool
}

// Registry stores the suspects and the completed runs from all reports that one
// process has received. It is safe for concurrent use.
type Registry struct {
	mu sync.RWMutex
	// suspectsByOrg holds the suspects by Fingerprint.Organisation, each list in the
	// order in which the reports arrived.
	suspectsByOrg map[uint64][]suspect
	orgOrder      []uint64             // organisation of each suspect, in order of arrival
	clearedAt     map[uint64]time.Time // time of the latest completed run, by Fingerprint.ID
	// completedByOrg holds the latest completed runs by Fingerprint.Organisation, in
	// order of arrival.
	completedByOrg map[uint64][]completedRun
	lostInstances  []crash
	disabled       disabledMechanisms
}

// disabledMechanisms switches mechanisms off, so that tests can show that each
// of them is needed.
type disabledMechanisms struct {
	similarity bool
	isolation  bool
	massLoss   bool
	clearance  bool
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{
		suspectsByOrg:  make(map[uint64][]suspect),
		clearedAt:      make(map[uint64]time.Time),
		completedByOrg: make(map[uint64][]completedRun),
	}
}

// Merge adds a report from this process or another one. Reports may arrive
// late, more than once and in any order. A report of an event that is
// suspicionTTL or more in the past is ignored.
func (reg *Registry) Merge(report Report, now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if now.Sub(report.At) >= suspicionTTL {
		return
	}
	if report.Cause == Completed {
		reg.recordCompleted(report)
		return
	}
	reg.expire(now)
	c := crash{server: report.ServerID, at: report.At, zone: report.Zone, cause: report.Cause}
	if report.Cause == InstanceLost {
		reg.recordLoss(c)
	}
	for i := range report.Requests {
		reg.addSuspect(suspect{fingerprint: report.Requests[i].Fingerprint, crash: c, probation: report.Requests[i].Probation})
	}
}

// recordCompleted records the completed runs in report. A run that is not newer
// than the latest known run of its request is ignored.
func (reg *Registry) recordCompleted(report Report) {
	for i := range report.Requests {
		id := report.Requests[i].Fingerprint.ID
		if !report.At.After(reg.clearedAt[id]) {
			continue
		}
		reg.clearedAt[id] = report.At
		org := report.Requests[i].Fingerprint.Organisation
		runs := append(reg.completedByOrg[org], completedRun{fingerprint: report.Requests[i].Fingerprint, at: report.At})
		reg.completedByOrg[org] = runs[max(0, len(runs)-maxCompletedPerOrg):]
	}
}

// recordLoss records the loss of an instance once, even if several entries
// report it.
func (reg *Registry) recordLoss(c crash) {
	same := func(loss crash) bool { return loss.server == c.server }
	if !slices.ContainsFunc(reg.lostInstances, same) {
		reg.lostInstances = append(reg.lostInstances, c)
	}
}

// addSuspect records a suspect. For the same request and server, a report of
// ServerCrashed replaces an earlier one: it comes from the agent, whereas entries
// infer InstanceLost from a broken connection.
func (reg *Registry) addSuspect(s suspect) {
	org := s.fingerprint.Organisation
	same := func(t suspect) bool { return t.fingerprint.ID == s.fingerprint.ID && t.crash.server == s.crash.server }
	if i := slices.IndexFunc(reg.suspectsByOrg[org], same); i >= 0 {
		if s.crash.cause == ServerCrashed {
			reg.suspectsByOrg[org][i] = s
		}
		return
	}
	reg.suspectsByOrg[org] = append(reg.suspectsByOrg[org], s)
	reg.orgOrder = append(reg.orgOrder, org)
	if len(reg.orgOrder) > maxSuspects {
		reg.dropOldestSuspect()
	}
}

// dropOldestSuspect removes the suspect that was added first.
func (reg *Registry) dropOldestSuspect() {
	org := reg.orgOrder[0]
	reg.orgOrder = reg.orgOrder[1:]
	if remaining := reg.suspectsByOrg[org][1:]; len(remaining) > 0 {
		reg.suspectsByOrg[org] = remaining
		return
	}
	delete(reg.suspectsByOrg, org)
}

// expire removes what is at least suspicionTTL old. It removes the completed runs
// of an organisation only together, once the last one has expired, and suspects
// in order of arrival, up to the first one that has not expired. Merge calls it
// for each report of a crash or loss.
func (reg *Registry) expire(now time.Time) {
	expired := func(at time.Time) bool { return now.Sub(at) >= suspicionTTL }
	for id, at := range reg.clearedAt {
		if expired(at) {
			delete(reg.clearedAt, id)
		}
	}
	reg.lostInstances = slices.DeleteFunc(reg.lostInstances, func(c crash) bool { return expired(c.at) })
	for org, runs := range reg.completedByOrg {
		if expired(runs[len(runs)-1].at) {
			delete(reg.completedByOrg, org)
		}
	}
	for len(reg.orgOrder) > 0 && expired(reg.suspectsByOrg[reg.orgOrder[0]][0].crash.at) {
		reg.dropOldestSuspect()
	}
}

// Decide decides whether and where a request may run. Its cost is one map lookup
// while the organisation of the request has no suspects.
func (reg *Registry) Decide(p Fingerprint, now time.Time) Decision {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	orgSuspects := reg.suspectsByOrg[p.Organisation]
	if len(orgSuspects) == 0 {
		return Decision{}
	}
	related := reg.relatedSuspects(p, orgSuspects, now)
	if len(related) == 0 {
		return Decision{}
	}
	return reg.decideFromCrashes(p, related, now)
}

// relatedSuspects returns the suspects similar to p, the suspects similar to
// those, and so on, as far as their crashes are evidence. In this way a request
// that its caller changes a little on every retry keeps its history.
func (reg *Registry) relatedSuspects(p Fingerprint, orgSuspects []suspect, now time.Time) []suspect {
	var related []suspect
	visited := make([]bool, len(orgSuspects))
	frontier := []Fingerprint{p}
	for len(frontier) > 0 && len(related) < maxRelatedSuspects {
		next := frontier[0]
		frontier = frontier[1:]
		for i := range orgSuspects {
			s := &orgSuspects[i]
			if visited[i] || !reg.similar(next, s.fingerprint) {
				continue
			}
			visited[i] = true
			if !reg.isEvidence(s, now) {
				continue
			}
			related = append(related, *s)
			frontier = append(frontier, s.fingerprint)
		}
	}
	return related
}

// similar says whether two fingerprints belong to the same or similar requests.
func (reg *Registry) similar(p, q Fingerprint) bool {
	if reg.disabled.similarity {
		return p.ID == q.ID
	}
	return p.SimilarTo(q)
}

// isEvidence says whether the crash of s counts as evidence against its request.
// It does not if it has expired, if the request has completed since, or if it
// is the loss of an instance in a mass loss.
func (reg *Registry) isEvidence(s *suspect, now time.Time) bool {
	if now.Sub(s.crash.at) >= suspicionTTL {
		return false
	}
	if !reg.disabled.clearance && reg.clearedAt[s.fingerprint.ID].After(s.crash.at) {
		return false
	}
	return s.crash.cause == ServerCrashed || reg.disabled.massLoss || !reg.isMassLoss(s.crash)
}

// similarCompletedSince says whether a request similar to p has completed after
// the given time.
func (reg *Registry) similarCompletedSince(p Fingerprint, since time.Time) bool {
	return slices.ContainsFunc(reg.completedByOrg[p.Organisation], func(c completedRun) bool {
		return c.at.After(since) && reg.similar(p, c.fingerprint)
	})
}

// isMassLoss says whether at least massLossThreshold instances, c's included, were
// lost in c's availability zone at most massLossWindow before or after c, as when
// a whole rack fails.
func (reg *Registry) isMassLoss(c crash) bool {
	lossesInWindow := 0
	for i := range reg.lostInstances {
		loss := &reg.lostInstances[i]
		if loss.zone == c.zone && loss.at.Sub(c.at).Abs() <= massLossWindow {
			lossesInWindow++
		}
	}
	return lossesInWindow >= massLossThreshold
}

// decideFromCrashes derives the decision on p from the crashes of the related
// suspects. It sorts related.
func (reg *Registry) decideFromCrashes(p Fingerprint, related []suspect, now time.Time) Decision {
	slices.SortFunc(related, suspect.compare)
	probationCrashes := make(map[uint64]bool)
	exact := false
	for i := range related {
		if related[i].probation {
			probationCrashes[related[i].crash.server] = true
		}
		exact = exact || related[i].fingerprint.ID == p.ID
	}
	threshold := quarantineThreshold
	if reg.similarCompletedSince(p, related[0].crash.at) {
		threshold = quarantineThresholdIfCompleted
	}
	latest := related[len(related)-1].crash.at
	if len(probationCrashes) >= threshold {
		return Decision{Verdict: Quarantined, ExpiresAt: latest.Add(suspicionTTL), ExactMatch: exact}
	}
	until := latest.Add(similarIsolationTTL)
	if exact {
		until = latest.Add(suspicionTTL)
	}
	if reg.disabled.isolation || !now.Before(until) {
		return Decision{}
	}
	return Decision{Verdict: Isolated, HomeKey: related[0].fingerprint.ID, ExpiresAt: until, ExactMatch: exact}
}

// shouldReportCompletion says whether a completed run of p must be reported to
// the other processes. This is so if p itself is a suspect, or if it has related
// suspects and no similar request has completed since the first of their
// crashes.
func (reg *Registry) shouldReportCompletion(p Fingerprint, now time.Time) bool {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	orgSuspects := reg.suspectsByOrg[p.Organisation]
	if slices.ContainsFunc(orgSuspects, func(s suspect) bool { return s.fingerprint.ID == p.ID }) {
		return true
	}
	related := reg.relatedSuspects(p, orgSuspects, now)
	return len(related) > 0 && !reg.similarCompletedSince(p, slices.MinFunc(related, suspect.compare).crash.at)
}

// compare orders suspects by time of crash, request and server, so that all
// processes with the same reports choose the same first suspect.
func (s suspect) compare(t suspect) int {
	if c := s.crash.at.Compare(t.crash.at); c != 0 {
		return c
	}
	if c := cmp.Compare(s.fingerprint.ID, t.fingerprint.ID); c != 0 {
		return c
	}
	return cmp.Compare(s.crash.server, t.crash.server)
}
