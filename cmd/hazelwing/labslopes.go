//go:build !small

package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/capacity"
	"hazelwing/internal/simulation/slope"
)

var errForecast = errors.New("a fit of the smaller sizes does not predict the larger ones")

func labSlopes() *cobra.Command {
	var upTo int
	var within float64
	var figures, phases []string
	c := &cobra.Command{
		Use:   "slopes FILE...",
		Short: "Fit how each figure of capacity's results grows with the members; status 1 where small sizes do not predict large ones",
		Long: `Fit each figure of each role and phase, by least squares, as a constant, a part that grows with log n and one that grows
with n. A fit of the sizes up to --to has to predict each larger size within --within of what was measured there.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var rows []capacity.Result
			for _, path := range args {
				list, err := capacity.Read(path)
				if err != nil {
					return err
				}
				rows = append(rows, list...)
			}
			rows = slices.DeleteFunc(rows, func(r capacity.Result) bool {
				return len(figures) > 0 && !slices.Contains(figures, r.Figure) || len(phases) > 0 && !slices.Contains(phases, r.Phase)
			})
			return slopes(cmd.OutOrStdout(), rows, upTo, within)
		},
	}
	f := c.Flags()
	f.IntVar(&upTo, "to", 295, "the largest size that the prediction rests on")
	f.Float64Var(&within, "within", 0.15, "how far from what was measured a prediction may be, as a share of it")
	f.StringSliceVar(&figures, "figure", nil, "these figures only")
	f.StringSliceVar(&phases, "phase", nil, "these phases only")
	return c
}

// series is which figure, whose, and when.
type series struct{ experiment, phase, role, figure, unit string }

// slopes prints a row for each series, in the order in which they come, and fails where a prediction is further off than within.
func slopes(out io.Writer, rows []capacity.Result, upTo int, within float64) error {
	var order []series
	points := map[series][]slope.Point{}
	for _, r := range rows {
		s := series{r.Experiment, r.Phase, r.Role, r.Figure, r.Unit}
		if points[s] == nil {
			order = append(order, s)
		}
		points[s] = append(points[s], slope.Point{Size: r.Size, Value: r.Value})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "EXPERIMENT\tPHASE\tROLE\tFIGURE\tUNIT\tFIT TO %d\tOFF BY\tPREDICTED (MEASURED)\t\tFIT OF ALL\tOFF BY\n", upTo)
	var missed []string
	for _, s := range order {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t", s.experiment, s.phase, s.role, s.figure, s.unit)
		fit, list, err := slope.Hold(points[s], upTo)
		if err != nil {
			fmt.Fprintf(w, "-\t-\t%v\t\t", err)
		} else {
			fmt.Fprintf(w, "%v\t%s\t", fit, residualOf(fit))
			var told, word []string
			for _, f := range list {
				told = append(told, fmt.Sprintf("%d: %.4g (%.4g)", f.Size, f.Predicted, f.Measured))
				if off := f.Off(); math.Abs(off) > within {
					word = append(word, fmt.Sprintf("%+.0f %%", 100*off))
				}
			}
			verdict := "holds"
			switch {
			case list == nil:
				verdict = "no larger size"
			case word != nil:
				verdict = "MISSES " + strings.Join(word, ", ")
				missed = append(missed, strings.Join([]string{s.experiment, s.phase, s.role, s.figure}, " "))
			}
			fmt.Fprintf(w, "%s\t%s\t", strings.Join(told, ", "), verdict)
		}
		if all, err := slope.New(points[s]); err != nil {
			fmt.Fprintln(w, "-\t-")
		} else {
			fmt.Fprintf(w, "%v\t%s\n", all, residualOf(all))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if missed != nil {
		return fmt.Errorf("%w within %.0f %%: %s", errForecast, 100*within, strings.Join(missed, "; "))
	}
	return nil
}

// residualOf is a fit's largest residual, and whether that is more than noise.
func residualOf(f slope.Fit) string {
	if f.Loose {
		return fmt.Sprintf("%.1f %%, no such model", 100*f.Residual)
	}
	return fmt.Sprintf("%.1f %%", 100*f.Residual)
}
