// Package daemon is the sidecar as one program: the HTTP front, the engine, the HTTP transport and the platform's
// discovery, put together by what the platform's configuration says.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"

	"hazelwing/internal/admin"
	"hazelwing/internal/cluster/node"
	"hazelwing/internal/discovery/mergedsource"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/limits"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
	"hazelwing/internal/transport/http1"
)

// sidecar is the parts of a running one.
type sidecar struct {
	conns  int // of clients that may be held
	engine *engine.Engine
	pool   *http1.Pool
	bounds *limits.Set
	front  *httpfront.Server
	// members is discovery and the sources beside it; nil: there are none.
	members *mergedsource.Source
	list    *relay.Source            // discovery's list by way of the fleet; nil: from discovery alone
	fleet   *node.Node               // the other sidecars; nil: they are not known
	guard   *middleware.Deduplicator // nil: there is no ledger of effects
	admin   net.Listener             // nil: there is no endpoint
	extras  []*extra
	asked   bool // discovery is one service for all, and not an agent on this machine
	log     *slog.Logger

	// What may change while it runs; reload.go and distribution.go.
	changing     sync.Mutex
	platformAddr string // discovery's, as the platform says
	followed     string // discovery's that is followed
	config       *configPart
}

func build(cfg *platform.Config, op *operator.Config, log *slog.Logger) (_ *sidecar, err error) {
	set := cfg.Settings.Settings()
	var level *slog.LevelVar
	if op.ControlPlane != nil {
		log, level = levelledLog(log)
	}
	bounds := limits.NewSet(log)
	limits, err := cfg.Limits.ReserveDescriptors(descriptors(op))
	if err != nil {
		return nil, err
	}
	pool := http1.New(http1.Config{ConnectTimeout: set.ConnectTimeout, UpstreamIdleTimeout: cfg.Settings.IdleConnTimeout(),
		DrainGrace: cfg.Settings.DrainGrace(), MaxConns: limits.MaxUpstreamConns(), MaxResponseBytes: limits.MaxResponseBytes(),
		OnConnLimit: bounds.Add("connections to upstreams", limits.MaxUpstreamConns())})
	known, odd := cfg.InitialEndpoints.ToEndpoints()
	if odd != nil {
		log.Warn("an entry of the list", "err", odd)
	}
	s := &sidecar{conns: limits.MaxClientConns(), pool: pool, bounds: bounds, asked: set.MustSubscribe, log: log, platformAddr: cfg.Discovery, followed: cfg.Discovery}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if op.Idempotency != nil {
		if s.guard, err = openLedger(op.Idempotency, set, log); err != nil {
			return nil, err
		}
	}
	if op.Admin != nil {
		if s.admin, err = net.Listen("tcp", op.Admin.Listen); err != nil {
			return nil, fmt.Errorf("admin.listen: %w", err)
		}
	}
	var transport engine.Transport = pool
	if s.guard != nil {
		transport = s.guard.Transport(pool)
	}
	var source engine.Source = watch.NewClient(cfg.Discovery, set.MustSubscribe, log)
	if op.Bootstrap != nil {
		s.list = openList(op.Bootstrap, cfg, set.Balancers, source, engine.EndpointUpdate{Version: cfg.InitialEndpoints.Version, Endpoints: known}, log)
		source = s.list
	}
	if op.Cluster != nil {
		if op.ControlPlane != nil {
			if s.config, err = openConfig(op, cfg, set, s, level, log); err != nil {
				return nil, err
			}
		}
		if s.fleet, err = openFleet(op.Cluster, s.list, s.config, cfg, set.Balancers, bounds, log); err != nil {
			return nil, err
		}
	}
	if words := op.Cluster != nil && !op.Cluster.DisableNotices; op.Discovery != nil || words {
		f := s.fleet
		if !words {
			f = nil
		}
		if s.members, err = openMembers(op.Discovery, f, source, known, uint64(cfg.Seed), log); err != nil {
			return nil, err
		}
		source = s.members
	}
	s.engine, err = engine.New(engine.Config{Settings: set, Seed: uint64(cfg.Seed), Transport: transport, Source: source,
		CachedList: engine.EndpointUpdate{Version: cfg.InitialEndpoints.Version, Endpoints: known}, Log: log})
	if err != nil {
		return nil, err
	}
	if s.fleet != nil && !op.Cluster.DisableSizeUpdates {
		s.fleet.OnSizeChanged(s.engine.SetBalancers)
	}
	var doer httpfront.Doer = s.engine
	if s.guard != nil {
		doer = s.guard.Doer(s.engine)
	}
	s.front = httpfront.New(doer, set.Classes)
	s.front.OnConnLimit(bounds.Add("connections of clients", s.conns))
	if s.guard != nil {
		s.front.AcceptIdempotencyKeys()
	}
	s.extras, err = openExtras(op, set, doer, log)
	return s, err
}

