package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hazelwing/internal/daemon"
	"hazelwing/internal/platform"
)

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run",
		Short: "Run the daemon, as the platform's RELAY_ variables say",
		Long: `Run the daemon: it serves the application beside it at RELAY_LISTEN and sends its requests on to upstreams, as the
JSON file says that RELAY_CONFIG names. It ends with status 0 after SIGTERM or SIGINT, and with status 1 and one line on
standard error when it cannot start or serve. On SIGHUP it reads its configuration again.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run() },
	}
}

func run() error {
	// Before all else: a signal that comes early would end the program. One that waits stands for all that follow.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := func() (*platform.Config, error) { return platform.Reload(os.Getenv) }
	return daemon.Run(ctx, cfg, reload, again, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
