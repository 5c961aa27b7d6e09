package limits

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"bluebellwind.example/limits/limitspb"
)

// reporter is the state that a coordinator keeps for one entry and one limit.
// All rates are in units a second.
type reporter struct {
	// id is the entry's ID.
	id string
	// demandRate is the rate that the entry wants.
	demandRate float64
	// admittedRate is the rate that it admitted since its previous report.
	admittedRate float64
	// initialRate is the rate that the entry enforced when it first reported.
	initialRate float64
	// grantedRate is the rate of its lease.
	grantedRate float64
	// reportedAt is the time of its last report.
	reportedAt time.Time
	// leaseExpiresAt is when its lease ends.
	leaseExpiresAt time.Time
}

// limitState is the state of one limit at its coordinator. It is kept in memory
// only; a new coordinator rebuilds it from the reports.
type limitState struct {
	// createdAt is the time of the first report.
	createdAt time.Time
	// tookOver reports whether an entry held a lease from an earlier
	// coordinator when it first reported.
	tookOver bool
	// gain is the factor applied to the capacity to compensate for the unused
	// part of leases.
	gain float64
	// gainAdjustedAt is the time of the last adjustment of the gain; after a
	// reset it lies gainSettleTime in the future.
	gainAdjustedAt time.Time
	// lastActiveCount is the number of reporters with a lease at the last
	// adjustment.
	lastActiveCount int
	budget          budget
	shift           demandShift
	// reporters is sorted by ID.
	reporters []*reporter
}

// Coordinator grants leases on the limits for which entries report to it. It is
// safe for concurrent use. Expire removes limits that are no longer reported.
type Coordinator struct {
	mu sync.Mutex
	// states holds the state of each limit by key.
	states map[uint64]*limitState
	// handoverDisabled makes a new coordinator grant the full capacity at once
	// and remove reporters without a current lease. Tests set it to show that
	// the handover is needed.
	handoverDisabled bool
}

// NewCoordinator returns a coordinator without state.
func NewCoordinator() *Coordinator { return &Coordinator{states: map[uint64]*limitState{}} }

// HandleReport processes the report of an entry and returns its leases. The limits
// and the membership view come from l, the limiter of the coordinator's own
// entry. A demand gets no lease if its limit is unknown to l or if it gives up
// the lease.
func (c *Coordinator) HandleReport(r *limitspb.Report, l *Limiter, now time.Time) *limitspb.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := *l.view.Load()
	byKey := l.accounts.Load().byKey
	grant := &limitspb.Grant{From: view.Self}
	for _, d := range r.GetDemands() {
		b := byKey[d.GetKey()]
		if b == nil {
			continue
		}
		state := c.states[b.key]
		if state == nil {
			state = &limitState{createdAt: now, gain: 1, gainAdjustedAt: now}
			c.states[b.key] = state
		}
		if d.GetArrived() == 0 {
			state.budget.recordReport(d, now)
			state.removeReporter(r.GetFrom())
			continue
		}
		rep := state.recordDemand(r.GetFrom(), d, b.limit*view.equalShare(), now)
		state.assignRates(d, b.limit, view, c.handoverDisabled, now)
		grant.Leases = append(grant.Leases, state.newLease(b.key, rep, now))
	}
	return grant
}

// Expire removes the limits that have had no reports for some time. It must be
// called periodically.
func (c *Coordinator) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, state := range c.states {
		state.removeExpired(nil, now)
		if len(state.reporters) == 0 && state.budget.expired(now) {
			delete(c.states, key)
		}
	}
}

