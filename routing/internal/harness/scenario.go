package harness

import "time"

// Scenario configures one run. Two runs of the same scenario give the same
// result.
type Scenario struct {
	Seed    uint64
	Policy  Policy
	Entries int
	Servers int
	// Load is the arrival rate divided by the capacity of all servers.
	Load float64
	// ReportAge is the mean age of a report. Reports are sent once per
	// ReportAge and arrive after half of it, so that half of the mean age is
	// due to the period and half to the delay.
	ReportAge time.Duration
	// Warmup is the initial time that is excluded from the request counts.
	// Duration is the length of the whole run.
	Warmup, Duration time.Duration
	Fault            Fault
	// FaultStart and FaultDuration are the start and the length of the fault.
	FaultStart, FaultDuration time.Duration
	Overload                  Overload
	// BatchShare is the share of arrivals with Batch priority.
	BatchShare float64
	// HotPrefixShare is the share of arrivals that have one common prefix.
	HotPrefixShare float64
	// NoPrefixHints disables prefix affinity.
	NoPrefixHints bool
}

// Fault is a kind of fault in a run.
type Fault string

// The faults. A Straggler is slower by stragglerFactor, a Frozen server makes
// no progress, and ZoneLost fails all servers of one availability zone.
const (
	NoFault   Fault = ""
	Straggler Fault = "straggler"
	Frozen    Fault = "frozen server"
	ZoneLost  Fault = "zone gone"
)

// Overload configures the overload of a run, the retries of its callers and the
// protection against it.
type Overload struct {
	// PeakLoad replaces Scenario.Load for PeakDuration from PeakStart; 0 means
	// no peak.
	PeakLoad                float64
	PeakStart, PeakDuration time.Duration
	// Admission puts an admission queue in front of each server.
	Admission bool
	// MaxWait bounds the wait in the admission queue; 0 means no bound.
	MaxWait time.Duration
	// CancelAbandoned frees the slot of a request whose caller gave up.
	CancelAbandoned bool
	// EnginePriorities makes engines serve requests by priority instead of in
	// order of arrival.
	EnginePriorities bool
	// FirstTokenTimeout is the time that a caller waits for its first token; 0
	// means without limit.
	FirstTokenTimeout time.Duration
	// MaxAttempts is the number of attempts that a caller makes, at least 1.
	MaxAttempts int
	// HeavyShare is the share of arrivals that one organisation sends.
	HeavyShare float64
}

const (
	// slotsPerServer is the number of requests that a server runs concurrently.
	slotsPerServer = 16
	// stepTime is the time between two tokens of an answer.
	stepTime = 20 * time.Millisecond
	// meanTokens is the mean length of an answer in tokens.
	meanTokens = 209
	// prefillPerToken is the time to process one token of a prompt.
	prefillPerToken = 100 * time.Microsecond
	// A prompt consists of prefixTokens tokens that it shares with other
	// prompts and suffixTokens tokens of its own.
	prefixTokens = 1500
	suffixTokens = 200
	// prefixCount is the number of distinct prompt prefixes, and
	// cachedPrefixesPerServer the number of them that fit into one server's
	// cache.
	prefixCount             = 2000
	cachedPrefixesPerServer = 48
	// zoneCount is the number of availability zones.
	zoneCount = 3
	// stragglerFactor multiplies all service times of a straggler.
	stragglerFactor = 3
	// connectTimeout is the time until a connection attempt to a failed server
	// ends.
	connectTimeout = 200 * time.Millisecond
	// callerRetryDelay is the delay before a caller's retry if none was stated.
	callerRetryDelay = 200 * time.Millisecond
	// lightOrganisations is the number of organisations besides the heavy one.
	lightOrganisations = 20
	// zonePenalty is routing.Candidate.ZonePenalty of a server in another zone.
	zonePenalty = 500 * time.Millisecond
)

// serviceTime is the time for which a request of mean length holds a slot, if
// half of its prefix is cached.
const serviceTime = meanTokens*stepTime + (prefixTokens/2+suffixTokens)*prefillPerToken

// capacity returns the number of requests per second that n servers complete.
func capacity(n int) float64 { return float64(n*slotsPerServer) / serviceTime.Seconds() }
