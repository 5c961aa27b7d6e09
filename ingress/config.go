package ingress

import "time"

// Config is one version of the operators' configuration, in full.
type Config struct {
	// Version rises with every change, in uneven steps.
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Repeat says whether a request may run more than once.
type Repeat uint8

// The kinds of routes.
const (
	// Once marks requests that run at most once. It is the zero value, so that
	// a kind that is not known is treated with the most care.
	Once Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream answers are series of events. They count as Once unless the route
	// says that a stream may be resumed.
	Stream
)

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that
	// is on time; zero for other routes.
	PauseObjective time.Duration
	// MaxAttempts is the greatest number of backend servers to which one request
	// may be sent, at least 1.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Generates marks routes whose requests carry prompts.
	Generates bool
	// Resumable streams may go on at another server after their last event.
	Resumable bool
	Split     []Share
}

// Repeatable says that a request of the route may be sent to a second server
// although the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Stream && r.Resumable
}

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	// Weight counts against the sum of all weights of the route.
	Weight int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is how many connections one server accepts from all
	// callers together; 0 means no limit is known.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one rank runs side by side.
	Slots int
	// Step is the time of one token step, PerSequence what each running request
	// adds to it, and ContextPerK what each 1,000 tokens of context add.
	Step        time.Duration
	PerSequence time.Duration
	ContextPerK time.Duration
	// PrefillPerSecond is how many prompt tokens a rank reads a second.
	PrefillPerSecond float64
	// Stride is how many steps one pass runs.
	Stride int
	// PromptTokens and AnswerTokens are the mean sizes of requests.
	PromptTokens int
	AnswerTokens int
	// KVTokens is the memory of one rank.
	KVTokens int
	Experts  Experts
}

// Experts describes the expert maps of a service's groups.
type Experts struct {
	// Sets is the number of sets of layers, PerSet the experts in each.
	Sets   int
	PerSet int
	// Places is how many experts one rank holds in a set.
	Places int
	// Spare is how many experts of a set one map may bring to a rank.
	Spare int
	// MegabytesEach is the size of one expert.
	MegabytesEach float64
	// LinkMbps is the rate at which a rank copies experts.
	LinkMbps float64
	// Form is how long a group needs to open again.
	Form time.Duration
}

// Limits bound what a caller may send and how slowly.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes; 0 means not set.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time for the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; HasPriority says that it is set.
	Priority    int
	HasPriority bool
}
