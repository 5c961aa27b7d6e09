package rankagent

import (
	"context"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
)

// Report is the state of a rank.
type Report struct {
	Group backends.Group
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// RelativePassTime is the duration of a pass divided by its usual duration;
	// a value over 1 means that the rank is slow.
	RelativePassTime float64
	State            groupmap.RankState
}

// ExpertCounts holds how often the requests of a rank chose each expert since the
// rank started. Chosen holds one count for each expert, set by set.
type ExpertCounts struct {
	Epoch  uint64
	Chosen []uint64
}

// HeldExperts lists the experts that a rank holds in the map in use, indexed by
// set.
type HeldExperts struct {
	Epoch   uint64
	Version uint64
	Experts [][]uint16
}

// Engine is the interface of an agent to one model server. Without an error of Order
// a Prepare has begun and any other order has been carried out; an error does not tell
// whether it was. Implementations are safe for concurrent use.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	ExpertCounts(ctx context.Context) (ExpertCounts, error)
	HeldExperts(ctx context.Context) (HeldExperts, error)
	Order(ctx context.Context, o groupmap.Order) error
}
