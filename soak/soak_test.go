package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

// regressionSeeds are seeds that failed once, each with its cause.
var regressionSeeds = []uint64{}

// defaultSeeds are the seeds of every run of the tests.
var defaultSeeds = []uint64{1, 2}

// TestFaults runs the seeds in BBW_FAULT_SEEDS, such as 1-50, or by default
// defaultSeeds and regressionSeeds. BBW_FAULT_LOGS names a directory that keeps
// the logs of the runs, and BBW_FAULT_SIZE=large selects runs at the limits of
// one machine.
func TestFaults(t *testing.T) {
	daemon := buildDaemon(t)
	for run, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			dir := logDir(t, strconv.FormatUint(seed, 10))
			report, err := Run(context.Background(), daemon, dir, seed, run, size())
			assert.NilError(t, err)
			checkReport(t, report, dir)
		})
	}
}

func buildDaemon(t *testing.T) string {
	daemon := filepath.Join(t.TempDir(), "bluebellwindd")
	out, err := exec.Command("go", "build", "-o", daemon, "bluebellwind.example/cmd/bluebellwindd").CombinedOutput()
	assert.NilError(t, err, string(out))
	return daemon
}

func checkReport(t *testing.T, report *Report, dir string) {
	t.Logf("%d requests, %d served, %d map switches, %d crashes on parts of prompts, %d crashes under requests, %d unframed responses",
		report.Requests, report.Served, report.MapSwitches, report.PartCrashes, report.RequestCrashes, report.Unframed)
	if len(report.Violations) > 0 {
		t.Errorf("seed %d, logs in %s, faults:\n%s\nviolations:\n%s",
			report.Seed, dir, strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
	}
}

// fixedSize returns the size of runs with a single fault that is not drawn.
func fixedSize(faultPeriod time.Duration) Size {
	return Size{Gateways: 3, Groups: 2, RanksPerGroup: 4, PlainServers: 3, Callers: 24, FaultPeriod: faultPeriod, RecoveryPeriod: 6 * time.Second}
}

// heartbeatInterval is the interval at which a server writes its entry again in fixed
// runs, as servers of the platform do.
const heartbeatInterval = 300 * time.Millisecond

// heartbeat writes the entry of a server again and again until ctx ends.
func heartbeat(ctx context.Context, store *platformtest.Store, entry platformtest.ServerEntry) {
	for ctx.Err() == nil {
		store.PutServer(entry)
		sleep(ctx, heartbeatInterval)
	}
}

// runFixed injects one fault from the time start until the end of the fault period.
func runFixed(t *testing.T, size Size, start time.Duration, name string, prepare func(r *testbed, rng *rand.Rand) func() func()) *Report {
	dir := logDir(t, t.Name())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	report, err := runPlan(ctx, buildDaemon(t), dir, 1, 0, size, func(r *testbed, rng *rand.Rand) []fault {
		go heartbeat(ctx, r.store, r.plainServers[0].entry)
		return []fault{{name: name, at: start, duration: size.FaultPeriod - start, inject: prepare(r, rng)}}
	})
	assert.NilError(t, err)
	checkReport(t, report, dir)
	return report
}

// TestCrashingPromptPartIsStopped sends requests with a part that crashes ranks, and
// injects no other fault. The fault lasts longer than the bounds of the checks.
func TestCrashingPromptPartIsStopped(t *testing.T) {
	report := runFixed(t, fixedSize(13*time.Second), 3*time.Second, "prompt part crashes ranks",
		func(r *testbed, rng *rand.Rand) func() func() { return r.sendCrashingPart(rng) })
	assert.Assert(t, report.PartCrashes > 0, "the part must have crashed ranks")
}

// TestRequestThatCrashesPlainServersIsStopped repeats two requests that crash plain
// servers, while gateways are killed, stopped and restarted.
func TestRequestThatCrashesPlainServersIsStopped(t *testing.T) {
	size := fixedSize(13 * time.Second)
	size.Gateways, size.Callers = 5, 3 // Few requests meet the addresses of servers that are down.
	dir := logDir(t, t.Name())
	report, err := runPlan(context.Background(), buildDaemon(t), dir, 1, 0, size, func(r *testbed, rng *rand.Rand) []fault {
		go heartbeat(t.Context(), r.store, r.plainServers[0].entry)
		return []fault{
			{name: "request crashes plain servers", at: time.Second, duration: 12 * time.Second, inject: r.repeatRequest(rng)},
			{name: "gateway stopped and continued", at: 1200 * time.Millisecond, duration: 2 * time.Second, inject: r.pauseGateway(r.gateways[0])},
			{name: "gateway killed", at: 1500 * time.Millisecond, duration: 500 * time.Millisecond, inject: r.killGateway(r.gateways[1])},
			{name: "request crashes plain servers", at: 2 * time.Second, duration: 11 * time.Second, inject: r.repeatRequest(rng)},
			{name: "gateways restarted one after the other", at: 5 * time.Second, duration: 6 * time.Second, inject: r.restartAllGateways()},
		}
	})
	assert.NilError(t, err)
	checkReport(t, report, dir)
	assert.Assert(t, report.RequestCrashes > 0, "the requests must have crashed servers")
}

// TestServersGetNoMoreRequestsThanTheirLimit lets two of three plain servers and every other
// rank state a limit, while gateways are killed, stopped and restarted.
func TestServersGetNoMoreRequestsThanTheirLimit(t *testing.T) {
	size := fixedSize(13 * time.Second)
	size.Gateways = 5
	dir := logDir(t, t.Name())
	report, err := runPlan(context.Background(), buildDaemon(t), dir, 1, 0, size, func(r *testbed, _ *rand.Rand) []fault {
		go heartbeat(t.Context(), r.store, r.plainServers[0].entry)
		limit := func() func() {
			var ends []func()
			for i, s := range r.plainServers[:2] {
				ends = append(ends, r.limitServer(s.ID, s, 2+float64(i)))
			}
			for i, s := range r.ranks {
				if i%2 == 0 {
					ends = append(ends, r.limitServer(s.ID, s, 1))
				}
			}
			return func() {
				for _, end := range ends {
					end()
				}
			}
		}
		return []fault{
			{name: "servers state request limits", at: time.Second, duration: 12 * time.Second, inject: limit},
			{name: "gateway stopped and continued", at: 2 * time.Second, duration: 2 * time.Second, inject: r.pauseGateway(r.gateways[0])},
			{name: "gateway killed", at: 5 * time.Second, duration: 500 * time.Millisecond, inject: r.killGateway(r.gateways[1])},
		}
	})
	assert.NilError(t, err)
	checkReport(t, report, dir)
	assert.Assert(t, report.Served > report.Requests/2, "the other servers take what these do not")
}

// TestEvacuatedZoneGetsNoRequests evacuates a zone while gateways, two of each zone of which
// read the store through others, are killed, stopped and cut off from the store, and the
// store is restored from a copy that lacks the evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	size := fixedSize(13 * time.Second)
	size.Gateways = 12
	dir := logDir(t, t.Name())
	report, err := runPlan(context.Background(), buildDaemon(t), dir, 1, 0, size, func(r *testbed, _ *rand.Rand) []fault {
		go heartbeat(t.Context(), r.store, r.plainServers[0].entry)
		return []fault{
			{name: "store restored from an older copy", at: 200 * time.Millisecond, duration: 200 * time.Millisecond, inject: r.restoreStore},
			{name: "link to the store impaired", at: 1800 * time.Millisecond, duration: 3 * time.Second, inject: r.degradeStoreLink(r.gateways[0], linkStalled)},
			{name: "store restored from an older copy", at: 1900 * time.Millisecond, duration: 5 * time.Second, inject: r.restoreStore},
			{name: "zone evacuated", at: 2 * time.Second, duration: 9 * time.Second, inject: r.evacuateZone(zone(0))},
			{name: "gateway stopped and continued", at: 2 * time.Second, duration: 2 * time.Second, inject: r.pauseGateway(r.gateways[1])},
			{name: "gateway killed", at: 5 * time.Second, duration: 300 * time.Millisecond, inject: r.killGateway(r.gateways[2])},
			{name: "gateway killed", at: 6700 * time.Millisecond, duration: 300 * time.Millisecond, inject: r.killGateway(r.gateways[3])},
			{name: "gateway killed", at: 9 * time.Second, duration: 200 * time.Millisecond, inject: r.killGateway(r.gateways[4])},
		}
	})
	assert.NilError(t, err)
	checkReport(t, report, dir)
	t.Logf("the last request reached the zone %v after the acknowledgement", report.LastSentToEvacuated)
	assert.Assert(t, report.Served > report.Requests/2, "the servers of the other zone take the requests")
}

// TestUnframedResponsesArrive lets all servers answer without length and chunks, and
// reset or cut some of these responses.
func TestUnframedResponsesArrive(t *testing.T) {
	report := runFixed(t, fixedSize(4*time.Second), 500*time.Millisecond, "responses without length or chunks", func(r *testbed, _ *rand.Rand) func() func() {
		return r.unframeResponses(platformtest.ServerFault{Unframed: 1, TruncateResponse: 0.02})
	})
	assert.Assert(t, report.Unframed > 0, "servers must have written whole responses without length and chunks")
}

func size() Size {
	if os.Getenv("BBW_FAULT_SIZE") == "large" {
		return LargeSize()
	}
	return DefaultSize()
}

func seeds(t *testing.T) []uint64 {
	text := os.Getenv("BBW_FAULT_SEEDS")
	if text == "" {
		return append(append([]uint64{}, defaultSeeds...), regressionSeeds...)
	}
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	assert.NilError(t, err)
	var out []uint64
	for seed := from; seed <= to; seed++ {
		out = append(out, seed)
	}
	return out
}

func logDir(t *testing.T, name string) string {
	kept := os.Getenv("BBW_FAULT_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, name)
	assert.NilError(t, os.MkdirAll(dir, 0o750))
	return dir
}
