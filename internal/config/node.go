package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Node holds the settings of a process that runs on an external platform: a
// gateway, or the agent of a rank.
type Node struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Mesh is the IP:port that receives datagrams of peers. All processes use the
	// same port.
	Mesh string `yaml:"mesh"`
	// Seeds are addresses of instances to contact first. Only their IP is used;
	// the port is that of Mesh.
	Seeds []string `yaml:"seeds"`
	// Metrics is the IP:port that serves metrics; if empty, none are served.
	Metrics string `yaml:"metrics"`
	// Callers and Ready are the IP:port addresses that serve requests and
	// readiness probes. They are required for a gateway.
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Store is the IP:port of the platform's key-value store. It is required for a
	// gateway.
	Store string `yaml:"store"`
	// Server is the IP:port of the model server beside an agent. It is
	// required for an agent.
	Server string `yaml:"server"`
	// Service is the service that the model server belongs to. It is required for
	// an agent.
	Service string `yaml:"service"`
	// MemoryMB is the memory limit of the process, in megabytes.
	MemoryMB int `yaml:"memory_mb"`
	// MaxFDs is the number of descriptors that the process may open; zero for the limit that the
	// system sets.
	MaxFDs int `yaml:"max_fds"`
	// MeshPeers is the greatest number of other processes that a process knows.
	MeshPeers int `yaml:"mesh_peers"`
	// Connections bounds the connections of strangers.
	Connections Connections `yaml:"connections"`
	// MaxProcs bounds the threads of a gateway that run Go code at the same time; zero for
	// the default of the Go runtime.
	MaxProcs int `yaml:"max_procs"`
	// LinkMbps is the rate of the instance's link, in megabits per second; zero if not
	// known.
	LinkMbps float64 `yaml:"link_mbps"`
	// Zones holds the region of each availability zone. A zone that is missing has no
	// known region.
	Zones map[string]string `yaml:"zones"`
	// Memory bounds what a gateway holds for callers and servers.
	Memory Memory `yaml:"memory"`
	Log    Log    `yaml:"log"`
	Bounds Bounds `yaml:"bounds"`
	// FirstStart says that the whole system starts for the first time, so that no process knew
	// anything before that it may have forgotten.
	FirstStart bool `yaml:"first_start"`
}

// Memory bounds what a gateway holds for callers and servers. Zero fields are set to their
// defaults.
type Memory struct {
	// ConnectionBytes bounds what is read ahead of one caller that reads slowly.
	ConnectionBytes int64 `yaml:"connection_bytes"`
	// Share is the share of memory_mb that bodies of requests, buffered responses and what
	// is read ahead may take together, in (0, 1].
	Share float64 `yaml:"share"`
	// Headers is the share of memory_mb that the headers of requests may take together, in
	// (0, 1].
	Headers float64 `yaml:"headers"`
}

// Defaults of Memory. A process whose memory_mb is not stated holds at most
// defaultHeldBytes.
const (
	defaultConnectionBytes = 256 << 10
	defaultMemoryShare     = 0.25
	defaultHeldBytes       = 64 << 20
	defaultHeadersShare    = 0.1
	defaultHeaderBytes     = 64 << 20
)

// Bounds are guarantees that the processes of the system provide jointly. Zero
// fields are set to their defaults, except RetryFree, which may be 0.
type Bounds struct {
	// RevokeMS bounds how long a revoked API key may still be accepted after the
	// revocation was acknowledged, in milliseconds.
	RevokeMS int `yaml:"revoke_ms"`
	// RetryRatio and RetryFree bound the retries within a window of RetryWindowS
	// seconds: at most RetryRatio times the number of requests, plus RetryFree.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryFree    float64 `yaml:"retry_free"`
	RetryWindowS float64 `yaml:"retry_window_s"`
	// GraceS bounds how long a process takes to stop, in seconds.
	GraceS float64 `yaml:"grace_s"`
	// EvacuateMS bounds how long after the acknowledgement of the evacuation of a zone a
	// request may still reach its servers, in milliseconds; zero if zones are not
	// evacuated.
	EvacuateMS int `yaml:"evacuate_ms"`
	// ColdOvershoot and ColdSlack bound the requests that reach a cold server in any second:
	// ColdOvershoot times the rate that it handles, plus ColdSlack. ColdOvershoot is zero if
	// servers are never cold.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack"`
}

// Defaults of Bounds, the largest GraceS in seconds, and the largest ColdOvershoot and
// ColdSlack.
const (
	defaultRevokeMS     = 5000
	defaultRetryRatio   = 0.2
	defaultRetryWindowS = 10
	defaultGraceS       = 8
	maxGraceS           = 3600
	maxColdBound        = 1_000_000
)

// LoadNode reads and validates the settings of a node.
func LoadNode(file string) (*Node, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return ParseNode(file, text)
}

// ParseNode is like LoadNode for text that was already read; file is only used
// in errors.
func ParseNode(file string, text []byte) (*Node, error) {
	n := Node{Log: Log{Level: DefaultLogLevel}}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&n); err != nil {
		return nil, decodeError(file, err)
	}
	n.Bounds.setDefaults()
	n.Memory.setDefaults()
	n.Connections.setDefaults()
	if invalid := n.check(); invalid != nil {
		return nil, &Error{File: file, Line: lineOf(text, invalid.field), Field: invalid.field, Msg: invalid.msg}
	}
	return &n, nil
}

