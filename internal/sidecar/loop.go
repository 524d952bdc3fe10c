package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"hazelwing/balancer"
)

// The loop owns the Balancer. Everything that happens on a socket is posted to it as an event; it answers each with
// actions, starts what they ask for in goroutines, and never waits for a socket itself.

// call is a client's request, from its last byte until its last attempt has ended.
type call struct {
	id, class, tenant, key string
	method, uri, host      string
	header                 http.Header
	body                   []byte
	expires                time.Time
	hint                   time.Duration
	reply                  chan answer // holds the one answer

	// The loop's own.
	attempts []*exchange
	out      int
	answered bool
	timedOut bool
}

// The events, besides *call and news.
type (
	gone  struct{ call *call } // the client left
	ended struct {             // an attempt's outcome
		call *call
		n    int
		outcome
	}
	moved  struct{ discovery string } // a new configuration names this address
	probed struct {
		upstream string
		outcome
	}
)

const (
	queueLength  = 1024
	probeTimeout = 400 * time.Millisecond
)

type loop struct {
	bal       *balancer.Balancer
	clock     clock
	pool      *pool
	discovery *discovery
	log       *slog.Logger
	pushed    bool // the list comes without the module's asking
	events    chan any
	lists     chan news // before all other events

	calls map[string]*call
	watch *watch
	seq   int64
	lost  bool // the pushed list's agent did not answer
	timer *time.Timer
	wake  time.Time // when the timer fires; zero: it is not set
	acts  []balancer.Action
}

func newLoop(cfg *Config, log *slog.Logger) (*loop, error) {
	set := cfg.Settings.Settings()
	bal, err := balancer.New(set, uint64(cfg.Seed))
	if err != nil {
		return nil, err
	}
	l := &loop{bal: bal, clock: newClock(), log: log, pushed: !set.MustSubscribe, events: make(chan any, queueLength),
		lists: make(chan news, queueLength), calls: map[string]*call{}, timer: time.NewTimer(time.Hour),
		pool: newPool(set.ConnectTimeout, cfg.Settings.ConnIdle(), cfg.Settings.DrainGrace(), cfg.Limits.upstreamConns())}
	l.pool.body = cfg.Limits.answer()
	l.timer.Stop()
	l.discovery = newDiscovery(cfg.Discovery, func(n news) { l.lists <- n })
	l.lists <- news{kind: balancer.Saved, seq: cfg.Known.Seq, hosts: cfg.Known.Hosts}
	return l, nil
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	go l.pool.sweep(ctx)
	if l.pushed {
		l.subscribe()
	}
	defer func() {
		if l.watch != nil {
			l.watch.stop()
		}
	}()
	for {
		// The list goes first: what it tells must not wait behind a burst of requests.
		select {
		case n := <-l.lists:
			l.news(n)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case n := <-l.lists:
			l.news(n)
		case <-l.timer.C:
			l.wake = time.Time{}
			l.handle(balancer.Wake{})
		case e := <-l.events:
			l.event(e)
		}
	}
}

func (l *loop) event(e any) {
	switch e := e.(type) {
	case *call:
		l.arrive(e)
	case gone:
		if !e.call.answered {
			l.finish(e.call)
			l.handle(balancer.Gone{ID: e.call.id})
			l.forget(e.call)
		}
	case ended:
		l.ended(e)
	case moved:
		l.move(e.discovery)
	case probed:
		l.handle(balancer.ProbeResult{Upstream: e.upstream, Result: e.result, Elapsed: e.elapsed, Load: load(e.answer)})
	}
}

func (l *loop) arrive(c *call) {
	if l.calls[c.id] != nil {
		c.answered = true // guards against its client's leaving, which would end the other's request
		c.reply <- plain(http.StatusBadRequest, "a request with this id is in hand")
		return
	}
	l.calls[c.id] = c
	l.handle(balancer.Request{ID: c.id, Class: c.class, Tenant: c.tenant, Key: c.key,
		Expires: l.clock.at(c.expires), Hint: c.hint})
}

func (l *loop) ended(e ended) {
	c := e.call
	c.out--
	switch {
	case e.result == balancer.OK, e.answer != nil && turnedDown(e.answer.status):
		l.answer(c, *e.answer)
	case e.result == balancer.Timeout:
		c.timedOut = true
	}
	l.handle(balancer.Outcome{ID: c.id, Attempt: e.n, Result: e.result, Elapsed: e.elapsed, Finished: c.answered})
	l.forget(c)
}

