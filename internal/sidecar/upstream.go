package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hazelwing/balancer"
)

// Exchanges with upstreams, and the connections for them. net/http's Transport would send a request again by itself
// when a reused connection breaks; here each exchange writes its request once, to one connection.

const (
	maxBody      = 64 << 10         // of a request or an answer
	maxHead      = 64 << 10         // of an answer
	idlePer      = 8                // idle connections kept for each upstream
	idleShare    = 0.75             // of the time after which the upstream closes them
	sweepEvery   = time.Second      // how often idle connections are looked through
	defaultIdle  = 10 * time.Second // where the settings give no time
	defaultDial  = 250 * time.Millisecond
	defaultGrace = 250 * time.Millisecond
)

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// conn is a connection to an upstream, with at most one request on it.
type conn struct {
	net.Conn
	limit *io.LimitedReader // bounds what one answer may bring
	r     *bufio.Reader
	since time.Time // idle since
	slot  func()    // gives back its place among the open ones
}

func (c *conn) Close() error {
	c.slot()
	return c.Conn.Close()
}

// silent says that an idle connection is still open and the upstream has said nothing on it. Guards against
// connections that the upstream closed, or that its death reset: a request written there would count as reset.
func (c *conn) silent() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// pool holds the idle connections to all upstreams.
type pool struct {
	dial  net.Dialer
	idle  time.Duration // how long a connection is kept
	grace time.Duration // how long after news of its drain an upstream may still be sent to
	max   int           // open connections

	mu   sync.Mutex
	open int
	ups  map[string]*upstream
}

// upstream is where an upstream listens, and the idle connections to it. The pool's lock guards it.
type upstream struct {
	id     string
	addr   string
	bornMS float64
	idle   []*conn   // the latest last
	left   time.Time // when it was told to drain or to be gone; zero: active
}

func newPool(connect, idle, grace time.Duration, limit int) *pool {
	if connect <= 0 {
		connect = defaultDial
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	if grace <= 0 {
		grace = defaultGrace
	}
	return &pool{dial: net.Dialer{Timeout: connect}, idle: time.Duration(float64(idle) * idleShare), grace: grace,
		max: limit, ups: map[string]*upstream{}}
}

// sweep closes connections that have stood idle for long, until ctx ends.
func (p *pool) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, u := range p.ups {
			n := 0
			for n < len(u.idle) && time.Since(u.idle[n].since) > p.idle {
				n++
			}
			p.drop(u, n)
		}
		p.mu.Unlock()
	}
}

// drop closes the n oldest idle connections of u. The lock is held.
func (p *pool) drop(u *upstream, n int) {
	for _, c := range u.idle[:n] {
		c.Conn.Close()
		p.open--
	}
	u.idle = append(u.idle[:0], u.idle[n:]...)
}

// find returns the upstream named id, or nil.
func (p *pool) find(id string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ups[id]
}

// close closes the idle connections to the upstream named id.
func (p *pool) close(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.ups[id]; u != nil {
		p.drop(u, len(u.idle))
	}
}

// update follows the list. An upstream that drains or is gone is not forgotten: attempts may be on their way to it.
func (p *pool) update(whole bool, hosts []host, told time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := map[string]bool{}
	for _, h := range hosts {
		u := p.ups[h.Host]
		if state, err := h.state(); err != nil || state != balancer.Active {
			if u != nil {
				p.leave(u, told)
			}
			continue
		}
		active[h.Host] = true
		if u == nil {
			u = &upstream{id: h.Host}
			p.ups[h.Host] = u
		}
		if u.addr != h.Dial || u.bornMS != h.BornMS { // another process: the connections are the old one's
			p.drop(u, len(u.idle))
		}
		u.addr, u.bornMS, u.left = h.Dial, h.BornMS, time.Time{}
	}
	for id, u := range p.ups {
		if whole && !active[id] {
			p.leave(u, told)
		}
		if !u.left.IsZero() && told.Sub(u.left) > p.grace {
			delete(p.ups, id)
		}
	}
}

// leave marks u as draining or gone since told. The lock is held.
func (p *pool) leave(u *upstream, told time.Time) {
	if u.left.IsZero() {
		u.left = told
	}
	p.drop(u, len(u.idle))
}

// maySend says whether a request may still be written to u.
func (p *pool) maySend(u *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.left.IsZero() || time.Since(u.left) < p.grace
}

// errFull says that this sidecar holds as many connections as it may.
var errFull = errors.New("too many connections open")

// get returns an idle connection to u that is still open, or a new one.
func (p *pool) get(ctx context.Context, u *upstream) (*conn, error) {
	p.mu.Lock()
	addr := u.addr
	for n := len(u.idle); n > 0; n = len(u.idle) {
		c := u.idle[n-1]
		u.idle = u.idle[:n-1]
		if time.Since(c.since) < p.idle && c.silent() {
			p.mu.Unlock()
			return c, nil
		}
		c.Conn.Close()
		p.open--
	}
	for _, o := range p.ups { // make room: an idle connection can be opened again
		if p.open >= p.max && len(o.idle) > 0 {
			p.drop(o, 1)
		}
	}
	if p.open >= p.max {
		p.mu.Unlock()
		return nil, errFull
	}
	p.open++
	p.mu.Unlock()

	slot := func() {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
	}
	nc, err := p.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		slot()
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limit: limit, r: bufio.NewReader(limit), slot: sync.OnceFunc(slot)}, nil
}

