//go:build !small

package main

import (
	"errors"
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/fleetsim"
)

func labFleet() *cobra.Command {
	var cores int
	c := &cobra.Command{
		Use:   "fleet FILE...",
		Short: "Play the sidecars' view of each other in simulated time, beside plain SWIM and heartbeats; status 1 where a claim does not hold",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []error
			for _, path := range args {
				e, err := fleetsim.ReadExperiment(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, e.Question)
				points := e.Play(cores)
				if err := fleetsim.Show(cmd.OutOrStdout(), points); err != nil {
					return err
				}
				if err := e.Judge(points); err != nil {
					all = append(all, errClaim, err)
				}
			}
			return errors.Join(all...)
		},
	}
	c.Flags().IntVar(&cores, "cores", runtime.NumCPU(), "points that are played at a time")
	return c
}
