package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bluebellwind.example/membership/membershippb"
)

// fakeSource is an in-memory configuration service that records the time of each
// read.
type fakeSource struct {
	mu          sync.Mutex
	current     Revision
	unavailable bool
	changed     chan struct{}
	reads       []time.Time
}

func newSource(r Revision) *fakeSource { return &fakeSource{current: r, changed: make(chan struct{})} }

func (s *fakeSource) set(r Revision, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.unavailable = r, unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) read() (Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, time.Now())
	if s.unavailable {
		return Revision{}, nil, errUnreachable
	}
	return s.current, s.changed, nil
}

func (s *fakeSource) Fetch(context.Context) (Revision, error) {
	r, _, err := s.read()
	return r, err
}

func (s *fakeSource) Watch(ctx context.Context, after int64) (Revision, error) {
	r, changed, err := s.read()
	for err == nil && r.Number <= after {
		select {
		case <-changed:
		case <-ctx.Done():
			return Revision{}, ctx.Err()
		}
		s.mu.Lock()
		r, changed = s.current, s.changed
		s.mu.Unlock()
	}
	return r, err
}

// busiestSecond returns the highest number of reads within any period of one
// second.
func (s *fakeSource) busiestSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxReads := 0
	for i, end := range s.reads {
		first := i
		for first > 0 && end.Sub(s.reads[first-1]) < time.Second {
			first--
		}
		maxReads = max(maxReads, i-first+1)
	}
	return maxReads
}

func rulesRevision(n int64) Revision { return NewRevision(n, fmt.Appendf(nil, "rules %d", n)) }

func TestRevisionIsInForceEverywhereAndNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(rulesRevision(5))
		f := newTestFleet(t, 3, 12, 24)
		f.source = s
		f.net.lossRate, f.net.duplicateRate = 0.05, 0.05
		f.start()
		time.Sleep(60 * time.Second)
		assert.Assert(t, allEqual(f.revisionNumbers(), 5), "%v", f.revisionNumbers())
		s.set(rulesRevision(6), false)
		time.Sleep(8 * time.Second)
		assert.Assert(t, allEqual(f.revisionNumbers(), 6), "%v", f.revisionNumbers())
		// The service is restored from an old backup: its revision is ignored and
		// reported as stale.
		s.set(rulesRevision(3), false)
		time.Sleep(3 * time.Minute)
		assert.Assert(t, allEqual(f.revisionNumbers(), 6), "%v", f.revisionNumbers())
		staleReports := 0
		for _, line := range f.nodes[0].RolloutStatus() {
			if line.StaleNumber == 3 {
				staleReports++
			}
		}
		assert.Assert(t, staleReports > 0)
	})
}

// The message with the text of a new revision was lost. Nobody announces a revision twice, so
// that the instance waited for its next gossip exchange, or the one after: 8 s and more.
func TestLostTextIsAskedForAgain(t *testing.T) {
	for offset := time.Duration(0); offset < 5*time.Second; offset += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1, 4, 0)
			f.source = newSource(rulesRevision(5))
			f.start()
			time.Sleep(60*time.Second + offset)
			behind := f.nodes[3]
			f.net.mu.Lock()
			f.net.blocked = func(from, to Address) bool { return from == behind.self.Addr || to == behind.self.Addr }
			f.net.mu.Unlock()
			r := rulesRevision(6)
			for _, n := range f.nodes[:3] {
				_, err := n.OfferRevision(r)
				assert.NilError(t, err)
			}
			announcement := &membershippb.Message{From: "entry-0", Incarnation: f.nodes[0].self.Incarnation, Revision: &membershippb.Revision{Number: r.Number, Digest: r.Digest}}
			reply, err := behind.HandleExchange(t.Context(), announcement)
			assert.NilError(t, err)
			assert.Assert(t, reply.GetWantText())
			f.net.partition(nil) // What is sent from here on arrives; the text was lost.
			time.Sleep(behind.timing.ExchangeTimeout + 2*behind.timing.TickPeriod + 10*f.net.delay)
			assert.Equal(t, behind.store.Current().Number, r.Number, "offset %v", offset)
		})
	}
}

func TestNewInstanceAsksPeersBeforeItIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(rulesRevision(9))
		f := newTestFleet(t, 3, 9, 3)
		f.source = s
		f.start()
		time.Sleep(30 * time.Second)
		f.kill(4)
		f.source = nil
		restarted := f.startNode(4, uint64(time.Now().UnixMilli()))
		// A stale replica of the configuration service answers before any peer.
		_, err := restarted.OfferRevision(rulesRevision(7))
		assert.NilError(t, err)
		for range 100 {
			if restarted.Ready() {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, restarted.Ready())
		assert.Equal(t, restarted.store.Current().Number, int64(9))
	})
}

func TestRevisionSpreadsWhileTheServiceIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(rulesRevision(1))
		f := newTestFleet(t, 3, 9, 18)
		f.source = s
		f.start()
		time.Sleep(40 * time.Second)
		s.set(rulesRevision(1), true)
		time.Sleep(time.Minute)
		// Only one instance received the next revision before the service became
		// unavailable.
		_, err := f.nodes[2].OfferRevision(rulesRevision(2))
		assert.NilError(t, err)
		f.kill(2)
		time.Sleep(8 * time.Second)
		for i, n := range f.nodes {
			if i != 2 {
				assert.Equal(t, n.store.Current().Number, int64(2), n.self.ID)
			}
		}
	})
}

func TestBothSidesOfACutMeetOnTheNewerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(rulesRevision(1))
		f := newTestFleet(t, 2, 8, 8)
		f.source = s
		f.start()
		time.Sleep(30 * time.Second)
		s.set(rulesRevision(1), true)
		f.net.partition(func(zone string) bool { return zone == "z0" })
		time.Sleep(2 * time.Minute)
		// Two operators publish different texts under the same number, one in
		// each part of the partitioned network.
		a, b := NewRevision(2, []byte("first")), NewRevision(2, []byte("second"))
		_, _ = f.nodes[0].OfferRevision(a)
		_, _ = f.nodes[1].OfferRevision(b)
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.nodes[8].store.Current().Digest, a.Digest)
		assert.Equal(t, f.nodes[9].store.Current().Digest, b.Digest)
		f.net.partition(nil)
		time.Sleep(2 * time.Minute)
		for _, n := range f.nodes {
			assert.Equal(t, n.store.Current().Digest, max(a.Digest, b.Digest), n.self.ID)
		}
		conflictReports := 0
		for _, line := range f.nodes[3].RolloutStatus() {
			if line.Conflict {
				conflictReports++
			}
		}
		assert.Assert(t, conflictReports > 0)
	})
}

func TestInvalidRevisionIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(rulesRevision(4))
		f := newTestFleet(t, 2, 6, 4)
		f.source = s
		f.start()
		time.Sleep(30 * time.Second)
		s.set(NewRevision(5, []byte("invalid")), false)
		time.Sleep(20 * time.Second)
		assert.Assert(t, allEqual(f.revisionNumbers(), 4), "%v", f.revisionNumbers())
		refusalReports := 0
		for _, line := range f.nodes[5].RolloutStatus() {
			if line.Refused.Number == 5 && line.Refused.Reason == "line 1: not a rule" {
				refusalReports++
			}
		}
		assert.Assert(t, refusalReports > 0)
		s.set(rulesRevision(6), false)
		time.Sleep(8 * time.Second)
		assert.Assert(t, allEqual(f.revisionNumbers(), 6), "%v", f.revisionNumbers())
	})
}

// referenceStore is a simple model of Store: it keeps every offered revision and
// returns the highest valid one.
type referenceStore []Revision

func (s referenceStore) current() Revision {
	var best Revision
	for _, r := range s {
		if string(r.Text) != "invalid" && r.Compare(best) > 0 {
			best = r
		}
	}
	return best
}

func TestStoreAgainstTheNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(rejectInvalid)
		s.acceptOlderRevisions = without("order")
		var reference referenceStore
		texts := rapid.SampledFrom([]string{"a", "b", "invalid", "c"})
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			r := NewRevision(rapid.Int64Range(1, 5).Draw(t, "number"), []byte(texts.Draw(t, "text")))
			before := s.Current()
			outcome, err := s.Offer(r, rapid.SampledFrom([]RevisionOrigin{FromPeer, FromService}).Draw(t, "from"))
			reference = append(reference, r)
			assert.Equal(t, s.Current().Compare(reference.current()), 0)
			assert.Assert(t, s.Current().Compare(before) >= 0, "reverted")
			assert.Equal(t, err != nil, outcome == Refused)
		}
	})
}

// maxReadsPerSecond is the rate limit of the configuration service for all readers
// together.
const maxReadsPerSecond = 2000

func TestReadsGrowMoreSlowlyThanTheFleet(t *testing.T) {
	busiestSecondReads := func(entries, agents int) int {
		maxReads := 0
		synctest.Test(t, func(t *testing.T) {
			s := newSource(rulesRevision(1))
			f := newTestFleet(t, 7, entries, agents)
			f.source = s
			f.start()
			time.Sleep(12 * time.Second)
			assert.Assert(t, allEqual(f.revisionNumbers(), 1), "%v", f.revisionNumbers())
			maxReads = s.busiestSecond()
		})
		return maxReads
	}
	small, large := busiestSecondReads(14, 28), busiestSecondReads(42, 84)
	t.Logf("highest number of reads in one second: %d with 42 instances, %d with 126", small, large)
	assert.Assert(t, large < 2*small, "%d reads in one second with 42 instances, %d with 126", small, large)
	// 1090 is the target fleet size, 330 entries and 760 agents; 126 of them may
	// use a proportional share of the limit.
	assert.Assert(t, large < maxReadsPerSecond*126/1090)
}
