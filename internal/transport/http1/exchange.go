package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
	"hazelwing/internal/netpeek"
)

// errUnwritableRequest says that a request cannot be written as HTTP/1.1.
var errUnwritableRequest = errors.New("the request cannot be written")

// exchange is one request to an endpoint and its response: an attempt or a probe. It implements engine.Exchange.
type exchange struct {
	pool      *Pool
	endpoint  *endpoint
	startedAt time.Time // when the engine asked for it
	// ctx ends with the exchange's timeout or with Cancel, which the engine may call before Run.
	ctx           context.Context //nolint:containedctx // one exchange is one operation, cancelled from outside of Run
	cancel        context.CancelFunc
	buildRequest  func(timeLeft time.Duration) *http.Request
	mayStart      func() bool                   // reports whether it may still start
	checkResponse func(*httpmsg.Response) error // checks a response with status 200; nil accepts any
	isProbe       bool                          // the response is a load report

	mu           sync.Mutex
	writeStarted bool // its first byte may have been written
	forbidden    bool // nothing may be written any more
}

// Attempt prepares an attempt of a call whose Payload is a *httpmsg.Request. It returns nil for an unknown endpoint, or
// another Payload.
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
	return x
}

// Probe prepares a probe, which asks for the load report. It returns nil for an unknown endpoint.
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

// Cancel ends the exchange. It does not block.
func (x *exchange) Cancel() { x.cancel() }

// CancelUnsent ends an exchange that has not started to write, so that claimWrite fails from then on.
func (x *exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.writeStarted {
		x.forbidden = true
		x.cancel()
	}
}

// claimWrite decides whether the request may be written to c. It may not if the exchange was cancelled, if the endpoint
// is known to drain or another process has taken its place, or if mayStart says no.
//
// Guard: prevents a dial that completes late from carrying a request for a client that has left, after the call's
// result, or to an endpoint that stops. It shows as work that nobody awaits, or as a reset. It holds because
// CancelUnsent takes the same lock, and because the client is looked at last: nothing blocks between that and the
// write.
func (x *exchange) claimWrite(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.forbidden || x.ctx.Err() != nil || !x.pool.maySend(x.endpoint, c.process) || !x.mayStart() {
		return false
	}
	x.writeStarted = true
	return true
}

// maySend reports whether a request may still be written to a connection to process to of e: while e is that process
// and is active. The drain grace allows no write: see Config.DrainGrace.
//
// Guard: prevents a dial that completes late, at a process that was slow when the drain came, from carrying a request
// to an endpoint that stops: it would be reset. It holds because nothing of the grace, which counts from when discovery
// wrote the drain, is used once the drain is known.
func (p *Pool) maySend(e *endpoint, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.process == to && e.removedAt.IsZero()
}

// Run carries the exchange out. It returns by the exchange's timeout; no response is a stream.
func (x *exchange) Run(func(any) bool) engine.Outcome {
	defer x.cancel()
	outcome := x.roundTrip()
	outcome.Elapsed = time.Since(x.startedAt)
	return outcome
}

// roundTrip writes the request once and reads its response. Before it returns, the connection is closed or back in the
// pool.
//
// Guard: prevents an attempt that is over for the Balancer from still running at its endpoint beside the next one,
// which would be the same effect twice. It holds because the deferred close comes before the outcome is returned.
func (x *exchange) roundTrip() engine.Outcome {
	if !x.mayStart() { // a dial for it would be for nothing
		return engine.Outcome{Result: x.unsentResult(nil)}
	}
	c, request, err := x.prepare()
	if err != nil {
		return engine.Outcome{Result: x.unsentResult(err), Err: err}
	}
	returned := false // to the pool
	defer func() {
		if !returned {
			_ = c.Close() // the exchange has its outcome by now
		}
	}()
	// The end of the context, by timeout or by cancel, ends all reading and writing.
	stop := context.AfterFunc(x.ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	})
	defer stop()
	if !x.claimWrite(c) {
		if stop() { // nothing was written: others may use it
			returned = true
			x.pool.put(x.endpoint, c)
		}
		return engine.Outcome{Result: x.unsentResult(x.ctx.Err()), Err: x.ctx.Err()}
	}
	resp, body, failure := x.transfer(c, request) //nolint:bodyclose // it was read; c is closed where it was not
	if resp == nil {
		return failure
	}
	if stop() && !resp.Close {
		returned = true
		x.pool.put(x.endpoint, c)
	}
	return x.outcomeFromResponse(resp, body)
}

// transfer writes the request to c and reads the response. The response is nil where there is none that can be used;
// the outcome then says why.
//
// Guard: prevents a request that was reset during its last byte from counting as never run, and a second one from
// having the same effect. It holds because an endpoint starts a request only when its last byte has come, and the
// kernel tells how many bytes it took.
func (x *exchange) transfer(c *conn, request []byte) (*http.Response, []byte, engine.Outcome) {
	c.limitedReader.N = maxResponseHeadBytes + x.pool.maxResponseBytes
	if n, err := c.Write(request); err != nil {
		if n < len(request) { // it never ran
			return nil, nil, engine.Outcome{Result: x.unsentResult(err), Err: err}
		}
		return nil, nil, engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	resp, body, err := c.readResponse(x.pool.maxResponseBytes)
	if err != nil {
		if c.limitedReader.N <= 0 {
			err = errResponseTooLong
		}
		return nil, nil, engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	return resp, body, engine.Outcome{}
}

// prepare returns a connection and the request to write to it. An idle connection is checked last, right before the
// write.
func (x *exchange) prepare() (*conn, []byte, error) {
	for {
		c, err := x.pool.get(x.ctx, x.endpoint)
		if err != nil {
			return nil, nil, err
		}
		deadline, _ := x.ctx.Deadline() // newExchange has set one
		var request bytes.Buffer
		if err := x.buildRequest(time.Until(deadline)).Write(&request); err != nil {
			_ = c.Close() // nothing was written to it
			return nil, nil, fmt.Errorf("%w: %w", errUnwritableRequest, err)
		}
		if c.idleSince.IsZero() {
			return c, request.Bytes(), nil
		}
		switch c.peek() {
		case netpeek.Idle:
			return c, request.Bytes(), nil
		case netpeek.Readable:
			x.pool.recordUnsolicitedData()
		}
		_ = c.Close() // nothing was written to it
	}
}
