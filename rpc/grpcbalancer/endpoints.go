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
	// open returns the engine's source, and the endpoints that are known before the source's first notification. New
	// calls it.
	open func(log *slog.Logger) (engine.Source, []engine.Endpoint, error)
}

// Endpoint is an entry of the endpoint list. Fields other than Addr may be zero. If both Zone and Cell are zero, they
// count as unknown: a keyed request of ScopeZone or ScopeCell that may have run at the endpoint is not sent again, and
// one that may have run elsewhere is not sent to it.
type Endpoint struct {
	ID   string // must be the same in all instances of the balancer; defaults to Addr
	Addr string // "host:port"
	Zone string
	Kind string // machine type; endpoints of one kind are assumed to be equally fast until they are measured
	Cell int    // number of the cell; endpoints of a cell share a cache, and so have seen the same affinity keys
	// StartedAt is when the endpoint's process started; zero means long ago. An endpoint that has just started is
	// warming up.
	StartedAt time.Time
}

// entry converts e to an engine.Endpoint.
func (e Endpoint) entry() engine.Endpoint {
	entry := engine.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell}
	entry.LocationUnknown = e.Zone == "" && e.Cell == 0
	if entry.ID == "" {
		entry.ID = e.Addr
	}
	if !e.StartedAt.IsZero() {
		entry.StartedAtMS = float64(e.StartedAt.UnixMilli())
	}
	return entry
}

// Static returns a source whose list does not change.
func Static(endpoints ...Endpoint) EndpointSource {
	return EndpointSource{func(*slog.Logger) (engine.Source, []engine.Endpoint, error) {
		entries := make([]engine.Endpoint, len(endpoints))
		for i, e := range endpoints {
			if e.Addr == "" {
				return nil, nil, fmt.Errorf("static endpoint %d (ID %q) has no address, want \"host:port\"", i, e.ID)
			}
			entries[i] = e.entry()
		}
		return staticSource(entries), entries, nil
	}}
}

// staticSource is an engine.Source whose list does not change.
type staticSource []engine.Endpoint

// Watch notifies the engine of the list once, in a goroutine that ends after the notification.
func (s staticSource) Watch(_ int64, _ time.Duration, notify func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		if ctx.Err() == nil {
			notify(engine.EndpointUpdate{Kind: balancer.CompleteList, Version: 1, Endpoints: s})
		}
	}()
	return stop
}

// Watch returns a source that gets the list, and each change of it, from the discovery service at addr by the
// platform's protocol.
func Watch(addr string) EndpointSource {
	return EndpointSource{func(log *slog.Logger) (engine.Source, []engine.Endpoint, error) {
		return watch.NewClient(addr, false, log), nil, nil
	}}
}
