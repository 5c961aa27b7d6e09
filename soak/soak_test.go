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
			dir := logDir(t, seed)
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
	t.Logf("%d requests, %d served, %d map switches, %d crashes on parts of prompts", report.Requests, report.Served, report.MapSwitches, report.PartCrashes)
	if len(report.Violations) > 0 {
		t.Errorf("seed %d, logs in %s, faults:\n%s\nviolations:\n%s",
			report.Seed, dir, strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
	}
}

// TestCrashingPromptPartIsStopped sends requests with a part that crashes ranks, and
// injects no other fault. The fault lasts longer than the bounds of the checks.
func TestCrashingPromptPartIsStopped(t *testing.T) {
	size := Size{Gateways: 3, Groups: 2, RanksPerGroup: 4, PlainServers: 3, Callers: 24, FaultPeriod: 11 * time.Second, RecoveryPeriod: 7 * time.Second}
	dir := t.TempDir()
	report, err := runPlan(context.Background(), buildDaemon(t), dir, 1, 0, size, func(r *testbed, rng *rand.Rand) []fault {
		start := 500 * time.Millisecond
		return []fault{{name: "prompt part crashes ranks", at: start, duration: size.FaultPeriod - start, inject: r.sendCrashingPart(rng)}}
	})
	assert.NilError(t, err)
	assert.Assert(t, report.PartCrashes > 0, "the part must have crashed ranks")
	checkReport(t, report, dir)
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

func logDir(t *testing.T, seed uint64) string {
	kept := os.Getenv("BBW_FAULT_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, strconv.FormatUint(seed, 10))
	assert.NilError(t, os.MkdirAll(dir, 0o750))
	return dir
}
