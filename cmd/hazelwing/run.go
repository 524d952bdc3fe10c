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

// operatorVariable is the environment variable that holds the default path of the operator's file.
const operatorVariable = "HAZELWING_OPERATOR"

func newRunCommand() *cobra.Command {
	var options runOptions
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon, configured by the platform's RELAY_ variables",
		Long: `Run the daemon. It serves the application beside it at RELAY_LISTEN and forwards its requests to
upstreams, as configured in the JSON file that RELAY_CONFIG names. It exits with status 0 after SIGTERM or SIGINT, and
with status 1 and one line on standard error if it cannot start or serve. On SIGHUP it reloads its configuration.

Features that the platform's configuration does not cover, such as the idempotency ledger, are set in the operator's
file (--operator, or the variable HAZELWING_OPERATOR). Without this file they are off.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runDaemon(options) },
	}
	c.Flags().BoolVar(&options.trace, "trace", false,
		"log each attempt, each result with its reason, and each closed connection")
	c.Flags().StringVar(&options.operatorFile, "operator", os.Getenv(operatorVariable),
		"path of the operator's file (or HAZELWING_OPERATOR)")
	return c
}

// runOptions are the options of the command "run".
type runOptions struct {
	operatorFile string // path of the operator's file; empty if there is none
	trace        bool   // log at debug level
}

// runDaemon runs the daemon until SIGTERM or SIGINT.
func runDaemon(options runOptions) error {
	// SIGHUP is caught before anything else is done, because its default action would end the program. The channel
	// holds one signal: until the daemon receives this signal, further signals would request the same reload.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	platformConfig, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	operatorConfig := new(operator.Config)
	if options.operatorFile != "" {
		if operatorConfig, err = operator.Load(options.operatorFile); err != nil {
			return err
		}
	}
	platformConfig.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloadConfig := func() (*platform.Config, error) { return platform.Reload(os.Getenv) }
	level := slog.LevelInfo
	if options.trace {
		level = slog.LevelDebug
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return daemon.Run(ctx, platformConfig, operatorConfig, reload, reloadConfig, logger)
}
