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

// operatorVariable names the operator's file where no flag does.
const operatorVariable = "HAZELWING_OPERATOR"

func runCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon, as the platform's RELAY_ variables say",
		Long: `Run the daemon: it serves the application beside it at RELAY_LISTEN and sends its requests on to upstreams, as the
JSON file says that RELAY_CONFIG names. It ends with status 0 after SIGTERM or SIGINT, and with status 1 and one line on
standard error when it cannot start or serve. On SIGHUP it reads its configuration again.

What is beyond the platform's configuration, such as the ledger of effects, is set in the operator's file (--operator, or
the variable HAZELWING_OPERATOR). Without one all of it is off.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(file) },
	}
	c.Flags().StringVar(&file, "operator", os.Getenv(operatorVariable), "the operator's file")
	return c
}

// run is the daemon; file is the operator's, empty for none.
func run(file string) error {
	// Before all else: a signal that comes early would end the program. One that waits stands for all that follow.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	op := new(operator.Config)
	if file != "" {
		if op, err = operator.Load(file); err != nil {
			return err
		}
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := func() (*platform.Config, error) { return platform.Reload(os.Getenv) }
	return daemon.Run(ctx, cfg, op, reload, again, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
