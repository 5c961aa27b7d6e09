package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellwind.example/internal/crash"
	"bluebellwind.example/suspects"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// processHeader identifies the backend server's process. Its value changes
	// with every start. docs/INTERFACE.md specifies it for backend servers.
	processHeader = "X-Process-Start"
	healthPath    = "/health"
	// crashRetryAfter is the retry delay that the caller of a request on a crashed
	// server gets.
	crashRetryAfter = time.Second
)

var (
	errProbationBusy = verdict.Refuse(verdict.Overloaded, verdict.NotRun,
		"the server runs another request that may have crashed a server").WithRetryAfter(time.Second)
	reportedCrashes = metrics.NewCounter(`bluebellwind_crash_reported_total{cause="server_crashed"}`)
)

// crashMonitor tracks the requests that run on the backend server, reports its
// crashes to the entries, and limits the server to one request on probation at a
// time. A request is on probation if it may have crashed a server before. It is
// safe for concurrent use.
type crashMonitor struct {
	agent         *Agent
	monitor       *crash.ServerMonitor
	distributor   *crash.ReportDistributor
	probeClient   *http.Client
	probationBusy atomic.Bool
	// reports holds the reports of this agent, for entries that start after all others.
	reports *crash.ReportStore
}

// errNoSuspects is returned for reports of other instances, which an agent has no use for.
var errNoSuspects = errors.New("agent: takes no crash reports")

// reportService is the Suspects service for entries.
type reportService struct{ reports *crash.ReportStore }

// Tell implements the Suspects service.
func (reportService) Tell(context.Context, *wire.SuspectReports) (*wire.TellReply, error) {
	return nil, errNoSuspects
}

// Ask implements the Suspects service. It returns reports that this agent has made.
func (s reportService) Ask(ctx context.Context, m *wire.KnownReports) (*wire.SuspectReports, error) {
	return s.reports.Ask(ctx, m)
}

func newCrashMonitor(a *Agent) *crashMonitor {
	c := &crashMonitor{
		agent:       a,
		reports:     crash.NewReportStore(func(suspects.Report) {}),
		distributor: &crash.ReportDistributor{Self: a.settings.Name, Zone: a.settings.Zone, Node: a.peering.Node, Pool: a.peerPool, Log: a.log},
		probeClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}},
	}
	// The name must differ from the one under which entries report this instance.
	name := fmt.Sprintf("%s/%d/server", a.settings.Name, a.incarnation)
	c.monitor = crash.NewServerMonitor(name, a.settings.Zone, suspects.ServerCrashed, c.probeProcess, c.reportCrash)
	_ = metrics.GetOrCreateGauge(`bluebellwind_suspects_peers`, func() float64 {
		return float64(len(c.distributor.Entries()))
	})
	return c
}

// probeProcess returns the identifier of the backend server's process, or "" if
// the response does not contain one. Any response status is accepted.
func (c *crashMonitor) probeProcess(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.agent.backend.baseURL+healthPath, http.NoBody)
	if err != nil {
		return "", err
	}
	res, err := c.probeClient.Do(req)
	if err != nil {
		return "", err
	}
	res.Body.Close()
	return res.Header.Get(processHeader), nil
}

// reportCrash logs a crash and starts sending the report to all entries. It does
// not wait for them, so the refused requests are not delayed.
func (c *crashMonitor) reportCrash(report suspects.Report) {
	reportedCrashes.Inc()
	c.agent.log.Warn().Str("event", "crash_reported").
		Str("server", strconv.FormatUint(report.ServerID, 16)).
		Str("cause", "server_crashed").
		Int("requests", len(report.Requests)).Msg("")
	if data := c.distributor.Publish(report); data != nil {
		_, _, _ = c.reports.Add(data, time.Now()) // Add does not fail on a report that was just encoded.
	}
}

// reserveProbation reserves the server's only probation run if s is on probation.
// If it is taken, the request is refused as not run at once, without waiting.
func (c *crashMonitor) reserveProbation(s *wire.Start) (release func(), err error) {
	if !s.GetProbation() {
		return func() {}, nil
	}
	if !c.probationBusy.CompareAndSwap(false, true) {
		return nil, errProbationBusy
	}
	return func() { c.probationBusy.Store(false) }, nil
}

// runMonitored sends an attempt to the backend server and relays the response. If
// the server crashes meanwhile, the error contains the crash report.
func (a *Agent) runMonitored(ctx context.Context, s *wire.Start, out replySender) error {
	fingerprint, ok := crash.FromWire(s.GetPrint())
	if !ok {
		return a.callAndRelay(ctx, s, out, func(*http.Response) {})
	}
	run, ok := a.crashMonitor.monitor.Begin(ctx, fingerprint, s.GetProbation())
	if !ok {
		return errProbationBusy
	}
	err := a.callAndRelay(ctx, s, out, func(res *http.Response) {
		run.SetProcess(res.Header.Get(processHeader))
	})
	if err == nil || ctx.Err() != nil || verdict.AsError(err).Code != verdict.Interrupted {
		run.End(false, nil) // A completed request is cleared of suspicion by the entry, not here.
		return err
	}
	report, crashed := run.ConnectionBroke(ctx)
	if !crashed {
		return err
	}
	return newCrashedError(err, report)
}

func (a *Agent) callAndRelay(ctx context.Context, s *wire.Start, out replySender, onResponse func(*http.Response)) error {
	res, err := a.backend.call(ctx, s)
	if err != nil {
		return err
	}
	onResponse(res)
	return a.relay(res, s.GetAttemptId(), out)
}

// crashedError is the refusal of an attempt during which the server crashed, with
// the encoded crash report.
type crashedError struct {
	refusal *verdict.Error
	report  []byte
}

func newCrashedError(err error, report suspects.Report) error {
	encoded, _ := report.Encode() // Reports from suspects.NewReport are within the size limit.
	interrupted := verdict.AsError(err)
	refusal := verdict.Wrap(verdict.Interrupted, interrupted.Verdict, "the server crashed while it ran the request", err)
	return &crashedError{refusal: refusal.WithRetryAfter(crashRetryAfter), report: encoded}
}

// Error implements error.
func (e *crashedError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *crashedError) Unwrap() error { return e.refusal }

// crashReportIn returns the encoded crash report in err, or nil.
func crashReportIn(err error) []byte {
	var crashed *crashedError
	if errors.As(err, &crashed) {
		return crashed.report
	}
	return nil
}
