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

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{}

// shortRun are the seeds that every run of the tests plays.
var shortRun = []uint64{1, 2}

// TestFaults plays BBW_FAULT_SEEDS, such as 1-50, and else the short run and all
// seeds that failed once. BBW_FAULT_LOGS keeps the logs of failing seeds, and
// BBW_FAULT_SIZE=large plays runs at the limits of one machine.
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
			t.Logf("%d requests, %d served, %d maps", report.Requests, report.Served, report.Switches)
			if len(report.Broken) > 0 {
				t.Errorf("seed %d, logs in %s, after\n%s\nbroken:\n%s",
					seed, dir, strings.Join(report.Faults, "\n"), strings.Join(report.Broken, "\n"))
			}
		})
	}
}

func size() Size {
	if os.Getenv("BBW_FAULT_SIZE") == "large" {
		return Large()
	}
	return Usual()
}

func seeds(t *testing.T) []uint64 {
	text := os.Getenv("BBW_FAULT_SEEDS")
	if text == "" {
		return append(append([]uint64{}, shortRun...), regressions...)
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
