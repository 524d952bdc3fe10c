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
	"slices"
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
	maxBody      = 64 << 10         // of a request
	maxHead      = 64 << 10         // of an answer
	leastAnswer  = 512 << 10        // what the body of an answer may be at least; more where there is memory
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
	to    process
	limit *io.LimitedReader // bounds what one answer may bring
	r     *bufio.Reader
	since time.Time // idle since
	slot  func()    // gives back its place among the open ones

	stall time.Duration // how long an answer that has begun may pause
	late  *time.Timer   // set while one comes
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.late != nil {
		c.late.Reset(c.stall)
	}
	return n, err
}

// process is an upstream's process as the list shows it: connections are to one of these.
type process struct {
	addr   string
	bornMS float64
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
	body  int64         // bytes of an answer's body

	mu      sync.Mutex
	open    int
	waiting []chan struct{} // for a place among the open ones, longest first
	ups     map[string]*upstream
}

// upstream is where an upstream listens, and the idle connections to it. The pool's lock guards it.
type upstream struct {
	id string
	process
	idle []*conn   // the latest last
	left time.Time // when it was told to drain or to be gone; zero: active
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
		max: limit, body: leastAnswer, ups: map[string]*upstream{}}
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
		p.release()
	}
	u.idle = slices.Delete(u.idle, 0, n)
}

// release gives a place among the open connections back, or on to who waits for one. The lock is held.
func (p *pool) release() {
	if len(p.waiting) == 0 {
		p.open--
		return
	}
	close(p.waiting[0])
	p.waiting = slices.Delete(p.waiting, 0, 1)
}

// place waits for a place among the open connections, but not for longer than a connection may take to come up.
// Guards against bursts that use up all attempts of a request in a moment. The lock is held, and given back.
func (p *pool) place(ctx context.Context) error {
	if p.open < p.max {
		p.open++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.dial.Timeout)
	defer cancel()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else {
		p.release() // it came at the last moment
	}
	return errFull
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
		if now := (process{h.Dial, h.BornMS}); u.process != now { // the connections are the old one's
			p.drop(u, len(u.idle))
			u.process = now
		}
		u.left = time.Time{}
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

// maySend says whether a request may still be written to a connection to u's process.
func (p *pool) maySend(u *upstream, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.process == to && (u.left.IsZero() || time.Since(u.left) < p.grace)
}

// errFull says that this sidecar holds as many connections as it may.
var errFull = errors.New("too many connections open")

// get returns an idle connection to u, or a new one.
func (p *pool) get(ctx context.Context, u *upstream) (*conn, error) {
	p.mu.Lock()
	to := u.process
	if n := len(u.idle); n > 0 && time.Since(u.idle[n-1].since) < p.idle {
		c := u.idle[n-1]
		u.idle = slices.Delete(u.idle, n-1, n)
		p.mu.Unlock()
		return c, nil
	}
	p.drop(u, len(u.idle))    // the latest is too old, and so are the others
	for _, o := range p.ups { // make room: an idle connection can be opened again
		if p.open >= p.max && len(o.idle) > 0 {
			p.drop(o, 1)
		}
	}
	if err := p.place(ctx); err != nil {
		return nil, err
	}
	slot := func() {
		p.mu.Lock()
		p.release()
		p.mu.Unlock()
	}
	nc, err := p.dial.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		slot()
		return nil, err
	}
	c := &conn{Conn: nc, to: to, slot: sync.OnceFunc(slot), stall: p.dial.Timeout}
	c.limit = &io.LimitedReader{R: c}
	c.r = bufio.NewReader(c.limit)
	return c, nil
}

