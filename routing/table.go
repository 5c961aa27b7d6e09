package routing

import (
	"sync"
	"time"
)

// maxSendTimes is the number of most recent send times kept for each server.
// EntryLoad.SentSince cannot exceed it.
const maxSendTimes = 64

// Chooser chooses a server. Picker is the implementation in use; others exist
// for comparison.
type Chooser interface {
	// Pick returns the server for r or a *verdict.Error with NotRun. It need
	// not be safe for concurrent use.
	Pick(v *View, r *Request, now time.Time) (CandidateIndex, error)
}

// Table keeps a View up to date with the requests that this entry sends. It is
// safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	chooser       Chooser
	view          View
	histories     map[string]*sendHistory
	indexByServer map[string]int
}

// sendHistory records the requests that this entry sent to one server.
// sendTimes is a ring buffer in which nextIndex is written next.
type sendHistory struct {
	inFlight     int
	lastProgress time.Time
	credit       float64
	lastSent     time.Time
	sendTimes    [maxSendTimes]time.Time
	nextIndex    int
}

// NewTable returns an empty Table that chooses with a Picker of the given seed.
func NewTable(seed uint64) *Table {
	return NewTableWith(NewPicker(seed))
}

// NewTableWith returns an empty Table that chooses with the given Chooser.
func NewTableWith(chooser Chooser) *Table {
	return &Table{
		chooser:       chooser,
		histories:     make(map[string]*sendHistory),
		indexByServer: make(map[string]int),
	}
}

// Update replaces the view by a copy of v. It ignores the EntryLoad of v's
// candidates and fills in the Table's own counts. The candidates' Adapters are
// not copied and must not be modified after the call.
func (t *Table) Update(v View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.view.Candidates {
		c := &t.view.Candidates[i]
		t.histories[c.Server].credit = c.EntryLoad.Credit
	}
	candidates := append(t.view.Candidates[:0], v.Candidates...)
	t.view = v
	t.view.Candidates = candidates
	histories := make(map[string]*sendHistory, len(candidates))
	clear(t.indexByServer)
	for i := range candidates {
		c := &candidates[i]
		s := t.histories[c.Server]
		if s == nil {
			s = &sendHistory{}
		}
		histories[c.Server] = s
		t.indexByServer[c.Server] = i
		c.EntryLoad = s.entryLoad(c.Load.MeasuredAt)
		c.EntryLoad.Credit = s.credit
	}
	for server, s := range t.histories {
		if s.inFlight > 0 {
			histories[server] = s
		}
	}
	t.histories = histories
}

// Exclude marks a server as excluded until the next Update.
func (t *Table) Exclude(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, ok := t.indexByServer[server]; ok {
		t.view.Candidates[i].Excluded = true
	}
}

// Choice is the server chosen for a request, which counts as in flight there
// until Release is called. Its methods are safe for concurrent use.
type Choice struct {
	// Server is the chosen server and Zone is its availability zone.
	Server  string
	Zone    string
	table   *Table
	history *sendHistory
	once    sync.Once
}

// Pick chooses a server for r and counts the request as sent to it. The error
// is a *verdict.Error with NotRun.
func (t *Table) Pick(r Request, now time.Time) (*Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, err := t.chooser.Pick(&t.view, &r, now)
	if err != nil {
		return nil, err
	}
	c := &t.view.Candidates[i]
	s := t.histories[c.Server]
	s.recordSend(now)
	t.updateEntryLoad(i, s)
	return &Choice{Server: c.Server, Zone: c.Zone, table: t, history: s}, nil
}

// RecordProgress records that the server sent something at now.
func (c *Choice) RecordProgress(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.history.lastProgress = now
	if i, ok := c.table.indexByServer[c.Server]; ok {
		c.table.view.Candidates[i].EntryLoad.LastProgress = now
	}
}

// Release records that the request no longer runs on the server. Calls after the
// first do nothing.
func (c *Choice) Release() {
	c.once.Do(func() {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		c.history.inFlight--
		c.table.refreshCandidate(c.Server, c.history)
	})
}

// refreshCandidate updates the server's candidate, if the view has one, from s.
func (t *Table) refreshCandidate(server string, s *sendHistory) {
	if i, ok := t.indexByServer[server]; ok {
		t.updateEntryLoad(CandidateIndex(i), s)
	}
}

// updateEntryLoad recomputes the EntryLoad of candidate i from s and keeps its
// credit.
func (t *Table) updateEntryLoad(i CandidateIndex, s *sendHistory) {
	c := &t.view.Candidates[i]
	credit := c.EntryLoad.Credit
	c.EntryLoad = s.entryLoad(c.Load.MeasuredAt)
	c.EntryLoad.Credit = credit
}

func (s *sendHistory) recordSend(now time.Time) {
	s.inFlight++
	s.lastSent = now
	s.sendTimes[s.nextIndex] = now
	s.nextIndex = (s.nextIndex + 1) % maxSendTimes
}

// entryLoad returns the load by this entry, with SentSince counting the
// requests sent after since. Credit is not set.
func (s *sendHistory) entryLoad(since time.Time) EntryLoad {
	load := EntryLoad{InFlight: s.inFlight, LastProgress: s.lastProgress}
	if !s.lastSent.After(since) {
		return load
	}
	for i := range s.sendTimes {
		if s.sendTimes[i].After(since) {
			load.SentSince++
		}
	}
	return load
}
