package limits

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bluebellwind.example/limits/limitspb"

	"github.com/cespare/xxhash/v2"
)

// account holds the buckets of one organisation by unit. A nil bucket means no
// limit.
type account struct{ buckets [unitCount]*bucket }

// accounts indexes the accounts by organisation and the buckets by key. It is
// immutable and replaced as a whole.
type accounts struct {
	byName map[string]*account
	byKey  map[uint64]*bucket
}

// Limiter enforces the limits at one entry. It is safe for concurrent use.
type Limiter struct {
	accounts atomic.Pointer[accounts]
	view     atomic.Pointer[View]

	// mu guards the fields below.
	mu sync.Mutex
	// excludedUntil holds, by ID, the entries that did not answer as
	// coordinators and the time until which they are not selected.
	excludedUntil map[string]time.Time
	// lastDue is the time of the last call of DueReports.
	lastDue time.Time
}

// NewLimiter returns a limiter without limits.
func NewLimiter(v View) *Limiter {
	l := &Limiter{excludedUntil: map[string]time.Time{}}
	l.accounts.Store(&accounts{})
	l.view.Store(&v)
	return l
}

// SetLimits replaces all limits, for example after a new revision of the rules.
// Unchanged limits keep their leases.
func (l *Limiter) SetLimits(limits []Limit) {
	old := l.accounts.Load()
	self := xxhash.Sum64String(l.view.Load().Self)
	next := &accounts{byName: make(map[string]*account, len(limits)), byKey: map[uint64]*bucket{}}
	for _, limit := range limits {
		a := &account{}
		for u, rate := range [unitCount]float64{limit.Requests, limit.Tokens} {
			if rate <= 0 {
				continue
			}
			key := limitKey(limit.Organisation, Unit(u))
			b := old.byKey[key]
			if b == nil || b.limit != rate {
				b = &bucket{key: key, limit: rate, reportPhase: mix(self ^ key/uint64(unitCount))}
			}
			a.buckets[u], next.byKey[key] = b, b
		}
		next.byName[limit.Organisation] = a
	}
	l.accounts.Store(next)
}

// SetView replaces the membership view.
func (l *Limiter) SetView(v View) { l.view.Store(&v) }

// Admit decides whether a request of the organisation is within the limits, and
// charges its cost if so. Otherwise retryAfter estimates the time until a
// request can be admitted. Admit does not allocate and locks only the buckets
// of this organisation.
func (l *Limiter) Admit(organisation string, cost Cost, now time.Time) (ok bool, retryAfter time.Duration) {
	a := l.accounts.Load().byName[organisation]
	if a == nil {
		return true, 0
	}
	equalShare := l.view.Load().equalShare()
	ok = true
	costs := [unitCount]float64{cost.Requests, cost.Tokens}
	for u, b := range a.buckets {
		if b == nil {
			continue
		}
		b.mu.Lock()
		b.refill(b.limit*equalShare, now)
		b.periodCost += costs[u]
		b.unreportedArrived += costs[u]
		b.periodRequests++
		b.updateMeanCost(costs[u])
		if credit := b.credit(now); b.level <= -credit {
			ok = false
			retryAfter = max(retryAfter, b.retryDelay(credit))
		}
		b.mu.Unlock()
	}
	if !ok {
		return false, retryAfter
	}
	for u, b := range a.buckets {
		if b != nil {
			b.charge(costs[u])
		}
	}
	return true, 0
}

// charge subtracts the cost of admitted work from the level.
func (b *bucket) charge(cost float64) {
	b.mu.Lock()
	b.level -= cost
	b.unreportedCharged += cost
	b.mu.Unlock()
}

// Charge adds cost that became known only while the request ran, such as
// generated tokens beyond the estimate. A negative cost is a refund.
func (l *Limiter) Charge(organisation string, cost Cost) {
	a := l.accounts.Load().byName[organisation]
	if a == nil {
		return
	}
	costs := [unitCount]float64{cost.Requests, cost.Tokens}
	for u, b := range a.buckets {
		if b != nil {
			b.charge(costs[u])
		}
	}
}

// OutgoingReport is a report and the ID of the entry to send it to.
type OutgoingReport struct {
	To     string
	Report *limitspb.Report
}

// DueReports returns the reports to send now, one for each coordinator, sorted by
// receiver. It must be called every ReportPeriod. A limit without a lease is
// reported if the entry uses at least half of its equal share; a limit with a
// lease is reported reportsPerLease times during the lease and when its demand
// changes.
func (l *Limiter) DueReports(now time.Time) []OutgoingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := *l.view.Load()
	elapsedSeconds := now.Sub(l.lastDue).Seconds()
	if l.lastDue.IsZero() || elapsedSeconds <= 0 {
		elapsedSeconds = ReportPeriod.Seconds()
	}
	l.lastDue = now
	reports := map[string]*limitspb.Report{}
	for _, b := range l.accounts.Load().byKey {
		to := ""
		d := b.nextDemand(view.equalShare(), elapsedSeconds, now, func() string {
			to = l.coordinatorFor(b.key, view, now)
			return to
		})
		if d == nil {
			continue
		}
		appendDemand(reports, to, view.Self, d)
	}
	return sortedReports(reports)
}

