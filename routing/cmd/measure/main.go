// Command measure compares routing and admission policies on seeded arrivals in
// virtual time. It writes Markdown tables and SVG plots.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"bluebellwind.example/routing/internal/harness"
)

func main() {
	out := flag.String("out", ".", "output directory for tables and plots")
	seeds := flag.Uint64("seeds", 3, "number of seeds for each row")
	flag.Parse()
	if err := measure(*out, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func measure(out string, seeds uint64) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return fmt.Errorf("create the output directory: %w", err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Routing: measured\n\nCommand: `go run ./cmd/measure -seeds %d`. Virtual time.\n", seeds)
	loads := loadRuns(&b, seeds)
	largeRuns(&b, seeds)
	faultRuns(&b, seeds)
	affinityRuns(&b, seeds)
	overloads := overloadRuns(&b)
	enginePriorityRuns(&b, seeds)
	if err := os.WriteFile(filepath.Join(out, "README.md"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write the tables: %w", err)
	}
	if err := plotLoads(filepath.Join(out, "ttft.svg"), loads); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := plotPeaks(filepath.Join(out, "overload.svg"), overloads); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// runAll runs each scenario with all seeds and merges the results of the seeds.
func runAll(scenarios []harness.Scenario, seeds uint64) []*harness.Result {
	results := make([]*harness.Result, len(scenarios))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			for seed := range seeds {
				s.Seed = seed + 1
				r := harness.Run(s)
				if results[i] == nil {
					results[i] = r
					continue
				}
				results[i].Merge(r)
			}
		})
	}
	wg.Wait()
	return results
}

func formatMS(d time.Duration) string { return fmt.Sprint(d.Round(time.Millisecond).Milliseconds()) }

func formatShare(part, whole int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(max(1, whole)))
}

func formatQuantiles(r *harness.Result) string {
	q := func(p float64) string { return formatMS(harness.Quantile(r.FirstToken, p)) }
	return q(50) + " | " + q(95) + " | " + q(99)
}
