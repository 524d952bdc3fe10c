//go:build !small

package main

import (
	"errors"
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/callgraph"
)

func labCallgraph() *cobra.Command {
	var cores int
	c := &cobra.Command{
		Use:   "callgraph FILE...",
		Short: "Play services that call each other many deep, in simulated time, while a leaf fails or is slow; status 1 where a claim does not hold",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []error
			for _, path := range args {
				e, err := callgraph.ReadExperiment(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, e.Question)
				points, err := e.Play(cores)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				if err := callgraph.Show(cmd.OutOrStdout(), points); err != nil {
					return err
				}
				if err := e.Judge(points); err != nil {
					all = append(all, errClaim, fmt.Errorf("%s: %w", path, err))
				}
			}
			return errors.Join(all...)
		},
	}
	c.Flags().IntVar(&cores, "cores", runtime.NumCPU(), "points that are played at a time")
	return c
}
