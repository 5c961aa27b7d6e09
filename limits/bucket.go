package limits

import (
	"math"
	"sync"
	"time"
)

// bucket is the token bucket of one limit at one entry. Its level may become
// negative by the credit plus the cost of one request, so that bursts and
// requests that cost more than the bucket holds are admitted while the average
// rate is kept.
type bucket struct {
	// key identifies the limit in messages.
	key uint64
	// limit is the limit over all entries, in units a second.
	limit float64
	// reportPhase is an offset in nanoseconds that spreads the reports of
	// different entries over time.
	reportPhase uint64

	// mu guards the fields below.
	mu sync.Mutex
	// rate is the refill rate in units a second, level the number of units
	// available at the time refilledAt.
	rate       float64
	level      float64
	refilledAt time.Time
	lease      lease
	// overLimitUntil is the time until which an entry without a lease treats
	// the organisation as over its limit and gives no credit.
	overLimitUntil time.Time
	// meanCost is the moving average of the cost of a request, in units.
	meanCost float64

	// periodCost is the cost of the requests of the current report period and
	// periodRequests their number; lastPeriodRequests is the number in the
	// previous period.
	periodCost                         float64
	periodRequests, lastPeriodRequests int
	// demandRate is the smoothed rate at which cost arrives, in units a second.
	demandRate float64
	// idlePeriods counts the consecutive report periods without a request.
	idlePeriods int

	// unreportedArrived is the cost that arrived since the last report, and
	// unreportedCharged the cost that was charged since then.
	unreportedArrived, unreportedCharged float64
	// reportedRate is the wanted rate in the last report, in units a second,
	// and reportedAt the time of that report.
	reportedRate float64
	reportedAt   time.Time
}

// lease is the part of a limit that a coordinator granted to this entry.
type lease struct {
	// rate is the refill rate of the bucket, in units a second. credit is how
	// far below zero the level may be while requests are admitted, in units.
	rate, credit float64
	// overLimit reports whether the organisation exceeds its limit.
	overLimit bool
	// coordinator is the ID of the entry that granted the lease.
	coordinator string
	// expiresAt is the time at which the lease ends, and ttl its duration from
	// the time the report was sent.
	expiresAt time.Time
	ttl       time.Duration
}

// refill adds the units accrued up to now at the leased rate, or at
// unleasedRate without a lease. The caller holds b.mu.
func (b *bucket) refill(unleasedRate float64, now time.Time) {
	b.rate = unleasedRate
	if now.Before(b.lease.expiresAt) {
		b.rate = b.lease.rate
	}
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += b.rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.level = min(b.level, b.rate*bucketBurstTime.Seconds())
}

// credit returns how many units the level may be below zero while requests are
// still admitted. The caller holds b.mu.
func (b *bucket) credit(now time.Time) float64 {
	base := min(baseCreditRequests*b.meanCost, baseCreditTime.Seconds()*b.limit)
	if now.Before(b.lease.expiresAt) {
		if b.lease.overLimit {
			return 0
		}
		return max(base, b.lease.credit)
	}
	if now.Before(b.overLimitUntil) {
		return 0
	}
	return base
}

// updateMeanCost adds the cost of a request to the moving average. The caller
// holds b.mu.
func (b *bucket) updateMeanCost(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	if cost > 0 {
		b.meanCost += (cost - b.meanCost) / meanCostRequests
	}
}

// meanCostRequests is the number of requests over which the mean cost is
// averaged.
const meanCostRequests = 16

// retryDelay estimates the time until the level allows a request again. The
// caller holds b.mu.
func (b *bucket) retryDelay(credit float64) time.Duration {
	if b.rate <= 0 {
		return MinLeaseTTL
	}
	seconds := math.Min(-(b.level+credit)/b.rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Bounds of the retry delay that a refused caller is told.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)
