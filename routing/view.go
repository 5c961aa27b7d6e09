package routing

import "time"

// Priority orders requests. A request with a lower value is served first.
type Priority uint8

// The priorities that model engines support.
const (
	Interactive Priority = iota
	Standard
	Batch
	// Priorities is the number of priorities.
	Priorities = 3
)

// CandidateIndex is an index into View.Candidates.
type CandidateIndex int

// Load is the load that a backend server reported.
type Load struct {
	// MeasuredAt is the time at which the reported values held, on the clock of this
	// instance: the time of receipt minus the age stated in the report.
	MeasuredAt time.Time
	// Slots is the number of requests that the server runs concurrently, at
	// least 1.
	Slots int
	// Running is the number of requests that hold a slot.
	Running int
	// Queued is the number of requests that wait for a slot, by priority.
	Queued [Priorities]int
	// StepTime is the time between two tokens of a stream, which is determined
	// by the slowest rank of the server's group. Zero means unknown.
	StepTime time.Duration
	// TokensPerSecond is the output rate of all streams together. It is used to
	// derive the step time when StepTime is unknown.
	TokensPerSecond float64
}

// EntryLoad is the load that this entry itself has put on a server. Table
// maintains it.
type EntryLoad struct {
	// InFlight is the number of requests of this entry that are on the server.
	InFlight int
	// SentSince is the number of requests that this entry sent since Load.MeasuredAt.
	SentSince int
	// LastProgress is the last time at which the server sent this entry
	// anything.
	LastProgress time.Time
	// Credit is the number of choices that the server's share of the requests
	// entitles it to, minus the choices made so far. Pick updates it.
	Credit float64
}

// Candidate is a backend server that serves the model of a View.
type Candidate struct {
	// Server is the server's address or name, unique in the fleet.
	Server string
	Zone   string
	// Version is the version of the loaded model.
	Version string
	// Adapters are the names of the loaded adapters.
	Adapters []string
	// Draining servers finish their requests and Excluded servers are thought to be
	// faulty; neither gets new requests.
	Draining bool
	Excluded bool
	// Preferred servers are those of this entry's subset: among equally good servers they
	// get more of its requests, so that its connections are used again. Each server must
	// be preferred by equally many entries.
	Preferred bool
	// ZonePenalty is the cost of using a server outside the entry's own
	// availability zone, zero within the zone. It is added to the time that the
	// server needs to clear its backlog.
	ZonePenalty time.Duration
	// ReportPeriod overrides View.ReportPeriod for this server; zero means that
	// View.ReportPeriod applies.
	ReportPeriod time.Duration
	Load         Load
	EntryLoad    EntryLoad
}

// View is what an entry knows about the servers of one model.
type View struct {
	Candidates []Candidate
	// ReportPeriod is the usual time from one report to the next plus the
	// transmission delay of a report.
	ReportPeriod time.Duration
	// MeanTokens is the mean length of an answer in tokens, at least 1. For a
	// service without a model it is 1 and StepTime is the duration of a call.
	MeanTokens float64
	// StepTime is used for servers whose report has neither a step time nor a
	// token rate.
	StepTime time.Duration
	// PrefillPerToken is the time to process one token of a prompt.
	PrefillPerToken time.Duration
	// Entries is the approximate number of entries that choose among these
	// servers; values below 1 count as 1. The more entries there are, the fewer
	// additional requests each of them sends to a server for prefix cache hits.
	Entries int
	// AdapterLoad is the time that a server needs to load an adapter it lacks.
	// Zero means that servers do not load adapters on demand.
	AdapterLoad time.Duration
}

// Hint states that a server may hold the first Tokens tokens of a prompt in its
// prefix cache. Probability is the estimated probability, in [0, 1], that it
// still does.
type Hint struct {
	Server      string
	Tokens      int
	Probability float64
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Priority Priority
	// Version is the requested model version; empty means any.
	Version string
	// Adapter is the requested adapter; empty means none.
	Adapter string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Hints are the servers that may hold a prefix of the prompt.
	Hints []Hint
	// ConnectedServers are the servers to which this entry holds an idle connection.
	ConnectedServers []string
	// ExcludedServers are the servers that were already tried and must not be chosen
	// again.
	ExcludedServers []string
}