// put keeps a connection whose answer was read to its end, unless something is left on it, or u is another process by
// now than the one it was opened to, or others wait for its place.
func (p *pool) put(u *upstream, c *conn) {
	p.mu.Lock()
	if u.left.IsZero() && p.ups[u.id] == u && c.to == u.process && len(p.waiting) == 0 && c.r.Buffered() == 0 {
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

// begin claims the right to write to c: neither was the exchange stopped, nor has the upstream's drain been known for
// longer than its grace, nor has another process taken its place. Guards against a dial that finishes late.
func (x *exchange) begin(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped || x.ctx.Err() != nil || !x.pool.maySend(x.up, c.to) {
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
	c, text, err := x.ready()
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
	if !x.begin(c) {
		return outcome{result: x.unsent(x.ctx.Err()), err: x.ctx.Err()}
	}
	c.limit.N = maxHead + x.pool.body
	if n, err := c.Write(text); err != nil {
		if n < len(text) { // the upstream begins a request when its last byte has come
			return outcome{result: x.unsent(err), err: err}
		}
		return outcome{result: x.broken(err), err: err}
	}
	resp, body, err := c.readAnswer(x.pool.body)
	if err != nil {
		if c.limit.N <= 0 {
			err = errLong
		}
		return outcome{result: x.broken(err), err: err}
	}
	if release() && !resp.Close {
		keep = true
		x.pool.put(x.up, c)
	}
	return outcome{result: result(resp), answer: &answer{resp.StatusCode, onward(resp.Header), body}}
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
		if c.since.IsZero() || c.silent() {
			return c, text.Bytes(), nil
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
		return balancer.Moot
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

var (
	errLong       = errors.New("the answer is too long")
	errEndless    = errors.New("the answer's end cannot be told")
	errUnsendable = errors.New("the request cannot be written")
)

// readAnswer reads a whole answer with a body of at most most bytes. Guards against spoilt answers whose connection
// stays open: heads without end, and lengths that do not fit. One that has begun may pause, but not for long.
func (c *conn) readAnswer(most int64) (*http.Response, []byte, error) {
	for {
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, err
		}
		c.late = time.AfterFunc(c.stall, func() { c.SetReadDeadline(time.Unix(1, 0)) })
		resp, body, err := c.readOne(most)
		if !c.late.Stop() && err == nil {
			resp.Close = true // the deadline may be set, or be set yet
		}
		c.late = nil
		if err != nil || resp.StatusCode >= 200 {
			return resp, body, err
		}
	}
}

// readOne reads one whole answer; an interim one, which says nothing yet, has no body.
func (c *conn) readOne(most int64) (*http.Response, []byte, error) {
	head, err := c.head()
	if err != nil {
		return nil, nil, err
	}
	measured := bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length"))
	resp, err := http.ReadResponse(c.r, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case resp.StatusCode == http.StatusSwitchingProtocols,
		resp.ContentLength < 0 && (measured || len(resp.TransferEncoding) == 0):
		// Guards against answers cut short: with neither length nor chunks a broken connection looks like the end,
		// and of both net/http hides the length.
		return nil, nil, errEndless
	case resp.ContentLength > most: // guards against reading what will be of no use
		return nil, nil, errLong
	}
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), maxBody)) + bytes.MinRead)
	_, err = body.ReadFrom(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(body.Len()) > most {
		err = errLong
	}
	return resp, body.Bytes(), err
}

// head returns the bytes of an answer's head, the first ones where it is longer than the buffer, or why it did not
// come whole.
func (c *conn) head() ([]byte, error) {
	for n := 1; ; n = c.r.Buffered() + 1 {
		_, err := c.r.Peek(n)
		text, _ := c.r.Peek(c.r.Buffered())
		for _, end := range []string{"\r\n\r\n", "\n\n"} {
			if i := bytes.Index(text, []byte(end)); i >= 0 {
				return text[:i], nil
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
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
	if turnedDown(resp.StatusCode) {
		return balancer.Moot
	}
	return balancer.ServerError
}

// turnedDown says that an answer blames the request, which no other upstream will take either: the client gets it as
// it is. Guards against blaming the upstreams for what one client sends.
func turnedDown(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
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
	const most = 10000 // no upstream holds more: what says so is spoilt
	var l balancer.Load
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if name = strings.TrimSpace(name); name != "inflight" && name != "queue" {
			continue
		}
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x <= most {
			l.Told, l.Held = true, max(l.Held, x)
		}
	}
	return l
}
