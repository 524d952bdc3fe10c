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
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

// Members says where the list of members comes from. Static, Watch and Resolver make one.
type Members struct {
	make func(log *slog.Logger) (engine.Source, []engine.Endpoint, error)
}

// Member is what is known of a member beside its address. Zero fields say nothing.
type Member struct {
	ID   string // the same at every instance; absent: its address
	Addr string // "host:port"
	Zone string
	Kind string    // of machine: members of one kind are taken to be alike until heard of
	Cell int       // of members that share which keys they have seen
	Born time.Time // when its process started; zero: long ago. A member that has just started is cold
}

func (m Member) entry() engine.Endpoint {
	e := engine.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell}
	if e.ID == "" {
		e.ID = m.Addr
	}
	if !m.Born.IsZero() {
		e.StartedAtMS = float64(m.Born.UnixMilli())
	}
	return e
}

// Static is a list that does not change.
func Static(list ...Member) Members {
	return Members{func(*slog.Logger) (engine.Source, []engine.Endpoint, error) {
		entries := make([]engine.Endpoint, len(list))
		for i, m := range list {
			if m.Addr == "" {
				return nil, nil, fmt.Errorf("member %d: no address", i)
			}
			entries[i] = m.entry()
		}
		return static(entries), entries, nil
	}}
}

type static []engine.Endpoint

// Watch tells the list once.
func (s static) Watch(_ int64, _ time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		if ctx.Err() == nil {
			tell(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: 1, Endpoints: s})
		}
	}()
	return stop
}

// Watch is the project's own: the list, and each change of it, from a discovery that speaks the platform's protocol at
// addr.
func Watch(addr string) Members {
	return Members{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		return watch.NewClient(addr, false, log), nil, nil
	}}
}

// Resolver is gRPC's: target is written as for grpc.NewClient, and its scheme is looked up among builders, then among
// those registered with gRPC. What an address means beyond itself is said by WithMember. The resolver's service
// configuration is not read: the module decides.
func Resolver(target string, builders ...resolver.Builder) Members {
	return Members{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		u, err := url.Parse(target)
		if err != nil || u.Scheme == "" {
			return nil, nil, fmt.Errorf("target %q has no scheme", target)
		}
		for _, b := range builders {
			if b.Scheme() == u.Scheme {
				return &resolving{resolver.Target{URL: *u}, b, log}, nil, nil
			}
		}
		if b := resolver.Get(u.Scheme); b != nil {
			return &resolving{resolver.Target{URL: *u}, b, log}, nil, nil
		}
		return nil, nil, fmt.Errorf("target %q: no resolver for scheme %q", target, u.Scheme)
	}}
}

type memberKey struct{}

// WithMember returns addr with what is known of the member there, for a resolver to give out. m's Addr is not read.
func WithMember(addr resolver.Address, m Member) resolver.Address {
	if addr.Attributes == nil {
		addr.Attributes = attributes.New(memberKey{}, m)
	} else {
		addr.Attributes = addr.Attributes.WithValue(memberKey{}, m)
	}
	return addr
}

// resolving is a source that runs one of gRPC's resolvers.
type resolving struct {
	target  resolver.Target
	builder resolver.Builder
	log     *slog.Logger
}

// Watch builds the resolver in a goroutine, which closes it when the watch is stopped.
func (r *resolving) Watch(_ int64, pause time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		cc := &resolverConn{ctx: ctx, tell: tell, log: r.log}
		built, err := r.builder.Build(r.target, cc, resolver.BuildOptions{DisableServiceConfig: true})
		if err != nil {
			if ctx.Err() == nil {
				tell(engine.EndpointUpdate{Kind: balancer.WatchFailed, Err: err})
			}
			return
		}
		<-ctx.Done()
		built.Close()
	}()
	return stop
}

// resolverConn is what a resolver reports to. Its methods may be called from any goroutine.
type resolverConn struct {
	ctx  context.Context
	log  *slog.Logger
	mu   sync.Mutex // one call of tell at a time
	tell func(engine.EndpointUpdate)
	seq  int64
}

var errNoAddress = errors.New("the resolver gave no address: the list stays as it is")

// UpdateState takes a whole list. An empty one is taken for a fault, as gRPC's own balancers do.
func (c *resolverConn) UpdateState(s resolver.State) error {
	var list []engine.Endpoint
	add := func(a resolver.Address) {
		m, _ := a.Attributes.Value(memberKey{}).(Member)
		m.Addr = a.Addr
		list = append(list, m.entry())
	}
	for _, e := range s.Endpoints {
		if len(e.Addresses) > 0 {
			add(e.Addresses[0])
		}
	}
	if len(s.Endpoints) == 0 {
		for _, a := range s.Addresses {
			add(a)
		}
	}
	if len(list) == 0 {
		c.ReportError(errNoAddress)
		return errNoAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() == nil {
		c.seq++
		c.tell(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: c.seq, Endpoints: list})
	}
	return nil
}

// ReportError leaves the list as it is: the resolver tries again by itself.
func (c *resolverConn) ReportError(err error) { c.log.Warn("the resolver failed", "err", err) }

// NewAddress is UpdateState's older form.
func (c *resolverConn) NewAddress(addrs []resolver.Address) {
	c.UpdateState(resolver.State{Addresses: addrs})
}

// ParseServiceConfig turns every configuration down.
func (c *resolverConn) ParseServiceConfig(string) *serviceconfig.ParseResult {
	return &serviceconfig.ParseResult{Err: errors.New("service configurations are not read")}
}
