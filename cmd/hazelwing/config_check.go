package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane"
)

func newConfigCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration snapshots and report each invalid line",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var errs []error
			for _, path := range args {
				if _, err := readSnapshot(path); err != nil {
					errs = append(errs, err)
					continue
				}
				printf(cmd.OutOrStdout(), "%s: good\n", path)
			}
			return errors.Join(errs...)
		},
	}
}

// readSnapshot reads a snapshot from a file and validates it. Each line of a validation error begins with the path.
func readSnapshot(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > controlplane.MaxSnapshotSize {
		return nil, fmt.Errorf("%s:1:1: the snapshot has %d bytes, want at most %d",
			path, info.Size(), controlplane.MaxSnapshotSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := controlplane.ParseSnapshot(text); err != nil {
		return nil, errors.New(path + ":" + strings.ReplaceAll(err.Error(), "\n", "\n"+path+":"))
	}
	return text, nil
}
