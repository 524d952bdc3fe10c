// Command hazelwing is a client-side load balancer. Without arguments, or as "hazelwing run", it is the daemon: it
// serves the application beside it at RELAY_LISTEN and sends its requests on to upstreams. "hazelwing help" lists the
// other commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hazelwing:", err)
		status := 1
		if exitErr, ok := errors.AsType[exitError](err); ok {
			status = exitErr.status
		}
		os.Exit(status)
	}
}

// exitError is an error with which the program exits with another status than 1.
type exitError struct {
	err    error
	status int
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error.
func (e exitError) Unwrap() error { return e.err }

// optionalCommands are the commands that a build with the tag "small" leaves out: the lab, whose plots and their fonts
// make up half of the program.
var optionalCommands []func() *cobra.Command

// newRootCommand returns the whole command line; each command has a file of its own.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "hazelwing",
		Short: "A client-side load balancer",
		Long: "hazelwing balances requests on the client's side. " +
			"Without a command it is the daemon, as with \"run\".",
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return run(os.Getenv(operatorVariable)) },
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		runCommand(),
		demoCommand(),
		trafficCommand(),
		checkCommand(),
		storeCommand(),
		loadCommand(),
		fleetCommand(),
		configCommand(),
		originCommand(),
	)
	for _, newCommand := range optionalCommands {
		root.AddCommand(newCommand())
	}
	return root
}
