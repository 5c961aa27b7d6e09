// Command measure compares the planner of expert maps with simpler ways on
// seeded workloads. It writes tables in Markdown and plots in SVG.
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

// part is one table: a size with its workloads.
type part struct {
	file, title string
	size        compare.Size
	kinds       []compare.Workload
	length      time.Duration
	strategies  []string
}

func parts() []part {
	timed := []string{compare.PlannerSkew, compare.PlannerCost}
	main := []compare.Workload{compare.Drift, compare.Season}
	return []part{
		{"today", "Today's size, 4 h", compare.DeployedSize(), compare.Workloads(), 4 * time.Hour, compare.Strategies()},
		{"target", "Target size, 2 of 58 layers, 2 h", compare.TargetSize(2), compare.Workloads(), 2 * time.Hour, compare.Strategies()},
		{"full", "Target size, all 58 layers, 35 min", compare.TargetSize(58), main, 35 * time.Minute, timed},
	}
}

func run(dir string, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, p := range parts() {
		if err := p.run(dir, seed); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}

func (p part) run(dir string, seed uint64) error {
	f, err := os.Create(filepath.Join(dir, p.file+".md"))
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(f, "# %s\n\n", p.title)
	fmt.Fprintf(f, "%d ranks on %d hosts, %d experts, %d layers, %d slots a rank and layer, seed %d, a plan every %v.\n",
		p.size.Ranks, p.size.Hosts, p.size.Experts, p.size.Layers, p.size.Slots, seed, compare.PlanInterval)
	for _, kind := range p.kinds {
		results, err := compare.Run(compare.Spec{Size: p.size, Workload: kind, Seed: seed, Duration: p.length, Strategies: p.strategies})
		if err != nil {
			return err
		}
		fmt.Fprintf(f, "\n## %s\n\n", kind)
		writeTable(f, results, p.length)
		if err := plotSeries(filepath.Join(dir, fmt.Sprintf("%s-%s.svg", p.file, slug(string(kind)))), p.title, string(kind), results); err != nil {
			return err
		}
	}
	return nil
}
