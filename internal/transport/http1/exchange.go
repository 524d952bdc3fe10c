package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
	"hazelwing/internal/netpeek"
)

// exchange is one request to an upstream and its answer: an attempt or a probe.
type exchange struct {
	pool          *Pool
	upstream      *upstream
	startedAt     time.Time // when it was asked for
	ctx           context.Context
	cancel        context.CancelFunc
	buildRequest  func(left time.Duration) *http.Request
	mayStart      func() bool                   // whether it may still begin
	checkResponse func(*httpmsg.Response) error // of an answer with status 200; nil: any is good
	isProbe       bool                          // the answer is a load report

	mu           sync.Mutex
	writeStarted bool // its first byte may be written
	forbidden    bool // it never will be
}

// Attempt prepares an attempt of a call whose Payload is a *httpmsg.Request.
func (p *Pool) Attempt(member string, c *engine.Call, timeout time.Duration) engine.Exchange {
	u := p.find(member)
	if u == nil {
		return nil
	}
	r := c.Payload.(*httpmsg.Request)
	x := p.newExchange(u, timeout, func(left time.Duration) *http.Request { return forwardedRequest(r, left) })
	x.checkResponse, x.mayStart = r.Check, c.MayStart()
	return x
}

// Probe prepares a probe, which asks for the load report.
func (p *Pool) Probe(member string, timeout time.Duration) engine.Exchange {
	u := p.find(member)
	if u == nil {
		return nil
	}
	x := p.newExchange(u, timeout, probeRequest)
	x.isProbe = true
	return x
}

// onward is the request as it goes on to an upstream, which is told how long we wait.
func forwardedRequest(r *httpmsg.Request, left time.Duration) *http.Request {
	req, _ := http.NewRequest(r.Method, "http://upstream.internal", nil)
	req.URL.Opaque = r.URI
	req.Host = r.Host
	req.Header = r.Header.Clone()
	req.Header.Set(httpmsg.DeadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if _, told := req.Header["User-Agent"]; !told {
		req.Header["User-Agent"] = []string{""} // none is added
	}
	if req.Method != http.MethodGet || len(r.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
		if len(r.Body) == 0 {
			req.Body = http.NoBody
		}
	}
	return req
}

func (p *Pool) newExchange(u *upstream, timeout time.Duration, build func(time.Duration) *http.Request) *exchange {
	x := &exchange{pool: p, upstream: u, startedAt: time.Now(), buildRequest: build, mayStart: func() bool { return true }}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.startedAt.Add(timeout))
	return x
}

// Cancel ends the exchange.
func (x *exchange) Cancel() { x.cancel() }

// Forbid stops an exchange that has not begun to write. Guards against a dial that finishes after the request's
// final answer: its request would be sent for nothing, and could run.
func (x *exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.writeStarted {
		x.forbidden = true
		x.cancel()
	}
}

// begin claims the right to write to c: neither was the exchange stopped, nor has its client left, nor is the upstream's drain
// known, nor has another process taken its place. Guards against a dial that finishes late. The client is looked at last of all:
// nothing is waited for between that and the write.
func (x *exchange) claimWrite(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.forbidden || x.ctx.Err() != nil || !x.pool.maySend(x.upstream, c.process) || !x.mayStart() {
		return false
	}
	x.writeStarted = true
	return true
}

// Run carries the exchange out. It returns by the exchange's deadline; no answer is a stream.
func (x *exchange) Run(func(any) bool) engine.Outcome {
	defer x.cancel()
	o := x.roundTrip()
	o.Elapsed = time.Since(x.startedAt)
	return o
}

// attempt writes the request once and reads its answer. What proves that a request never ran (the platform's protocol
// page) is all in here: unsent, for a request not written whole, and result, for an answer that says so.
func (x *exchange) roundTrip() engine.Outcome {
	if !x.mayStart() { // a dial for it would be for nothing
		return engine.Outcome{Result: x.unsentResult(nil)}
	}
	c, text, err := x.prepare()
	if err != nil {
		return engine.Outcome{Result: x.unsentResult(err), Err: err}
	}
	keep := false
	defer func() {
		if !keep {
			c.Close()
		}
	}()
	// The end of the context, by time or by cancel, ends all reading and writing.
	release := context.AfterFunc(x.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer release()
	if !x.claimWrite(c) {
		if release() { // nothing was written: others may use it
			keep = true
			x.pool.put(x.upstream, c)
		}
		return engine.Outcome{Result: x.unsentResult(x.ctx.Err()), Err: x.ctx.Err()}
	}
	c.limited.N = maxResponseHeadBytes + x.pool.maxResponseBytes
	if n, err := c.Write(text); err != nil {
		if n < len(text) { // the upstream begins a request when its last byte has come
			return engine.Outcome{Result: x.unsentResult(err), Err: err}
		}
		return engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	resp, body, err := c.readResponse(x.pool.maxResponseBytes)
	if err != nil {
		if c.limited.N <= 0 {
			err = errResponseTooLong
		}
		return engine.Outcome{Result: x.brokenResult(err), Err: err}
	}
	if release() && !resp.Close {
		keep = true
		x.pool.put(x.upstream, c)
	}
	a := &httpmsg.Response{Status: resp.StatusCode, Header: httpmsg.EndToEndHeaders(resp.Header), Body: body}
	o := engine.Outcome{Result: resultFromResponse(resp), Answer: a}
	if o.Result == balancer.OK && x.checkResponse != nil {
		if err := x.checkResponse(a); err != nil { // it has run, and what came is of no use
			return engine.Outcome{Result: balancer.ServerError, Err: err}
		}
	}
	o.Final = o.Result == balancer.OK || httpmsg.IsRequestError(a.Status)
	if x.isProbe {
		o.Load = loadReportFromResponse(a)
	}
	return o
}

// ready returns a connection and the request to write to it. An idle one is looked at last of all, right before the
// write.
func (x *exchange) prepare() (*conn, []byte, error) {
	for {
		c, err := x.pool.get(x.ctx, x.upstream)
		if err != nil {
			return nil, nil, err
		}
		deadline, _ := x.ctx.Deadline()
		var text bytes.Buffer
		if err := x.buildRequest(time.Until(deadline)).Write(&text); err != nil {
			c.Close()
			return nil, nil, fmt.Errorf("%w: %w", errUnwritableRequest, err)
		}
		if c.idleSince.IsZero() {
			return c, text.Bytes(), nil
		}
		switch c.peek() {
		case netpeek.Idle:
			return c, text.Bytes(), nil
		case netpeek.Readable:
			x.pool.noteUnsolicitedData()
		}
		c.Close()
	}
}

// unsent is the result of an exchange whose request was not written whole.
func (x *exchange) unsentResult(err error) balancer.Result {
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case err == nil || errors.Is(err, errConnLimit) || errors.Is(err, errUnwritableRequest): // the upstream is not to blame
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// broken is the result of an exchange whose request was written and whose answer did not come whole. An answer that
// came and cannot be used is an error of a process that lives. Guards against taking it for dead: what spoils answers
// may do so with those of all upstreams.
func (x *exchange) brokenResult(err error) balancer.Result {
	switch x.ctx.Err() {
	case context.Canceled:
		return balancer.Cancelled
	case context.DeadlineExceeded:
		return balancer.Timeout
	}
	var network *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) && !network.Timeout() {
		return balancer.Reset
	}
	return balancer.ServerError
}