// newLease returns the lease of a reporter with the rate that assignRates has
// set, and stores when it ends. Leases last maxLeaseTTL under the limit and
// with a sparse budget. Otherwise they are shorter, so that the rates follow
// the demand.
func (s *limitState) newLease(key uint64, rep *reporter, now time.Time) *limitspb.Lease {
	overLimit := s.budget.overLimit()
	ttl := maxLeaseTTL
	if overLimit {
		reporters := time.Duration(len(s.reporters))
		ttl = min(max(MinLeaseTTL, leaseTTLPerReporter*reporters), maxLeaseTTL)
		if s.budget.sparse {
			ttl = maxLeaseTTL
		} else if s.shift.inProgress(s.reporters, now) {
			ttl = MinLeaseTTL
		}
	}
	rep.leaseExpiresAt = now.Add(ttl)
	granted := &limitspb.Lease{
		Key: key, Rate: uint64(rep.grantedRate * wireScale), Over: overLimit, TtlMillis: uint32(ttl / time.Millisecond),
	}
	if !overLimit {
		granted.Credit = uint64(s.budget.credit(len(s.reporters)) * wireScale)
	}
	return granted
}

// removeReporter removes an entry that gave up its lease.
func (s *limitState) removeReporter(from string) {
	s.reporters = slices.DeleteFunc(s.reporters, func(r *reporter) bool { return r.id == from })
}

// recordDemand stores the demand of the entry from, adding it as a reporter if
// it is new. Without a lease such an entry enforced unleasedRate.
func (s *limitState) recordDemand(from string, d *limitspb.Demand, unleasedRate float64, now time.Time) *reporter {
	index, found := slices.BinarySearchFunc(s.reporters, from, func(r *reporter, id string) int { return cmp.Compare(r.id, id) })
	if !found {
		rep := &reporter{id: from, initialRate: unleasedRate}
		if d.GetHeld() > 0 {
			rep.initialRate = float64(d.GetHeld()) / wireScale
			s.tookOver = true
		}
		s.reporters = slices.Insert(s.reporters, index, rep)
	}
	rep := s.reporters[index]
	elapsed := ReportPeriod
	if !rep.reportedAt.IsZero() {
		elapsed = max(elapsed, now.Sub(rep.reportedAt))
	}
	rep.admittedRate = float64(d.GetUsed()) / wireScale / elapsed.Seconds()
	s.shift.add(math.Abs(float64(d.GetArrived())/wireScale-rep.demandRate), now)
	rep.demandRate, rep.reportedAt = float64(d.GetArrived())/wireScale, now
	return rep
}

// leaseExpired reports whether the lease of the reporter has ended.
func (r *reporter) leaseExpired(now time.Time) bool { return now.After(r.leaseExpiresAt) }

// removeExpired removes reporters whose lease has ended once they are no longer
// in alive, or have not reported for HandoverTime. Until then they may use a
// lease from another coordinator across a network partition, so their rate
// stays reserved. If alive is nil, only the time since the last report counts.
func (s *limitState) removeExpired(alive []string, now time.Time) {
	s.reporters = slices.DeleteFunc(s.reporters, func(r *reporter) bool {
		if !r.leaseExpired(now) {
			return false
		}
		if now.Sub(r.reportedAt) > HandoverTime {
			return true
		}
		_, known := slices.BinarySearch(alive, r.id)
		return alive != nil && !known
	})
}

// splitReporters returns the reporters with a current lease and, over the
// limit, the rate that stays reserved for those whose lease has ended. A new
// reporter has no current lease yet, so the answer to its first report carries
// a rate of zero, which the entry ignores.
func (s *limitState) splitReporters(now time.Time) (active []*reporter, reservedRate float64) {
	for _, r := range s.reporters {
		if r.leaseExpired(now) {
			if s.budget.overLimit() {
				reservedRate += r.grantedRate
			}
			continue
		}
		active = append(active, r)
	}
	return active, reservedRate
}

