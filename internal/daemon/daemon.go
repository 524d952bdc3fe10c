// Package daemon is the sidecar as one program: the HTTP front, the engine, the HTTP transport and the platform's
// discovery, put together by what the platform's configuration says.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"

	"hazelwing/internal/engine"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/membership/watch"
	"hazelwing/internal/platform"
	"hazelwing/internal/transport/http1"
)

// sidecar is the parts of a running one.
type sidecar struct {
	engine *engine.Engine
	pool   *http1.Pool
	front  *httpfront.Server
	log    *slog.Logger
}

func build(cfg *platform.Config, log *slog.Logger) (*sidecar, error) {
	set := cfg.Settings.Settings()
	pool := http1.New(http1.Config{Connect: set.ConnectTimeout, Idle: cfg.Settings.ConnIdle(),
		Grace: cfg.Settings.DrainGrace(), Conns: cfg.Limits.UpstreamConns(), Answer: cfg.Limits.Answer()})
	known, odd := cfg.Known.Members()
	if odd != nil {
		log.Warn("an entry of the list", "err", odd)
	}
	e, err := engine.New(engine.Config{Settings: set, Seed: uint64(cfg.Seed), Transport: pool,
		Source: watch.New(cfg.Discovery, log), Known: engine.News{Seq: cfg.Known.Seq, Members: known}, Log: log})
	if err != nil {
		return nil, err
	}
	return &sidecar{engine: e, pool: pool, front: httpfront.New(e, set.Classes), log: log}, nil
}

// Run serves until ctx ends, and then until everything that was taken is answered. For each signal in reload it calls
// again for the configuration.
func Run(ctx context.Context, cfg *platform.Config, reload <-chan os.Signal, again func() (*platform.Config, error), log *slog.Logger) error {
	s, err := build(cfg, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { s.pool.Sweep(work) })
	parts.Go(func() { s.engine.Run(work) })
	parts.Go(func() { s.reloads(work, reload, again) })
	defer parts.Wait()
	defer end()
	return s.front.Serve(ctx, listener, cfg.Limits.ClientConns(), log)
}
