package main

import (
	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/operator"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator's files and report each invalid line",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lastErr error // main prints the last error; earlier errors are printed in the loop
			for _, path := range args {
				err := checkOperatorFile(path)
				if err == nil {
					printf(cmd.OutOrStdout(), "%s: good\n", path)
					continue
				}
				if lastErr != nil {
					printLine(cmd.ErrOrStderr(), lastErr)
				}
				lastErr = err
			}
			return lastErr
		},
	}
}

func checkOperatorFile(path string) error {
	config, err := operator.Load(path)
	if err != nil {
		return err
	}
	return daemon.Check(config)
}
