package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hazelwing/internal/budget"
	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
	"hazelwing/internal/netpeek"
)

// usualHeadBytes is the space for the head of an encoded request. With a lower value, more buffers have to grow.
const usualHeadBytes = 1 << 10

// errUnwritableRequest means that a request could not be encoded as HTTP/1.1.
var errUnwritableRequest = errors.New("request cannot be encoded as HTTP/1.1")

// exchange is one request to an endpoint and its response, for an attempt or a probe. It implements engine.Exchange.
type exchange struct {
	pool      *Pool
	endpoint  *endpoint
	startedAt time.Time // when the engine created the exchange
	// ctx ends at the exchange's timeout, or when the engine calls Cancel or CancelUnsent, which may happen before Run.
	ctx           context.Context //nolint:containedctx // an exchange is one operation; Cancel ends it from outside
	cancel        context.CancelFunc
	buildRequest  func(timeLeft time.Duration) *http.Request
	mayStart      func() bool                   // reports whether the attempt may still start
	checkResponse func(*httpmsg.Response) error // checks a response with status 200; nil accepts all
	isProbe       bool                          // the exchange is a probe: its response has a load report
	bodySize      int                           // size of the request's body
	requestMemory *budget.Reservation           // reservation for the request
	// responseMemory is the reservation for the responses. The front that writes the last one releases it; otherwise it
	// lasts until that response is discarded.
	responseMemory *budget.Reservation

	mu           sync.Mutex
	writeStarted bool // the first byte of the request may have been written
	forbidden    bool // the request must not be written any more
}

// Attempt prepares an attempt of a call whose Payload is a *httpmsg.Request. It returns nil if the endpoint is unknown
// or the Payload has another type.
func (p *Pool) Attempt(id string, c *engine.Call, timeout time.Duration) engine.Exchange {
	e := p.find(id)
	if e == nil {
		return nil
	}
	r, ok := c.Payload.(*httpmsg.Request)
	if !ok {
		return nil
	}
	x := p.newExchange(e, timeout, func(timeLeft time.Duration) *http.Request { return forwardedRequest(r, timeLeft) })
	x.checkResponse = r.Check
	x.mayStart = c.MayStart()
	x.requestMemory = r.Memory
	x.bodySize = len(r.Body)
	return x
}

// Probe prepares a probe, which requests the load report. It returns nil if the endpoint is unknown.
func (p *Pool) Probe(id string, timeout time.Duration) engine.Exchange {
	e := p.find(id)
	if e == nil {
		return nil
	}
	x := p.newExchange(e, timeout, probeRequest)
	x.isProbe = true
	return x
}

func (p *Pool) newExchange(e *endpoint, timeout time.Duration, build func(time.Duration) *http.Request) *exchange {
	x := &exchange{
		pool:         p,
		endpoint:     e,
		startedAt:    time.Now(),
		buildRequest: build,
		mayStart:     func() bool { return true },
	}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.startedAt.Add(timeout))
	return x
}

// hasTimedOut reports whether the exchange's timeout has ended.
func (x *exchange) hasTimedOut() bool { return errors.Is(x.ctx.Err(), context.DeadlineExceeded) }

// Cancel ends the exchange. It does not block.
func (x *exchange) Cancel() { x.cancel() }

// CancelUnsent ends an exchange that has not started to write. From then on, claimWrite returns false.
func (x *exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.writeStarted {
		x.forbidden = true
		x.cancel()
	}
}

// claimWrite reports whether the request may be written to c, and if so records that the write starts. It returns false
// if the exchange was cancelled or has timed out, if the endpoint is known to drain or was replaced by another process,
// or if mayStart returns false.
//
// Guard: prevents a connection that is established late from carrying a request whose client has disconnected, whose
// call already has its result, or whose endpoint is stopping. The symptom is work that no client waits for, or a reset.
// This holds because CancelUnsent acquires the same mutex, and because the client's connection is checked last: nothing
// blocks between that check and the write.
func (x *exchange) claimWrite(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.forbidden || x.ctx.Err() != nil || !x.pool.maySend(x.endpoint, c.process) || !x.mayStart() {
		return false
	}
	x.writeStarted = true
	return true
}

// maySend reports whether a request may still be written to a connection to the given process of e. It returns true
// while e is active and still that process. The drain grace does not extend this (see Config.DrainGrace).
//
// Guard: prevents a connection that is established late, because the endpoint was slow when its drain began, from
// carrying a request to the stopping endpoint: the request would be reset. This holds because no request is written
// once the drain is known. The drain grace does not permit later writes, because it counts from the time at which
// discovery recorded the drain, and the notification may arrive much later.
func (p *Pool) maySend(e *endpoint, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.process == to && e.removedAt.IsZero()
}

