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
	pool   *Pool
	up     *upstream
	sent   time.Time // when it was asked for
	ctx    context.Context
	cancel context.CancelFunc
	build  func(left time.Duration) *http.Request
	permit func() bool                 // whether it may still begin
	check  func(*httpmsg.Answer) error // of an answer with status 200; nil: any is good
	load   bool                        // the answer is a load report

	mu      sync.Mutex
	begun   bool // its first byte may be written
	stopped bool // it never will be
}

// Attempt prepares an attempt of a call whose Payload is a *httpmsg.Request.
func (p *Pool) Attempt(member string, c *engine.Call, timeout time.Duration) engine.Exchange {
	u := p.find(member)
	if u == nil {
		return nil
	}
	r := c.Payload.(*httpmsg.Request)
	x := p.exchange(u, timeout, func(left time.Duration) *http.Request { return onward(r, left) })
	x.check, x.permit = r.Check, c.MayStart()
	return x
}

// Probe prepares a probe, which asks for the load report.
func (p *Pool) Probe(member string, timeout time.Duration) engine.Exchange {
	u := p.find(member)
	if u == nil {
		return nil
	}
	x := p.exchange(u, timeout, probeRequest)
	x.load = true
	return x
}

// onward is the request as it goes on to an upstream, which is told how long we wait.
func onward(r *httpmsg.Request, left time.Duration) *http.Request {
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

func (p *Pool) exchange(u *upstream, timeout time.Duration, build func(time.Duration) *http.Request) *exchange {
	x := &exchange{pool: p, up: u, sent: time.Now(), build: build, permit: func() bool { return true }}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.sent.Add(timeout))
	return x
}

// Cancel ends the exchange.
func (x *exchange) Cancel() { x.cancel() }

// Forbid stops an exchange that has not begun to write. Guards against a dial that finishes after the request's
// final answer: its request would be sent for nothing, and could run.
func (x *exchange) CancelUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.begun {
		x.stopped = true
		x.cancel()
	}
}

// begin claims the right to write to c: neither was the exchange stopped, nor has its client left, nor is the upstream's drain
// known, nor has another process taken its place. Guards against a dial that finishes late. The client is looked at last of all:
// nothing is waited for between that and the write.
func (x *exchange) begin(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped || x.ctx.Err() != nil || !x.pool.maySend(x.up, c.to) || !x.permit() {
		return false
	}
	x.begun = true
	return true
}

// Run carries the exchange out. It returns by the exchange's deadline; no answer is a stream.
func (x *exchange) Run(func(any) bool) engine.Outcome {
	defer x.cancel()
	o := x.attempt()
	o.Elapsed = time.Since(x.sent)
	return o
}

// attempt writes the request once and reads its answer. What proves that a request never ran (the platform's protocol
// page) is all in here: unsent, for a request not written whole, and result, for an answer that says so.
func (x *exchange) attempt() engine.Outcome {
	if !x.permit() { // a dial for it would be for nothing
		return engine.Outcome{Result: x.unsent(nil)}
	}
	c, text, err := x.ready()
	if err != nil {
		return engine.Outcome{Result: x.unsent(err), Err: err}
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
	if !x.begin(c) {
		if release() { // nothing was written: others may use it
			keep = true
			x.pool.put(x.up, c)
		}
		return engine.Outcome{Result: x.unsent(x.ctx.Err()), Err: x.ctx.Err()}
	}
	c.limit.N = maxHead + x.pool.body
	if n, err := c.Write(text); err != nil {
		if n < len(text) { // the upstream begins a request when its last byte has come
			return engine.Outcome{Result: x.unsent(err), Err: err}
		}
		return engine.Outcome{Result: x.broken(err), Err: err}
	}
	resp, body, err := c.readAnswer(x.pool.body)
	if err != nil {
		if c.limit.N <= 0 {
			err = errLong
		}
		return engine.Outcome{Result: x.broken(err), Err: err}
	}
	if release() && !resp.Close {
		keep = true
		x.pool.put(x.up, c)
	}
	a := &httpmsg.Answer{Status: resp.StatusCode, Header: httpmsg.Onward(resp.Header), Body: body}
	o := engine.Outcome{Result: result(resp), Answer: a}
	if o.Result == balancer.OK && x.check != nil {
		if err := x.check(a); err != nil { // it has run, and what came is of no use
			return engine.Outcome{Result: balancer.ServerError, Err: err}
		}
	}
	o.Final = o.Result == balancer.OK || httpmsg.TurnedDown(a.Status)
	if x.load {
		o.Load = load(a)
	}
	return o
}

// ready returns a connection and the request to write to it. An idle one is looked at last of all, right before the
// write.
func (x *exchange) ready() (*conn, []byte, error) {
	for {
		c, err := x.pool.get(x.ctx, x.up)
		if err != nil {
			return nil, nil, err
		}
		deadline, _ := x.ctx.Deadline()
		var text bytes.Buffer
		if err := x.build(time.Until(deadline)).Write(&text); err != nil {
			c.Close()
			return nil, nil, fmt.Errorf("%w: %w", errUnsendable, err)
		}
		if c.since.IsZero() {
			return c, text.Bytes(), nil
		}
		switch c.look() {
		case netpeek.Silent:
			return c, text.Bytes(), nil
		case netpeek.Spoke:
			x.pool.spoke()
		}
		c.Close()
	}
}

// unsent is the result of an exchange whose request was not written whole.
func (x *exchange) unsent(err error) balancer.Result {
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case err == nil || errors.Is(err, errFull) || errors.Is(err, errUnsendable): // the upstream is not to blame
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// broken is the result of an exchange whose request was written and whose answer did not come whole. An answer that
// came and cannot be used is an error of a process that lives. Guards against taking it for dead: what spoils answers
// may do so with those of all upstreams.
func (x *exchange) broken(err error) balancer.Result {
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