func (b *Bounds) setDefaults() {
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

func (m *Memory) setDefaults() {
	if m.ConnectionBytes == 0 {
		m.ConnectionBytes = defaultConnectionBytes
	}
	if m.Share == 0 {
		m.Share = defaultMemoryShare
	}
	if m.Headers == 0 {
		m.Headers = defaultHeadersShare
	}
}

func (m *Memory) check() *invalidField {
	switch {
	case m.ConnectionBytes < 0:
		return &invalidField{"memory.connection_bytes", "must not be negative"}
	case !(m.Share > 0 && m.Share <= 1):
		return &invalidField{"memory.share", "must be above 0 and at most 1"}
	case !(m.Headers > 0 && m.Headers <= 1):
		return &invalidField{"memory.headers", "must be above 0 and at most 1"}
	}
	return nil
}

// HeldBytes returns how many bytes bodies of requests, buffered responses and what is read
// ahead may take together.
func (n *Node) HeldBytes() int64 {
	if n.MemoryMB <= 0 {
		return defaultHeldBytes
	}
	return int64(n.Memory.Share * float64(int64(n.MemoryMB)<<20))
}

// HeaderBytes returns how many bytes the headers of requests may take together.
func (n *Node) HeaderBytes() int64 {
	if n.MemoryMB <= 0 {
		return defaultHeaderBytes
	}
	return int64(n.Memory.Headers * float64(int64(n.MemoryMB)<<20))
}

func (n *Node) check() *invalidField {
	missing := firstMissing(fieldValue{"name", n.Name}, fieldValue{"zone", n.Zone}, fieldValue{"mesh", n.Mesh})
	if missing != nil {
		return missing
	}
	addresses := []fieldValue{
		{"mesh", n.Mesh},
		{"metrics", n.Metrics},
		{"callers", n.Callers},
		{"ready", n.Ready},
		{"store", n.Store},
		{"server", n.Server},
	}
	for i, seed := range n.Seeds {
		addresses = append(addresses, fieldValue{fmt.Sprintf("seeds[%d]", i), seed})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			return &invalidField{a.field, fmt.Sprintf("%q is not IP:port", a.value)}
		}
	}
	if n.MaxFDs < 0 {
		return &invalidField{"max_fds", "must not be negative"}
	}
	if n.MeshPeers < 0 {
		return &invalidField{"mesh_peers", "must not be negative"}
	}
	if invalid := n.Connections.check(); invalid != nil {
		return invalid
	}
	if n.MaxProcs < 0 {
		return &invalidField{"max_procs", "must not be negative"}
	}
	if n.LinkMbps < 0 {
		return &invalidField{"link_mbps", "must not be negative"}
	}
	if invalid := n.Memory.check(); invalid != nil {
		return invalid
	}
	return n.Bounds.check()
}

func (b *Bounds) check() *invalidField {
	switch {
	case b.RevokeMS < 0:
		return &invalidField{"bounds.revoke_ms", "must not be negative"}
	case b.EvacuateMS < 0:
		return &invalidField{"bounds.evacuate_ms", "must not be negative"}
	case b.RetryRatio < 0 || b.RetryRatio > 1:
		return &invalidField{"bounds.retry_ratio", "must be between 0 and 1"}
	case b.RetryFree < 0:
		return &invalidField{"bounds.retry_free", "must not be negative"}
	case b.RetryWindowS < 0:
		return &invalidField{"bounds.retry_window_s", "must not be negative"}
	case b.GraceS < 0 || b.GraceS > maxGraceS:
		return &invalidField{"bounds.grace_s", fmt.Sprintf("must be between 0 and %d", maxGraceS)}
	case !(b.ColdOvershoot >= 0) || b.ColdOvershoot > maxColdBound:
		return &invalidField{"bounds.cold_overshoot", fmt.Sprintf("must be between 0 and %d", maxColdBound)}
	case !(b.ColdSlack >= 0) || b.ColdSlack > maxColdBound:
		return &invalidField{"bounds.cold_slack", fmt.Sprintf("must be between 0 and %d", maxColdBound)}
	}
	return nil
}

// CheckGateway returns an error if a setting that a gateway requires is missing.
func (n *Node) CheckGateway(file string) error {
	return n.requireFields(file, fieldValue{"callers", n.Callers}, fieldValue{"ready", n.Ready}, fieldValue{"store", n.Store})
}

// CheckAgent returns an error if a setting that the agent of a rank requires is
// missing.
func (n *Node) CheckAgent(file string) error {
	return n.requireFields(file, fieldValue{"server", n.Server}, fieldValue{"service", n.Service})
}

func (n *Node) requireFields(file string, fields ...fieldValue) error {
	if invalid := firstMissing(fields...); invalid != nil {
		return &Error{File: file, Line: 1, Field: invalid.field, Msg: invalid.msg}
	}
	return nil
}

// RevokeBound returns RevokeMS as a duration.
func (b Bounds) RevokeBound() time.Duration { return time.Duration(b.RevokeMS) * time.Millisecond }

// EvacuateBound returns EvacuateMS as a duration.
func (b Bounds) EvacuateBound() time.Duration { return time.Duration(b.EvacuateMS) * time.Millisecond }

// RetryWindow returns RetryWindowS as a duration.
func (b Bounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// Grace returns GraceS as a duration.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// MeshSeeds returns the seeds with their ports replaced by the port of Mesh.
func (n *Node) MeshSeeds() []string {
	meshAddr, err := netip.ParseAddrPort(n.Mesh)
	if err != nil {
		return nil // Unreachable: ParseNode has validated it.
	}
	meshSeeds := make([]string, 0, len(n.Seeds))
	for _, seed := range n.Seeds {
		seedAddr, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // Unreachable: ParseNode has validated it.
		}
		meshSeeds = append(meshSeeds, netip.AddrPortFrom(seedAddr.Addr(), meshAddr.Port()).String())
	}
	return meshSeeds
}