// answer gives the client its answer, unless it has one or has left. All answers to what the module has taken pass
// here.
func (l *loop) answer(c *call, a answer) {
	if !c.answered {
		l.finish(c)
		c.reply <- a
	}
}

// finish closes a request: of its attempts, those that are not written yet never will be.
func (l *loop) finish(c *call) {
	c.answered = true
	for _, x := range c.attempts {
		x.forbid()
	}
}

// forget lets a request go that is answered and has no attempt out.
func (l *loop) forget(c *call) {
	if c.answered && c.out == 0 && l.calls[c.id] == c {
		delete(l.calls, c.id)
	}
}

// handle lets the module decide on e and carries its actions out in order.
func (l *loop) handle(e balancer.Event) {
	l.acts = l.bal.Handle(l.clock.now(), e, l.acts[:0])
	for i := range l.acts {
		l.act(&l.acts[i])
	}
}

func (l *loop) act(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		l.send(a)
	case balancer.Cancel:
		if c := l.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].cancel()
		}
	case balancer.Refuse:
		if c := l.calls[a.ID]; c != nil {
			l.answer(c, refused(a.RetryIn))
			l.forget(c)
		}
	case balancer.Fail:
		if c := l.calls[a.ID]; c != nil {
			l.answer(c, failed(c.timedOut))
			l.forget(c)
		}
	case balancer.SetTimer:
		if at := l.clock.time(a.At); l.wake.IsZero() || at.Before(l.wake) {
			l.wake = at
			l.timer.Reset(time.Until(at))
		}
	case balancer.Subscribe:
		l.subscribe()
	case balancer.Close:
		l.pool.close(a.Upstream)
	case balancer.Probe:
		l.probe(a.Upstream)
	case balancer.Log:
		l.log.Info(a.Text)
	}
}

func (l *loop) send(a *balancer.Action) {
	c, u := l.calls[a.ID], l.pool.find(a.Upstream)
	if c == nil || u == nil { // the module holds to what it was told; this is a fault
		l.log.Error("an attempt that cannot be made", "request", a.ID, "upstream", a.Upstream)
		return
	}
	n := len(c.attempts)
	x := l.pool.exchange(u, a.Timeout, c.request)
	c.attempts = append(c.attempts, x)
	c.out++
	go func() { l.events <- ended{c, n, x.run()} }()
}

func (l *loop) probe(id string) {
	u := l.pool.find(id)
	if u == nil {
		return
	}
	x := l.pool.exchange(u, probeTimeout, probeRequest)
	go func() { l.events <- probed{id, x.run()} }()
}

// request is the call as it goes on to an upstream, which is told how long we wait.
func (c *call) request(left time.Duration) *http.Request {
	req, _ := http.NewRequest(c.method, "http://upstream.internal", nil)
	req.URL.Opaque = c.uri
	req.Host = c.host
	req.Header = c.header.Clone()
	req.Header.Set(deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	setBody(req, c.body)
	return req
}

// ---- the list ----

func (l *loop) subscribe() {
	if l.watch != nil {
		l.watch.stop()
	}
	l.watch = l.discovery.start(l.seq, 0)
}

// move starts a watch at another address at once, on the whole list: versions there may be others, and how long the
// module would wait after failures belongs to the old one.
func (l *loop) move(addr string) {
	l.log.Info("discovery", "addr", addr)
	l.discovery.addr, l.seq, l.lost = addr, 0, false
	l.subscribe()
}

func (l *loop) news(n news) {
	if n.watch != l.watch {
		return // of a watch that another call has replaced
	}
	l.seq = n.seq
	if n.kind == balancer.Failed {
		l.watch = nil
		if l.pushed { // the module did not ask: the agent is ours to ask again
			if !l.lost {
				l.log.Warn("list lost", "err", n.err)
			}
			l.lost = true
			l.watch = l.discovery.start(l.seq, agentWait)
			return
		}
		l.log.Warn("list lost", "err", n.err)
		l.handle(balancer.Members{Kind: balancer.Failed})
		return
	}
	l.lost = false
	l.pool.update(n.kind != balancer.Change, n.hosts, time.Now())
	members := make([]balancer.Member, len(n.hosts))
	for i, h := range n.hosts {
		state, err := h.state()
		if err != nil {
			l.log.Warn("an entry of the list", "err", err)
		}
		members[i] = balancer.Member{Upstream: h.Host, Zone: h.Site, Kind: h.Class, Cell: h.Block, State: state,
			CameUp: l.clock.wall(h.BornMS)}
	}
	l.handle(balancer.Members{Kind: n.kind, Entries: members})
}
