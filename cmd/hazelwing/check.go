package main

import (
	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/operator"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check an operator's file, and name each line that cannot be used",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var latest error // printed by main; those before it are printed here
			for _, path := range args {
				err := checkOperatorFile(path)
				if err == nil {
					printf(cmd.OutOrStdout(), "%s: good\n", path)
					continue
				}
				if latest != nil {
					printLine(cmd.ErrOrStderr(), latest)
				}
				latest = err
			}
			return latest
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
