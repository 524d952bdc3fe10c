//go:build !small

package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/capacity"
)

const (
	// capacityMemoryLimit is the memory use in bytes near which the garbage collector runs more often. This prevents
	// hundreds of queues from filling the memory while the process is short of processor time.
	capacityMemoryLimit = 6 << 30

	// capacityGCPercent is the garbage collector's target percentage (GOGC) in capacity experiments, the same as in the
	// daemon. These experiments measure memory, which labGCPercent would increase.
	capacityGCPercent = 100

	resultsFileMode = 0o644
)

// capacityRun runs capacity experiments and collects their results.
type capacityRun struct {
	out      io.Writer
	progress io.Writer
	outPath  string // file for the results; empty: they are only printed
	sizes    []int  // sizes to run; empty: the sizes in the experiment's file
	results  []capacity.Result
}

func newLabCapacityCommand() *cobra.Command {
	var run capacityRun
	c := &cobra.Command{
		Use: "capacity FILE...",
		Short: "Measure the cost of the control plane for each role in fleets of growing size, on real sockets; " +
			"status 1 if a claim does not hold",
		Long: `Run experiments with hundreds of sidecars without traffic, all in this process, and write the results
as JSON, one row per figure. Counts do not depend on the machine, but times and processor time do: the machine should
be otherwise idle.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(capacityGCPercent)
			}
			debug.SetMemoryLimit(capacityMemoryLimit)
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			run.out, run.progress = cmd.OutOrStdout(), cmd.ErrOrStderr()
			var failedClaims []error
			for _, path := range args {
				err := run.runFile(ctx, path)
				if err != nil && !errors.Is(err, errClaim) {
					return err
				}
				failedClaims = append(failedClaims, err)
			}
			return errors.Join(failedClaims...)
		},
	}
	c.Flags().StringVar(&run.outPath, "out", "",
		"file for the results, which keeps those of other experiments and sizes; empty: results are only printed")
	c.Flags().IntSliceVar(&run.sizes, "sizes", nil, "numbers of members that replace the sizes in the files")
	return c
}

// runFile runs the experiment in a file. The error wraps errClaim if a claim does not hold.
func (r *capacityRun) runFile(ctx context.Context, path string) error {
	e, err := capacity.ReadExperiment(path)
	if err != nil {
		return err
	}
	if len(r.sizes) > 0 {
		e.Sizes = r.sizes
	}
	printf(r.out, "%s: %s\n", path, e.Question)
	first := len(r.results)
	for _, size := range e.Sizes {
		if err := r.runSize(ctx, e, size); err != nil {
			return err
		}
	}
	if err := capacity.WriteTable(r.out, r.results[first:]); err != nil {
		return err
	}
	if err := e.Judge(r.results[first:]); err != nil {
		return errors.Join(errClaim, err)
	}
	return nil
}

// runSize runs an experiment at one size. After an error it still writes the results that were measured before.
func (r *capacityRun) runSize(ctx context.Context, e *capacity.Experiment, size int) error {
	results, runErr := e.Run(ctx, size, func(format string, args ...any) {
		printf(r.progress, format+"\n", args...)
	})
	r.results = append(r.results, results...)
	if r.outPath != "" {
		if err := saveResults(r.outPath, r.results); err != nil {
			return err
		}
	}
	return runErr
}

// saveResults writes results to a file, in which they replace earlier results of the same experiment and size.
func saveResults(path string, results []capacity.Result) error {
	saved, err := capacity.ReadResults(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails if the file has been renamed
	err = errors.Join(
		capacity.WriteResults(file, capacity.Replace(saved, results)),
		file.Chmod(resultsFileMode),
		file.Close(),
	)
	if err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}
