//go:build !small

package main

import (
	"errors"
	"fmt"
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/callgraph"
)

func newLabCallgraphCommand() *cobra.Command {
	var cores int
	c := &cobra.Command{
		Use: "callgraph FILE...",
		Short: "Play services that call each other many deep, in simulated time, while a leaf fails or is slow; " +
			"status 1 where a claim does not hold",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var failedClaims []error
			for _, path := range args {
				err := playCallgraphExperiment(cmd.OutOrStdout(), path, cores)
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

// playCallgraphExperiment plays the experiment of a file. An error that wraps errClaim says that a claim does not hold.
func playCallgraphExperiment(out io.Writer, path string, cores int) error {
	e, err := callgraph.ReadExperiment(path)
	if err != nil {
		return err
	}
	printf(out, "%s: %s\n", path, e.Question)
	points, err := e.Play(cores)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := callgraph.Show(out, points); err != nil {
		return err
	}
	if err := e.Judge(points); err != nil {
		return errors.Join(errClaim, fmt.Errorf("%s: %w", path, err))
	}
	return nil
}
