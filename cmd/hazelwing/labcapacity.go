//go:build !small

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/capacity"
)

// capacityMemory is from where the collector works harder. Guards against hundreds of queues that fill while the process is short of a
// processor.
const capacityMemory = 6 << 30

func labCapacity() *cobra.Command {
	var out string
	var sizes []int
	c := &cobra.Command{
		Use:   "capacity FILE...",
		Short: "Measure what control costs each role in fleets of growing size, on real sockets; status 1 where a claim does not hold",
		Long: `Play experiments with sidecars without traffic, hundreds in this process, and write what was measured as JSON, a row a figure.
Counts do not depend on the machine; times and processor time do: it should do nothing else meanwhile.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if os.Getenv("GOGC") == "" { // the daemon's own, and not the lab's: memory is measured
				debug.SetGCPercent(100)
			}
			debug.SetMemoryLimit(capacityMemory)
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			var all []error
			var results []capacity.Result
			for _, path := range args {
				e, err := capacity.ReadExperiment(path)
				if err != nil {
					return err
				}
				if len(sizes) > 0 {
					e.Sizes = sizes
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, e.Question)
				mine := len(results)
				for _, size := range e.Sizes {
					list, err := e.Play(ctx, size, func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) })
					results = append(results, list...)
					if out != "" { // what was measured stays, whatever comes
						if err := save(out, results); err != nil {
							return err
						}
					}
					if err != nil {
						return err
					}
				}
				if err := capacity.Show(cmd.OutOrStdout(), results[mine:]); err != nil {
					return err
				}
				if err := e.Judge(results[mine:]); err != nil {
					all = append(all, errClaim, err)
				}
			}
			return errors.Join(all...)
		},
	}
	c.Flags().StringVar(&out, "out", "", "file for the results, in which those of other experiments and sizes stay; none: they are shown alone")
	c.Flags().IntSliceVar(&sizes, "sizes", nil, "members, in place of the files' sizes")
	return c
}

// save writes results, in place of those in the file that are of the same experiment and size.
func save(path string, list []capacity.Result) error {
	old, err := capacity.Read(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := errors.Join(capacity.Write(f, capacity.Replace(old, list)), f.Chmod(0o644), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
