//go:build !small

package main

import (
	"errors"
	"io"
	"runtime"

	"github.com/spf13/cobra"
)

// runExperiment runs the experiment in a file on a number of cores. The error wraps errClaim if a claim does not hold.
type runExperiment func(out io.Writer, path string, cores int) error

// newExperimentsCommand returns a command that runs the experiments in files, one after another. The command continues
// after an experiment with a claim that does not hold, and stops at any other error.
func newExperimentsCommand(use, short string, run runExperiment) *cobra.Command {
	var cores int
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var failedClaims []error
			for _, path := range args {
				err := run(cmd.OutOrStdout(), path, cores)
				if err != nil && !errors.Is(err, errClaim) {
					return err
				}
				failedClaims = append(failedClaims, err)
			}
			return errors.Join(failedClaims...)
		},
	}
	c.Flags().IntVar(&cores, "cores", runtime.NumCPU(), "number of points that are simulated at the same time")
	return c
}
