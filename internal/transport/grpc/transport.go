// Package grpc implements engine.Transport over gRPC, with google.golang.org/grpc. It opens one connection to each
// endpoint. Every stream on a connection is either an attempt that the balancer decided on, or a probe.
//
// grpc-go resends a call by itself if it knows that the call was not processed (transparent retry). This package must
// prevent that, because an attempt is exactly one stream. The gate of an exchange refuses a second stream. It uses only
// public interfaces of grpc-go.
//
// The main decisions are made in these functions:
//
//   - classify (outcome.go): which outcomes prove that an attempt never ran
//   - gate.allowStream and gate.allowMessage (gate.go): whether the stream and the message of an attempt may still be
//     written
//   - Transport.conn and Transport.connect (connection.go): which connection an attempt uses, and how long it waits
//   - Transport.markRemoved and Transport.maySend (transport.go): until when a draining endpoint may be written to
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

// Config configures a Transport. The default of a field applies if the field is zero.
type Config struct {
	// ConnectTimeout limits the time for which an attempt waits until its connection is ready. The default is 250 ms.
	// With a higher value, a hanging endpoint takes more of a call's time; with a lower one, a slow endpoint counts as
	// failed.
	ConnectTimeout time.Duration
	// DrainGrace is the time for which an endpoint may still be written to after the notification of its drain or
	// removal. The default is 250 ms. With a higher value, more calls reach a stopping endpoint; with a lower one, more
	// attempts that were decided on before the notification count as not sent.
	DrainGrace time.Duration
	// DialOptions are the options of the connections to the endpoints, including transport credentials.
	DialOptions []grpc.DialOption
	// LoadMetrics are the names of the metrics in an ORCA report that count an endpoint's requests in flight. The
	// largest of their values is used.
	LoadMetrics []string
	// HealthService is the service name in the health checks (grpc.health.v1) that probes send. If it is empty, they
	// ask for the health of the whole server.
	HealthService string
}

// Transport performs attempts and probes over gRPC. It has at most one connection to each active endpoint, and one to
// each draining or removed endpoint that has exchanges in flight.
type Transport struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[string]*endpoint // by ID
	closed    bool
	closing   sync.WaitGroup // counts the connections that are being closed
}

// endpoint represents one process of a listed endpoint, and holds the connection to it. The transport's mutex guards
// the fields that change.
type endpoint struct {
	id          string
	addr        string
	startedAtMS float64 // start time in Unix milliseconds; a different value identifies a different process

	removedAt time.Time // when the drain, removal or replacement was notified; zero while the endpoint is active
	conn      *grpc.ClientConn
	inFlight  map[*exchange]struct{} // attempts and probes that have not ended
}

// New returns a Transport. It opens no connection before the first attempt or probe. The caller must call Close.
func New(c Config) *Transport {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, defaultConnectTimeout)
	c.DrainGrace = cmp.Or(c.DrainGrace, defaultDrainGrace)
	return &Transport{cfg: c, endpoints: map[string]*endpoint{}}
}

// Update applies an update of the endpoint list that arrived at notifiedAt. If complete is true, endpoints that are not
// in entries are removed. The connection to a draining or removed endpoint stays open while it has exchanges in flight.
//
// The engine calls Update from the goroutine of its Run.
func (t *Transport) Update(complete bool, entries []engine.Endpoint, notifiedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := map[string]bool{}
	for _, entry := range entries {
		if entry.State == balancer.Active {
			active[entry.ID] = true
			t.activate(entry, notifiedAt)
		} else if e := t.endpoints[entry.ID]; e != nil {
			t.markRemoved(e, notifiedAt)
		}
	}
	for id, e := range t.endpoints {
		if complete && !active[id] {
			t.markRemoved(e, notifiedAt)
		}
		if !e.removedAt.IsZero() && notifiedAt.Sub(e.removedAt) > t.cfg.DrainGrace {
			delete(t.endpoints, id)
		}
	}
}

// activate makes the endpoint of an active entry available. Exchanges in flight to an earlier process of the endpoint
// stay with that process. The caller holds t.mu.
func (t *Transport) activate(entry engine.Endpoint, notifiedAt time.Time) {
	e := t.endpoints[entry.ID]
	if e != nil && (e.addr != entry.Addr || e.startedAtMS != entry.StartedAtMS) {
		t.markRemoved(e, notifiedAt)
		e = nil
	}
	if e == nil {
		e = &endpoint{
			id:          entry.ID,
			addr:        entry.Addr,
			startedAtMS: entry.StartedAtMS,
			inFlight:    map[*exchange]struct{}{},
		}
		t.endpoints[entry.ID] = e
	}
	e.removedAt = time.Time{}
}

// markRemoved marks e as draining, removed or replaced since notifiedAt. At the end of the drain grace, it cancels the
// exchanges of e that have not been written. Otherwise, streams that wait in grpc-go for capacity on the connection
// would be written as soon as there is capacity. The caller holds t.mu.
func (t *Transport) markRemoved(e *endpoint, notifiedAt time.Time) {
	if !e.removedAt.IsZero() {
		return
	}
	e.removedAt = notifiedAt
	t.disconnectIfUnused(e)
	for x := range e.inFlight {
		time.AfterFunc(time.Until(notifiedAt.Add(t.cfg.DrainGrace)), func() {
			if !t.maySend(e) {
				x.CancelUnsent()
			}
		})
	}
}

// maySend reports whether a new stream may be written to e's process. It returns true while e is active, and for the
// drain grace after the notification that e is no longer active.
func (t *Transport) maySend(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.removedAt.IsZero() || time.Since(e.removedAt) < t.cfg.DrainGrace
}

// register sets the endpoint of x and adds x to the exchanges in flight to it. It returns false if the endpoint is
// unknown or the transport is closed.
func (t *Transport) register(id string, x *exchange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || t.closed {
		return false
	}
	x.endpoint = e
	e.inFlight[x] = struct{}{}
	return true
}

// unregister removes x, which has ended, from the exchanges in flight.
func (t *Transport) unregister(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(x.endpoint.inFlight, x)
	t.disconnectIfUnused(x.endpoint)
}
