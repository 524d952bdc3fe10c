//go:build !small

package main

import (
	"errors"
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/fleetsim"
)

func newLabFleetCommand() *cobra.Command {
	var cores int
	c := &cobra.Command{
		Use: "fleet FILE...",
		Short: "Play the sidecars' view of each other in simulated time, beside plain SWIM and heartbeats; " +
			"status 1 where a claim does not hold",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var failedClaims []error
			for _, path := range args {
				err := playFleetExperiment(cmd.OutOrStdout(), path, cores)
				if err != nil && !errors.Is(err, errClaim) {
					return err
				}
				failedClaims = append(failedClaims, err)
			}
			return errors.Join(failedClaims...)
		},
	}
	c.Flags().IntVar(&cores, "cores", runtime.NumCPU(), "points that are played at a time")
	return c
}

// playFleetExperiment plays the experiment of a file. An error that wraps errClaim says that a claim does not hold.
func playFleetExperiment(out io.Writer, path string, cores int) error {
	e, err := fleetsim.ReadExperiment(path)
	if err != nil {
		return err
	}
	printf(out, "%s: %s\n", path, e.Question)
	points := e.Play(cores)
	if err := fleetsim.Show(out, points); err != nil {
		return err
	}
	if err := e.Judge(points); err != nil {
		return errors.Join(errClaim, err)
	}
	return nil
}
