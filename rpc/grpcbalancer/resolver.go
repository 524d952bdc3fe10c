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
	errNoAddress     = errors.New("the resolver returned no addresses; the previous endpoint list stays in use")
	errServiceConfig = errors.New("service configurations are not supported")
)

// Resolver returns a source that gets the list from a gRPC resolver. The target has the form that grpc.NewClient
// accepts, and must have a scheme. The scheme is looked up among builders, then among the builders registered with
// gRPC. A resolver can use WithEndpoint to describe more of an endpoint than its address. Service configurations from
// the resolver are ignored, because the balancer decides on load balancing and retries.
func Resolver(target string, builders ...resolver.Builder) EndpointSource {
	return EndpointSource{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		u, err := url.Parse(target)
		if err != nil {
			return nil, nil, fmt.Errorf("target is not a valid URL: %w", err)
		}
		if u.Scheme == "" {
			return nil, nil, fmt.Errorf("target %q has no scheme, want a target such as \"dns:///host:port\"", target)
		}
		builder := findBuilder(u.Scheme, builders)
		if builder == nil {
			return nil, nil, fmt.Errorf("target %q: no resolver is registered for the scheme %q", target, u.Scheme)
		}
		return &resolverSource{target: resolver.Target{URL: *u}, builder: builder, log: log}, nil, nil
	}}
}

// findBuilder returns the builder for a scheme, from builders or else from the builders registered with gRPC. It
// returns nil if neither has a builder for the scheme.
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

// WithEndpoint returns a copy of addr with a description of the endpoint at this address, which a resolver can report.
// The field Addr of e is ignored.
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

// Watch builds the resolver after a delay, in a goroutine. When the watch is stopped, the goroutine closes the resolver
// and ends.
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

// run runs the resolver until ctx ends. If the resolver cannot be built, run notifies the engine and returns.
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

// resolverConn is the resolver.ClientConn to which a resolver reports, from any goroutine.
type resolverConn struct {
	//nolint:containedctx // ends when the watch is stopped; the methods of resolver.ClientConn have no context argument
	ctx context.Context
	log *slog.Logger

	mu      sync.Mutex // also held during calls of notify, so that updates arrive in the order of their versions
	notify  func(engine.EndpointUpdate)
	version int64 // version of the latest update
}

// UpdateState notifies the engine of a complete list. An empty list is treated as an error, as in gRPC's own balancers.
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

// endpointsFromState returns an entry for the first address of each endpoint in a resolver's state, or for each address
// if the state has no endpoints.
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

// ReportError logs an error of the resolver. The endpoint list stays unchanged, and the resolver itself retries.
func (c *resolverConn) ReportError(err error) {
	c.log.Warn("gRPC resolver failed", "error", err)
}

// NewAddress is the deprecated form of UpdateState.
func (c *resolverConn) NewAddress(addrs []resolver.Address) {
	_ = c.UpdateState(resolver.State{Addresses: addrs}) // UpdateState logs its error, which cannot be returned here
}

// ParseServiceConfig rejects every service configuration.
func (c *resolverConn) ParseServiceConfig(string) *serviceconfig.ParseResult {
	return &serviceconfig.ParseResult{Err: errServiceConfig}
}