// grantableRate returns the rate available for leases, in units a second. A new
// coordinator grants at first no more than its reporters already enforced: for
// HandoverTime if it took over from another coordinator, to give the membership
// views time to converge, and otherwise for MinLeaseTTL.
func (s *limitState) grantableRate(limit float64, v View, handoverDisabled bool, now time.Time) float64 {
	fullRate := limit * v.partitionShare()
	restrictedTime := MinLeaseTTL
	if s.tookOver {
		restrictedTime = HandoverTime
	}
	if now.Sub(s.createdAt) >= restrictedTime || handoverDisabled {
		return fullRate
	}
	totalInitialRate := 0.0
	for _, r := range s.reporters {
		totalInitialRate += r.initialRate
	}
	return min(fullRate, totalInitialRate)
}

const (
	// gainStep is the part of the relative error that one adjustment corrects.
	gainStep = 0.1
	// gainMin and gainMax bound the gain.
	gainMin = 0.9
	gainMax = 1.3
	// settledDivisor bounds the changes that keep the gain: it is reset if the
	// number of reporters with a lease changes by more than the new number
	// divided by settledDivisor.
	settledDivisor = 8
	// gainSettleTime delays the next adjustment after a reset of the gain.
	gainSettleTime = 2 * ReportPeriod
)

// adjustGain updates the gain. Entries with few requests leave a part of their
// leases unused, so the granted rate is raised until the admitted rate reaches
// the capacity, and lowered if more is admitted.
func (s *limitState) adjustGain(active []*reporter, capacity float64, now time.Time) {
	if now.Sub(s.gainAdjustedAt) < ReportPeriod || capacity <= 0 {
		return
	}
	s.gainAdjustedAt = now
	demandRate, admittedRate := 0.0, 0.0
	for _, r := range active {
		demandRate += r.demandRate
		admittedRate += r.admittedRate
	}
	if demandRate < capacity {
		s.gain = 1
		return
	}
	if changedReporters := max(len(active)-s.lastActiveCount, s.lastActiveCount-len(active)); changedReporters > len(active)/settledDivisor {
		// The rate admitted under the previous leases does not predict the rate
		// admitted under the new ones.
		s.gain, s.lastActiveCount = 1, len(active)
		s.gainAdjustedAt = now.Add(gainSettleTime)
		return
	}
	s.lastActiveCount = len(active)
	s.gain = min(max(s.gain+gainStep*(capacity-admittedRate)/capacity, gainMin), gainMax)
}

// assignRates charges a report to the budget and sets the rates of all
// reporters with a current lease.
func (s *limitState) assignRates(d *limitspb.Demand, limit float64, v View, handoverDisabled bool, now time.Time) {
	if handoverDisabled {
		s.reporters = slices.DeleteFunc(s.reporters, func(r *reporter) bool { return r.leaseExpired(now) })
	}
	s.removeExpired(v.Alive, now)
	active, reservedRate := s.splitReporters(now)
	capacity := max(0, s.grantableRate(limit, v, handoverDisabled, now)-reservedRate)
	s.budget.capacity = capacity
	s.budget.sparse = capacity*MinLeaseTTL.Seconds() < float64(len(s.reporters))*s.budget.maxMeanCost
	s.budget.recordReport(d, now)
	capacity = max(0, capacity+s.budget.repaymentRate())
	s.adjustGain(active, capacity, now)
	allocateMaxMin(active, capacity*s.gain)
}

// allocateMaxMin divides the capacity among the reporters, max-min fair by
// demand. What exceeds their total demand is divided equally.
func allocateMaxMin(reporters []*reporter, capacity float64) {
	byDemand := slices.Clone(reporters)
	slices.SortFunc(byDemand, func(x, y *reporter) int {
		return cmp.Or(cmp.Compare(x.demandRate, y.demandRate), cmp.Compare(x.id, y.id))
	})
	remaining := capacity
	for i, r := range byDemand {
		r.grantedRate = min(r.demandRate, remaining/float64(len(byDemand)-i))
		remaining -= r.grantedRate
	}
	for _, r := range byDemand {
		r.grantedRate += remaining / float64(len(byDemand))
	}
}