// Run performs the exchange, and returns no later than its timeout. It never calls its argument, because no response is
// a stream.
func (x *exchange) Run(func(any) bool) engine.Outcome {
	defer x.cancel()
	if x.requestMemory.Retain() {
		defer x.requestMemory.Release()
	}
	x.responseMemory = x.pool.memory.Reserve(budget.Responses)
	defer x.responseMemory.Release()
	outcome := x.roundTrip()
	outcome.Elapsed = time.Since(x.startedAt)
	return outcome
}

// roundTrip writes the request once and reads its response. Before it returns, the connection was closed or returned to
// the pool.
//
// Guard: prevents an attempt that has ended for the Balancer from still running at its endpoint while the next attempt
// runs there or elsewhere, which could apply the same effect twice. This holds because the deferred close happens
// before the outcome is returned.
func (x *exchange) roundTrip() engine.Outcome {
	if !x.mayStart() { // so that no connection is opened in vain
		return engine.Outcome{Result: x.unsentResult(nil)}
	}
	c, request, err := x.prepare()
	if err != nil {
		return engine.Outcome{
			Result:  x.unsentResult(err),
			Err:     err,
			Refused: errors.Is(err, syscall.ECONNREFUSED),
			Expired: x.hasTimedOut(),
		}
	}
	returned := false // whether c was returned to the pool
	defer func() {
		if !returned {
			x.pool.traceClose(x.endpoint.id, "exchange ended without a reusable response")
			_ = c.Close() // the exchange already has its outcome
		}
	}()
	// When the context ends, by the timeout or by Cancel, the deadline ends all reads and writes.
	stop := context.AfterFunc(x.ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	})
	defer stop()
	if !x.claimWrite(c) {
		if stop() { // nothing was written, so the connection can be reused
			returned = true
			x.pool.put(x.endpoint, c)
		}
		return engine.Outcome{Result: x.unsentResult(x.ctx.Err()), Err: x.ctx.Err()}
	}
	resp, body, failure := x.transfer(c, request) //nolint:bodyclose // the body was read, or c is closed
	if resp == nil {
		return failure
	}
	c.respondedAt = time.Now()
	if stop() && !resp.Close {
		returned = true
		x.pool.put(x.endpoint, c)
	}
	keepMemory(body, x.responseMemory)
	return x.outcomeFromResponse(resp, body)
}

// transfer writes the request to c and reads the response. If there is no usable response, it returns nil and the
// outcome.
//
// Guard: prevents a request whose connection was reset during its last byte from counting as not run: a retry could
// apply the same effect twice. This holds because an endpoint starts a request only when its last byte has arrived, and
// because the kernel reports how many bytes it accepted.
func (x *exchange) transfer(c *conn, request []byte) (*http.Response, []byte, engine.Outcome) {
	c.limitedReader.N = maxResponseHeadBytes + x.pool.maxResponseBytes
	if n, err := c.Write(request); err != nil {
		if n < len(request) { // the request never ran
			return nil, nil, engine.Outcome{Result: x.unsentResult(err), Err: err, Expired: x.hasTimedOut()}
		}
		return nil, nil, engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	resp, body, err := c.readResponse(&bodyReader{
		ctx:      x.ctx,
		memory:   x.responseMemory,
		maxBytes: x.pool.maxResponseBytes,
		onLimit:  x.pool.onMemoryLimit,
		pool:     x.pool,
	})
	if err != nil {
		if c.limitedReader.N <= 0 {
			limit := maxResponseHeadBytes + x.pool.maxResponseBytes
			err = fmt.Errorf("%w: head and body exceed %d bytes", errResponseTooLong, limit)
		}
		return nil, nil, engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	return resp, body, engine.Outcome{}
}

// requestSize returns an estimate of the size of the encoded request.
func (x *exchange) requestSize() int { return x.bodySize + usualHeadBytes }

// prepare returns a connection and the encoded request. It checks an idle connection last, immediately before the
// write.
func (x *exchange) prepare() (*conn, []byte, error) {
	for {
		c, err := x.pool.get(x.ctx, x.endpoint) // waits, so that the deadline that the request states is set after it
		if err != nil {
			return nil, nil, err
		}
		deadline, _ := x.ctx.Deadline() // newExchange has set it
		var request bytes.Buffer
		request.Grow(x.requestSize())
		if err := x.buildRequest(time.Until(deadline)).Write(&request); err != nil {
			_ = c.Close() // nothing was written to it
			return nil, nil, fmt.Errorf("%w: %w", errUnwritableRequest, err)
		}
		if c.idleSince.IsZero() {
			return c, request.Bytes(), nil
		}
		if c.peek() == netpeek.Idle {
			return c, request.Bytes(), nil
		}
		x.pool.traceClose(x.endpoint.id, "closed by the endpoint, or unsolicited data")
		_ = c.Close() // nothing was written to it
	}
}
