package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"bluebellwind.example/internal/crash"
	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/routing"
	"bluebellwind.example/suspects"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// exactRetryAfter and similarRetryAfter tell the caller of a suspected
	// request when to retry if the server assigned to it did not run it. Requests
	// that are only similar to one that was running at a crash wait longer, to
	// let those that match exactly run first.
	exactRetryAfter   = time.Second
	similarRetryAfter = 5 * time.Second
)

var (
	lossesReported      = metrics.NewCounter(`bluebellwind_crash_reported_total{cause="instance_lost"}`)
	crashesLearned      = metrics.NewCounter("bluebellwind_crash_learned_total")
	suspectsIsolated    = metrics.NewCounter("bluebellwind_suspect_isolated_total")
	requestsQuarantined = metrics.NewCounter("bluebellwind_request_quarantined_total")
)

// crashTracker keeps what this entry knows about requests that may crash servers,
// and detects servers that are lost together with their agent. It is safe for
// concurrent use.
type crashTracker struct {
	log           *log.Logger
	fingerprinter *suspects.Fingerprinter
	reportStore   *crash.ReportStore
	directory     *fleet.Directory
	agentPool     *rpc.Pool
	// distributor is set by setDistributor, once the address of this entry is known.
	distributor *crash.ReportDistributor

	mu       sync.Mutex                // Guards monitors.
	monitors map[string]*serverMonitor // By the name of the server.
}

// serverMonitor is the crash monitor of a server under one incarnation of its
// agent.
type serverMonitor struct {
	incarnation uint64
	monitor     *crash.ServerMonitor
}

func newCrashTracker(secret []byte, logger *log.Logger, directory *fleet.Directory, agentPool *rpc.Pool) (*crashTracker, error) {
	fingerprinter, err := crash.NewFingerprinter(secret)
	if err != nil {
		return nil, err
	}
	t := &crashTracker{
		log:           logger,
		fingerprinter: fingerprinter,
		directory:     directory,
		agentPool:     agentPool,
		monitors:      map[string]*serverMonitor{},
	}
	t.reportStore = crash.NewReportStore(t.reportMerged)
	return t, nil
}

// fingerprintOf returns the fingerprint of a chat request.
func (t *crashTracker) fingerprintOf(organisation string, body []byte) *suspects.Fingerprint {
	p := t.fingerprinter.Fingerprint(organisation, crash.ComparableText(body))
	return &p
}

// setDistributor sets the distributor and registers the gauges. It must be called
// once, before the entry accepts requests.
func (t *crashTracker) setDistributor(distributor *crash.ReportDistributor) {
	t.distributor = distributor
	gauge := func(name string, value func() int) {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(value()) })
	}
	gauge("bluebellwind_suspects_peers", func() int { return len(distributor.Entries()) })
	gauge("bluebellwind_suspects", func() int { return t.reportStore.Registry.Stats().Suspects })
	gauge("bluebellwind_suspects_cleared", func() int { return t.reportStore.Registry.Stats().Cleared })
	gauge("bluebellwind_lost_instances", func() int { return t.reportStore.Registry.Stats().LostInstances })
}

// reportMerged logs a report that the store did not have before.
func (t *crashTracker) reportMerged(r suspects.Report) {
	if r.Cause == suspects.Completed {
		t.log.Info().Str("event", "suspect_cleared").Msg("")
		return
	}
	crashesLearned.Inc()
	t.log.Warn().Str("event", "crash_learned").
		Str("server", strconv.FormatUint(r.ServerID, 16)).
		Str("cause", causeName(r.Cause)).
		Str("zone", r.Zone).
		Int("requests", len(r.Requests)).Msg("")
}

func causeName(c suspects.Cause) string {
	if c == suspects.InstanceLost {
		return "instance_lost"
	}
	return "server_crashed"
}

// mergeReport merges an encoded report that an agent sent, with a refusal or by
// itself, and relays it to the entries of other availability zones if it is new.
func (t *crashTracker) mergeReport(data []byte) {
	if len(data) == 0 {
		return
	}
	r, isNew, err := t.reportStore.Add(data, time.Now())
	if err != nil {
		t.log.Warn().Str("event", "crash_report_refused").Str("cause", err.Error()).Msg("")
		return
	}
	if isNew {
		t.distributor.Relay(data, r.Zone)
	}
}

