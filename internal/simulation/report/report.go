// Package report writes the results of an experiment as one HTML file that loads nothing else. The file has violations
// and the verdicts on the claims first, and then a table and SVG plots for each point. It is legible on light and dark
// backgrounds.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"hazelwing/internal/simulation/experiment"
)

// maxViolations limits the number of violations that a report lists.
const maxViolations = 200

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"join":   func(s []string) string { return strings.Join(s, ", ") },
	"format": func(x float64) string { return fmt.Sprintf("%.4g", x) },
}).Parse(page))

// tableMeasures has the measures that are columns of the tables.
var tableMeasures = []string{
	"service", "worst", "recovered", "p50", "p99", "p999", "refused", "failed", "tries", "attempts", "wasted",
	"handshakes", "crossing", "conns", "imbalance",
}

// reportData is the data for the template of the page.
type reportData struct {
	experiment.Header
	Verdicts   []experiment.Verdict
	Violations []violation
	Measures   []string
	SweepPlots []svgPlot
	Sections   []section
	Legend     []legendEntry
}

// violation is a rule that a run violated.
type violation struct{ Run, Text string }

// legendEntry is a policy with its description and colour.
type legendEntry struct{ Policy, Source, Colour string }

// section is the part of the report for one point of the sweep.
type section struct {
	Title string
	Rows  []experiment.Summary
	Plots []svgPlot
}

// svgPlot is a plot with its caption.
type svgPlot struct {
	Title string
	SVG   template.HTML
}

// Write writes the report of a file of results. The runs have to be complete and in order, as Execute writes
// them.
func Write(out io.Writer, h experiment.Header, runs []experiment.Run) error {
	verdicts, err := experiment.Judge(h, runs)
	if err != nil {
		return err
	}
	rows := experiment.Summarise(h, runs)
	data := reportData{
		Header:     h,
		Verdicts:   verdicts,
		Violations: violations(h, runs),
		Measures:   tableMeasures,
	}
	for i, name := range h.Policies {
		data.Legend = append(data.Legend, legendEntry{name, h.Sources[i], cssColour(i)})
	}
	if data.SweepPlots, err = sweepPlots(h, rows); err != nil {
		return err
	}
	for point, factors := range h.Points {
		s := section{Title: strings.Join(factors, ", ")}
		for _, r := range rows {
			if r.Point == point {
				s.Rows = append(s.Rows, r)
			}
		}
		if s.Plots, err = pointPlots(h, runs, point); err != nil {
			return err
		}
		data.Sections = append(data.Sections, s)
	}
	return pageTemplate.Execute(out, data)
}

// violations returns the violations of all runs, at most maxViolations.
func violations(h experiment.Header, runs []experiment.Run) (list []violation) {
	for _, r := range runs {
		for _, text := range r.Result.Violations {
			if len(list) == maxViolations {
				return list
			}
			run := fmt.Sprintf("%s, seed %d, %s", r.Policy, r.Seed, strings.Join(h.Points[r.Point], ", "))
			list = append(list, violation{strings.TrimSuffix(run, ", "), text})
		}
	}
	return list
}
