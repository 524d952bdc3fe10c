package report

import (
	"fmt"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/simulator"
)

const (
	// maxHeatMaps limits the number of policies whose requests in flight are drawn as a heat map.
	maxHeatMaps = 2
	// heatMapColours is the number of colours of a heat map.
	heatMapColours = 64
)

// timePlot describes a plot of a value over the seconds of a run, as the mean of the seeds.
type timePlot struct {
	title, axis string
	value       func(s simulator.Second) float64
}

var timePlots = []timePlot{
	{"Service, by when requests came", "service", func(s simulator.Second) float64 { return s.Service }},
	{"p50 of served requests", "ms", func(s simulator.Second) float64 { return s.P50 }},
	{"p99 of served requests", "ms", func(s simulator.Second) float64 { return s.P99 }},
	{"Refused", "requests a second", func(s simulator.Second) float64 { return float64(s.Rejected) }},
	{
		"Failed or without an answer", "requests a second",
		func(s simulator.Second) float64 { return float64(s.Failed) },
	},
	{
		"Attempts for each request that came", "attempts",
		func(s simulator.Second) float64 { return float64(s.Attempts) / float64(max(s.Requests, 1)) },
	},
}

// pointPlots returns the plots for one point of the sweep.
func pointPlots(h experiment.Header, runs []experiment.Run, point int) ([]svgPlot, error) {
	results := resultsByPolicy(h, runs, point)
	var plots []svgPlot
	for _, t := range timePlots {
		p, err := t.draw(h.Seeds, results)
		if err != nil {
			return nil, err
		}
		plots = append(plots, p)
	}
	latencies, err := latencyPlot(results)
	if err != nil {
		return nil, err
	}
	plots = append(plots, latencies)
	for i, name := range h.Policies[:min(maxHeatMaps, len(h.Policies))] {
		heatMap, ok, err := heatMapOf(name, results[i])
		if err != nil {
			return nil, err
		}
		if ok {
			plots = append(plots, heatMap)
		}
	}
	return plots, nil
}

// resultsByPolicy returns the results of the runs at a point that have no error, in the order of the header's policies.
func resultsByPolicy(h experiment.Header, runs []experiment.Run, point int) [][]*simulator.Result {
	results := make([][]*simulator.Result, len(h.Policies))
	for i, name := range h.Policies {
		for _, r := range runs {
			if r.Point == point && r.Policy == name && r.Error == "" {
				results[i] = append(results[i], r.Result)
			}
		}
	}
	return results
}

// draw draws the plot with a curve for each policy. A seed whose run has an error counts as 0 in the mean.
func (t timePlot) draw(seeds int, results [][]*simulator.Result) (svgPlot, error) {
	p := newPlot("second", t.axis)
	for policyIndex, list := range results {
		var points plotter.XYs
		for _, r := range list {
			for i, s := range r.Seconds {
				if i == len(points) {
					points = append(points, plotter.XY{X: float64(i)})
				}
				points[i].Y += t.value(s) / float64(seeds)
			}
		}
		if err := addLine(p, policyIndex, points); err != nil {
			return svgPlot{}, err
		}
	}
	return render(t.title, p)
}

// latencyPlot draws the cumulative distribution of the latencies of each policy, as the mean of the seeds.
func latencyPlot(results [][]*simulator.Result) (svgPlot, error) {
	p := newPlot("ms, logarithmic", "share served within")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for policyIndex, list := range results {
		var points plotter.XYs
		for i, quantile := range simulator.Quantiles() {
			point := plotter.XY{Y: quantile / 100}
			for _, r := range list {
				if i < len(r.Quantiles) {
					point.X += r.Quantiles[i] / float64(len(list))
				}
			}
			if point.X > 0 {
				points = append(points, point)
			}
		}
		if err := addLine(p, policyIndex, points); err != nil {
			return svgPlot{}, err
		}
	}
	return render("Latency of served requests, over all tries", p)
}

// heatMapOf draws the requests in flight at each node over time, for the first seed of a policy. It draws nothing
// and reports false if there is no result, if there are fewer than two seconds or nodes, or if all values are equal.
func heatMapOf(policy string, results []*simulator.Result) (svgPlot, bool, error) {
	if len(results) == 0 || len(results[0].Seconds) <= 1 || len(results[0].Seconds[0].InFlight) <= 1 {
		return svgPlot{}, false, nil
	}
	heatMap := plotter.NewHeatMap(grid(results[0].Seconds), moreland.SmoothBlueRed().Palette(heatMapColours))
	if heatMap.Min >= heatMap.Max {
		return svgPlot{}, false, nil
	}
	p := newPlot("second", "node")
	p.Add(heatMap)
	title := fmt.Sprintf("What each node holds with %s, seed %d: blue %.0f, red %.0f",
		policy, results[0].Seed, heatMap.Min, heatMap.Max)
	drawn, err := render(title, p)
	return drawn, err == nil, err
}

// grid has the requests in flight by second and node for a heat map.
type grid []simulator.Second

// Dims implements plotter.GridXYZ.
func (g grid) Dims() (c, r int) { return len(g), len(g[0].InFlight) }

// X implements plotter.GridXYZ.
func (g grid) X(c int) float64 { return float64(c) }

// Y implements plotter.GridXYZ.
func (g grid) Y(r int) float64 { return float64(r + 1) }

// Z implements plotter.GridXYZ.
func (g grid) Z(c, r int) float64 { return float64(g[c].InFlight[r]) }

// sweepPlots returns plots of some measures over the factor of a sweep. It returns none if the sweep has several
// factors or values that are not numbers.
func sweepPlots(h experiment.Header, rows []experiment.Summary) ([]svgPlot, error) {
	factor, values := numericFactor(h.Points)
	if values == nil {
		return nil, nil
	}
	var plots []svgPlot
	for _, measure := range []string{"service", "p99", "attempts"} {
		p := newPlot(factor, measure)
		for policyIndex, name := range h.Policies {
			if err := addSweepLine(p, policyIndex, name, measure, values, rows); err != nil {
				return nil, err
			}
		}
		title := measure
		if measure == "service" {
			title += ", from the least to the most of the seeds"
		}
		drawn, err := render(title, p)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	return plots, nil
}

// numericFactor returns the name and the values of the factor by which the points differ. The values are nil if there
// are fewer than two points, more than one factor, or values that are not numbers.
func numericFactor(points [][]string) (name string, values []float64) {
	if len(points) < 2 || len(points[0]) != 1 {
		return "", nil
	}
	for _, factors := range points {
		key, text, _ := strings.Cut(factors[0], " = ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "", nil
		}
		name, values = key, append(values, value)
	}
	return name, values
}

// addSweepLine adds the curve of a policy and, for the service, a vertical line over the range of the seeds at each
// point.
func addSweepLine(
	p *plot.Plot, policyIndex int, name, measure string, values []float64, rows []experiment.Summary,
) error {
	var points plotter.XYs
	for _, r := range rows {
		if r.Policy != name {
			continue
		}
		x := values[r.Point]
		points = append(points, plotter.XY{X: x, Y: r.Mean[measure]})
		if measure != "service" {
			continue
		}
		seedRange, err := plotter.NewLine(plotter.XYs{{X: x, Y: r.MinService}, {X: x, Y: r.MaxService}})
		if err != nil {
			return err
		}
		seedRange.Color = policyColour(policyIndex)
		p.Add(seedRange)
	}
	return addLine(p, policyIndex, points)
}
