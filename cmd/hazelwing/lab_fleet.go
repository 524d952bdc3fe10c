//go:build !small

package main

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/fleetsim"
)

func newLabFleetCommand() *cobra.Command {
	const short = "Simulate the membership protocol of the sidecars, and plain SWIM and heartbeats for comparison; " +
		"status 1 if a claim does not hold"
	return newExperimentsCommand("fleet FILE...", short, runFleetExperiment)
}

// runFleetExperiment runs the experiment in a file. The error wraps errClaim if a claim does not hold.
func runFleetExperiment(out io.Writer, path string, cores int) error {
	e, err := fleetsim.ReadExperiment(path)
	if err != nil {
		return err
	}
	printf(out, "%s: %s\n", path, e.Question)
	points := e.Run(cores)
	if err := fleetsim.WriteTable(out, points); err != nil {
		return err
	}
	if err := e.Judge(points); err != nil {
		return errors.Join(errClaim, err)
	}
	return nil
}
