package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/internal/panics"
)

const (
	// watchWait is how long a watch waits for a change. A proof dates from the
	// moment at which its request was sent, so its age reaches at least this
	// value before the next proof arrives.
	watchWait = 1200 * time.Millisecond
	// readerWatchWait replaces watchWait while other gateways depend on this one. Its proofs
	// reach an age of two waits, which must stay below maxReaderProofAge; otherwise they
	// call the source themselves between two of its responses.
	readerWatchWait = 850 * time.Millisecond
	// dependentSpan is how long a gateway counts as depending on this one after a query.
	dependentSpan = 3 * time.Second
	// minWatchWait replaces watchWait while the proof is old, so that the source
	// responds almost at once, with changes or without.
	minWatchWait = time.Millisecond
	// minWatchWaitAge is the age of the proof above which watches use
	// minWatchWait.
	minWatchWaitAge = 2500 * time.Millisecond
	// changeDelay is the delay before the next watch after a change. Changes
	// tend to arrive in bursts, and each call to the source has a cost.
	changeDelay = 350 * time.Millisecond
	// heartbeatDelay is the same delay if servers have only written their entries again.
	// With 64 servers some entry is written all the time, so that each watch returns at
	// once.
	heartbeatDelay = 600 * time.Millisecond
	// sourceTimeout bounds the time that a call to the source may take in
	// addition to the wait of the watch.
	sourceTimeout = 900 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential delay after a
	// failed call to the source.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// republishGrace is how long after the last failed call to the source a
	// server whose publication expired during the outage may take to publish
	// itself again.
	republishGrace = 2 * time.Second
	// expiryInterval is the time between two checks for expired directory
	// entries.
	expiryInterval = 200 * time.Millisecond
)

// Follower keeps the table of the configuration and a directory of backend servers
// up to date with what the platform publishes. It is safe for concurrent use.
type Follower struct {
	source    Source
	directory *backends.Directory
	log       *log.Logger
	peers     PeerAddresses
	// uptime returns the time since the machine booted.
	uptime func() time.Duration
	table  atomic.Pointer[ingress.Table]
	// provenAt is the date of the proof that the configuration is the newest, as
	// the time since the machine booted in nanoseconds; 0 means that there is no
	// proof yet.
	provenAt atomic.Int64
	// queriedAt is when another gateway last queried this one, as the time since the
	// machine booted in nanoseconds; 0 if none has.
	queriedAt atomic.Int64
	// calls counts the calls to the source, failedCalls those that failed.
	calls       atomic.Int64
	failedCalls atomic.Int64

	// applyMu is held while a response is applied, so that the table, the
	// directory and the position are consistent with each other.
	applyMu sync.Mutex
	// at is the position of the source that the table and the directory correspond
	// to. At revision 0 the next call reads the complete state.
	at position
	// eras knows the newest era of the source.
	eras eraClock
	// published is what the source publishes as the configuration, and
	// newestVersion the highest version that this process has seen anywhere.
	published     publishedConfig
	newestVersion int64
	// evacuations are the evacuated zones at the position zonesAt, which is that of the
	// servers but is kept if the source has lost its history, so that zones of an older
	// revision are still told apart. zonesKnown is set once the zones are known to be
	// complete. loggedZones are those whose evacuation was logged as begun,
	// unknownZones those that were logged as unknown.
	evacuations  evacuations
	zonesAt      position
	zonesKnown   bool
	loggedZones  map[string]bool
	unknownZones logging.Once
	// unknownRegions are the regions of configurations that were logged as unknown.
	unknownRegions logging.Once
	// unusableServers are the IDs of servers of peers that were logged as out of range.
	unusableServers logging.Once

	mu sync.Mutex
	// usingReaders reports whether readers of the zone keep the proof fresh, so
	// that this gateway does not call the source.
	usingReaders bool
	// lastFailure is the time of the last failed call to the source; zero if
	// none failed.
	lastFailure time.Time
	// sourceUnreachable is set from a failed call to the source until the next
	// successful one, and failuresInRow counts the failed calls since.
	sourceUnreachable bool
	failuresInRow     int
}

// PeerAddresses provides the addresses, IP:port, at which other gateways serve
// their peers.
type PeerAddresses struct {
	// All returns the gateways that are queried while the proof is old or
	// missing, for example because the source does not respond.
	All func() []string
	// Readers returns the gateways that read the source on behalf of this one;
	// none if this gateway reads it itself.
	Readers func() []string
}

// NewFollower returns a Follower without a configuration. Run fetches the first
// one.
func NewFollower(source Source, directory *backends.Directory, peers PeerAddresses, logger *log.Logger) *Follower {
	directory.AwaitEvacuations()
	return &Follower{source: source, directory: directory, peers: peers, log: logger, uptime: clock.SinceBoot, loggedZones: make(map[string]bool)}
}

// Table returns the table of the newest known configuration, or nil if none was
// received yet.
func (f *Follower) Table() *ingress.Table { return f.table.Load() }

