package gateway

import (
	"cmp"

	"bluebellwind.example/internal/connguard"
)

// controlHeaderShare is the part of MemoryLimits.Headers that the headers of probes may take
// besides.
const controlHeaderShare = 0.25

// newGuards creates the guards of the listeners.
func (g *Gateway) newGuards(limits Limits) {
	headers := limits.Memory.withDefaults().Headers
	g.headerMemory = connguard.NewBudget(headers)
	g.callerGuard = connguard.New(connguard.Options{
		Connections: cmp.Or(limits.Connections, defaultConnections), HeaderBytes: g.headerLimit, Headers: g.headerMemory,
	})
	g.probeGuard = connguard.New(connguard.Options{
		Connections: cmp.Or(limits.ControlConnections, defaultControlConnections),
		HeaderBytes: func() int { return defaultMaxHeaderBytes },
		Headers:     connguard.NewBudget(int64(controlHeaderShare * float64(headers))),
	})
}

// headerLimit returns the greatest size of the header of a request, in bytes.
func (g *Gateway) headerLimit() int {
	if t := g.follower.Table(); t != nil && t.Limits().MaxHeaderBytes > 0 {
		return min(t.Limits().MaxHeaderBytes, maxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}
