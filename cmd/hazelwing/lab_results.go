//go:build !small

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/report"
)

func newLabShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show RUN",
		Short: "Show the table of a run and its rule violations",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			header, runs, err := experiment.ReadResults(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			printf(out, "%s: %s\nexperiment %s, commit %s, %s\n",
				header.Name, header.Question, header.Hash, header.Program, header.GoVersion)
			for _, run := range runs {
				printViolations(out, header, run)
			}
			_ = printRunTable(out, header, runs) // a failed write does not fail the command, as with printf
			return nil
		},
	}
}

// printViolations prints a line for each rule violation in a run.
func printViolations(out io.Writer, header experiment.Header, run experiment.Run) {
	point := ""
	if values := header.Points[run.Point]; len(values) > 0 {
		point = ", " + strings.Join(values, ", ")
	}
	for _, violation := range run.Result.Violations {
		printf(out, "rule broken: %s, seed %d%s: %s\n", run.Policy, run.Seed, point, violation)
	}
}

func newLabCompareCommand() *cobra.Command {
	var measures []string
	var asJSON bool
	c := &cobra.Command{
		Use:   "compare RUN RUN",
		Short: "Compare two runs of the same points and seeds, and tell differences from noise",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			leftHeader, left, err := experiment.ReadResults(args[0])
			if err != nil {
				return err
			}
			rightHeader, right, err := experiment.ReadResults(args[1])
			if err != nil {
				return err
			}
			differences, err := experiment.Compare(leftHeader, left, rightHeader, right, measures)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), differences)
			}
			return printDifferences(cmd.OutOrStdout(), leftHeader, differences)
		},
	}
	c.Flags().StringSliceVar(&measures, "measure", []string{"service", "p99", "attempts"}, "measures to compare")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printDifferences(out io.Writer, header experiment.Header, differences []experiment.Difference) error {
	table := newTable(out)
	printLine(table, "POINT\tCONTESTANT\tMEASURE\tLEFT\tRIGHT\tDIFFERENCE\t95% INTERVAL\t")
	for _, d := range differences {
		result := "noise"
		if d.Differs {
			result = "differs"
		}
		printf(table, "%s\t%s\t%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n",
			strings.Join(header.Points[d.Point], ", "), d.Policy, d.Measure,
			d.Left, d.Right, d.Mean, d.Low, d.High, result)
	}
	return table.Flush()
}

func newLabReportCommand() *cobra.Command {
	var outPath string
	c := &cobra.Command{
		Use:   "report RUN",
		Short: "Write a run's report: one HTML file with tables and plots",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			header, runs, err := experiment.ReadResults(args[0])
			if err != nil {
				return err
			}
			if outPath == "" {
				outPath = strings.TrimSuffix(args[0], ".jsonl") + ".html"
			}
			file, err := os.Create(outPath)
			if err != nil {
				return err
			}
			if err := errors.Join(report.Write(file, header, runs), file.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), outPath)
			return err
		},
	}
	c.Flags().StringVar(&outPath, "out", "", "file for the report; empty: the name of the run with the extension .html")
	return c
}
