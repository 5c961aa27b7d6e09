package crash

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellwind.example/suspects"
	"bluebellwind.example/wire"
)

const (
	// keepReports and keepBytes bound what a board keeps for entries that start
	// later or were cut off; the oldest go first.
	keepReports = 1024
	keepBytes   = 4 << 20
	keepFor     = 24 * time.Hour
	// maxTold bounds the reports in one message; more are asked for again.
	maxTold = 64
)

// Board is the book of an entry together with the reports that it was made
// from. It is safe for concurrent use.
type Board struct {
	Book *suspects.Registry
	// learned is called with every report that is new here.
	learned func(suspects.Report)

	mu      sync.Mutex
	known   map[uint64]bool
	reports []kept // In order of arrival.
	bytes   int
}

type kept struct {
	hash uint64
	at   time.Time
	data []byte
}

// NewBoard returns an empty board.
func NewBoard(learned func(suspects.Report)) *Board {
	return &Board{Book: suspects.NewRegistry(), learned: learned, known: map[uint64]bool{}}
}

// Take merges an encoded report. One that is known already, or is too old to
// count, changes nothing.
// It returns the report and whether it was new.
func (b *Board) Take(data []byte, now time.Time) (suspects.Report, bool, error) {
	r, err := suspects.Decode(data)
	if err != nil {
		return r, false, err
	}
	if now.Sub(r.At) >= keepFor || !b.keep(data, r.At, now) {
		return r, false, nil
	}
	b.Book.Merge(r, now)
	b.learned(r)
	return r, true, nil
}

// keep reports whether data is new.
func (b *Board) keep(data []byte, at, now time.Time) bool {
	hash := xxhash.Sum64(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known[hash] {
		return false
	}
	b.known[hash] = true
	b.reports = append(b.reports, kept{hash: hash, at: at, data: data})
	b.bytes += len(data)
	for len(b.reports) > keepReports || b.bytes > keepBytes || now.Sub(b.reports[0].at) > keepFor {
		delete(b.known, b.reports[0].hash)
		b.bytes -= len(b.reports[0].data)
		b.reports = b.reports[1:]
	}
	return true
}

func (b *Board) hashes() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]uint64, 0, len(b.reports))
	for i := range b.reports {
		out = append(out, b.reports[i].hash)
	}
	return out
}

// Tell implements the Suspects service.
func (b *Board) Tell(_ context.Context, m *wire.SuspectReports) (*wire.TellReply, error) {
	for _, data := range m.GetReports() {
		if _, _, err := b.Take(data, time.Now()); err != nil {
			return nil, err
		}
	}
	return &wire.TellReply{}, nil
}

// Ask implements the Suspects service.
func (b *Board) Ask(_ context.Context, m *wire.KnownReports) (*wire.SuspectReports, error) {
	known := make(map[uint64]bool, len(m.GetHashes()))
	for _, hash := range m.GetHashes() {
		known[hash] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &wire.SuspectReports{}
	for i := range b.reports {
		if !known[b.reports[i].hash] && len(out.Reports) < maxTold {
			out.Reports = append(out.Reports, b.reports[i].data)
		}
	}
	return out, nil
}