// suspectsService is the Suspects service for agents. Unlike that for entries,
// which is the store itself, it relays the reports.
type suspectsService struct{ crashes *crashTracker }

// Tell implements the Suspects service.
func (s suspectsService) Tell(_ context.Context, m *wire.SuspectReports) (*wire.TellReply, error) {
	for _, data := range m.GetReports() {
		s.crashes.mergeReport(data)
	}
	return &wire.TellReply{}, nil
}

// Ask implements the Suspects service.
func (s suspectsService) Ask(ctx context.Context, m *wire.KnownReports) (*wire.SuspectReports, error) {
	return s.crashes.reportStore.Ask(ctx, m)
}

// publishReport merges a report made by this entry and sends it to all others.
func (t *crashTracker) publishReport(r suspects.Report) {
	_, _, _ = t.reportStore.Add(t.distributor.Publish(r), time.Now()) // Add does not fail on a report that was just encoded.
}

// reportLoss reports an instance that was lost together with its agent.
func (t *crashTracker) reportLoss(r suspects.Report) {
	lossesReported.Inc()
	t.log.Warn().Str("event", "crash_reported").
		Str("server", strconv.FormatUint(r.ServerID, 16)).
		Str("cause", causeName(r.Cause)).
		Int("requests", len(r.Requests)).Msg("")
	t.publishReport(r)
}

// monitorFor returns the monitor of the server's current incarnation, or of a
// newer one that is known already.
func (t *crashTracker) monitorFor(server *fleet.Server) *crash.ServerMonitor {
	t.mu.Lock()
	defer t.mu.Unlock()
	sm := t.monitors[server.Name]
	if sm != nil && sm.incarnation >= server.Incarnation {
		return sm.monitor
	}
	t.removeUnknownServers()
	name := fmt.Sprintf("%s/%d", server.Name, server.Incarnation)
	sm = &serverMonitor{
		incarnation: server.Incarnation,
		monitor:     crash.NewServerMonitor(name, server.Zone, suspects.InstanceLost, t.agentProbe(server), t.reportLoss),
	}
	sm.monitor.SetProcess(processName(server.Incarnation))
	t.monitors[server.Name] = sm
	return sm.monitor
}

// removeUnknownServers removes the monitors of servers that are no longer in the
// directory. It must be called with t.mu held.
func (t *crashTracker) removeUnknownServers() {
	view := t.directory.View()
	for name := range t.monitors {
		if view.Server(name) == nil {
			delete(t.monitors, name)
		}
	}
}

// processName returns the name of a process for crash.ServerMonitor, or "" if the
// incarnation is unknown.
func processName(incarnation uint64) string {
	if incarnation == 0 {
		return ""
	}
	return strconv.FormatUint(incarnation, 10)
}

// agentProbe returns a probe that asks the agent of a server for its incarnation,
// which changes when the agent restarts.
func (t *crashTracker) agentProbe(server *fleet.Server) crash.Probe {
	return func(ctx context.Context) (string, error) {
		client := wire.NewDRPCAgentClient(t.agentPool.Get(ctx, server.Address))
		reply, err := client.Info(ctx, &wire.InfoRequest{})
		return processName(reply.GetReport().GetLoad().GetIncarnation()), err
	}
}

// trackAttempt calls attempt and records in the monitor of the server that the
// request is running there. If the connection breaks, the monitor finds out
// whether the server was lost. Requests without a fingerprint are not tracked.
func (t *crashTracker) trackAttempt(ctx context.Context, req *routedRequest, server *fleet.Server, attempt func() error) error {
	if req.fingerprint == nil {
		return attempt()
	}
	run, ok := t.monitorFor(server).Begin(ctx, *req.fingerprint, req.probation)
	if !ok {
		return verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the only server for this request is busy").WithRetryAfter(exactRetryAfter)
	}
	err := attempt()
	if err != nil && ctx.Err() == nil && lostWithoutReply(err) {
		run.ConnectionBroke(ctx)
		return err
	}
	if report, ok := run.End(err == nil, t.reportStore.Registry); ok {
		t.publishReport(report)
	}
	return err
}

