package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery/discoverypb"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
)

// fakeSource is a Source whose state a test sets. down makes every call fail, and
// historyGone makes the next Watch fail with ErrHistoryGone.
type fakeSource struct {
	mu          sync.Mutex
	snapshot    Snapshot
	down        bool
	historyGone bool
}

func (s *fakeSource) update(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeSource) Read(context.Context) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errors.New("down")
	}
	snapshot := s.snapshot
	return &snapshot, nil
}

func (s *fakeSource) Watch(ctx context.Context, after int64, wait time.Duration) (*Changes, error) {
	s.mu.Lock()
	down, historyGone := s.down, s.historyGone
	s.historyGone = false
	c := &Changes{Revision: s.snapshot.Revision}
	if s.snapshot.Revision > after {
		c.Config = s.snapshot.Config
		c.Updated = s.snapshot.Servers
	}
	s.mu.Unlock()
	switch {
	case down:
		return nil, errors.New("down")
	case historyGone:
		return nil, ErrHistoryGone
	case c.Config == nil:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(min(wait, 20*time.Millisecond)):
		}
	}
	return c, nil
}

func newConfig(version int64) *ingress.Config {
	return &ingress.Config{Version: version, Routes: []ingress.Route{{
		Name: "r", Host: "h", Prefix: "/", Split: []ingress.Share{{Service: "s", Weight: 1}},
	}}}
}

func startFollower(t *testing.T, s Source, peers ...string) *Follower {
	t.Helper()
	logger := logging.New(io.Discard, "error")
	f := NewFollower(s, backends.NewDirectory("z", 1), PeerAddresses{
		All:     func() []string { return peers },
		Readers: func() []string { return nil },
	}, logger)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

// hasVersion succeeds once version want of the configuration is active.
func hasVersion(f *Follower, want int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if table := f.Table(); table != nil && table.Version() == want {
			return poll.Success()
		}
		return poll.Continue("version %d is not active yet", want)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Revision: 10}}
	f := startFollower(t, s)
	poll.WaitOn(t, hasVersion(f, 7))
	s.update(func(s *fakeSource) { s.snapshot.Config, s.snapshot.Revision = newConfig(5), 11 })
	s.update(func(s *fakeSource) { s.historyGone = true })
	time.Sleep(150 * time.Millisecond)
	assert.Equal(t, f.Table().Version(), int64(7))
	s.update(func(s *fakeSource) { s.snapshot.Config, s.snapshot.Revision = newConfig(9), 12 })
	poll.WaitOn(t, hasVersion(f, 9))
}

func TestProofAgesWhileTheSourceIsDown(t *testing.T) {
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Revision: 10}}
	f := startFollower(t, s)
	poll.WaitOn(t, hasVersion(f, 7))
	s.update(func(s *fakeSource) { s.down = true })
	time.Sleep(400 * time.Millisecond)
	age, ok := f.ProofAge()
	assert.Assert(t, ok && age >= 300*time.Millisecond, "%v", age)
	s.update(func(s *fakeSource) { s.down = false })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age, _ := f.ProofAge(); age < 200*time.Millisecond {
			return poll.Success()
		}
		return poll.Continue("no new proof yet")
	})
}

func TestServerThatLapsedInAnOutageIsGivenTime(t *testing.T) {
	server := backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Servers: []backends.Server{server}, Revision: 10}}
	f := startFollower(t, s)
	poll.WaitOn(t, hasVersion(f, 7))
	s.update(func(s *fakeSource) { s.down = true })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, failed := f.SourceCalls(); failed > 0 {
			return poll.Success()
		}
		return poll.Continue("no call to the source has failed yet")
	})
	s.update(func(s *fakeSource) { s.down, s.historyGone, s.snapshot.Servers = false, true, nil })
	time.Sleep(400 * time.Millisecond)
	assert.DeepEqual(t, f.directory.IDs(), []string{"a"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.directory.IDs()) == 0 {
			return poll.Success()
		}
		return poll.Continue("the server is still in the directory")
	}, poll.WithTimeout(republishGrace+2*time.Second))
}

func TestServerThatLeavesWhileTheSourceAnswersIsGoneAtOnce(t *testing.T) {
	server := backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Servers: []backends.Server{server}, Revision: 10}}
	f := startFollower(t, s)
	poll.WaitOn(t, hasVersion(f, 7))
	s.update(func(s *fakeSource) { s.historyGone, s.snapshot.Servers, s.snapshot.Revision = true, nil, 11 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.directory.IDs()) == 0 {
			return poll.Success()
		}
		return poll.Continue("the server is still in the directory")
	}, poll.WithTimeout(time.Second))
}