// put keeps a connection whose answer was read to its end, unless there are enough.
func (p *pool) put(u *upstream, c *conn) {
	p.mu.Lock()
	if u.left.IsZero() && p.ups[u.id] == u && len(u.idle) < idlePer && c.r.Buffered() == 0 {
		c.since = time.Now()
		u.idle = append(u.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}

// exchange is one request to an upstream and its answer: an attempt or a probe.
type exchange struct {
	pool   *pool
	up     *upstream
	sent   time.Time // when it was asked for
	ctx    context.Context
	cancel context.CancelFunc
	build  func(left time.Duration) *http.Request

	mu      sync.Mutex
	begun   bool // its first byte may be written
	stopped bool // it never will be
}

func (p *pool) exchange(u *upstream, timeout time.Duration, build func(time.Duration) *http.Request) *exchange {
	x := &exchange{pool: p, up: u, sent: time.Now(), build: build}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.sent.Add(timeout))
	return x
}

// forbid stops an exchange that has not begun to write. Guards against a dial that finishes after the request's
// final answer: its request would be sent for nothing, and could run.
func (x *exchange) forbid() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.begun {
		x.stopped = true
		x.cancel()
	}
}

// begin claims the right to write: neither was the exchange stopped, nor has the upstream's drain been known for
// longer than its grace. Guards against a dial that finishes late.
func (x *exchange) begin() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped || x.ctx.Err() != nil || !x.pool.maySend(x.up) {
		return false
	}
	x.begun = true
	return true
}

// outcome is how an exchange ended.
type outcome struct {
	result  balancer.Result
	elapsed time.Duration
	answer  *answer // where one came whole
	err     error
}

// run carries the exchange out. It returns by the exchange's deadline.
func (x *exchange) run() outcome {
	defer x.cancel()
	o := x.attempt()
	o.elapsed = time.Since(x.sent)
	return o
}

func (x *exchange) attempt() outcome {
	c, err := x.pool.get(x.ctx, x.up)
	if err != nil {
		return outcome{result: x.unsent(err), err: err}
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

	deadline, _ := x.ctx.Deadline()
	req := x.build(time.Until(deadline))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return outcome{result: balancer.Moot, err: err}
	}
	if !x.begin() {
		return outcome{result: x.unsent(x.ctx.Err()), err: x.ctx.Err()}
	}
	c.limit.N = maxHead + maxBody
	if n, err := c.Write(text.Bytes()); err != nil {
		if n < text.Len() { // the upstream begins a request when its last byte has come
			return outcome{result: x.unsent(err), err: err}
		}
		return outcome{result: x.broken(), err: err}
	}
	resp, body, err := readAnswer(c.r, req)
	if err != nil {
		if c.limit.N <= 0 || errors.Is(err, errLong) {
			return outcome{result: balancer.ServerError, err: errLong}
		}
		return outcome{result: x.broken(), err: err}
	}
	if release() && !resp.Close {
		keep = true
		x.pool.put(x.up, c)
	}
	return outcome{result: result(resp), answer: &answer{resp.StatusCode, onward(resp.Header), body}}
}

// unsent is the result of an exchange whose request was not written whole.
func (x *exchange) unsent(err error) balancer.Result {
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case err == nil || errors.Is(err, errFull): // the upstream is not to blame
		return balancer.Moot
	}
	return balancer.ConnectFailed
}

// broken is the result of an exchange whose request was written and whose answer did not come whole.
func (x *exchange) broken() balancer.Result {
	switch x.ctx.Err() {
	case context.Canceled:
		return balancer.Cancelled
	case context.DeadlineExceeded:
		return balancer.Timeout
	}
	return balancer.Reset
}

var errLong = fmt.Errorf("the answer is longer than %d bytes", maxBody)

// readAnswer reads a whole answer.
func readAnswer(r *bufio.Reader, req *http.Request) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // interim answers say nothing yet
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		resp.Body.Close()
		if err == nil && len(body) > maxBody {
			err = errLong
		}
		return resp, body, err
	}
}

// notRun is the header with which an upstream says that it turned a request away unseen.
const notRun = "X-Not-Run"

func result(resp *http.Response) balancer.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(notRun) == "1" {
			return balancer.Overloaded
		}
	}
	return balancer.ServerError
}

// Probes.

const loadPath = "/metrics/load"

func probeRequest(time.Duration) *http.Request {
	req, _ := http.NewRequest(http.MethodGet, "http://upstream.internal"+loadPath, nil)
	req.Header.Set("User-Agent", "")
	return req
}

// load reads what a probe's answer says of the requests that the upstream holds.
func load(a *answer) balancer.Load {
	if a == nil || a.status != http.StatusOK {
		return balancer.Load{}
	}
	text := a.header.Get("X-Load")
	if text == "" {
		text = string(a.body)
	}
	var l balancer.Load
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if name = strings.TrimSpace(name); name != "inflight" && name != "queue" {
			continue
		}
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 {
			l.Told, l.Held = true, max(l.Held, x)
		}
	}
	return l
}