// coordinatorFor returns the first live entry in the rendezvous hashing order
// of the key's organisation that is not excluded after a failure to answer, or
// the entry itself if all are excluded.
func (l *Limiter) coordinatorFor(key uint64, v View, now time.Time) string {
	best, bestScore := v.Self, uint64(0)
	for _, id := range v.Alive {
		if until, ok := l.excludedUntil[id]; ok && now.Before(until) {
			continue
		}
		score := mix(xxhash.Sum64String(id) ^ key/uint64(unitCount))
		if score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RerouteReport records that the receiver of out did not answer and returns its
// demands as reports to the next coordinators in order. If the receiver is the
// entry itself, it records nothing and returns nil.
func (l *Limiter) RerouteReport(out OutgoingReport, now time.Time) []OutgoingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := *l.view.Load()
	if out.To == view.Self {
		return nil
	}
	l.excludedUntil[out.To] = now.Add(failureBackoff)
	byKey := l.accounts.Load().byKey
	reports := map[string]*limitspb.Report{}
	for _, d := range out.Report.GetDemands() {
		b := byKey[d.GetKey()]
		if b == nil {
			continue
		}
		to := l.coordinatorFor(b.key, view, now)
		b.mu.Lock()
		held := b.rateHeldFromOther(to, now)
		b.mu.Unlock()
		appendDemand(reports, to, view.Self, &limitspb.Demand{
			Key: d.GetKey(), Arrived: d.GetArrived(), Held: held,
			Used: d.GetUsed(), Asked: d.GetAsked(), Each: d.GetEach(),
		})
	}
	return sortedReports(reports)
}

// appendDemand adds d to the report to the entry to, creating it if needed.
func appendDemand(reports map[string]*limitspb.Report, to, self string, d *limitspb.Demand) {
	if reports[to] == nil {
		reports[to] = &limitspb.Report{From: self}
	}
	reports[to].Demands = append(reports[to].Demands, d)
}

// sortedReports returns the reports sorted by receiver, and their demands by
// key, so that the same state always produces the same messages.
func sortedReports(reports map[string]*limitspb.Report) []OutgoingReport {
	out := make([]OutgoingReport, 0, len(reports))
	for to, r := range reports {
		slices.SortFunc(r.Demands, func(a, b *limitspb.Demand) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
		out = append(out, OutgoingReport{To: to, Report: r})
	}
	slices.SortFunc(out, func(a, b OutgoingReport) int { return cmp.Compare(a.To, b.To) })
	return out
}

// ApplyGrant applies the leases granted in answer to a report sent at the time sent. A
// lease lasts from that time on, so a late answer may have expired already.
func (l *Limiter) ApplyGrant(g *limitspb.Grant, sent time.Time) {
	byKey := l.accounts.Load().byKey
	equalShare := l.view.Load().equalShare()
	for _, granted := range g.GetLeases() {
		b := byKey[granted.GetKey()]
		if b == nil {
			continue
		}
		b.mu.Lock()
		b.applyLease(granted, g.GetFrom(), b.limit*equalShare, sent)
		b.mu.Unlock()
	}
}

// applyLease puts a lease in force. It ignores a lease without a rate and,
// unless the organisation is over its limit, one from the same coordinator that
// ends no later than the current one. The caller holds b.mu.
func (b *bucket) applyLease(granted *limitspb.Lease, coordinator string, unleasedRate float64, sent time.Time) {
	ttl := time.Duration(granted.GetTtlMillis()) * time.Millisecond
	expiresAt := sent.Add(ttl)
	if granted.GetRate() == 0 || coordinator == b.lease.coordinator && !expiresAt.After(b.lease.expiresAt) && !granted.GetOver() {
		return
	}
	b.refill(unleasedRate, sent)
	b.lease = lease{
		rate: float64(granted.GetRate()) / wireScale, credit: float64(granted.GetCredit()) / wireScale,
		overLimit: granted.GetOver(), coordinator: coordinator, expiresAt: expiresAt, ttl: ttl,
	}
	if granted.GetOver() {
		b.overLimitUntil = sent.Add(HandoverTime)
	} else {
		b.overLimitUntil = time.Time{}
	}
	if granted.GetCredit() > 0 {
		// The coordinator has already charged the debt to the organisation's
		// balance.
		b.level = max(b.level, 0)
	}
}
