//go:build !small

package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"hazelwing/internal/simulation/experiment"
)

// defaultExperimentDir is the directory that "lab list" lists by default.
const defaultExperimentDir = "lab"

func newLabCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiment files and report what is invalid",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var errs []error
			for _, path := range args {
				e, err := experiment.Load(path)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				printf(cmd.OutOrStdout(), "%s: %d points, %d seeds, %d contestants, %d claims\n",
					path, len(e.Points), e.Seeds, len(e.Policies), len(e.Claims))
			}
			return errors.Join(errs...)
		},
	}
}

func newLabListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list [DIR]",
		Short: "List the experiments of a directory with their questions",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := defaultExperimentDir
			if len(args) > 0 {
				dir = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return fmt.Errorf("%s: cannot list the experiments: %w", dir, err)
			}
			if len(paths) == 0 {
				return fmt.Errorf("%s: there are no experiments (*.toml)", dir)
			}
			table := newTable(cmd.OutOrStdout())
			for _, path := range paths {
				e, err := experiment.Load(path)
				if err != nil {
					return err
				}
				printf(table, "%s\t%s\n", path, e.Question)
			}
			return table.Flush()
		},
	}
}
