package gateway

import (
	"cmp"

	"bluebellwind.example/internal/connguard"
)

// newGuards creates the guards of the listeners.
func (g *Gateway) newGuards(limits Limits) {
	headers := limits.Memory.withDefaults().Headers
	g.headerMemory = connguard.NewBudget(headers)
	g.callerGuard = connguard.New(connguard.Options{
		Connections: cmp.Or(limits.Connections, defaultConnections), HeaderBytes: g.headerLimit, Headers: g.headerMemory,
	})
}

// headerLimit returns the greatest size of the header of a request, in bytes.
func (g *Gateway) headerLimit() int {
	if t := g.follower.Table(); t != nil && t.Limits().MaxHeaderBytes > 0 {
		return min(t.Limits().MaxHeaderBytes, maxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}
