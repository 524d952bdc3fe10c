package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/operator"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check an operator's file, and name each line that cannot be used",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var first error
			for _, path := range args {
				op, err := operator.Load(path)
				if err == nil {
					err = daemon.Check(op)
				}
				if err != nil {
					if first != nil {
						fmt.Fprintln(cmd.ErrOrStderr(), first)
					}
					first = err
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
			}
			return first
		},
	}
}
