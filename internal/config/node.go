package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Node holds the settings of a process that meets an outside platform: a
// gateway, or the agent of a rank.
type Node struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Mesh is where datagrams of peers arrive, IP:port. All processes use the
	// same port.
	Mesh string `yaml:"mesh"`
	// Seeds are addresses of instances to begin with. Only their IP counts.
	Seeds []string `yaml:"seeds"`
	// Metrics is where metrics are served, IP:port; empty for nowhere.
	Metrics string `yaml:"metrics"`
	// Callers and Ready are where requests and readiness probes arrive. A
	// gateway needs them.
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Store is the platform's store, IP:port.
	Store string `yaml:"store"`
	// Server is the model server beside an agent, IP:port. An agent needs it.
	Server string `yaml:"server"`
	// Service is the service that the model server belongs to.
	Service string `yaml:"service"`
	// MemoryMB is how much memory the process may use, in megabytes.
	MemoryMB int    `yaml:"memory_mb"`
	Log      Log    `yaml:"log"`
	Bounds   Bounds `yaml:"bounds"`
}

// Bounds are promises that the processes keep to together. Zero fields take
// the defaults.
type Bounds struct {
	// RevokeMS is how long after its acknowledgement a revoked key may still be
	// acted on, in milliseconds.
	RevokeMS int `yaml:"revoke_ms"`
	// RetryRatio and RetryFree bound the requests that are sent again within
	// RetryWindowS seconds: the ratio of all requests, and so many more.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryFree    float64 `yaml:"retry_free"`
	RetryWindowS float64 `yaml:"retry_window_s"`
	// GraceS is how long a process may take to stop, in seconds.
	GraceS float64 `yaml:"grace_s"`
}

// Default bounds.
const (
	defaultRevokeMS     = 5000
	defaultRetryRatio   = 0.2
	defaultRetryWindowS = 10
	defaultGraceS       = 8
	maxGraceS           = 3600
)

// LoadNode reads and checks the settings of a node.
func LoadNode(file string) (*Node, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return ParseNode(file, text)
}

// ParseNode is LoadNode for text already read; file is used in errors only.
func ParseNode(file string, text []byte) (*Node, error) {
	n := Node{Log: Log{Level: DefaultLogLevel}}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&n); err != nil {
		return nil, decodeError(file, err)
	}
	n.Bounds.fill()
	if bad := n.check(); bad != nil {
		return nil, &Error{File: file, Line: lineOf(text, bad.field), Field: bad.field, Msg: bad.msg}
	}
	return &n, nil
}

func (b *Bounds) fill() {
	if b.RevokeMS == 0 {
		b.RevokeMS = defaultRevokeMS
	}
	if b.RetryRatio == 0 {
		b.RetryRatio = defaultRetryRatio
	}
	if b.RetryWindowS == 0 {
		b.RetryWindowS = defaultRetryWindowS
	}
	if b.GraceS == 0 {
		b.GraceS = defaultGraceS
	}
}

func (n *Node) check() *fault {
	missing := firstMissing(named{"name", n.Name}, named{"zone", n.Zone}, named{"mesh", n.Mesh})
	if missing != nil {
		return missing
	}
	addresses := []named{
		{"mesh", n.Mesh},
		{"metrics", n.Metrics},
		{"callers", n.Callers},
		{"ready", n.Ready},
		{"store", n.Store},
		{"server", n.Server},
	}
	for i, seed := range n.Seeds {
		addresses = append(addresses, named{fmt.Sprintf("seeds[%d]", i), seed})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			return &fault{a.field, fmt.Sprintf("%q is not an IP:port", a.value)}
		}
	}
	return n.Bounds.check()
}

func (b *Bounds) check() *fault {
	switch {
	case b.RevokeMS < 0:
		return &fault{"bounds.revoke_ms", "must not be negative"}
	case b.RetryRatio < 0 || b.RetryRatio > 1:
		return &fault{"bounds.retry_ratio", "must be between 0 and 1"}
	case b.RetryFree < 0:
		return &fault{"bounds.retry_free", "must not be negative"}
	case b.RetryWindowS < 0:
		return &fault{"bounds.retry_window_s", "must not be negative"}
	case b.GraceS < 0 || b.GraceS > maxGraceS:
		return &fault{"bounds.grace_s", fmt.Sprintf("must be between 0 and %d", maxGraceS)}
	}
	return nil
}

// CheckGateway returns an error for settings that a gateway cannot start with.
func (n *Node) CheckGateway(file string) error {
	return n.need(file, named{"callers", n.Callers}, named{"ready", n.Ready}, named{"store", n.Store})
}

// CheckAgent returns an error for settings that a rank's agent cannot start with.
func (n *Node) CheckAgent(file string) error {
	return n.need(file, named{"server", n.Server}, named{"service", n.Service})
}

func (n *Node) need(file string, fields ...named) error {
	if bad := firstMissing(fields...); bad != nil {
		return &Error{File: file, Line: 1, Field: bad.field, Msg: bad.msg}
	}
	return nil
}

// RevokeBound returns RevokeMS as a duration.
func (b Bounds) RevokeBound() time.Duration { return time.Duration(b.RevokeMS) * time.Millisecond }

// RetryWindow returns RetryWindowS as a duration.
func (b Bounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// Grace returns GraceS as a duration.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// MeshSeeds returns the seeds with the port of Mesh.
func (n *Node) MeshSeeds() []string {
	self, err := netip.ParseAddrPort(n.Mesh)
	if err != nil {
		return nil // Checked when the settings were read.
	}
	out := make([]string, 0, len(n.Seeds))
	for _, seed := range n.Seeds {
		at, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Checked when the settings were read.
		}
		out = append(out, netip.AddrPortFrom(at.Addr(), self.Port()).String())
	}
	return out
}
