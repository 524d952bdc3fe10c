// Command hazelwing is a client-side load balancer. Without arguments, or as "hazelwing run", it is the daemon, which
// runs beside an application, receives the application's requests at RELAY_LISTEN and forwards them to upstreams.
// "hazelwing help" lists the other commands.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		printf(os.Stderr, "hazelwing: %v\n", err)
		os.Exit(exitStatus(err))
	}
}

// newRootCommand returns the root command with all subcommands.
func newRootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "hazelwing",
		Short: "A client-side load balancer",
		Long: `hazelwing is a client-side load balancer. ` +
			`Without a command it runs the daemon, like "hazelwing run".`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runDaemon(runOptions{operatorFile: os.Getenv(operatorVariable)})
		},
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(
		newRunCommand(),
		newDemoCommand(),
		newTrafficCommand(),
		newCheckCommand(),
		newStoreCommand(),
		newLoadCommand(),
		newFleetCommand(),
		newConfigCommand(),
		newOriginCommand(),
	)
	c.AddCommand(optionalCommands()...)
	return c
}

// printHelp prints the help of a command that only groups subcommands.
func printHelp(cmd *cobra.Command, _ []string) error { return cmd.Help() }
