package rankagent

import (
	"context"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
)

// Report is how a rank stands.
type Report struct {
	Group            backends.Group
	Running, Waiting int
	// Pace is the time of a pass against the usual; over 1 is slow.
	Pace  float64
	State groupmap.RankState
}

// Counts says how often the requests of a rank chose each expert since the rank
// started, set after set.
type Counts struct {
	Epoch  uint64
	Chosen []uint64
}

// Held says which experts a rank holds, by set, on the map in use.
type Held struct {
	Epoch   uint64
	Version uint64
	Experts [][]uint16
}

// Engine is one model server as its agent sees it. Errors say nothing of
// whether an order was carried out. Implementations are safe for concurrent use.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Counts(ctx context.Context) (Counts, error)
	Held(ctx context.Context) (Held, error)
	Order(ctx context.Context, o groupmap.Order) error
}
