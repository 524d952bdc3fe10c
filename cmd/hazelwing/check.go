package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/operator"
)

// checkCommand returns the command that checks operator's files.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check an operator's file, and name each line that cannot be used",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkFiles(args, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
}

// checkFiles checks each file. It writes the errors to errOut but the last one, which it returns, so that the command
// prints it like any other error.
func checkFiles(paths []string, out, errOut io.Writer) error {
	var last error
	for _, path := range paths {
		err := checkFile(path)
		if err == nil {
			_, _ = fmt.Fprintf(out, "%s: good\n", path)
			continue
		}
		if last != nil {
			_, _ = fmt.Fprintln(errOut, last)
		}
		last = err
	}
	return last
}

// checkFile checks an operator's file and the files that it names.
func checkFile(path string) error {
	op, err := operator.Load(path)
	if err != nil {
		return err
	}
	return daemon.Check(op)
}
