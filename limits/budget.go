package limits

import (
	"math"
	"time"

	"bluebellwind.example/limits/limitspb"
)

// budget accounts for the use of one limit across all entries, at its
// coordinator. The unused part of the limit accumulates as a positive balance,
// from which entries receive credit. Use beyond the limit makes the balance
// negative; this debt is repaid by granting less than the limit.
type budget struct {
	// balance is the unused part of the limit, or the debt if negative, in
	// units.
	balance float64
	// arrivalRate is the average rate at which cost arrives, in units a second.
	arrivalRate float64
	// maxMeanCost is the largest mean cost of a request that an entry reported,
	// in units.
	maxMeanCost float64
	// capacity is the rate available for leases, in units a second.
	capacity float64
	// sparse reports whether the average share of a reporter is less than one
	// request per MinLeaseTTL.
	sparse bool
	// createdAt is the time of the first report, reportedAt that of the latest
	// one.
	createdAt  time.Time
	reportedAt time.Time
}

// recordReport updates the averages and the balance with the report of one
// entry.
func (b *budget) recordReport(d *limitspb.Demand, now time.Time) {
	if b.createdAt.IsZero() {
		b.createdAt, b.reportedAt = now, now
		b.balance = initialBalanceRequests * float64(d.GetEach()) / wireScale
	}
	b.maxMeanCost = max(b.maxMeanCost, float64(d.GetEach())/wireScale)
	elapsedSeconds := now.Sub(b.reportedAt).Seconds()
	b.reportedAt = now
	averagingSeconds := b.averagingSeconds()
	windowSeconds := min(averagingSeconds, max(now.Sub(b.createdAt).Seconds(), ReportPeriod.Seconds()))
	b.arrivalRate += (float64(d.GetAsked())/wireScale - b.arrivalRate*elapsedSeconds) / windowSeconds
	b.balance += b.capacity*elapsedSeconds - float64(d.GetUsed())/wireScale
	b.balance = min(max(b.balance, -averagingSeconds*b.capacity), averagingSeconds*b.capacity)
	if b.overLimit() {
		maxSeconds := overLimitBalanceTime.Seconds()
		if b.sparse {
			maxSeconds = averagingSeconds
		}
		b.balance = min(b.balance, maxSeconds*b.capacity)
	}
}

// averagingSeconds returns the time over which use is averaged and the balance
// accumulates, in seconds.
func (b *budget) averagingSeconds() float64 {
	if b.capacity <= 0 {
		return orgBurstTime.Seconds()
	}
	return max(orgBurstTime.Seconds(), orgBurstRequests*b.maxMeanCost/b.capacity)
}

// overLimit reports whether the organisation exceeds its limit. With a debt,
// arrivals close to the limit are enough. Otherwise they must exceed it by more
// than the random variation of that number of requests.
func (b *budget) overLimit() bool {
	if b.capacity <= 0 {
		return true
	}
	if b.balance < 0 {
		return b.arrivalRate > b.capacity*debtOverLimitRatio
	}
	requests := b.capacity * b.averagingSeconds() / max(b.maxMeanCost, minMeanCost)
	return b.arrivalRate > b.capacity*(1+overLimitDeviations/math.Sqrt(max(1, requests)))
}

const (
	// debtOverLimitRatio is the ratio of the arrival rate to the capacity above
	// which an organisation in debt counts as over its limit.
	debtOverLimitRatio = 0.95
	// overLimitDeviations is the number of standard deviations above the limit
	// that are attributed to random variation.
	overLimitDeviations = 2
	// minMeanCost is the smallest cost that a report can carry, in units.
	minMeanCost = 1.0 / wireScale
)

// expired reports whether the last report is older than the averaging time, so
// that the budget no longer carries information.
func (b *budget) expired(now time.Time) bool {
	return now.Sub(b.reportedAt).Seconds() > b.averagingSeconds()
}

// credit returns the debt in units that each of the given number of reporters
// may incur.
func (b *budget) credit(reporters int) float64 {
	return min(creditOvercommit*max(0, b.balance)/float64(max(1, reporters)), max(0, b.balance))
}

// creditOvercommit is the factor by which the credit of all entries together
// may exceed the balance, because few entries use their credit at the same
// time.
const creditOvercommit = 2

// repaymentRate returns the correction of the granted rate for an organisation
// over its limit, in units a second. It is negative to repay a debt, and
// positive to use up a balance left because less than the limit was admitted.
func (b *budget) repaymentRate() float64 {
	if !b.overLimit() {
		return 0
	}
	if b.sparse {
		return b.balance / b.averagingSeconds()
	}
	return b.balance / (repaymentTimes * b.averagingSeconds())
}

const (
	// repaymentTimes is the number of averaging times over which a debt is
	// repaid. If the budget is sparse, it is repaid over a single one.
	repaymentTimes = 4
	// initialBalanceRequests is the initial balance at a new coordinator, in
	// requests of the reported mean cost.
	initialBalanceRequests = orgBurstRequests / 2
	// overLimitBalanceTime times the capacity is the largest balance of an
	// organisation over its limit, unless its budget is sparse.
	overLimitBalanceTime = time.Second
)
