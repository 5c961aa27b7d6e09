package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/limits"
	"bluebellwind.example/limits/limitspb"
	"bluebellwind.example/membership"
	"bluebellwind.example/verdict"
)

// reportTimeout bounds one exchange of a report with a coordinator.
const reportTimeout = time.Second

// quota enforces the limits of organisations across all entries: it reports the
// use of each limit to the entry that coordinates it, and acts as coordinator
// itself. It is safe for concurrent use.
type quota struct {
	limiter     *limits.Limiter
	coordinator *limits.Coordinator
	node        *membership.Node
	pool        *rpc.Pool

	mu            sync.Mutex // Guards the fields below.
	listedEntries int        // In the instance list.
	liveEntries   int        // In the membership; 0 before the first updateView.
}

func newQuota(self string, node *membership.Node, pool *rpc.Pool) *quota {
	return &quota{
		limiter:       limits.NewLimiter(limits.View{Self: self, Alive: []string{self}, ConfiguredCount: 1}),
		coordinator:   limits.NewCoordinator(),
		node:          node,
		pool:          pool,
		listedEntries: 1,
	}
}

func (q *quota) setLimits(l []limits.Limit) { q.limiter.SetLimits(l) }

// setListedEntries sets the number of entries in the instance list.
func (q *quota) setListedEntries(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listedEntries = n
}

// entryCount returns the number of live entries at the last updateView.
func (q *quota) entryCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.liveEntries
}

// admit charges one request to the limit of the organisation, or refuses it.
func (q *quota) admit(organisation string, now time.Time) error {
	ok, retryAfter := q.limiter.Admit(organisation, limits.Cost{Requests: 1}, now)
	if ok {
		return nil
	}
	return verdict.Refuse(verdict.LimitExceeded, verdict.NotRun, "the organisation is over its limit").WithRetryAfter(retryAfter)
}

// charge charges the tokens of a response, which are known only afterwards.
func (q *quota) charge(organisation string, tokens int) {
	q.limiter.Charge(organisation, limits.Cost{Tokens: float64(tokens)})
}

// Exchange implements the Coordinator service, which other entries call.
func (q *quota) Exchange(_ context.Context, r *limitspb.Report) (*limitspb.Grant, error) {
	return q.coordinator.HandleReport(r, q.limiter, time.Now()), nil
}

// run reports to the coordinators every limits.ReportPeriod until ctx ends.
func (q *quota) run(ctx context.Context, self string) {
	ticker := time.NewTicker(limits.ReportPeriod)
	defer ticker.Stop()
	for {
		q.updateView(self)
		q.sendReports(ctx, self)
		q.coordinator.Expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateView gives the limiter the live entries that are not leaving.
func (q *quota) updateView(self string) {
	alive := []string{self}
	for _, in := range q.node.Alive() {
		if in.Role == membership.Entry && in.ID != self && !in.Leaving {
			alive = append(alive, in.ID)
		}
	}
	sort.Strings(alive)
	q.mu.Lock()
	q.liveEntries = len(alive)
	configured := max(q.listedEntries, len(alive))
	q.mu.Unlock()
	q.limiter.SetView(limits.View{Self: self, Alive: alive, ConfiguredCount: configured})
}

// sendReports sends the reports that are due, and waits for the replies.
func (q *quota) sendReports(ctx context.Context, self string) {
	addresses := map[string]string{}
	for _, in := range q.node.Alive() {
		addresses[in.ID] = string(in.Addr)
	}
	var wg sync.WaitGroup
	for _, outgoing := range q.limiter.DueReports(time.Now()) {
		wg.Go(func() {
			for _, fallback := range q.sendReport(ctx, self, addresses, outgoing) {
				q.sendReport(ctx, self, addresses, fallback) // After a second failure the next period tries again.
			}
		})
	}
	wg.Wait()
}

// sendReport sends one report. If the coordinator does not reply, it returns the
// reports to send to the next coordinators in order instead.
func (q *quota) sendReport(ctx context.Context, self string, addresses map[string]string, outgoing limits.OutgoingReport) []limits.OutgoingReport {
	sentAt := time.Now()
	if outgoing.To == self {
		q.limiter.ApplyGrant(q.coordinator.HandleReport(outgoing.Report, q.limiter, sentAt), sentAt)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	grant, err := limitspb.NewDRPCCoordinatorClient(q.pool.Get(ctx, addresses[outgoing.To])).Exchange(ctx, outgoing.Report)
	if err != nil {
		return q.limiter.RerouteReport(outgoing, time.Now())
	}
	q.limiter.ApplyGrant(grant, sentAt)
	return nil
}