// lostWithoutReply reports whether err is of an attempt that may have run and
// whose connection broke before the agent sent a final reply.
func lostWithoutReply(err error) bool {
	var agentErr *agentRefusal
	refusal := verdict.AsError(err)
	return !errors.As(err, &agentErr) && refusal.Code == verdict.Unavailable && refusal.Verdict != verdict.NotRun
}

// chooseServer returns the server of the next attempt: any server for most
// requests, the one assigned server for a suspected request, and none for a
// quarantined one. The choice is nil for a suspected request; otherwise the caller
// must call its Release after the attempt.
func (e *Entry) chooseServer(req *routedRequest) (*fleet.Server, *routing.Choice, error) {
	req.probation = false
	if req.fingerprint != nil {
		d := e.crashes.reportStore.Registry.Decide(*req.fingerprint, time.Now())
		switch d.Verdict {
		case suspects.Quarantined:
			return nil, nil, e.quarantine(req, d)
		case suspects.Isolated:
			server, err := e.isolate(req, d)
			return server, nil, err
		}
	}
	return e.picker.pick(req.target, req.routingRequest)
}

// isolate returns the one server that may run a suspected request. All entries
// that know the same servers choose the same one.
func (e *Entry) isolate(req *routedRequest, d suspects.Decision) (*fleet.Server, error) {
	req.probation, req.exactMatch = true, d.ExactMatch
	candidates := probationServers(req.target.servers(e.directory.View()))
	ids := make([]uint64, 0, len(candidates))
	for _, s := range candidates {
		ids = append(ids, xxhash.Sum64String(s.Name))
	}
	index, ok := suspects.HomeServer(d.HomeKey, ids)
	if !ok {
		return nil, verdict.Refuse(verdict.Unavailable, verdict.NotRun, "no server is known").WithRetryAfter(exactRetryAfter)
	}
	suspectsIsolated.Inc()
	e.log.Info().Str("event", "suspect_isolated").
		Str("request", req.id).
		Str("organisation", req.organisation).
		Str("server", candidates[index].Name).
		Bool("exact", d.ExactMatch).Msg("")
	return candidates[index], nil
}

// probationServers returns the servers that accept new requests. The instance
// list lags, so servers without reports of their agent are returned only if there
// are no others.
func probationServers(servers []*fleet.Server) []*fleet.Server {
	var confirmed, listedOnly []*fleet.Server
	for _, s := range servers {
		switch {
		case s.Leaving || s.Load.GetLeaving():
		case s.Incarnation != 0:
			confirmed = append(confirmed, s)
		default:
			listedOnly = append(listedOnly, s)
		}
	}
	if len(confirmed) > 0 {
		return confirmed
	}
	return listedOnly
}

// quarantine returns the refusal of a quarantined request. Its verdict is Ran if
// this very request ran at a crash, and MayHaveRun if only similar ones did.
func (e *Entry) quarantine(req *routedRequest, d suspects.Decision) *verdict.Error {
	requestsQuarantined.Inc()
	e.log.Warn().Str("event", "request_quarantined").
		Str("request", req.id).
		Str("organisation", req.organisation).
		Bool("exact", d.ExactMatch).
		Time("until", d.ExpiresAt).Msg("")
	v, reason := verdict.MayHaveRun, "requests very like this one crashed the servers that ran them"
	if d.ExactMatch {
		v, reason = verdict.Ran, "this request ran before, and the servers that ran it crashed"
	}
	return verdict.Refuse(verdict.Quarantined, v, reason).WithRetryAfter(time.Until(d.ExpiresAt))
}

// finalRefusal returns the refusal to send for a request whose last attempt
// failed. If the crash reports by now quarantine the request it says so; if the
// request is only similar to a suspected one, it sets similarRetryAfter.
func (e *Entry) finalRefusal(req *routedRequest, refusal *verdict.Error) *verdict.Error {
	if req.fingerprint == nil {
		return refusal
	}
	if d := e.crashes.reportStore.Registry.Decide(*req.fingerprint, time.Now()); d.Verdict == suspects.Quarantined {
		return e.quarantine(req, d)
	}
	if req.probation && !req.exactMatch && refusal.Verdict == verdict.NotRun {
		return refusal.WithRetryAfter(similarRetryAfter)
	}
	return refusal
}
