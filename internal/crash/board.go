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
	// maxStoredReports and maxStoredBytes limit the encoded reports that a store
	// keeps for entries that start later or were disconnected. Above either
	// limit, the report that arrived first is dropped.
	maxStoredReports = 1024
	maxStoredBytes   = 4 << 20
	// reportRetention is the age from which a report is ignored on arrival and
	// dropped from the store. It is the time for which package suspects counts a
	// crash as evidence.
	reportRetention = 24 * time.Hour
	// maxReportsPerReply limits the reports in the reply to one Ask call. The
	// entry gets the remaining ones with its next calls.
	maxReportsPerReply = 64
)

// ReportStore holds the suspect registry of an entry and the encoded reports
// merged into it, which other entries fetch if they missed them. It is safe for
// concurrent use.
type ReportStore struct {
	Registry *suspects.Registry
	// onNewReport is called with every report that was not in the store yet.
	onNewReport func(suspects.Report)

	mu           sync.Mutex
	storedHashes map[uint64]bool
	reports      []storedReport // Stored reports in order of arrival.
	storedBytes  int
}

// storedReport is an encoded report with its hash and the time of its event.
type storedReport struct {
	hash      uint64
	eventTime time.Time
	data      []byte
}

// NewReportStore returns an empty store. It calls onNewReport with every new
// report.
func NewReportStore(onNewReport func(suspects.Report)) *ReportStore {
	return &ReportStore{Registry: suspects.NewRegistry(), onNewReport: onNewReport, storedHashes: map[uint64]bool{}}
}

// Add decodes a report, stores it and merges it into the registry. A report
// that is stored already or is older than reportRetention changes nothing. Add
// returns the report and whether it was new.
func (b *ReportStore) Add(data []byte, now time.Time) (suspects.Report, bool, error) {
	r, err := suspects.Decode(data)
	if err != nil {
		return r, false, err
	}
	if now.Sub(r.At) >= reportRetention || !b.store(data, r.At, now) {
		return r, false, nil
	}
	b.Registry.Merge(r, now)
	b.onNewReport(r)
	return r, true, nil
}

// store stores an encoded report of an event at time at. It returns false if the
// report is stored already. In order of arrival, it drops reports while the limits
// are exceeded or the first report is older than reportRetention.
func (b *ReportStore) store(data []byte, at, now time.Time) bool {
	hash := xxhash.Sum64(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.storedHashes[hash] {
		return false
	}
	b.storedHashes[hash] = true
	b.reports = append(b.reports, storedReport{hash: hash, eventTime: at, data: data})
	b.storedBytes += len(data)
	for len(b.reports) > maxStoredReports || b.storedBytes > maxStoredBytes || now.Sub(b.reports[0].eventTime) > reportRetention {
		delete(b.storedHashes, b.reports[0].hash)
		b.storedBytes -= len(b.reports[0].data)
		b.reports = b.reports[1:]
	}
	return true
}

// hashes returns the hashes of all stored reports.
func (b *ReportStore) hashes() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]uint64, 0, len(b.reports))
	for i := range b.reports {
		out = append(out, b.reports[i].hash)
	}
	return out
}

// Tell implements the Suspects service. It takes the reports of another instance.
func (b *ReportStore) Tell(_ context.Context, m *wire.SuspectReports) (*wire.TellReply, error) {
	for _, data := range m.GetReports() {
		if _, _, err := b.Add(data, time.Now()); err != nil {
			return nil, err
		}
	}
	return &wire.TellReply{}, nil
}

// Ask implements the Suspects service. It returns stored reports whose hashes are
// not listed in m.
func (b *ReportStore) Ask(_ context.Context, m *wire.KnownReports) (*wire.SuspectReports, error) {
	known := make(map[uint64]bool, len(m.GetHashes()))
	for _, hash := range m.GetHashes() {
		known[hash] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &wire.SuspectReports{}
	for i := range b.reports {
		if !known[b.reports[i].hash] && len(out.Reports) < maxReportsPerReply {
			out.Reports = append(out.Reports, b.reports[i].data)
		}
	}
	return out, nil
}
