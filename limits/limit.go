package limits

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Unit is the quantity that a limit counts.
type Unit uint8

// The units of limits.
const (
	Requests Unit = iota
	Tokens
	// unitCount is the number of units.
	unitCount
)

// Limit is the rate that one organisation may use across all entries, in units
// a second. A rate of zero or less is unlimited.
type Limit struct {
	Organisation string
	Requests     float64
	Tokens       float64
}

// Cost is the number of units that one request uses.
type Cost struct {
	Requests float64
	Tokens   float64
}

const (
	// ReportPeriod is the time between two calls of Limiter.DueReports.
	ReportPeriod = 2 * time.Second
	// MinLeaseTTL is the duration of the shortest lease.
	MinLeaseTTL = 3 * ReportPeriod
	// maxLeaseTTL is the duration of the longest lease. Organisations under
	// their limit get it.
	maxLeaseTTL = 3 * MinLeaseTTL
	// leaseTTLPerReporter times the number of reporters, that is, of entries
	// that report to the coordinator, is the duration of a lease of an
	// organisation over its limit, within MinLeaseTTL and maxLeaseTTL. It bounds
	// the rate of reports that the coordinator receives.
	leaseTTLPerReporter = 60 * time.Millisecond
	// reportsPerLease is the number of reports that an entry sends during a
	// lease.
	reportsPerLease = 3
	// HandoverTime is how long a coordinator that took over from another one
	// grants no more than its reporters held before, to give the membership
	// views time to converge.
	HandoverTime = 60 * time.Second
	// failureBackoff is how long an entry does not select a coordinator again
	// that failed to answer.
	failureBackoff = 30 * time.Second
	// bucketBurstTime times the rate is the capacity of an entry's bucket.
	bucketBurstTime = 2 * time.Second
	// orgBurstTime times the limit, or orgBurstRequests requests if that is
	// more, is the largest balance of an organisation across all entries, and
	// also its largest debt.
	orgBurstTime     = 10 * time.Second
	orgBurstRequests = 10
	// baseCreditRequests is the debt, in requests of mean cost, that an entry
	// may incur with or without a lease unless the organisation is known to be
	// over its limit; baseCreditTime times the whole limit bounds it.
	baseCreditRequests = 2
	baseCreditTime     = 10 * time.Second
	// wireScale is the number of wire units in one unit: messages carry rates
	// and costs in thousandths.
	wireScale = 1000
)

// limitKey returns the key of a limit in messages. The keys of one organisation
// differ only modulo the number of units, so key/unitCount identifies the
// organisation.
func limitKey(organisation string, u Unit) uint64 {
	return xxhash.Sum64String(organisation)/uint64(unitCount)*uint64(unitCount) + uint64(u)
}

// View is an entry's view of the membership. It is immutable.
type View struct {
	// Self is the ID of the entry that holds the view.
	Self string
	// Alive holds the IDs of the live entries, Self included, sorted.
	Alive []string
	// ConfiguredCount is the number of entries in the instance list and the settings,
	// live or not.
	ConfiguredCount int
}

// partitionShare returns the fraction of every limit that the live entries may
// admit. During a network partition, each side thus admits a fraction of the
// limit that equals its share of the configured entries.
func (v View) partitionShare() float64 {
	if v.ConfiguredCount <= len(v.Alive) {
		return 1
	}
	return float64(len(v.Alive)) / float64(v.ConfiguredCount)
}

// equalShare returns the fraction of every limit that one entry admits without
// a lease.
func (v View) equalShare() float64 {
	return 1 / float64(max(1, v.ConfiguredCount, len(v.Alive)))
}
