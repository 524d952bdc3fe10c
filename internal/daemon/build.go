package daemon

import (
	"context"
	"fmt"
	"log/slog"

	"hazelwing/balancer"
	"hazelwing/internal/budget"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/front/httpfront"
	"hazelwing/internal/limits"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
	"hazelwing/internal/transport/http1"
)

// builder assembles a sidecar in steps. Each step opens one part, from the configuration and the parts that earlier
// steps have opened.
type builder struct {
	*sidecar
	platformConfig *platform.Config
	operatorConfig *operator.Config
	settings       balancer.Settings
	resources      platform.Limits
	level          *slog.LevelVar // level of the log; nil if it never changes

	onMemoryLimit func() // called when there is no memory for a request or a response

	cachedList engine.EndpointUpdate // endpoint list that the sidecar starts with
	source     engine.Source         // source of the endpoint list; the steps wrap it in further sources
	doer       httpfront.Doer        // executes the requests of the fronts
}

// build returns a sidecar that is not running. All its listeners are open, except the platform's, which Run opens. On
// an error build closes everything that it has opened.
func build(
	ctx context.Context, platformConfig *platform.Config, operatorConfig *operator.Config, log *slog.Logger,
) (_ *sidecar, err error) {
	b, err := newBuilder(platformConfig, operatorConfig, log)
	if err != nil {
		return nil, err
	}
	//nolint:contextcheck // the context is only an argument of slog
	b.openTransport()
	b.readCachedList()
	steps := []func(ctx context.Context) error{
		b.openDeduplicator,
		b.openAdmin,
		b.openSource,
		b.openEngine,
		b.openFronts,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			_ = b.close() // only the first error is reported
			return nil, err
		}
	}
	return b.sidecar, nil
}

// newBuilder returns a builder whose sidecar has no open parts yet.
func newBuilder(platformConfig *platform.Config, operatorConfig *operator.Config, log *slog.Logger) (*builder, error) {
	b := &builder{
		platformConfig: platformConfig,
		operatorConfig: operatorConfig,
		settings:       platformConfig.Settings.Settings(),
	}
	processLog := log
	if operatorConfig.ControlPlane != nil {
		log, b.level = newLeveledLogger(log)
	}
	limitSet := limits.NewSet(log)
	var err error
	if b.resources, err = platformConfig.Limits.ReserveDescriptors(maxDescriptors(operatorConfig)); err != nil {
		return nil, err
	}
	b.sidecar = &sidecar{
		maxClientConns:    b.resources.MaxClientConns(),
		limits:            limitSet,
		memory:            budget.NewAccount(b.resources.HeldMemory()),
		sharedDiscovery:   b.settings.MustSubscribe,
		log:               log,
		processLog:        processLog,
		platformDiscovery: platformConfig.Discovery,
		currentDiscovery:  platformConfig.Discovery,
	}
	b.onMemoryLimit = limitSet.Add("memory of requests and responses", int(b.resources.HeldMemory()))
	return b, nil
}

// openTransport creates the pool of connections to endpoints.
func (b *builder) openTransport() {
	maxConns := b.resources.MaxEndpointConns()
	b.pool = http1.New(http1.Config{
		ConnectTimeout:      b.settings.ConnectTimeout,
		EndpointIdleTimeout: b.platformConfig.Settings.IdleConnTimeout(),
		DrainGrace:          b.platformConfig.Settings.DrainGrace(),
		MaxConns:            maxConns,
		MaxResponseBytes:    b.resources.MaxResponseBytes(),
		Memory:              b.memory,
		OnMemoryLimit:       b.onMemoryLimit,
		Log:                 b.log,
		OnConnLimit:         b.limits.Add("connections to upstreams", maxConns),
	})
}

// readCachedList reads the initial endpoint list from the platform's configuration. It logs an error that names the
// entries with unknown health, which become draining endpoints.
func (b *builder) readCachedList() {
	endpoints, err := b.platformConfig.InitialEndpoints.ToEndpoints()
	if err != nil {
		b.log.Warn("invalid entry in the initial endpoint list", "component", "daemon", "error", err)
	}
	b.cachedList = engine.EndpointUpdate{Version: b.platformConfig.InitialEndpoints.Version, Endpoints: endpoints}
}

// openAdmin opens the listener of the admin endpoint.
func (b *builder) openAdmin(ctx context.Context) error {
	if b.operatorConfig.Admin == nil {
		return nil
	}
	listener, err := listen(ctx, b.operatorConfig.Admin.Listen)
	if err != nil {
		return fmt.Errorf("admin.listen: %w", err)
	}
	b.adminListener = listener
	return nil
}

// openSource assembles the source of the endpoint list, and opens the cluster's node and the member of the distributed
// configuration if they are configured. The source is discovery, relayed by the cluster if [recovery] is set, and
// merged with the other sources if there are any.
func (b *builder) openSource(context.Context) error {
	b.source = watch.NewClient(b.platformConfig.Discovery, b.sharedDiscovery, b.log)
	if b.operatorConfig.Bootstrap != nil {
		b.relaySource = b.newRelaySource()
		b.source = b.relaySource
	}
	if b.operatorConfig.Cluster != nil {
		if err := b.openConfigMember(); err != nil {
			return err
		}
		//nolint:contextcheck // the node listens on a local address, which does not block
		if err := b.openCluster(); err != nil {
			return err
		}
	}
	return b.mergeEndpoints()
}

// openEngine creates the engine. It makes the cluster, if there is one, inform the engine of the number of sidecars,
// unless the operator's file disables this.
func (b *builder) openEngine(context.Context) error {
	var transport engine.Transport = b.pool
	if b.deduplicator != nil {
		transport = b.deduplicator.Transport(b.pool)
	}
	//nolint:contextcheck // the context is only an argument of slog
	newEngine, err := engine.New(engine.Config{
		Settings:   b.settings,
		Seed:       uint64(b.platformConfig.Seed),
		Transport:  transport,
		Source:     b.source,
		CachedList: b.cachedList,
		Log:        b.log,
	})
	if err != nil {
		return err
	}
	b.engine = newEngine
	if b.cluster != nil && !b.operatorConfig.Cluster.DisableSizeUpdates {
		b.cluster.OnSizeChanged(b.engine.SetBalancers)
	}
	b.doer = b.engine
	if b.deduplicator != nil {
		b.doer = b.deduplicator.Doer(b.engine)
	}
	return nil
}

// openFronts creates the platform's front, and creates the additional fronts with their listeners. Run opens the
// listener of the platform's front after all others.
func (b *builder) openFronts(ctx context.Context) error {
	b.front = httpfront.New(b.doer, b.settings.Classes)
	b.front.OnConnLimit(b.limits.Add("connections of clients", b.maxClientConns))
	b.front.SetCores(b.resources.Cores)
	b.front.SetMemory(b.memory, b.onMemoryLimit)
	b.front.OnUnforwardedLimit(b.limits.Add("requests answered without an attempt", clientconn.UnforwardedPerSecond))
	if b.deduplicator != nil {
		b.front.AcceptIdempotencyKeys()
	}
	return b.openAdditionalFronts(ctx)
}
