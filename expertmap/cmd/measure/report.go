package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bluebellwind.example/expertmap/internal/compare"
)

// Dimensions and resolution of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotPoints is the approximate number of points per curve.
	plotPoints = 240
	// plotMax is the upper limit of the Y axis. The skew of a static map
	// exceeds it, but the other strategies would not be distinguishable on a
	// larger scale.
	plotMax = 2.0
	gib     = 1 << 30
)

// slug returns a workload name as part of a file name.
func slug(s string) string { return strings.ReplaceAll(s, " ", "-") }

// writeTable writes one row per strategy.
func writeTable(w io.Writer, results []compare.Result, duration time.Duration) {
	fmt.Fprintln(w, "| way | max/mean p50 | p95 | p99 | (max-min)/mean p50 | p95 | p99 | step max/mean p95 | max over bound p95 | GiB moved | moves | plans a minute | slots changed a plan | plan p50 | plan mean | plan max | allocs a plan | KiB a plan |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	q := compare.Quantile[float64]
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %d | %.2f | %.0f | %v | %v | %v | %d | %d |\n",
			r.Strategy, q(r.Max, .5), q(r.Max, .95), q(r.Max, .99),
			q(r.Spread, .5), q(r.Spread, .95), q(r.Spread, .99),
			q(r.StepMax, .95), q(r.OverBound, .95),
			float64(r.Bytes)/gib, r.Moves, float64(r.Plans)/duration.Minutes(),
			float64(r.SlotsChanged)/float64(max(1, r.Plans)),
			compare.Quantile(r.PlanTimes, .5).Round(time.Microsecond), mean(r.PlanTimes).Round(time.Microsecond),
			compare.Quantile(r.PlanTimes, 1).Round(time.Microsecond),
			r.AllocsPerPlan, r.AllocBytesPerPlan>>10)
	}
}

func mean(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(max(1, len(times)))
}

// plotSeries plots the maximum over mean rank time of a step against time.
func plotSeries(file, title, workload string, results []compare.Result) error {
	p := plot.New()
	p.Title.Text = title + ": " + workload
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "slowest rank over mean, step"
	p.Y.Min, p.Y.Max = 1, plotMax
	p.Legend.Top = true
	for i, r := range results {
		stride := max(1, len(r.Series)/plotPoints)
		var points plotter.XYs
		for j := 0; j < len(r.Series); j += stride {
			points = append(points, plotter.XY{X: float64(j) * compare.SampleInterval.Minutes(), Y: min(plotMax, r.Series[j])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Strategy, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}
