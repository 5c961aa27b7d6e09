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
	// Config is nil if no configuration is published, or if ConfigInvalid is set.
	Config *ingress.Config
	// ConfigInvalid says that the published configuration cannot be decoded.
	ConfigInvalid bool
	Servers       []backends.Server
	// EvacuatedZones are the zones that operators evacuate. UnreadableEvacuations are
	// zones whose evacuation is published but cannot be decoded: it does not begin, and
	// one that is in effect does not end.
	EvacuatedZones, UnreadableEvacuations []string
	// Era counts how often the source was restored from an older copy. A restore
	// may lose the latest changes, and revisions of different eras cannot be
	// compared.
	Era int64
	// Revision increases with each change within an era.
	Revision int64
}

// ZoneChange says that the evacuation of a zone begins or ends.
type ZoneChange struct {
	Zone      string
	Evacuated bool
}

// Changes holds what was published or withdrawn after a given revision, up to
// Revision.
type Changes struct {
	// Config is nil if the configuration did not change, or if ConfigInvalid is
	// set.
	Config *ingress.Config
	// ConfigInvalid says that the new configuration cannot be decoded.
	ConfigInvalid bool
	// Updated holds the servers that are new or changed, Removed the IDs of the
	// servers that are no longer published.
	Updated []backends.Server
	Removed []string
	// Evacuations are in the order in which they were published.
	Evacuations []ZoneChange
	// Era and Revision are as in Snapshot. If Era is not that of the revision from
	// which the changes were requested, they belong to another history.
	Era      int64
	Revision int64
}

// Source reads the published state from the platform. Each call has a cost, so
// callers keep the number of calls low. Implementations are safe for concurrent
// use.
type Source interface {
	// Read returns the complete published state. Servers that cannot be decoded
	// are omitted.
	Read(ctx context.Context) (*Snapshot, error)
	// Watch returns the changes made after baseRevision. It blocks until there are
	// some, or returns empty Changes once wait has passed. It returns
	// ErrHistoryGone if the source no longer retains these changes.
	Watch(ctx context.Context, baseRevision int64, wait time.Duration) (*Changes, error)
}
