package config

import "fmt"

// Connections bounds the connections of strangers. Zero fields are set to their defaults.
type Connections struct {
	// Callers is the greatest number of open connections of callers of a gateway or entry. A
	// gateway without it derives it from its memory and descriptors.
	Callers int `yaml:"callers"`
	// Control is the greatest number of open connections at each other address: of readiness
	// probes, metrics, administration, and of peers that have not proved who they are.
	Control int `yaml:"control"`
}

// BodyCopies is how many times the size of a body its request takes of HeldBytes: the bytes that
// were read, and those that are sent on.
const BodyCopies = 2

const (
	defaultControlConnections = 64
	defaultCallerConnections  = 4096
	maxConnections            = 1 << 20
	// maxDerivedConnections bounds the connections of callers where neither memory nor
	// descriptors do.
	maxDerivedConnections = 16384
	// minDerivedConnections is the least number of connections of callers that is derived.
	minDerivedConnections = 64
	// connectionShare is the share of memory_mb that connections of callers may take, and
	// connectionBytes what one takes without large headers and bodies.
	connectionShare = 0.25
	connectionBytes = 40 << 10
	// descriptorShare is the share of the descriptors that connections of callers may take. The
	// others are for connections to servers, peers and files.
	descriptorShare = 0.4
)

func (c *Connections) setDefaults() {
	if c.Control == 0 {
		c.Control = defaultControlConnections
	}
}

func (c *Connections) check() *invalidField {
	if c.Callers < 0 || c.Callers > maxConnections {
		return &invalidField{"connections.callers", fmt.Sprintf("must be between 0 and %d", maxConnections)}
	}
	if c.Control < 0 || c.Control > maxConnections {
		return &invalidField{"connections.control", fmt.Sprintf("must be between 0 and %d", maxConnections)}
	}
	return nil
}

// CallerConnections returns the greatest number of open connections of callers. descriptors is
// the number of descriptors that the system lets the process open; zero if it sets no limit.
func (n *Node) CallerConnections(descriptors int) int {
	if n.Connections.Callers > 0 {
		return n.Connections.Callers
	}
	if n.MaxFDs > 0 && (descriptors == 0 || n.MaxFDs < descriptors) {
		descriptors = n.MaxFDs
	}
	connections := maxDerivedConnections
	if descriptors > 0 {
		connections = min(connections, int(descriptorShare*float64(descriptors)))
	}
	if n.MemoryMB > 0 {
		connections = min(connections, int(connectionShare*float64(int64(n.MemoryMB)<<20)/connectionBytes))
	}
	return max(connections, minDerivedConnections)
}
