package sidecar

import (
	"context"
	"os"
)

// New configurations. Of these only discovery's address is taken over: the rest is settled at the start.

// reloads reads the configuration again for each signal, until ctx ends: away from the loop, which does not wait for
// files. One that cannot be used is logged, and the old one stays.
func (l *loop) reloads(ctx context.Context, signals <-chan os.Signal, again func() (*Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg, err := again()
		if err != nil {
			l.log.Error("the new configuration cannot be used: the old one stays", "err", err)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case l.events <- moved{cfg.Discovery}:
		}
	}
}
