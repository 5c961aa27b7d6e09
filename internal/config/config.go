// Package config reads the settings of one process from a YAML file.
//
// Decoding is strict: an unknown field, a duplicate key or an invalid value is
// an error that names the file, the line and the field, and the process does not
// start.
package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Default values of optional settings.
var (
	DefaultDrainTimeout    = Duration(30 * time.Second)
	DefaultJoinTimeout     = Duration(5 * time.Second)
	DefaultRequestTimeout  = Duration(60 * time.Second)
	DefaultMaxBodyBytes    = int64(1 << 20)
	DefaultHeldBytes       = int64(256 << 20)
	DefaultHeaderBytes     = int64(64 << 20)
	DefaultLogLevel        = "info"
	DefaultSlots           = 16
	DefaultQueue           = 256
	DefaultDrainDelay      = Duration(3 * time.Second)
	DefaultMaxWait         = Duration(500 * time.Millisecond)
	DefaultJournalWindow   = Duration(15 * time.Minute)
	DefaultJournalMaxBytes = int64(16 << 20)
)

// Bounds that settings are validated against.
const (
	maxMaxBodyBytes  = 16 << 20
	minHeaderBytes   = 1 << 20
	maxSlots         = 4096
	maxQueue         = 65536
	maxDrainDelay    = 5 * time.Minute
	maxMaxWait       = 10 * time.Minute
	minJournalWindow = time.Minute
	maxJournalWindow = 24 * time.Hour
	maxDrainTimeout  = time.Hour
	minJoinTimeout   = 10 * time.Millisecond
	maxJoinTimeout   = time.Minute
)

// Settings are the settings of one process, entry or agent.
type Settings struct {
	// Name is the name of the instance in the platform's instance list.
	Name string `yaml:"name"`
	// Zone is the availability zone of the instance.
	Zone     string   `yaml:"zone"`
	Region   string   `yaml:"region"`
	Listen   Listen   `yaml:"listen"`
	Keys     Keys     `yaml:"keys"`
	Platform Platform `yaml:"platform"`
	// Seeds are IP:port addresses of instances to contact in addition to those
	// in the platform's instance list, or while the list cannot be read.
	Seeds []string `yaml:"seeds"`
	Log   Log      `yaml:"log"`
	// Connections bounds the connections of strangers.
	Connections Connections `yaml:"connections"`
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout"`
	// JoinTimeout bounds how long a starting process that reaches no peer waits
	// before it uses the rules read from the platform.
	JoinTimeout Duration `yaml:"join_timeout"`
	Entry       *Entry   `yaml:"entry"`
	Agent       *Agent   `yaml:"agent"`
}

// Listen holds the addresses that a process listens on, as IP:port. Port 0
// selects a free port, which is written to the log.
type Listen struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	Admin   string `yaml:"admin"`
}

// Keys holds the paths of PEM files with certificates and keys. Files are
// reloaded when they change.
type Keys struct {
	// Authority is the CA certificate that signs the certificates of all
	// instances and operators.
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// CallersCertificate and CallersKey are used on the listener for callers.
	CallersCertificate string `yaml:"callers_certificate"`
	CallersKey         string `yaml:"callers_key"`
	// Ticket is the path of the file with the secret that seals tickets, of at
	// least 32 bytes.
	Ticket string `yaml:"ticket"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	// URL is the base URL of the configuration service and the instance list.
	URL string `yaml:"url"`
	// RulesKey is the key under which the rules file is published.
	RulesKey string `yaml:"rules_key"`
}

// Log holds the settings of the process log.
type Log struct {
	Level string `yaml:"level"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// HeldBytes bounds the bodies of all requests together, and HeaderBytes their headers, as
	// they are held in memory.
	HeldBytes   int64 `yaml:"held_bytes"`
	HeaderBytes int64 `yaml:"header_bytes"`
	// RequestTimeout limits the duration of a request whose route sets no timeout.
	RequestTimeout Duration `yaml:"request_timeout"`
	// DrainDelay is how long a draining entry, which already fails its readiness
	// probe, keeps accepting connections that the platform's load balancer still
	// routes to it.
	DrainDelay Duration `yaml:"drain_grace"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Backend is the base URL of the backend server of this instance.
	Backend string `yaml:"backend"`
	// Group and Service name the model group or the plain service that the
	// backend server belongs to; exactly one of them is set.
	Group   string `yaml:"group"`
	Service string `yaml:"service"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `yaml:"slots"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `yaml:"queue"`
	// MaxWait bounds the wait for a slot. A request whose expected wait is longer
	// is refused immediately with a retry-after time.
	MaxWait Duration `yaml:"max_wait"`
	// JournalWindow is how long the outcome of a request that must not be
	// executed twice is kept.
	JournalWindow Duration `yaml:"journal_window"`
	// JournalMaxBytes bounds the total size of the kept outcomes.
	JournalMaxBytes int64 `yaml:"journal_max_bytes"`
	// Ranks is set if the backend server hosts ranks of a rank group.
	Ranks *RankGroup `yaml:"ranks"`
}

// Duration is a time.Duration that is written in YAML as text such as 30s.
type Duration time.Duration

// UnmarshalYAML parses d from a scalar. Its error holds line and field.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil {
		return &Error{Line: nodeLine(node), Field: fieldPath(node), Msg: fmt.Sprintf("%q is not a duration such as 30s", text)}
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Defaults returns settings with the defaults that do not depend on the role.
func Defaults() Settings {
	return Settings{
		DrainTimeout: DefaultDrainTimeout,
		JoinTimeout:  DefaultJoinTimeout,
		Log:          Log{Level: DefaultLogLevel},
		Platform:     Platform{RulesKey: "rules"},
	}
}
