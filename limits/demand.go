package limits

import (
	"time"

	"bluebellwind.example/limits/limitspb"
)

// demandSmoothing is the weight of the last report period in the moving average
// of the demand.
const demandSmoothing = 0.5

const (
	// significantRequests is the number of requests in a report period from
	// which on a change to the next period is significant rather than random.
	significantRequests = 4
	// releaseAfterPeriods is the number of report periods without a request
	// after which an entry gives up its lease if it has no debt.
	releaseAfterPeriods = 2
	// demandChangeFactor is the ratio between the current and the last reported
	// rate that causes a report before the next one is due.
	demandChangeFactor = 2
)

// nextDemand ends a report period of the given duration and returns the demand
// to report. It returns nil if no report is needed: without a lease, if the
// demand is below half of the equal share or the bucket is idle without debt;
// with a lease, if nothing arrived or was charged and the organisation is within its
// limit, or if no report is due and the coordinator is still the same.
func (b *bucket) nextDemand(equalShare, elapsedSeconds float64, now time.Time, findCoordinator func() string) *limitspb.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledAt.IsZero() {
		b.refilledAt = now // The level accrues from the first period, not from the first request.
	}
	b.endPeriod(elapsedSeconds)
	leased := now.Before(b.lease.expiresAt)
	releasable := b.idlePeriods >= releaseAfterPeriods && b.level > 0
	if !leased && (releasable || b.demandRate < b.limit*equalShare/2) {
		return nil
	}
	if leased && b.unreportedArrived == 0 && b.unreportedCharged == 0 && !b.lease.overLimit {
		// No request needs this lease, so it may expire without renewal.
		return nil
	}
	to := ""
	if leased && !b.reportDue(now) {
		if to = findCoordinator(); to == b.lease.coordinator {
			return nil
		}
	}
	if to == "" {
		to = findCoordinator()
	}
	d := b.takeDemand(now)
	if releasable {
		// A report with an arrival rate of zero gives up the lease.
		d.Arrived = 0
		b.lease.expiresAt = time.Time{}
		return d
	}
	d.Held = b.rateHeldFromOther(to, now)
	return d
}

// reportDue reports whether a bucket with a lease must be reported now. The
// caller holds b.mu.
func (b *bucket) reportDue(now time.Time) bool {
	interval := b.lease.ttl / reportsPerLease
	if b.unreportedArrived == 0 && b.unreportedCharged == 0 && b.reportedRate*MinLeaseTTL.Seconds() < significantRequests*b.meanCost {
		// Nothing arrived and only a debt remains to be paid off, so a report
		// is needed only to renew the lease.
		return b.lease.expiresAt.Sub(now) <= ReportPeriod
	}
	if reportInterval(now, b.reportPhase, interval) != reportInterval(b.reportedAt, b.reportPhase, interval) {
		return true
	}
	rate := b.wantedRate()
	rose := b.periodRequests+b.lastPeriodRequests >= significantRequests && rate > b.reportedRate*demandChangeFactor
	fell := b.reportedRate*b.lease.ttl.Seconds() >= significantRequests*b.meanCost && rate < b.reportedRate/demandChangeFactor && b.lease.overLimit
	inDebt := !b.lease.overLimit && b.level < -b.credit(now)/2
	return rose || fell || inDebt
}

// reportInterval returns the number of the report interval that contains now.
// The phase, in nanoseconds, shifts the interval boundaries of different
// entries.
func reportInterval(now time.Time, phase uint64, interval time.Duration) int64 {
	interval = max(interval, time.Millisecond)
	return (now.UnixNano() + int64(phase%uint64(interval))) / int64(interval)
}

// takeDemand returns the demand to report and resets the counters that it
// covers. Arrived is at least 1, because 0 gives up the lease. The caller holds
// b.mu.
func (b *bucket) takeDemand(now time.Time) *limitspb.Demand {
	b.reportedRate, b.reportedAt = b.wantedRate(), now
	d := &limitspb.Demand{
		Key: b.key, Arrived: 1 + uint64(b.reportedRate*wireScale),
		Used: uint64(max(0, b.unreportedCharged) * wireScale), Asked: uint64(max(0, b.unreportedArrived) * wireScale), Each: uint64(b.meanCost * wireScale),
	}
	b.unreportedCharged, b.unreportedArrived = 0, 0
	return d
}

// rateHeldFromOther returns the rate of a lease from a coordinator other than
// to, in wire units, for as long as that coordinator reserves it for this
// entry; otherwise zero. The caller holds b.mu.
func (b *bucket) rateHeldFromOther(to string, now time.Time) uint64 {
	if b.lease.coordinator == to || now.Sub(b.lease.expiresAt) > HandoverTime-b.lease.ttl {
		return 0
	}
	return uint64(b.lease.rate * wireScale)
}

// endPeriod updates the demand at the end of a report period of the given
// duration. The demand is a moving average, but takes the new value at once in
// two cases: at least significantRequests requests arrive at a rising rate and
// the average is more than twice the reported rate, or that many requests are
// followed by none. The caller holds b.mu.
func (b *bucket) endPeriod(elapsedSeconds float64) {
	arrivalRate, requests := b.periodCost/elapsedSeconds, b.periodRequests
	wasSteady := b.lastPeriodRequests >= significantRequests
	b.periodCost, b.periodRequests, b.lastPeriodRequests = 0, 0, requests
	b.demandRate += demandSmoothing * (arrivalRate - b.demandRate)
	if requests >= significantRequests && arrivalRate > b.demandRate*demandChangeFactor/2 && b.reportedRate < b.demandRate/2 || wasSteady && requests == 0 {
		b.demandRate = arrivalRate
	}
	b.idlePeriods++
	if requests > 0 {
		b.idlePeriods = 0
	}
}

// wantedRate returns the demand plus the rate that pays off the debt within
// MinLeaseTTL, in units a second. The caller holds b.mu.
func (b *bucket) wantedRate() float64 { return b.demandRate + max(0, -b.level)/MinLeaseTTL.Seconds() }
