//go:build !small

package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/capacity"
	"hazelwing/internal/simulation/slope"
)

var errForecast = errors.New("a fit of the smaller sizes does not predict the larger ones")

type slopesOptions struct {
	maxFittedSize int     // largest size in the fit whose predictions are checked
	tolerance     float64 // maximum error of a prediction, as a fraction of the measured value
	figures       []string
	phases        []string
}

func newLabSlopesCommand() *cobra.Command {
	var options slopesOptions
	c := &cobra.Command{
		Use: "slopes FILE...",
		Short: "Fit the growth of each figure of capacity results with the number of members; " +
			"status 1 if small sizes do not predict large ones",
		Long: `Fit each figure of each role and phase, by least squares, as the sum of a constant, a part that is
proportional to log n and a part that is proportional to n, where n is the number of members. A fit to the sizes up to
--to has to predict the value that was measured at each larger size, with a relative error of at most --within.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := options.read(args)
			if err != nil {
				return err
			}
			return options.print(cmd.OutOrStdout(), groupBySeries(results))
		},
	}
	flags := c.Flags()
	flags.IntVar(&options.maxFittedSize, "to", 295, "largest size to which the predicting fit is made")
	flags.Float64Var(&options.tolerance, "within", 0.15,
		"maximum error of a prediction, as a fraction of the measured value")
	flags.StringSliceVar(&options.figures, "figure", nil, "figures to fit; empty: all")
	flags.StringSliceVar(&options.phases, "phase", nil, "phases to fit; empty: all")
	return c
}

// read returns the selected results of the files.
func (o *slopesOptions) read(paths []string) ([]capacity.Result, error) {
	var results []capacity.Result
	for _, path := range paths {
		list, err := capacity.ReadResults(path)
		if err != nil {
			return nil, err
		}
		results = append(results, list...)
	}
	isExcluded := func(r capacity.Result) bool {
		return len(o.figures) > 0 && !slices.Contains(o.figures, r.Figure) ||
			len(o.phases) > 0 && !slices.Contains(o.phases, r.Phase)
	}
	return slices.DeleteFunc(results, isExcluded), nil
}

// seriesKey identifies a figure that was measured at several sizes.
type seriesKey struct {
	experiment string
	phase      string
	role       string
	figure     string
	unit       string
}

type series struct {
	seriesKey
	points []slope.Point
}

// groupBySeries groups results into series, which are in the order of their first results.
func groupBySeries(results []capacity.Result) []*series {
	var order []*series
	byKey := map[seriesKey]*series{}
	for _, r := range results {
		key := seriesKey{experiment: r.Experiment, phase: r.Phase, role: r.Role, figure: r.Figure, unit: r.Unit}
		s := byKey[key]
		if s == nil {
			s = &series{seriesKey: key}
			byKey[key] = s
			order = append(order, s)
		}
		s.points = append(s.points, slope.Point{Size: r.Size, Value: r.Value})
	}
	return order
}

// print prints a row for each series. It returns an error that wraps errForecast if a prediction is out of tolerance.
func (o *slopesOptions) print(out io.Writer, list []*series) error {
	table := newTable(out)
	printf(table, "EXPERIMENT\tPHASE\tROLE\tFIGURE\tUNIT\t"+
		"FIT TO %d\tOFF BY\tPREDICTED (MEASURED)\t\tFIT OF ALL\tOFF BY\n", o.maxFittedSize)
	var missed []string
	for _, s := range list {
		printf(table, "%s\t%s\t%s\t%s\t%s\t", s.experiment, s.phase, s.role, s.figure, s.unit)
		if !o.printForecast(table, s.points) {
			missed = append(missed, strings.Join([]string{s.experiment, s.phase, s.role, s.figure}, " "))
		}
		printFitOfAll(table, s.points)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if missed != nil {
		return fmt.Errorf("%w within %.0f %%: %s", errForecast, 100*o.tolerance, strings.Join(missed, "; "))
	}
	return nil
}

// printForecast prints the columns of the fit to the sizes up to maxFittedSize, and the predictions of this fit for the
// larger sizes. It reports whether all predictions are within the tolerance; this is also so if there are none.
func (o *slopesOptions) printForecast(out io.Writer, points []slope.Point) bool {
	fit, forecasts, err := slope.Extrapolate(points, o.maxFittedSize)
	if err != nil {
		printf(out, "-\t-\t%v\t\t", err)
		return true
	}
	printf(out, "%v\t%s\t", fit, residualText(fit))
	var predicted, misses []string
	for _, f := range forecasts {
		predicted = append(predicted, fmt.Sprintf("%d: %.4g (%.4g)", f.Size, f.Predicted, f.Measured))
		if off := f.RelativeError(); math.Abs(off) > o.tolerance {
			misses = append(misses, fmt.Sprintf("%+.0f %%", 100*off))
		}
	}
	verdict := "holds"
	switch {
	case forecasts == nil:
		verdict = "no larger size"
	case misses != nil:
		verdict = "MISSES " + strings.Join(misses, ", ")
	}
	printf(out, "%s\t%s\t", strings.Join(predicted, ", "), verdict)
	return misses == nil
}

// printFitOfAll prints the last columns of a row, which describe the fit to all sizes.
func printFitOfAll(out io.Writer, points []slope.Point) {
	fit, err := slope.New(points)
	if err != nil {
		printLine(out, "-\t-")
		return
	}
	printf(out, "%v\t%s\n", fit, residualText(fit))
}

// residualText returns the largest residual of a fit as text, with a remark if it is larger than noise explains.
func residualText(fit slope.Fit) string {
	text := fmt.Sprintf("%.1f %%", 100*fit.Residual)
	if fit.ExceedsNoise {
		text += ", no such model"
	}
	return text
}
