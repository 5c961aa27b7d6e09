package ingress

import "time"

// Config is one complete version of the operators' configuration.
type Config struct {
	// Version increases with every change, not necessarily by one.
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// RouteKind is the kind of a route. It determines whether a request may be executed
// more than once.
type RouteKind uint8

// The kinds of routes.
const (
	// AtMostOnce marks requests that must not be executed a second time. It is the
	// zero value, so that an unknown kind gets the strictest treatment.
	AtMostOnce RouteKind = iota
	// Idempotent marks requests that may be executed more than once.
	Idempotent
	// Stream marks requests whose response is a stream of events. They are
	// treated like AtMostOnce unless the route is Resumable.
	Stream
)

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeat is the kind of the route.
	Repeat RouteKind
	// Timeout is the greatest time that a caller waits for the response; 0 means
	// that no limit is set.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response, or
	// the first event of a stream, is on time.
	Objective time.Duration
	// PauseObjective is the latency objective between two events of a stream: a
	// stream with a longer pause is not on time. It is zero for other routes.
	PauseObjective time.Duration
	// MaxAttempts is the greatest number of backend servers to which one request
	// may be sent; at least 1.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public reports whether requests of the route need no key.
	Public bool
	// Generates reports whether requests of the route carry prompts, for which
	// a model generates tokens.
	Generates bool
	// Resumable reports whether a stream may be continued at another backend
	// server after its last event.
	Resumable bool
	// Split holds the services of the route with their weights.
	Split []Share
	// AllowedRegions are the regions whose backend servers may get the requests; all
	// if empty.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may be sent to a second
// backend server although the first one may have executed it.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Stream && r.Resumable
}

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is the share relative to the sum of all weights of the route.
	Weight int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server
	// accepts from all clients together; 0 means that no limit is known.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a server handles while it is
	// cold; 0 if servers are never cold. ColdStart is how long a server is cold after a
	// start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine describes the model engines; nil if the service does not run any.
	Engine *Engine
}

// Engine describes the model engines of a service. Each of its backend servers is
// one rank of a group; the ranks of a group compute together, and each holds a part
// of the experts of the model.
type Engine struct {
	// Slots is the number of requests that one rank runs concurrently.
	Slots int
	// Step is the base duration of one token step, which generates one token of
	// each running request. Each running request adds PerSequence to it, and each
	// 1,000 tokens of context add ContextPerK.
	Step        time.Duration
	PerSequence time.Duration
	ContextPerK time.Duration
	// PrefillPerSecond is the number of prompt tokens that a rank processes per
	// second.
	PrefillPerSecond float64
	// Stride is the number of token steps in one pass, which the ranks of a group
	// run in lock-step.
	Stride int
	// PromptTokens and AnswerTokens are the mean lengths of the prompt and the
	// generated answer of a request, in tokens.
	PromptTokens int
	AnswerTokens int
	// KVTokens is the capacity of the key-value cache of one rank, in tokens.
	KVTokens int
	Experts  Experts
}

// Experts describes the dimensions and costs of the expert maps of a service's
// groups. An expert map states which experts each rank of a group holds.
type Experts struct {
	// Sets is the number of sets of layers, PerSet the number of experts in each
	// set.
	Sets   int
	PerSet int
	// Places is the number of experts of a set that one rank holds.
	Places int
	// Spare is the greatest number of experts of a set that one change of the map
	// may add to a rank.
	Spare int
	// MegabytesEach is the size of one expert, in megabytes.
	MegabytesEach float64
	// LinkMbps is the rate at which a rank copies experts, in megabits per
	// second.
	LinkMbps float64
	// Form is the time that a group needs to form again before it accepts
	// requests.
	Form time.Duration
}

// Limits bound the size of a caller's requests and the time that a caller may
// take to send them.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the greatest sizes of the header and
	// the body of a request, in bytes; 0 means that no limit is set.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time for receiving the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open between requests.
	IdleTimeout time.Duration
}

// Organisation is a customer and the keys of its callers.
type Organisation struct {
	Name string
	Keys []string
	// AllowedRegions are the regions whose backend servers may get the requests of the
	// organisation; all if empty. A list of the route applies too.
	AllowedRegions []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}
