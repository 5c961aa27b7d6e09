package discovery

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// ErrHistoryGone says that the source no longer has the changes asked for.
var ErrHistoryGone = errors.New("discovery: the source dropped this history")

// Published is all that is published at one revision.
type Published struct {
	// Config is nil if none is published yet.
	Config   *ingress.Config
	Servers  []backends.Server
	Revision int64
}

// Changes are what was published after a revision.
type Changes struct {
	// Config is nil if it did not change.
	Config *ingress.Config
	// Put are new or changed servers, Removed the IDs of those that are no
	// longer published.
	Put      []backends.Server
	Removed  []string
	Revision int64
}

// Source reads what is published. Each call is priced. Implementations are safe
// for concurrent use.
type Source interface {
	// Read returns everything. What cannot be decoded is left out.
	Read(ctx context.Context) (*Published, error)
	// Watch returns the changes after a revision, empty ones if there were none
	// for wait. It returns ErrHistoryGone if it cannot.
	Watch(ctx context.Context, after int64, wait time.Duration) (*Changes, error)
}
