// Package grpc carries out attempts and probes over gRPC, with google.golang.org/grpc: one connection to each
// endpoint, on which every stream is an attempt that the balancer decided on.
//
// grpc-go retries by itself what it believes harmless to send again. Here it must not: an attempt is one stream, and
// gate.go denies the second one of each, by the means that grpc-go offers to anyone. What proves that an attempt never
// ran is listed in outcome.go, and nowhere else.
package grpc

import (
	"cmp"
	"sync"
	"time"

	"google.golang.org/grpc"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultDrainGrace     = 250 * time.Millisecond
)

// Config configures a Transport. A field that is zero has the default given.
type Config struct {
	ConnectTimeout time.Duration // limits how long it takes to establish a connection; 250 ms
	DrainGrace     time.Duration // how long a draining endpoint may still be written to; 250 ms
	DialOptions    []grpc.DialOption
	// LoadNames are the named metrics of an ORCA report that count the requests in an endpoint; the largest counts.
	LoadNames []string
	// Service is the service name in health checks; empty: the server as a whole.
	Service string
}

// Transport is the transport of gRPC. It has a connection to each endpoint of the list that requests were sent to, and
// one to each that drains or was removed and has exchanges in flight. Its methods may be called from any goroutine.
type Transport struct {
	config Config

	mu        sync.Mutex
	endpoints map[string]*endpoint
	closed    bool
	closing   sync.WaitGroup // connections being closed
}

// endpoint is a process of an endpoint, and the connection to it. The transport's lock guards it.
type endpoint struct {
	id          string
	addr        string
	startedAtMS float64
	removedAt   time.Time // when it was reported as draining, removed, or another process; zero while it is active
	conn        *grpc.ClientConn
	exchanges   map[*exchange]struct{} // attempts and probes in flight
}

// New returns a Transport. It opens no connection before the first attempt.
func New(c Config) *Transport {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, defaultConnectTimeout)
	c.DrainGrace = cmp.Or(c.DrainGrace, defaultDrainGrace)
	return &Transport{config: c, endpoints: map[string]*endpoint{}}
}

// Update applies an endpoint update that was notified at notifiedAt; complete tells that entries are the complete
// list. An endpoint that drains or is removed keeps its connection while it has exchanges in flight.
func (t *Transport) Update(complete bool, entries []engine.Endpoint, notifiedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := map[string]bool{}
	for _, entry := range entries {
		e := t.endpoints[entry.ID]
		if entry.State != balancer.Active {
			if e != nil {
				t.markRemoved(e, notifiedAt)
			}
			continue
		}
		active[entry.ID] = true
		if e != nil && (e.addr != entry.Addr || e.startedAtMS != entry.StartedAtMS) {
			// What is in flight belongs to the former process.
			t.markRemoved(e, notifiedAt)
			e = nil
		}
		if e == nil {
			e = &endpoint{
				id:          entry.ID,
				addr:        entry.Addr,
				startedAtMS: entry.StartedAtMS,
				exchanges:   map[*exchange]struct{}{},
			}
			t.endpoints[entry.ID] = e
		}
		e.removedAt = time.Time{}
	}
	for id, e := range t.endpoints {
		if complete && !active[id] {
			t.markRemoved(e, notifiedAt)
		}
		if !e.removedAt.IsZero() && notifiedAt.Sub(e.removedAt) > t.config.DrainGrace {
			delete(t.endpoints, id)
		}
	}
}

// markRemoved marks e as draining or removed since at, and ends its exchanges that are not on the wire when the drain
// grace has passed. Streams that wait in grpc-go for a slot on the connection would be written whenever there is one.
// The lock is held.
func (t *Transport) markRemoved(e *endpoint, at time.Time) {
	if !e.removedAt.IsZero() {
		return
	}
	e.removedAt = at
	t.closeIfUnused(e)
	for x := range e.exchanges {
		time.AfterFunc(time.Until(at.Add(t.config.DrainGrace)), func() {
			if !t.maySend(e) {
				x.CancelUnsent()
			}
		})
	}
}

// maySend reports whether something new may still be written to e's process.
func (t *Transport) maySend(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.removedAt.IsZero() || time.Since(e.removedAt) < t.config.DrainGrace
}

// register adds x to the exchanges of the endpoint named id. It returns false if that is unknown, or the transport is
// closed.
func (t *Transport) register(id string, x *exchange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || t.closed {
		return false
	}
	x.endpoint = e
	e.exchanges[x] = struct{}{}
	return true
}

// deregister removes an exchange that has ended.
func (t *Transport) deregister(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(x.endpoint.exchanges, x)
	t.closeIfUnused(x.endpoint)
}
