package discovery

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
)

// ErrHistoryGone is returned by Source.Watch if the source no longer retains the
// changes after the requested revision.
var ErrHistoryGone = errors.New("discovery: the source no longer retains the changes after this revision")

// Snapshot is the complete published state at one revision of the source.
type Snapshot struct {
	// Config is nil if no configuration is published yet.
	Config   *ingress.Config
	Servers  []backends.Server
	Revision int64
}

// Changes holds what was published or withdrawn after a given revision, up to
// Revision.
type Changes struct {
	// Config is nil if the configuration did not change.
	Config *ingress.Config
	// Updated holds the servers that are new or changed, Removed the IDs of the
	// servers that are no longer published.
	Updated  []backends.Server
	Removed  []string
	Revision int64
}

// Source reads the published state from the platform. Each call has a cost, so
// callers keep the number of calls low. Implementations are safe for concurrent
// use.
type Source interface {
	// Read returns the complete published state. Entries that cannot be decoded
	// are omitted.
	Read(ctx context.Context) (*Snapshot, error)
	// Watch returns the changes made after baseRevision. It blocks until there are
	// some, or returns empty Changes once wait has passed. It returns
	// ErrHistoryGone if the source no longer retains these changes.
	Watch(ctx context.Context, baseRevision int64, wait time.Duration) (*Changes, error)
}
