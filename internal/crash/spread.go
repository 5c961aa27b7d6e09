package crash

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/membership"
	"bluebellwind.example/suspects"
	"bluebellwind.example/wire"
)

const (
	// rpcTimeout limits each Tell and Ask call. An entry that misses a report
	// fetches it later.
	rpcTimeout = 2 * time.Second
	// maxConcurrentSends limits the concurrent Tell calls for one report.
	maxConcurrentSends = 32
	// relaysPerEntry is the number of entries in the agent's availability zone
	// that relay its report to each entry of another zone.
	relaysPerEntry = 2
	// fetchPeriod is the mean time between two Ask calls of FetchPeriodically.
	fetchPeriod = 5 * time.Second
	// agentCheckInterval is the time between two looks for agents that were not asked yet.
	agentCheckInterval = 200 * time.Millisecond
)

// undeliveredReports counts the failed Tell calls, that is the entries that a
// report did not reach at once.
var undeliveredReports = metrics.NewCounter("bluebellwind_crash_report_undelivered_total")

// ReportDistributor sends reports to the entries and fetches missed ones. An
// agent knows only the entries of its own availability zone, so these relay its
// reports to the entries of other zones. A ReportDistributor is safe for
// concurrent use.
type ReportDistributor struct {
	Self string // The name of this instance.
	Zone string // The availability zone of this instance.
	Node *membership.Node
	Pool *rpc.Pool
	Log  *log.Logger
}

// Publish sends a report to all other entries known to this instance, in the
// background. It returns the encoded report, or nil if it cannot be encoded.
func (s *ReportDistributor) Publish(r suspects.Report) []byte {
	data, err := r.Encode()
	if err != nil {
		s.Log.Error().Str("event", "crash_unreported").Str("cause", err.Error()).Msg("")
		return nil
	}
	go s.sendToAll(s.Entries(), data)
	return data
}

// Relay sends the report of an agent in the given availability zone to entries of
// other zones, in the background. The entries of the agent's zone share this
// work. If this entry is in another zone and knows no entry of the agent's zone,
// it sends the report to all entries of other zones itself.
func (s *ReportDistributor) Relay(data []byte, zone string) {
	entries := s.Entries()
	relays := []string{}
	if s.Zone == zone {
		relays = append(relays, s.Self)
	}
	for _, in := range entries {
		if in.Zone == zone {
			relays = append(relays, in.ID)
		}
	}
	assigned := slices.DeleteFunc(entries, func(in membership.Instance) bool {
		return in.Zone == zone || !isRelayFor(s.Self, relays, in.ID)
	})
	go s.sendToAll(assigned, data)
}

// isRelayFor says whether self sends the report to target: whether it is one of
// the first relaysPerEntry relays in the rendezvous order of target. If there are
// no relays, any entry sends it.
func isRelayFor(self string, relays []string, target string) bool {
	if len(relays) == 0 {
		return true
	}
	rendezvousHash := func(id string) uint64 { return xxhash.Sum64String(id + "/" + target) }
	preceding := 0
	for _, id := range relays {
		if rendezvousHash(id) < rendezvousHash(self) {
			preceding++
		}
	}
	return slices.Contains(relays, self) && preceding < relaysPerEntry
}

// Entries returns all live entries except this instance.
func (s *ReportDistributor) Entries() []membership.Instance {
	var out []membership.Instance
	for _, in := range s.Node.Alive() {
		if in.Role == membership.Entry && in.ID != s.Self {
			out = append(out, in)
		}
	}
	return out
}

// sendToAll sends a report to the given entries and returns when all calls have
// ended.
func (s *ReportDistributor) sendToAll(entries []membership.Instance, data []byte) {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed int
		slots  = make(chan struct{}, maxConcurrentSends)
	)
	for _, entry := range entries {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if s.send(entry, data) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		undeliveredReports.Add(failed)
		s.Log.Warn().Str("event", "crash_untold").Int("entries", failed).Msg("")
	}
}

// send sends a report to one entry.
func (s *ReportDistributor) send(entry membership.Instance, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	conn := s.Pool.Get(ctx, string(entry.Addr))
	_, err := wire.NewDRPCSuspectsClient(conn).Tell(ctx, &wire.SuspectReports{Reports: [][]byte{data}})
	return err
}

// FetchPeriodically fetches the reports that the store lacks from a random live
// entry at a time, at random intervals with mean fetchPeriod, until ctx ends.
func (s *ReportDistributor) FetchPeriodically(ctx context.Context, store *ReportStore) {
	for ctx.Err() == nil {
		if entries := s.Entries(); len(entries) > 0 {
			// After an error it tries another entry after the next interval.
			_ = fetchMissing(ctx, s.Pool, entries[rand.IntN(len(entries))], store)
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchPeriod/2 + rand.N(fetchPeriod)):
		}
	}
}

// FetchFromAgents asks each agent for the reports that it has made, once it is known to this
// entry, until ctx ends. If all entries were down together, only agents remember. pool holds the
// connections to agents.
func (s *ReportDistributor) FetchFromAgents(ctx context.Context, pool *rpc.Pool, store *ReportStore) {
	// askAt is when to ask an agent again, by its name; zero once it has answered.
	askAt := make(map[string]time.Time)
	clock.Every(ctx, agentCheckInterval, func(now time.Time) {
		next := make(map[string]time.Time)
		var mu sync.Mutex
		var calls sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentSends)
		for _, agent := range s.Node.Alive() {
			if agent.Role != membership.Agent {
				continue
			}
			at, known := askAt[agent.ID]
			next[agent.ID] = at
			if known && (at.IsZero() || now.Before(at)) {
				continue
			}
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots }()
				err := fetchMissing(ctx, pool, agent, store)
				mu.Lock()
				defer mu.Unlock()
				if next[agent.ID] = (time.Time{}); err != nil {
					next[agent.ID] = now.Add(fetchPeriod)
				}
			})
		}
		calls.Wait()
		askAt = next
	})
}

// fetchMissing fetches reports that the store lacks from one instance.
func fetchMissing(ctx context.Context, pool *rpc.Pool, from membership.Instance, store *ReportStore) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	conn := pool.Get(ctx, string(from.Addr))
	reply, err := wire.NewDRPCSuspectsClient(conn).Ask(ctx, &wire.KnownReports{Hashes: store.hashes()})
	if err != nil {
		return err
	}
	for _, data := range reply.GetReports() {
		if _, _, err := store.Add(data, time.Now()); err != nil {
			return err
		}
	}
	return nil
}
