//go:build !small

package main

import (
	"errors"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/experiment"
)

// labDir is the default directory for the files of runs.
const labDir = "logs/lab"

// labGCPercent is the growth of the heap between two collections, in per cent of the live heap.
const labGCPercent = 400

var errClaim = errors.New("a claim does not hold")

func newLabCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Run experiments with simulated fleets and check their claims",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
		PersistentPreRun: func(*cobra.Command, []string) {
			// Simulations have small heaps and produce much garbage. Fewer collections make them twice as fast, at the
			// cost of some tens of MB of memory.
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(labGCPercent)
			}
		},
	}
	c.AddCommand(
		newLabRunCommand(),
		newLabCheckCommand(),
		newLabListCommand(),
		newLabShowCommand(),
		newLabCompareCommand(),
		newLabReportCommand(),
		newLabHuntCommand(),
		newLabFleetCommand(),
		newLabCapacityCommand(),
		newLabSlopesCommand(),
		newLabCallgraphCommand(),
	)
	return c
}

// printClaims prints a line for each claim and reports whether all claims hold.
func printClaims(out io.Writer, verdicts []experiment.Verdict) bool {
	allHold := true
	for _, v := range verdicts {
		result := "holds"
		if !v.Holds {
			result = "FAILS"
			allHold = false
		}
		printf(out, "  %s  %s (on %s: %d of %d; worst %s)\n", result, v.Text, v.Scope, v.HoldsOn, v.Total, v.Worst)
	}
	return allHold
}

// tableMeasures returns the names of the measures that have a column in the table of a run.
func tableMeasures() []string {
	return []string{
		"service", "worst", "recovered", "p50", "p99", "refused", "failed", "attempts", "wasted", "conns", "imbalance",
	}
}

// printRunTable prints the table of a run, which has a row for each point and contestant.
func printRunTable(out io.Writer, header experiment.Header, runs []experiment.Run) error {
	measures := tableMeasures()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf(table, "contestant\t%s\tleast\tmost\t\n", strings.Join(measures, "\t"))
	point := -1
	for _, summary := range experiment.Summarise(header, runs) {
		if summary.Point != point && len(header.Points) > 1 {
			printf(table, "%s\t\n", strings.Join(header.Points[summary.Point], ", "))
		}
		point = summary.Point
		printf(table, "%s\t", summary.Policy)
		for _, measure := range measures {
			printf(table, "%.4g\t", summary.Mean[measure])
		}
		printf(table, "%.3f\t%.3f\t", summary.MinService, summary.MaxService)
		if summary.SeedsWithViolations > 0 {
			printf(table, "BROKE A RULE on %d seeds", summary.SeedsWithViolations)
		}
		printLine(table)
	}
	return table.Flush()
}