// A gateway whose calls to the source fail gets the configuration, its changes
// and the proofs from its peers. It must never treat a proof as younger than it
// is at the peer.
func TestPeersHandOnConfigurationAndProof(t *testing.T) {
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Revision: 10}}
	connected := startFollower(t, s)
	poll.WaitOn(t, hasVersion(connected, 7))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = connected.ServePeers(ctx, l) }()

	disconnected := startFollower(t, &fakeSource{down: true}, l.Addr().String())
	poll.WaitOn(t, hasVersion(disconnected, 7), poll.WithTimeout(5*time.Second))
	s.update(func(s *fakeSource) { s.snapshot.Config, s.snapshot.Revision = newConfig(9), 11 })
	poll.WaitOn(t, hasVersion(disconnected, 9), poll.WithTimeout(5*time.Second))

	s.update(func(s *fakeSource) { s.down = true })
	time.Sleep(time.Second)
	peerAge, _ := connected.ProofAge()
	ownAge, ok := disconnected.ProofAge()
	assert.Assert(t, ok && ownAge >= peerAge-10*time.Millisecond, "the proof is %v old at the peer, %v here", peerAge, ownAge)
}

// newReaderAndDependent returns a running follower that reads its source, and a
// second one that uses the first as its reader. The caller refreshes or runs the
// second.
func newReaderAndDependent(t *testing.T, readerSource, dependentSource Source) (reader, dependent *Follower) {
	t.Helper()
	reader = startFollower(t, readerSource)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = reader.ServePeers(ctx, l) }()
	addresses := func() []string { return []string{l.Addr().String()} }
	dependent = NewFollower(dependentSource, backends.NewDirectory("z", 2), PeerAddresses{All: addresses, Readers: addresses}, logging.New(io.Discard, "error"))
	return reader, dependent
}

// Each call to the source has a cost. A gateway whose zone has a reader must get
// the state and its changes from that reader, without a call to the source.
func TestReadersSpareTheSource(t *testing.T) {
	server := backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	s := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Servers: []backends.Server{server}, Revision: 10}}
	reader, dependent := newReaderAndDependent(t, s, &fakeSource{down: true})
	poll.WaitOn(t, hasVersion(reader, 7))
	refreshedTo := func(want int64) poll.Check {
		return func(l poll.LogT) poll.Result {
			if !dependent.refreshFromReaders(context.Background()) {
				return poll.Continue("the state of the reader is not fresh")
			}
			return hasVersion(dependent, want)(l)
		}
	}
	poll.WaitOn(t, refreshedTo(7))
	server.Draining = true
	s.update(func(s *fakeSource) {
		s.snapshot = Snapshot{Config: newConfig(9), Servers: []backends.Server{server}, Revision: 12}
	})
	poll.WaitOn(t, refreshedTo(9))
	assert.Assert(t, dependent.directory.Servers()[0].Draining)
	sent, _ := dependent.SourceCalls()
	assert.Equal(t, sent, int64(0))
	readerAge, _ := reader.ProofAge()
	ownAge, ok := dependent.ProofAge()
	assert.Assert(t, ok && ownAge >= readerAge-10*time.Millisecond, "the proof is %v old at the reader, %v here", readerAge, ownAge)
}

func TestGatewayReadsTheSourceWhenItsReadersCannot(t *testing.T) {
	readerSource := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Revision: 10}}
	dependentSource := &fakeSource{snapshot: Snapshot{Config: newConfig(7), Revision: 10}}
	reader, dependent := newReaderAndDependent(t, readerSource, dependentSource)
	poll.WaitOn(t, hasVersion(reader, 7))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go dependent.Run(ctx)
	poll.WaitOn(t, hasVersion(dependent, 7))
	readerSource.update(func(s *fakeSource) { s.down = true })
	dependentSource.update(func(s *fakeSource) { s.snapshot.Config, s.snapshot.Revision = newConfig(9), 11 })
	poll.WaitOn(t, hasVersion(dependent, 9), poll.WithTimeout(maxReaderProofAge+8*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age, ok := dependent.ProofAge(); ok && age < maxReaderProofAge {
			return poll.Success()
		}
		return poll.Continue("no fresh proof yet")
	})
}

