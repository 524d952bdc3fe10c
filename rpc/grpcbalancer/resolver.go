package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/serviceconfig"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

var (
	errNoAddress     = errors.New("the resolver gave no address: the list stays as it is")
	errServiceConfig = errors.New("service configurations are not read")
)

// Resolver returns the source of the list that one of gRPC's resolvers gives. The target is written as for
// grpc.NewClient. Its scheme is looked up among builders, then among those registered with gRPC. A resolver describes
// an endpoint beyond its address by WithEndpoint. Its service configuration is not read: the balancer decides.
func Resolver(target string, builders ...resolver.Builder) EndpointSource {
	return EndpointSource{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		u, err := url.Parse(target)
		if err != nil || u.Scheme == "" {
			return nil, nil, fmt.Errorf("target %q has no scheme", target)
		}
		builder := findBuilder(u.Scheme, builders)
		if builder == nil {
			return nil, nil, fmt.Errorf("target %q: no resolver for scheme %q", target, u.Scheme)
		}
		return &resolverSource{target: resolver.Target{URL: *u}, builder: builder, log: log}, nil, nil
	}}
}

// findBuilder returns the builder for a scheme among builders, then among those registered with gRPC, or nil.
func findBuilder(scheme string, builders []resolver.Builder) resolver.Builder {
	for _, b := range builders {
		if b.Scheme() == scheme {
			return b
		}
	}
	return resolver.Get(scheme)
}

// endpointKey is the key of an Endpoint among the attributes of an address.
type endpointKey struct{}

// WithEndpoint returns addr with a description of the endpoint there, for a resolver to report. The Addr of e is not
// read.
func WithEndpoint(addr resolver.Address, e Endpoint) resolver.Address {
	if addr.Attributes == nil {
		addr.Attributes = attributes.New(endpointKey{}, e)
	} else {
		addr.Attributes = addr.Attributes.WithValue(endpointKey{}, e)
	}
	return addr
}

// resolverSource is an engine.Source that runs one of gRPC's resolvers.
type resolverSource struct {
	target  resolver.Target
	builder resolver.Builder
	log     *slog.Logger
}

// Watch builds the resolver after a delay. It does so in a goroutine, which closes the resolver and ends when the watch
// is stopped.
func (s *resolverSource) Watch(
	_ int64, delay time.Duration, notify func(engine.EndpointUpdate),
) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		s.run(ctx, notify)
	}()
	return stop
}

// run runs the resolver until ctx ends.
func (s *resolverSource) run(ctx context.Context, notify func(engine.EndpointUpdate)) {
	conn := &resolverConn{ctx: ctx, notify: notify, log: s.log.With("component", "grpcbalancer")}
	r, err := s.builder.Build(s.target, conn, resolver.BuildOptions{DisableServiceConfig: true})
	if err != nil {
		if ctx.Err() == nil {
			notify(engine.EndpointUpdate{Kind: balancer.WatchFailed, Err: err})
		}
		return
	}
	<-ctx.Done()
	r.Close()
}

// resolverConn implements resolver.ClientConn: a resolver reports to it, from any goroutine.
type resolverConn struct {
	//nolint:containedctx // the lifetime of the watch: resolver.ClientConn's methods take no context
	ctx context.Context
	log *slog.Logger

	mu      sync.Mutex // also held while notify is called, so that updates come in the order of their versions
	notify  func(engine.EndpointUpdate)
	version int64 // of the latest update
}

// UpdateState notifies the engine of a complete list. An empty one is treated as an error, as gRPC's own balancers do.
func (c *resolverConn) UpdateState(s resolver.State) error {
	endpoints := endpointsFromState(s)
	if len(endpoints) == 0 {
		c.ReportError(errNoAddress)
		return errNoAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() == nil {
		c.version++
		c.notify(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: c.version, Endpoints: endpoints})
	}
	return nil
}

// endpointsFromState returns the first address of each endpoint of a resolver's state, or its addresses if it has no
// endpoints.
func endpointsFromState(s resolver.State) []engine.Endpoint {
	var list []engine.Endpoint
	add := func(addr resolver.Address) {
		e, _ := addr.Attributes.Value(endpointKey{}).(Endpoint)
		e.Addr = addr.Addr
		list = append(list, e.entry())
	}
	for _, e := range s.Endpoints {
		if len(e.Addresses) > 0 {
			add(e.Addresses[0])
		}
	}
	if len(s.Endpoints) == 0 {
		for _, addr := range s.Addresses {
			add(addr)
		}
	}
	return list
}

// ReportError leaves the list as it is: the resolver retries by itself.
func (c *resolverConn) ReportError(err error) {
	c.log.Warn("gRPC resolver failed", "error", err)
}

// NewAddress is the deprecated form of UpdateState.
func (c *resolverConn) NewAddress(addrs []resolver.Address) {
	_ = c.UpdateState(resolver.State{Addresses: addrs}) // an error was logged; NewAddress cannot return it
}

// ParseServiceConfig rejects every service configuration.
func (c *resolverConn) ParseServiceConfig(string) *serviceconfig.ParseResult {
	return &serviceconfig.ParseResult{Err: errServiceConfig}
}
