// Package http1 implements engine.Transport over HTTP/1.1, as specified by the platform's protocol page.
//
// The package manages its own connections, because the Transport of net/http resends a request by itself when a reused
// connection breaks. Here, each exchange writes its request once, to one connection.
//
// The main decisions are made in these functions:
//
//   - Pool.get and Pool.put (reuse.go): which connection a request is written to, and which connections are retained
//   - Pool.acquireSlot (slots.go): which exchange may open a connection when the limit is reached, and how long the
//     others wait
//   - exchange.claimWrite (exchange.go): whether a request may still be written once it has a connection
//   - conn.readResponse (response.go): which responses are usable, and how long a response may pause
//   - resultFromResponse, unsentResult, brokenResult (outcome.go): whether a request may have run
//   - Pool.Update (pool.go): how long a draining or removed endpoint is remembered
package http1

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/budget"
	"hazelwing/internal/engine"
)

// Defaults of the fields of Config.
const (
	defaultEndpointIdleTimeout = 10 * time.Second
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultDrainGrace          = 250 * time.Millisecond
	defaultMaxConns            = 500
)

// sweepInterval is the interval between two checks for expired idle connections. With a higher value the checks cost
// less, but connections are closed later. Pool.get never returns an expired connection.
const sweepInterval = time.Second

// Pool is the transport over HTTP/1.1. It holds the idle connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	dialer           net.Dialer
	maxIdle          time.Duration // longest time for which an idle connection is retained
	reuseDelay       time.Duration // shortest time from a response to the reuse of its connection
	drainGrace       time.Duration // how long a draining or removed endpoint is remembered
	maxConns         int           // limit on openConns
	onConnLimit      func()        // called when an exchange has to wait for a connection slot
	maxResponseBytes int64         // limit on the body of a response
	log              *slog.Logger
	tracesCloses     func() bool // each closed connection is logged
	memory           *budget.Account
	onMemoryLimit    func()       // called when a response has to wait for memory
	collectedAt      atomic.Int64 // when the latest garbage collection for a response began, in Unix nanoseconds

	mu        sync.Mutex
	openConns int
	waiters   []chan struct{} // one for each exchange that waits for a slot, in order of arrival
	endpoints map[string]*endpoint
}

// endpoint holds the current process of an endpoint and the idle connections to it. It is guarded by the pool's mutex.
type endpoint struct {
	id string
	process
	idle      []*conn   // in order of last use; the most recently used is last
	removedAt time.Time // when the endpoint was reported as draining or removed; zero while it is active
}

// process identifies a process of an endpoint by its entry in the endpoint list. A connection belongs to one process.
//
// Guard: prevents a connection to an earlier process from being used for a process that has taken over its name or
// address: the request would be reset. This holds because maySend and put compare the address and the start time.
type process struct {
	addr        string
	startedAtMS float64
}

// Config configures a Pool. The default of a field applies if the field is zero.
type Config struct {
	// ConnectTimeout limits the time to establish a connection, the time for which an exchange waits for a connection
	// slot, and each pause within a response. The default is 250 ms. With a higher value, a hanging endpoint takes more
	// of a request's time; with a lower one, a slow endpoint counts as failed.
	ConnectTimeout time.Duration
	// EndpointIdleTimeout is the time for which endpoints keep idle connections open. The default is 10 s. The pool
	// retains idle connections for 3/4 of this time.
	EndpointIdleTimeout time.Duration
	// DrainGrace is the time for which a draining or removed endpoint is remembered. The default is 250 ms. No request
	// is written to the endpoint in this time, so a higher value only takes more memory.
	DrainGrace time.Duration
	// MaxConns limits the number of open connections. The default is 500. A higher value takes more file descriptors;
	// with a lower one, exchanges wait longer for a connection.
	MaxConns int
	// MaxResponseBytes limits the body of a response. The default, and the minimum, is 512 KiB. A higher value allows
	// each attempt to take more memory.
	MaxResponseBytes int64
	// Log gets a debug line for each connection that is closed. It may be nil.
	Log *slog.Logger
	// Memory is the account of the memory for responses. If it is nil, there is no limit on their sum.
	Memory *budget.Account
	// OnMemoryLimit is called, from any goroutine, when a response has to wait for memory. It may be nil.
	OnMemoryLimit func()
	// OnConnLimit is called, from any goroutine, when an exchange has to wait for a connection slot. It may be nil.
	OnConnLimit func()
}

