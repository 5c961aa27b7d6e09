// Command measure compares the planner of expert maps with simpler strategies
// on seeded workloads. It writes tables in Markdown and plots in SVG.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"bluebellwind.example/expertmap/internal/compare"
)

func main() {
	out := flag.String("out", ".", "directory to write to")
	seed := flag.Uint64("seed", 11, "seed of the workloads")
	flag.Parse()
	if err := run(*out, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// table specifies one output file: a group size with the workloads to run on it.
type table struct {
	name, title string
	size        compare.Size
	workloads   []compare.Workload
	duration    time.Duration
	strategies  []string
}

func tables() []table {
	plannersOnly := []string{compare.PlannerSkew, compare.PlannerCost}
	mainWorkloads := []compare.Workload{compare.Drift, compare.Season}
	return []table{
		{"today", "Today's size, 4 h", compare.DeployedSize(), compare.Workloads(), 4 * time.Hour, compare.Strategies()},
		{"target", "Target size, 2 of 58 layers, 2 h", compare.TargetSize(2), compare.Workloads(), 2 * time.Hour, compare.Strategies()},
		{"full", "Target size, all 58 layers, 35 min", compare.TargetSize(58), mainWorkloads, 35 * time.Minute, plannersOnly},
	}
}

func run(dir string, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, t := range tables() {
		if err := t.run(dir, seed); err != nil {
			return fmt.Errorf("%s: %w", t.name, err)
		}
	}
	return nil
}

func (t table) run(dir string, seed uint64) error {
	f, err := os.Create(filepath.Join(dir, t.name+".md"))
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(f, "# %s\n\n", t.title)
	fmt.Fprintf(f, "%d ranks on %d hosts, %d experts, %d layers, %d slots a rank and layer, seed %d, a plan every %v.\n",
		t.size.Ranks, t.size.Hosts, t.size.Experts, t.size.Layers, t.size.Slots, seed, compare.PlanInterval)
	for _, workload := range t.workloads {
		results, err := compare.Run(compare.Spec{Size: t.size, Workload: workload, Seed: seed, Duration: t.duration, Strategies: t.strategies})
		if err != nil {
			return err
		}
		fmt.Fprintf(f, "\n## %s\n\n", workload)
		writeTable(f, results, t.duration)
		if err := plotSeries(filepath.Join(dir, fmt.Sprintf("%s-%s.svg", t.name, slug(string(workload)))), t.title, string(workload), results); err != nil {
			return err
		}
	}
	return nil
}