// close lets go what the operator's file has asked for. The engine has ended.
func (s *sidecar) close() error {
	var err error
	if s.guard != nil {
		err = s.guard.Close()
	}
	if s.admin != nil {
		s.admin.Close()
	}
	if s.fleet != nil {
		s.fleet.Gossip.Close()
	}
	for _, x := range s.extras {
		x.listener.Close()
	}
	return err
}

// parts are what the admin endpoint shows.
func (s *sidecar) parts() admin.Sections {
	p := admin.Sections{"bounds": func() any { return s.bounds.State() }}
	if s.members != nil {
		p["members"] = func() any { return s.members.Status() }
	}
	if s.fleet != nil {
		p["fleet"] = func() any { return s.fleet.Gossip.Status() }
	}
	if s.config != nil {
		p["config"] = s.config.state
	}
	if s.list != nil {
		p["recovery"] = func() any { return s.list.State() }
	}
	if s.guard != nil {
		p["ledger"] = func() any { return s.guard.Status() }
	}
	for _, x := range s.extras {
		p[x.name] = x.state
	}
	return p
}

// Run serves until ctx ends, and then until everything that was taken is answered. op is the operator's file; an empty
// one is none. For each signal in reload it calls again for the platform's configuration.
func Run(ctx context.Context, cfg *platform.Config, op *operator.Config, reload <-chan os.Signal, again func() (*platform.Config, error), log *slog.Logger) (err error) {
	s, err := build(cfg, op, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	var listener net.Listener
	if s.config == nil {
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return err
		}
	}
	work, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { s.pool.Sweep(work) })
	parts.Go(func() { s.engine.Run(work) })
	if s.members != nil {
		parts.Go(func() { s.members.Run(work) })
	}
	if s.fleet != nil {
		parts.Go(func() { s.fleet.Gossip.Run(work) })
	}
	parts.Go(func() { s.reloads(work, reload, again) })
	if s.admin != nil {
		parts.Go(func() { admin.Serve(work, s.admin, s.parts(), log) })
	}
	if s.config != nil {
		parts.Go(func() { s.config.member.Run(work) })
	}
	defer parts.Wait()
	defer end()
	if s.config != nil { // before this process takes requests it has the configuration, or has said what it begins from
		s.config.waitReady(ctx)
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return err
		}
	}
	return s.serve(ctx, listener)
}

// serve runs all fronts until ctx ends or one of them fails, and returns when each has answered what it took.
func (s *sidecar) serve(ctx context.Context, l net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	faults := make([]error, len(s.extras))
	var all sync.WaitGroup
	for i, x := range s.extras {
		all.Go(func() {
			defer stop()
			if err := x.serve(ctx, x.listener); err != nil {
				faults[i] = fmt.Errorf("%s: %w", x.name, err)
			}
		})
	}
	err := s.front.Serve(ctx, l, s.conns, s.log)
	stop()
	all.Wait()
	return errors.Join(append(faults, err)...)
}
