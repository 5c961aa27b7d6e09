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
)

const (
	// watchWait is how long a watch waits for a change. A proof is as old as its
	// question, so this is also the least age that a proof reaches.
	watchWait = 1200 * time.Millisecond
	// hurriedWait replaces it while the proof is old.
	hurriedWait = time.Millisecond
	// hurryAge is the age of the proof from which questions hurry.
	hurryAge = 2500 * time.Millisecond
	// changePause is the pause after a change: changes come in groups, and each
	// question is priced.
	changePause = 350 * time.Millisecond
	// answerTime is how long the source may take on top of the wait.
	answerTime = 900 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed question.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// lapseGrace is how long after the source's return a server whose
	// publication lapsed meanwhile may take to publish itself again.
	lapseGrace = 2 * time.Second
	// expirePeriod is the time between two looks for what has expired.
	expirePeriod = 200 * time.Millisecond
)

// Follower keeps a table of routes and a directory of servers up to date. It is
// safe for concurrent use.
type Follower struct {
	source    Source
	directory *backends.Directory
	log       *log.Logger
	// peers returns the addresses of other gateways, IP:port.
	peers func() []string
	table atomic.Pointer[ingress.Table]
	// proven is the boot time at which the question was sent whose answer
	// proved the configuration to be the newest; 0 means never.
	proven atomic.Int64
	calls  atomic.Int64
	failed atomic.Int64

	mu sync.Mutex
	// revision of the source that the table and the directory are of.
	revision int64
	// lastFailure is when a question failed last.
	lastFailure time.Time
	lost        bool
}

// NewFollower returns a Follower that has read nothing yet. peers returns the
// addresses of other gateways, which are asked while the source does not answer.
func NewFollower(source Source, directory *backends.Directory, peers func() []string, logger *log.Logger) *Follower {
	return &Follower{source: source, directory: directory, peers: peers, log: logger}
}

// Table returns the newest configuration, or nil before the first was read.
func (f *Follower) Table() *ingress.Table { return f.table.Load() }

// Age returns how old the proof is that Table is the newest configuration. ok
// is false if there is none yet.
func (f *Follower) Age() (age time.Duration, ok bool) {
	proven := f.proven.Load()
	return clock.Boot() - time.Duration(proven), proven != 0
}

// Calls returns how many questions were sent and how many of them failed.
func (f *Follower) Calls() (sent, failed int64) { return f.calls.Load(), f.failed.Load() }

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	go f.followPeers(ctx)
	var revision int64
	retry := minRetry
	for ctx.Err() == nil {
		next, err := f.ask(ctx, revision)
		if err == nil {
			changed := next != revision
			revision, retry = next, minRetry
			f.regained(revision)
			if changed {
				pause(ctx, changePause)
			}
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info().Str("event", "history_gone").Int64("after", revision).Msg("")
			revision = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.unreachable(err)
		pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask puts one question and takes its answer in. It returns the revision to go
// on from.
func (f *Follower) ask(ctx context.Context, revision int64) (int64, error) {
	wait := watchWait
	if age, ok := f.Age(); ok && age > hurryAge {
		wait = hurriedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	sent := clock.Boot()
	f.calls.Add(1)
	if revision == 0 {
		published, err := f.source.Read(ctx)
		if err != nil {
			return 0, err
		}
		f.replace(published)
		f.prove(sent)
		return published.Revision, nil
	}
	changes, err := f.source.Watch(ctx, revision, wait)
	if err != nil {
		return 0, err
	}
	f.apply(changes)
	f.prove(sent)
	return changes.Revision, nil
}

// prove notes that the table was the newest configuration at a boot time.
func (f *Follower) prove(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Load() != nil && int64(sent) > f.proven.Load() {
		f.proven.Store(int64(sent))
	}
}

func (f *Follower) replace(p *Published) {
	f.takeConfig(p.Config)
	now := time.Now()
	for _, id := range f.directory.Replace(p.Servers, f.grace(now), now) {
		f.logServer(id, "missing")
	}
}

func (f *Follower) apply(c *Changes) {
	f.takeConfig(c.Config)
	for _, s := range c.Put {
		f.directory.Put(s)
		if s.Draining {
			f.logServer(s.ID, "draining")
		}
	}
	now := time.Now()
	for _, id := range c.Removed {
		f.directory.Remove(id, f.grace(now), now)
		f.logServer(id, "removed")
	}
}

func (f *Follower) logServer(id, what string) {
	f.log.Info().Str("event", "server").Str("server", id).Str("change", what).Msg("")
}

// takeConfig puts a configuration in force. An older one never replaces a
// newer one.
func (f *Follower) takeConfig(c *ingress.Config) {
	if c == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.table.Load(); old != nil && old.Version() >= c.Version {
		return
	}
	table, err := ingress.NewTable(c)
	if err != nil {
		f.log.Error().Str("event", "config_refused").Int64("version", c.Version).Str("cause", err.Error()).Msg("")
		return
	}
	f.table.Store(table)
	f.log.Info().Str("event", "config_in_force").Int64("version", c.Version).Int("routes", len(c.Routes)).Msg("")
}

// grace is how long a server that is no longer published stays in choice: none
// while the source answers, for then it has left.
func (f *Follower) grace(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastFailure.IsZero() {
		return 0
	}
	return max(0, lapseGrace-now.Sub(f.lastFailure))
}

func (f *Follower) unreachable(err error) {
	f.failed.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = time.Now()
	if f.lost {
		return
	}
	f.lost = true
	f.log.Warn().Str("event", "source_lost").Str("cause", err.Error()).Msg("")
}

func (f *Follower) regained(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	if !f.lost {
		return
	}
	f.lost = false
	f.log.Info().Str("event", "source_regained").Msg("")
}

func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, id := range f.directory.Expire(now) {
				f.logServer(id, "lapsed")
			}
		}
	}
}
