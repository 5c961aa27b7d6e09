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
	peers     Peers
	table     atomic.Pointer[ingress.Table]
	// proven is the boot time at which the question was sent whose answer
	// proved the configuration to be the newest; 0 means never.
	proven atomic.Int64
	calls  atomic.Int64
	failed atomic.Int64

	// state is held while what was read is taken in, so that the table, the
	// directory and the revision belong together.
	state sync.Mutex
	// revision of the source that the table and the directory are of; 0 to read
	// everything.
	revision int64

	mu sync.Mutex
	// relying says that gateways of the zone read the source for this one.
	relying bool
	// lastFailure is when a question failed last.
	lastFailure time.Time
	lost        bool
}

// Peers are the other gateways, by the addresses at which they answer, IP:port.
type Peers struct {
	// All are asked while the source does not answer.
	All func() []string
	// Readers read the source for this gateway; none if it does so itself.
	Readers func() []string
}

// NewFollower returns a Follower that has read nothing yet.
func NewFollower(source Source, directory *backends.Directory, peers Peers, logger *log.Logger) *Follower {
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

// Run follows the source, or gateways that do, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	go f.followPeers(ctx)
	retry := minRetry
	for ctx.Err() == nil {
		if f.rely(ctx) {
			pause(ctx, relyPeriod)
			continue
		}
		changed, err := f.ask(ctx)
		switch {
		case err == nil:
			retry = minRetry
			f.regained()
			if changed {
				pause(ctx, changePause)
			}
		case errors.Is(err, ErrHistoryGone):
			f.forget()
		case ctx.Err() == nil:
			f.unreachable(err)
			pause(ctx, retry)
			retry = min(2*retry, maxRetry)
		}
	}
}

// forget lets the next question read everything.
func (f *Follower) forget() {
	f.state.Lock()
	defer f.state.Unlock()
	f.log.Info().Str("event", "history_gone").Int64("after", f.revision).Msg("")
	f.revision = 0
}

func (f *Follower) knownRevision() int64 {
	f.state.Lock()
	defer f.state.Unlock()
	return f.revision
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask puts one question and takes its answer in, unless a peer told something
// newer meanwhile. It reports whether anything changed.
func (f *Follower) ask(ctx context.Context) (changed bool, err error) {
	wait := watchWait
	if age, ok := f.Age(); ok && age > hurryAge {
		wait = hurriedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	after := f.knownRevision()
	sent := clock.Boot()
	f.calls.Add(1)
	if after == 0 {
		published, err := f.source.Read(ctx)
		if err != nil {
			return false, err
		}
		f.takeIn(after, published.Revision, sent, func() { f.replace(published) })
		return true, nil
	}
	changes, err := f.source.Watch(ctx, after, wait)
	if err != nil {
		return false, err
	}
	f.takeIn(after, changes.Revision, sent, func() { f.apply(changes) })
	return changes.Revision != after, nil
}

// takeIn takes in what the source answered to a question after a revision.
func (f *Follower) takeIn(after, revision int64, sent time.Duration, take func()) {
	f.state.Lock()
	defer f.state.Unlock()
	if f.revision != after {
		return
	}
	take()
	f.revision = revision
	f.prove(sent)
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

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
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