// A response of the source must be dropped if a reply of a peer changed the
// revision while the call was in progress.
func TestAnswerThatAPeerOvertookIsDropped(t *testing.T) {
	f := NewFollower(&fakeSource{}, backends.NewDirectory("z", 1), PeerAddresses{}, logging.New(io.Discard, "error"))
	assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Config: newConfig(7), Revision: 10}, time.Second))
	f.at.revision = 20
	assert.NilError(t, applied(f.applyChanges(position{revision: 10}, &Changes{Config: newConfig(8), Revision: 15}, 2*time.Second)))
	assert.Equal(t, f.Table().Version(), int64(7), "the outdated response was applied")
	assert.Equal(t, f.currentPosition(), position{revision: 20})
	assert.Equal(t, f.provenAt.Load(), int64(time.Second))
}

func TestFirstGatewaysOfAZoneRead(t *testing.T) {
	var peers []Gateway
	for _, id := range []string{"f", "b", "d", "c", "a"} {
		peers = append(peers, Gateway{ID: id, Address: "at-" + id})
	}
	assert.DeepEqual(t, SelectReaders("e", peers), []string{"at-a", "at-b", "at-c", "at-d"})
	assert.Equal(t, len(SelectReaders("aa", peers)), 0)
	assert.Equal(t, len(SelectReaders("only", nil)), 0)
}

// applied returns the error of applyChanges.
func applied(_ bool, err error) error { return err }

// changeSource returns the same changes to each watch.
type changeSource struct {
	fakeSource
	changes Changes
}

func (s *changeSource) Watch(context.Context, int64, time.Duration) (*Changes, error) {
	return &s.changes, nil
}

// Guards against readers of the source that ask again at once after each heartbeat of a
// server, of which a large fleet writes some all the time.
func TestHeartbeatsOfServersDelayTheNextCall(t *testing.T) {
	f := newFuzzFollower(&fakeSource{})
	known := backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 2}
	delayAfter := func(c Changes) time.Duration {
		c.Revision = f.currentPosition().revision + 1
		f.source = &changeSource{changes: c}
		n, err := f.pollSource(t.Context())
		assert.NilError(t, err)
		return n.delay()
	}
	assert.NilError(t, f.applySnapshot(f.currentPosition(), &Snapshot{Config: testConfig, Servers: []backends.Server{known}, Revision: 7}, f.uptime()))
	heartbeat := known
	heartbeat.ColdRemaining = time.Second
	assert.Equal(t, delayAfter(Changes{Updated: []backends.Server{heartbeat}}), heartbeatDelay)
	draining := known
	draining.Draining = true
	assert.Equal(t, delayAfter(Changes{Updated: []backends.Server{heartbeat, draining}}), changeDelay)
	assert.Equal(t, delayAfter(Changes{Removed: []string{"a"}}), changeDelay)
	assert.Equal(t, delayAfter(Changes{Config: newConfig(6)}), changeDelay)
}

// Guards against gateways that call the source themselves although a reader of their zone
// does: its proofs are older than they accept for a part of the time if it waits as long for
// a change as a gateway on which none depends.
func TestReaderKeepsItsProofsFreshForOthers(t *testing.T) {
	assert.Assert(t, 2*readerWatchWait < maxReaderProofAge)
	f := newFuzzFollower(&fakeSource{})
	waits := &waitingSource{}
	f.source = waits
	assert.NilError(t, f.applySnapshot(f.currentPosition(), &Snapshot{Config: testConfig, Revision: 7}, f.uptime()))
	poll := func() time.Duration {
		_, err := f.pollSource(t.Context())
		assert.NilError(t, err)
		return waits.wait
	}
	assert.Equal(t, poll(), watchWait)
	_, err := f.Published(t.Context(), &discoverypb.Question{})
	assert.NilError(t, err)
	assert.Equal(t, poll(), readerWatchWait)
	f.queriedAt.Store(int64(f.uptime() - dependentSpan))
	assert.Equal(t, poll(), watchWait)
}

// waitingSource records how long a watch may wait.
type waitingSource struct {
	fakeSource
	wait time.Duration
}

func (s *waitingSource) Watch(_ context.Context, after int64, wait time.Duration) (*Changes, error) {
	s.wait = wait
	return &Changes{Revision: after}, nil
}
