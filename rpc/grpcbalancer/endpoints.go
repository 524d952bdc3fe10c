package grpcbalancer

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

// EndpointSource is a source of the endpoint list. Static, Watch and Resolver return one.
type EndpointSource struct {
	// open returns the engine's source, and the endpoints that are known before its first notification. New calls it.
	open func(log *slog.Logger) (engine.Source, []engine.Endpoint, error)
}

// Endpoint is an entry of the endpoint list. Fields other than Addr may be zero.
type Endpoint struct {
	ID   string // the same at every instance of the balancer; Addr when empty
	Addr string // "host:port"
	Zone string
	Kind string // of machine: endpoints of one kind are taken to be equally fast until they are measured
	Cell int    // the endpoints of a cell share a cache, so that all of them have seen the same affinity keys
	// StartedAt is when its process started; zero: long ago. An endpoint that has just started is warming up.
	StartedAt time.Time
}

// entry returns the engine's form of e.
func (e Endpoint) entry() engine.Endpoint {
	entry := engine.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell}
	if entry.ID == "" {
		entry.ID = e.Addr
	}
	if !e.StartedAt.IsZero() {
		entry.StartedAtMS = float64(e.StartedAt.UnixMilli())
	}
	return entry
}

// Static returns the source of a list that does not change.
func Static(endpoints ...Endpoint) EndpointSource {
	return EndpointSource{func(*slog.Logger) (engine.Source, []engine.Endpoint, error) {
		entries := make([]engine.Endpoint, len(endpoints))
		for i, e := range endpoints {
			if e.Addr == "" {
				return nil, nil, fmt.Errorf("member %d: no address", i)
			}
			entries[i] = e.entry()
		}
		return staticSource(entries), entries, nil
	}}
}

// staticSource is an engine.Source of a list that does not change.
type staticSource []engine.Endpoint

// Watch notifies the engine of the list once, in a goroutine that ends with that.
func (s staticSource) Watch(_ int64, _ time.Duration, notify func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		if ctx.Err() == nil {
			notify(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: 1, Endpoints: s})
		}
	}()
	return stop
}

// Watch returns the source of the list, and of each change of it, that the discovery service at addr gives by the
// platform's protocol.
func Watch(addr string) EndpointSource {
	return EndpointSource{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		return watch.NewClient(addr, false, log), nil, nil
	}}
}