// ProofAge returns the age of the proof that Table is the newest configuration.
// ok is false if there is no proof yet.
func (f *Follower) ProofAge() (age time.Duration, ok bool) {
	sentAt := f.provenAt.Load()
	return f.uptime() - time.Duration(sentAt), sentAt != 0
}

// SourceCalls returns the number of calls to the source and the number of those
// that failed. ErrHistoryGone does not count as a failure.
func (f *Follower) SourceCalls() (sent, failed int64) { return f.calls.Load(), f.failedCalls.Load() }

// SourceLost reports whether the source cannot be reached. A single failed call does not
// tell: after the process was suspended, a call from before fails although the source
// responds.
func (f *Follower) SourceLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failuresInRow > 1
}

// Run keeps the follower up to date from the source, or from gateways that read
// it, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expireEntries(ctx)
	go f.pollPeers(ctx)
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if f.refreshFromReaders(ctx) {
			sleep(ctx, readerPollInterval)
			continue
		}
		news, err := f.pollSource(ctx)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			f.markSourceReachable()
			sleep(ctx, news.delay())
		case errors.Is(err, ErrHistoryGone):
			f.resetRevision()
		case ctx.Err() == nil:
			f.markSourceUnreachable(err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// resetRevision makes the next call to the source read the complete state.
func (f *Follower) resetRevision() {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.log.Info().Str("event", "history_gone").Int64("after", f.at.revision).Msg("")
	f.at.revision = 0
}

func (f *Follower) currentPosition() position {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.at
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errOlderEra is returned for a response that was sent before the newest known
// restore of the source.
var errOlderEra = errors.New("discovery: the response precedes a restore of the source")

// pollSource makes one call to the source and applies the response, unless a
// response of a peer has changed the position in the meantime.
func (f *Follower) pollSource(ctx context.Context) (n news, err error) {
	defer panics.ToError("reading the source", &err)
	wait := watchWait
	if queried := f.queriedAt.Load(); queried != 0 && f.uptime()-time.Duration(queried) < dependentSpan {
		wait = readerWatchWait
	}
	if age, ok := f.ProofAge(); ok && age > minWatchWaitAge {
		wait = minWatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+sourceTimeout)
	defer cancel()
	base := f.currentPosition()
	sentAt := f.uptime()
	f.calls.Add(1)
	if base.revision == 0 {
		snapshot, err := f.source.Read(ctx)
		if err != nil {
			return noNews, err
		}
		return changes, f.applySnapshot(base, snapshot, sentAt)
	}
	received, err := f.source.Watch(ctx, base.revision, wait)
	if err != nil {
		return noNews, err
	}
	changed, err := f.applyChanges(base, received, sentAt)
	switch {
	case received.Era != base.era || received.Revision == base.revision:
		return noNews, err
	case !changed:
		return heartbeats, err
	}
	return changes, err
}

// news is what a call to the source returned.
type news int

const (
	// noNews means that the source is still at the same position.
	noNews news = iota
	// heartbeats means that servers have only written their entries again.
	heartbeats
	// changes means that something has changed.
	changes
)

// delay returns the delay before the next call to the source.
func (n news) delay() time.Duration {
	switch n {
	case heartbeats:
		return heartbeatDelay
	case changes:
		return changeDelay
	}
	return 0
}

// recordProofOfSource records a response of the source, requested at sentAt, as a
// proof of freshness. It does nothing if the response proves nothing: because the
// source has lost a version since a restore, may still have lost one, or publishes
// one that cannot be served here. The caller holds applyMu.
func (f *Follower) recordProofOfSource(sentAt time.Duration) {
	table := f.table.Load()
	complete := !f.published.invalid && f.published.version >= f.newestVersion
	if table == nil || !complete || table.Version() < f.newestVersion || !f.eras.settled(sentAt) {
		return
	}
	f.recordProof(sentAt)
}

// recordProof records that the table was the newest configuration at sentAt, a
// time since the machine booted. A proof older than the known one is ignored, and so is
// one without the evacuated zones: peers take the zones with the proof. The caller holds
// applyMu.
func (f *Follower) recordProof(sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Load() != nil && f.zonesKnown && int64(sentAt) > f.provenAt.Load() {
		f.provenAt.Store(int64(sentAt))
	}
}

func (f *Follower) markSourceUnreachable(err error) {
	f.failedCalls.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = time.Now()
	f.failuresInRow++
	if f.sourceUnreachable {
		return
	}
	f.sourceUnreachable = true
	f.log.Warn().Str("event", "source_lost").Str("cause", err.Error()).Msg("")
}

func (f *Follower) markSourceReachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failuresInRow = 0
	if !f.sourceUnreachable {
		return
	}
	f.sourceUnreachable = false
	f.log.Info().Str("event", "source_regained").Msg("")
}

// expireEntries periodically removes servers whose grace has ended and outdated
// statuses from the directory, until ctx ends.
func (f *Follower) expireEntries(ctx context.Context) {
	clock.Every(ctx, expiryInterval, func(now time.Time) {
		for _, id := range f.directory.Expire(now) {
			f.logServer(id, "lapsed")
		}
	})
}