// New returns a Pool. The caller should run Sweep in a goroutine, so that idle connections are closed.
func New(c Config) *Pool {
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.EndpointIdleTimeout <= 0 {
		c.EndpointIdleTimeout = defaultEndpointIdleTimeout
	}
	if c.DrainGrace <= 0 {
		c.DrainGrace = defaultDrainGrace
	}
	if c.OnConnLimit == nil {
		c.OnConnLimit = func() {}
	}
	if c.OnMemoryLimit == nil {
		c.OnMemoryLimit = func() {}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &Pool{
		log:              c.Log.With("component", "transport"),
		tracesCloses:     func() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) },
		dialer:           net.Dialer{Timeout: c.ConnectTimeout},
		maxIdle:          time.Duration(float64(c.EndpointIdleTimeout) * idleShare),
		reuseDelay:       reuseDelay,
		drainGrace:       c.DrainGrace,
		maxConns:         cmp.Or(c.MaxConns, defaultMaxConns),
		onConnLimit:      c.OnConnLimit,
		memory:           c.Memory,
		onMemoryLimit:    c.OnMemoryLimit,
		maxResponseBytes: max(c.MaxResponseBytes, minResponseLimit),
		endpoints:        map[string]*endpoint{},
	}
}

// Sweep closes connections that have been idle for too long. When ctx ends, it closes all idle connections and returns.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, e := range p.endpoints {
				p.closeOldest(e, len(e.idle), "shutdown")
			}
			p.mu.Unlock()
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		for _, e := range p.endpoints {
			p.closeExpired(e, time.Now())
		}
		p.mu.Unlock()
	}
}

// closeOldest closes the n least recently used idle connections of e, and logs the reason. The caller holds p.mu.
func (p *Pool) closeOldest(e *endpoint, n int, reason string) {
	for _, c := range e.idle[:n] {
		p.traceClose(e.id, reason)
		_ = c.Conn.Close() // an idle connection carries no request
		p.releaseSlot()
	}
	e.idle = slices.Delete(e.idle, 0, n)
}

// find returns the endpoint with the given ID, or nil.
func (p *Pool) find(id string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// CloseIdle closes the idle connections to the endpoint with the given ID.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeOldest(e, len(e.idle), "requested by the balancer")
	}
}

// traceClose logs that a connection to an endpoint is closed, at debug level.
func (p *Pool) traceClose(endpointID, reason string) {
	if p.tracesCloses() {
		p.log.Debug("endpoint connection closed", "endpoint", endpointID, "reason", reason)
	}
}

// Update applies an update of the endpoint list that arrived at notifiedAt. If complete is true, endpoints that are not
// in entries are removed. A draining or removed endpoint is remembered until the first update after the drain grace,
// because attempts to it may be in flight; no new request is written to it.
func (p *Pool) Update(complete bool, entries []engine.Endpoint, notifiedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := map[string]bool{}
	for _, entry := range entries {
		e := p.endpoints[entry.ID]
		if entry.State != balancer.Active {
			if e != nil {
				p.markRemoved(e, notifiedAt)
			}
			continue
		}
		active[entry.ID] = true
		if e == nil {
			e = &endpoint{id: entry.ID}
			p.endpoints[entry.ID] = e
		}
		current := process{entry.Addr, entry.StartedAtMS}
		if e.process != current { // the idle connections belong to the earlier process
			p.closeOldest(e, len(e.idle), "endpoint restarted")
			e.process = current
		}
		e.removedAt = time.Time{}
	}
	for id, e := range p.endpoints {
		if complete && !active[id] {
			p.markRemoved(e, notifiedAt)
		}
		if !e.removedAt.IsZero() && notifiedAt.Sub(e.removedAt) > p.drainGrace {
			delete(p.endpoints, id)
		}
	}
}

// markRemoved marks e as draining or removed since the given time, and closes its idle connections. The caller holds
// p.mu.
func (p *Pool) markRemoved(e *endpoint, at time.Time) {
	if e.removedAt.IsZero() {
		e.removedAt = at
	}
	p.closeOldest(e, len(e.idle), "endpoint draining or removed")
}
