//go:build !small

package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/callgraph"
)

func newLabCallgraphCommand() *cobra.Command {
	const short = "Simulate deep graphs of services that call each other, while a leaf fails or is slow; " +
		"status 1 if a claim does not hold"
	return newExperimentsCommand("callgraph FILE...", short, runCallgraphExperiment)
}

// runCallgraphExperiment runs the experiment in a file. The error wraps errClaim if a claim does not hold.
func runCallgraphExperiment(out io.Writer, path string, cores int) error {
	e, err := callgraph.ReadExperiment(path)
	if err != nil {
		return err
	}
	printf(out, "%s: %s\n", path, e.Question)
	points, err := e.Run(cores)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := callgraph.WriteTables(out, points); err != nil {
		return err
	}
	if err := e.Judge(points); err != nil {
		return errors.Join(errClaim, fmt.Errorf("%s: %w", path, err))
	}
	return nil
}
