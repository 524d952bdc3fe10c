package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

// operatorVariable is the environment variable that names the operator's file where no flag does.
const operatorVariable = "HAZELWING_OPERATOR"

// runHelp is the long help of the command "run".
const runHelp = "Run the daemon: it serves the application beside it at RELAY_LISTEN " +
	"and sends its requests on to upstreams, as the\n" +
	"JSON file says that RELAY_CONFIG names. It ends with status 0 after SIGTERM or SIGINT, " +
	"and with status 1 and one line on\n" +
	"standard error when it cannot start or serve. On SIGHUP it reads its configuration again.\n\n" +
	"What is beyond the platform's configuration, such as the ledger of effects, " +
	"is set in the operator's file (--operator, or\n" +
	"the variable HAZELWING_OPERATOR). Without one all of it is off."

// runCommand returns the command that runs the daemon.
func runCommand() *cobra.Command {
	var operatorFile string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon, as the platform's RELAY_ variables say",
		Long:  runHelp,
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return run(operatorFile) },
	}
	c.Flags().StringVar(&operatorFile, "operator", os.Getenv(operatorVariable), "the operator's file")
	return c
}

// run runs the daemon. An empty operatorFile stands for none.
func run(operatorFile string) error {
	// This comes first, because an early SIGHUP would end the program. A signal that waits in the channel stands for
	// all that follow it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	op := new(operator.Config)
	if operatorFile != "" {
		if op, err = operator.Load(operatorFile); err != nil {
			return err
		}
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	load := func() (*platform.Config, error) { return platform.Reload(os.Getenv) }
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	return daemon.Run(ctx, cfg, op, reload, load, log)
}
