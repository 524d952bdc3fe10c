package middleware

import (
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
)

// Transport returns a transport that sends attempts through next. Attempts of calls that are not idempotent wait until
// their intent is durable.
func (d *Deduplicator) Transport(next engine.Transport) engine.Transport {
	return &transport{Transport: next, deduplicator: d, endpoints: map[string]engine.Endpoint{}}
}

// transport is used by the engine's goroutine only, as engine.Transport specifies.
type transport struct {
	engine.Transport
	deduplicator *Deduplicator
	endpoints    map[string]engine.Endpoint // current endpoints, by ID
}

// Update implements engine.Transport.
func (t *transport) Update(complete bool, entries []engine.Endpoint, notifiedAt time.Time) {
	if complete {
		clear(t.endpoints)
	}
	for _, endpoint := range entries {
		if endpoint.State == balancer.Removed {
			delete(t.endpoints, endpoint.ID)
		} else {
			t.endpoints[endpoint.ID] = endpoint
		}
	}
	t.Transport.Update(complete, entries, notifiedAt)
}

// Attempt implements engine.Transport.
func (t *transport) Attempt(endpointID string, c *engine.Call, timeout time.Duration) engine.Exchange {
	next := t.Transport.Attempt(endpointID, c, timeout)
	if next == nil || t.deduplicator.effects[c.Class] == balancer.Idempotent {
		return next
	}
	return &exchange{
		Exchange:     next,
		deduplicator: t.deduplicator,
		fingerprint:  fingerprint(c),
		location:     t.locationOf(endpointID),
		deadline:     time.Now().Add(timeout),
		abandoned:    make(chan struct{}),
	}
}

func (t *transport) locationOf(endpointID string) balancer.Location {
	endpoint, ok := t.endpoints[endpointID]
	return balancer.Location{
		Zone:    endpoint.Zone,
		Cell:    endpoint.Cell,
		Unknown: endpoint.LocationUnknown || !ok,
	}
}

// exchange wraps an attempt that has to wait until its intent is durable.
type exchange struct {
	engine.Exchange
	deduplicator *Deduplicator
	fingerprint  idempotency.Fingerprint
	location     balancer.Location
	deadline     time.Time

	mu        sync.Mutex
	started   bool          // the wrapped exchange may run
	abandoned chan struct{} // closed when the wrapped exchange must no longer be started
}

// Run waits until the intent is durable and then runs the wrapped exchange. The outcome of an attempt that was not sent
// has the result NotSent, which means that the attempt never ran and which says nothing about the health of its
// endpoint. Outcome.Elapsed does not include the time of the wait.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	waitStart := time.Now()
	attempt, err := x.awaitIntent()
	if err != nil {
		x.Exchange.Cancel()
		return engine.Outcome{Result: balancer.NotSent, Err: err}
	}
	waited := time.Since(waitStart)
	outcome := x.Exchange.Run(begin)
	outcome.Elapsed = max(0, outcome.Elapsed-waited)
	x.deduplicator.endAttempt(x.fingerprint, attempt, outcome.Result.MayHaveRun(), outcome.Final)
	return outcome
}

// Cancel implements engine.Exchange. It also ends the wait for the intent.
func (x *exchange) Cancel() {
	x.abandon()
	x.Exchange.Cancel()
}

// CancelUnsent implements engine.Exchange. It also ends the wait for the intent.
func (x *exchange) CancelUnsent() {
	x.abandon()
	x.Exchange.CancelUnsent()
}

// abandon prevents the wrapped exchange from being started. It has no effect if the wrapped exchange has been started
// already.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.started {
		return
	}
	select {
	case <-x.abandoned:
	default:
		close(x.abandoned)
	}
}

// start reports whether the wrapped exchange may run: it may unless it has been abandoned. After start has returned
// true, abandon has no effect.
//
// Guard: prevents an attempt from being sent whose record became durable only after its call had a result or its
// client had disconnected. Nobody would receive its response, and its record would be deleted, as if the attempt had
// never run. abandon and start take the same lock, so that only the first of them takes effect.
func (x *exchange) start() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.abandoned:
		return false
	default:
		x.started = true
		return true
	}
}

// awaitIntent registers the intent of an attempt, waits until the intent is durable or could not be stored, and decides
// whether the attempt may be sent. The error is the reason why the attempt must not be sent.
func (x *exchange) awaitIntent() (*idempotency.Attempt, error) {
	d := x.deduplicator
	attempt, written, err := d.beginAttempt(x.fingerprint, x.location)
	if err != nil {
		return nil, err
	}
	err = x.awaitWrite(written)
	if err == nil {
		err = d.checkDurable(attempt)
	}
	if err == nil && !x.start() {
		err = errAbandoned
	}
	if err != nil {
		d.abandonAttempt(x.fingerprint, attempt, written)
		return nil, err
	}
	return attempt, nil
}

// awaitWrite waits until written is closed, which shows that the write has ended. It returns an error if the attempt
// reaches its deadline or is abandoned before that. If written is nil, it returns at once.
func (x *exchange) awaitWrite(written <-chan struct{}) error {
	if written == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	select {
	case <-written:
		return nil
	case <-timer.C:
		return errWriteTimeout
	case <-x.abandoned:
		return errAbandoned
	}
}
