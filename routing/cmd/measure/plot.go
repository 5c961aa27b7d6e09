package main

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bluebellwind.example/routing/internal/harness"
)

const (
	plotWidth        = 18 * vg.Centimeter
	plotHeight       = 10 * vg.Centimeter
	plottedReportAge = time.Second
)

// plotLoads plots the 99th percentile of the time to first token against the
// load.
func plotLoads(path string, results []*harness.Result) error {
	p := plot.New()
	p.Title.Text = "First token, 99th percentile; 8 entries, 16 servers, reports 1 s old"
	p.X.Label.Text, p.Y.Label.Text = "load", "seconds"
	var lines []any
	for _, policy := range harness.Policies {
		var points plotter.XYs
		for _, r := range results {
			if r.Scenario.Policy == policy && r.Scenario.ReportAge == plottedReportAge {
				points = append(points, plotter.XY{X: r.Scenario.Load, Y: harness.Quantile(r.FirstToken, 99).Seconds()})
			}
		}
		lines = append(lines, string(policy), points)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotPeaks plots the goodput of the overload runs for each second.
func plotPeaks(path string, peaks []overloadResult) error {
	p := plot.New()
	p.Title.Text = "Goodput over a peak of twice the capacity, seconds 30 to 60"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share of capacity"
	var lines []any
	for _, k := range peaks {
		var points plotter.XYs
		for i, s := range k.result.Seconds {
			points = append(points, plotter.XY{X: float64(i), Y: s.Goodput})
		}
		lines = append(lines, k.name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
