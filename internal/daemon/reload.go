package daemon

import (
	"context"
	"os"

	"hazelwing/internal/engine"
	"hazelwing/internal/membership/watch"
	"hazelwing/internal/platform"
)

// New configurations. Of these only discovery's address is taken over: the rest is settled at the start.

// reloads reads the configuration again for each signal, until ctx ends: away from the engine, which does not wait for
// files. One that cannot be used is logged, and the old one stays.
func (s *sidecar) reloads(ctx context.Context, signals <-chan os.Signal, again func() (*platform.Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg, err := again()
		if err != nil {
			s.log.Error("the new configuration cannot be used: the old one stays", "err", err)
			continue
		}
		s.log.Info("discovery", "addr", cfg.Discovery)
		var source engine.Source = watch.New(cfg.Discovery, s.asked, s.log)
		if s.list != nil {
			s.list.Move(source)
			source = s.list
		}
		if s.members != nil {
			s.members.Move(source)
			source = s.members
		}
		s.engine.Move(source)
	}
}
