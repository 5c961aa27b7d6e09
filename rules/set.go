package rules

import "time"

// Class distinguishes requests that a person waits for from deferrable ones.
type Class uint8

const (
	// Interactive is the class of requests that a person waits for, and of
	// requests that name no class.
	Interactive Class = iota
	// Batch is the class of requests that nobody waits for.
	Batch
)

// classCount is the number of classes. The index keeps the first matching route
// for each.
const classCount = 2

// String returns the word used in the rules file.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// MarshalText encodes a Class as the word used in the rules file.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// ParseClass returns the class that word names, and false if it names none.
func ParseClass(word string) (Class, bool) {
	switch word {
	case "interactive":
		return Interactive, true
	case "batch":
		return Batch, true
	}
	return Interactive, false
}

// TargetKind is the kind of target that a route leads to.
type TargetKind uint8

const (
	// ToGroup is the kind of a model group.
	ToGroup TargetKind = iota
	// ToService is the kind of a plain service.
	ToService
)

// String returns the word used in the rules file.
func (k TargetKind) String() string {
	if k == ToService {
		return "service"
	}
	return "group"
}

// MarshalText encodes a TargetKind as the word used in the rules file.
func (k TargetKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Source holds the line of a rule and who asked for the rule.
type Source struct {
	// Line counts from 1; 0 marks a default value that is not in the file.
	Line int `json:"line"`
	// RequestedBy is the name in the comment of the rule, and Reason the text
	// after it, if any.
	RequestedBy string `json:"asked_for_by"`
	Reason      string `json:"reason,omitempty"`
	// Text is the rule as written, without its comment.
	Text string `json:"text"`
}

// Rates holds a limit or a capacity in requests and in tokens per second; 0 means
// that none is given.
type Rates struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
}

// TokenHash is the SHA-256 of a bearer token.
type TokenHash [32]byte

// Organisation is a client of the deployment, identified by its bearer tokens.
type Organisation struct {
	Source
	Name string
	// Rates are the limits of the organisation for the whole deployment.
	Rates
	// Share is the weight of the organisation when demand exceeds capacity. It
	// is above 0, and 1 by default.
	Share  float64
	Tokens []TokenHash
}

// Group is a model group. The instances that belong to it have its name in the
// instance list.
type Group struct {
	Source
	Name   string
	Models []string
	// Capacity is the load that the group can handle; it is used only for
	// warnings.
	Capacity Rates
}

// Service is a plain service. The instances that belong to it have its name in
// the instance list.
type Service struct {
	Source
	Name string
	// Capacity is the load that the service can handle, in requests per second
	// only; it is used only for warnings.
	Capacity Rates
}

// Route sends the requests that it matches to a group or a service. It matches
// either by model or by method and path.
type Route struct {
	Source
	// Models is empty for a route by method and path.
	Models []string
	// Method is empty if the route matches any method.
	Method string
	// Path excludes the trailing star of a prefix.
	Path string
	// IsPrefix is set if the route matches all paths that begin with Path.
	IsPrefix bool
	// Organisations is empty if the route matches any organisation.
	Organisations []string
	// AnyClass is set if the route matches both classes; Class is then unused.
	AnyClass bool
	Class    Class
	Kind     TargetKind
	Target   string
	// AtMostOnce is set if requests must not be sent a second time.
	AtMostOnce bool
	// Timeout is 0 if the route sets none.
	Timeout time.Duration
}

// Weights are the weights of the two objectives, skew and rebalance, in balancing
// model groups; each is from 0 to 1.
type Weights struct {
	Source
	Skew      float64
	Rebalance float64
}

// defaultWeight is the value of both weights in a file without a weights rule.
const defaultWeight = 0.5

// Set is a parsed rules file. It is immutable and safe for concurrent use; callers
// must not modify the contents of its fields.
type Set struct {
	Organisations []Organisation
	Groups        []Group
	Services      []Service
	Routes        []Route
	Weights       Weights

	names nameIndex
	index index
	// tokens maps the hash of each token to the position of its organisation.
	tokens map[TokenHash]int32
}

// Organisation returns the organisation with this name, or nil.
func (s *Set) Organisation(name string) *Organisation {
	if i, ok := s.names.organisations[name]; ok {
		return &s.Organisations[i]
	}
	return nil
}

// Group returns the group with this name, or nil.
func (s *Set) Group(name string) *Group {
	if i, ok := s.names.groups[name]; ok {
		return &s.Groups[i]
	}
	return nil
}

// Service returns the service with this name, or nil.
func (s *Set) Service(name string) *Service {
	if i, ok := s.names.services[name]; ok {
		return &s.Services[i]
	}
	return nil
}

// ServesModel reports whether any group serves the model.
func (s *Set) ServesModel(model string) bool {
	return s.names.models[model]
}

// nameIndex maps the name of each organisation, group and service to its position
// in the Set. The field models holds the models that any group serves.
type nameIndex struct {
	organisations map[string]int32
	groups        map[string]int32
	services      map[string]int32
	models        map[string]bool
}
