// Command hazelwing is one sidecar: it serves the application beside it at RELAY_LISTEN and sends its requests on
// to upstreams. It ends with status 0 after SIGTERM or SIGINT, and with status 1 and one line on standard error when
// it cannot start or serve. On SIGHUP it reads its configuration again.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"hazelwing/internal/daemon"
	"hazelwing/internal/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "hazelwing:", err)
		os.Exit(1)
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
