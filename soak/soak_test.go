package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

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
	daemon := filepath.Join(t.TempDir(), "bluebellwindd")
	out, err := exec.Command("go", "build", "-o", daemon, "bluebellwind.example/cmd/bluebellwindd").CombinedOutput()
	assert.NilError(t, err, string(out))
	for run, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			dir := logDir(t, seed)
			report, err := Run(context.Background(), daemon, dir, seed, run, size())
			assert.NilError(t, err)
			t.Logf("%d requests, %d served, %d map switches", report.Requests, report.Served, report.MapSwitches)
			if len(report.Violations) > 0 {
				t.Errorf("seed %d, logs in %s, faults:\n%s\nviolations:\n%s",
					seed, dir, strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
			}
		})
	}
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
