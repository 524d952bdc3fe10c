package engine

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
)

const (
	queueLength  = 1024
	probeTimeout = 400 * time.Millisecond
	// olderView is how long after a move a list of a lower version than that of a drain is not believed about it. What discovery
	// has to tell counts as told 6 s later at the latest: by then the new source has to know.
	olderView = backoff.NotificationDeadline
	// agentFirst is how long calls wait for an agent's first word. What it has counts as told from the start of this process,
	// and it answers at once; where it is silent the list as last held has to do.
	agentFirst = 250 * time.Millisecond
)

// Config is what an Engine is made of.
type Config struct {
	Settings   balancer.Settings
	Seed       uint64
	Transport  Transport
	Source     Source         // followed from the start, or once the module asks where the settings say MustSubscribe
	CachedList EndpointUpdate // the list as last held, of kind Saved; it may be old, or empty: then the whole list is asked for
	Log        *slog.Logger
	// MaxCalls bounds the calls in hand, attempts that outlive theirs included; those beyond are refused. 0: the front
	// bounds them.
	MaxCalls int
	// CancelGone ends the attempts of a call whose client left. Without it they run on, and tell the module how they
	// end, as on the platform.
	CancelOnDisconnect bool
}

// The events, besides *Call and told.
type (
	gone  struct{ call *Call } // the client left
	began struct {             // an attempt's stream has begun
		call   *Call
		n      int
		answer any
	}
	ended struct { // an attempt's outcome
		call *Call
		n    int
		Outcome
	}
	moved  struct{ source Source } // the list comes from this one from now on
	again  struct{ watch *watch }  // a view that was older when this watch brought it has had time to come up to date
	probed struct {
		member string
		sent   time.Time
		Outcome
	}
)

// told is news of the watch that was given this mark.
type told struct {
	watch *watch
	EndpointUpdate
}

// drain is that a process was told to leave.
type drain struct {
	bornMS float64
	seq    int64 // of the list that told it
	at     time.Time
}

// watch is one call of a source's Watch.
type watch struct{ stop context.CancelFunc }

// Engine runs one Balancer. Do and Move may be called from any goroutine.
type Engine struct {
	bal       *balancer.Balancer
	clock     clock
	transport Transport
	source    Source
	log       *slog.Logger
	pushed    bool // the list comes without the module's asking
	maxCalls  int

	cancelGone bool

	events chan any
	lists  chan told     // before all other events
	closed chan struct{} // Run has returned

	known  EndpointUpdate // until Run hands it out
	calls  map[string]*Call
	out    int // exchanges that have not ended
	watch  *watch
	before *watch // the one that was open when the list was moved, until its successor has answered
	seq    int64
	held   map[string]float64 // the members that are active, and when each came up (BornMS)
	drains map[string]drain   // told within olderView before the last move, or since then
	moved  time.Time          // when that was
	lost   bool               // the pushed list's source did not answer
	near   bool               // the source could be reached when it was last called
	agent  backoff.Scheduler  // when the source of a pushed list is asked
	timer  *time.Timer
	wake   time.Time // when the timer fires; zero: it is not set
	acts   []balancer.Action
	beat   *time.Ticker // runs while calls are in hand
	stalls stalls
	ending bool         // the Balancer is no longer asked
	sized  atomic.Int64 // how many sidecars there are by SetBalancers, not told to the Balancer yet; 0: nothing is
}

// New makes an Engine, or says which setting cannot be used. Nothing happens before Run.
func New(cfg Config) (*Engine, error) {
	bal, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	e := &Engine{bal: bal, clock: newClock(), transport: cfg.Transport, source: cfg.Source,
		log: cfg.Log, pushed: !cfg.Settings.MustSubscribe, maxCalls: cfg.MaxCalls, cancelGone: cfg.CancelOnDisconnect,
		events: make(chan any, queueLength), lists: make(chan told, queueLength), closed: make(chan struct{}),
		calls: map[string]*Call{}, held: map[string]float64{}, drains: map[string]drain{}, timer: time.NewTimer(time.Hour), beat: time.NewTicker(beatEvery)}
	e.timer.Stop()
	e.beat.Stop()
	e.agent = backoff.NewScheduler(backoff.AgentConfig(), rand.New(rand.NewPCG(cfg.Seed, 0x6167656e74)))
	e.known = cfg.CachedList
	e.known.Kind = balancer.CachedList
	if len(e.known.Endpoints) == 0 {
		e.known.Version = NoVersion
	}
	return e, nil
}

// Do takes a call and returns its one result. It blocks until then, and no longer than ctx: a client that leaves gets
// Left, and its attempts no answer.
func (e *Engine) Do(ctx context.Context, c *Call) Result {
	c.ctx, c.reply, c.begun = ctx, make(chan Result, 1), none
	if !e.post(c) {
		return Result{Kind: Rejected, Err: errClosed}
	}
	select {
	case r := <-c.reply:
		return r
	case <-ctx.Done():
		e.post(gone{c})
		return Result{Kind: Disconnected, Err: context.Cause(ctx)}
	case <-e.closed:
	}
	select {
	case r := <-c.reply:
		return r
	default:
		return Result{Kind: Rejected, Err: errClosed} // it came too late to be seen
	}
}

// Move follows the list at another source from now on, from its whole list.
func (e *Engine) SetSource(s Source) { e.post(moved{s}) }

// SetBalancers tells how many sidecars there are, in place of the setting, from the next event on. It may be called from any
// goroutine, and does not wait.
func (e *Engine) SetBalancers(n int) { e.sized.Store(int64(n)) }

var (
	errClosed = errors.New("closed")
	errFull   = errors.New("too many calls in hand")
)

const none = -1

// post hands an event to Run; false: it has returned.
func (e *Engine) post(event any) bool {
	select {
	case <-e.closed:
		return false
	default:
	}
	select {
	case e.events <- event:
		return true
	case <-e.closed:
		return false
	}
}

// Run handles events until ctx ends. Then it gives every call in hand its result, refused where none of it was
// started and failed otherwise, and returns when every exchange has ended.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.closed)
	defer e.beat.Stop()
	defer e.timer.Stop()
	e.begin()
	if e.pushed {
		e.first(ctx.Done())
	}
	for e.step(ctx.Done()) {
	}
	e.end()
}

// begin hands out the list as last held, before any watch is opened. Guards against losing it: a watch goes on from its
// version, and brings only what has changed since.
func (e *Engine) begin() {
	e.news(told{EndpointUpdate: e.known})
	e.known.Endpoints = nil
	if e.pushed {
		e.subscribe()
	}
}

// first waits for the agent's first word before any call is looked at. Guards against sending by a list that was old when this
// process started.
func (e *Engine) first(done <-chan struct{}) {
	wait := time.NewTimer(agentFirst)
	defer wait.Stop()
	select {
	case n := <-e.lists:
		e.news(n)
	case <-wait.C:
	case <-done:
	}
}

// step handles one event; false: done is.
func (e *Engine) step(done <-chan struct{}) bool {
	if e.sized.Load() > 0 {
		e.bal.SetBalancers(int(e.sized.Swap(0)))
	}
	// The list goes first: what it tells must not wait behind a burst of calls.
	select {
	case n := <-e.lists:
		e.look()
		e.news(n)
		return true
	default:
	}
	select {
	case <-done:
		return false
	case n := <-e.lists:
		e.look()
		e.news(n)
	case <-e.beat.C:
		e.look()
	case <-e.timer.C:
		e.look()
		e.wake = time.Time{}
		if until := e.stalls.settled; time.Now().Before(until) {
			e.wakeAt(until)
		} else {
			e.handle(balancer.TimerFired{})
		}
	case event := <-e.events:
		e.look()
		e.event(event)
	}
	return true
}

// look notices, before anything else is made of an event, that the host stood still.
func (e *Engine) look() {
	if d := e.stalls.look(time.Now(), len(e.calls) > 0); d > 0 {
		e.log.Warn("this process stood still", "for", d.Round(time.Millisecond))
	}
}

func (e *Engine) event(event any) {
	switch v := event.(type) {
	case *Call:
		e.arrive(v)
	case gone:
		e.gone(v.call)
	case began:
		e.began(v)
	case ended:
		e.ended(v)
	case moved:
		e.move(v.source)
	case revise:
		v.done <- e.revise(v.Reconfiguration)
	case again:
		if v.watch == e.watch && !e.ending {
			e.seq = UnknownVersion
			e.follow(0)
		}
	case probed:
		e.out--
		e.stalls.correct(&v.Outcome, v.sent, time.Now())
		e.handle(balancer.ProbeResult{Endpoint: v.member, Result: v.Result, Elapsed: v.Elapsed, Load: v.Load})
	}
}

func (e *Engine) arrive(c *Call) {
	switch {
	case e.ending:
		c.reply <- Result{Kind: Rejected, Err: errClosed}
		return
	case e.calls[c.ID] != nil:
		c.answered = true // guards against its client's leaving, which would end the other's call
		c.reply <- Result{Kind: Duplicate}
		return
	case e.maxCalls > 0 && len(e.calls) >= e.maxCalls:
		c.answered = true
		c.reply <- Result{Kind: Rejected, Err: errFull}
		return
	case c.over(): // it left while it waited here: the module is not troubled with it
		c.answered = true
		c.leave()
		return
	}
	if len(e.calls) == 0 {
		e.stalls.start(time.Now())
		e.beat.Reset(beatEvery)
	}
	e.calls[c.ID] = c
	r := balancer.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, AffinityKey: c.AffinityKey, ExpiresAt: e.clock.at(c.ExpiresAt), ExpectedWork: c.ExpectedWork}
	for _, x := range c.PriorAttempts {
		r.PriorAttempts = append(r.PriorAttempts, balancer.PriorAttempt{Zone: x.Zone, Cell: x.Cell, SentAt: e.clock.at(x.SentAt)})
	}
	e.handle(r)
}

func (e *Engine) gone(c *Call) {
	switch {
	case !c.answered:
		e.finish(c)
		c.leave()
		e.handle(balancer.ClientDisconnected{ID: c.ID})
		if e.cancelGone {
			c.cancel()
		}
		e.forget(c)
	case c.begun != none: // it left as its stream began
		c.attempts[c.begun].exchange.Cancel()
	}
}

// leave is the result of a call whose client has left, for a Do that has not noticed yet.
func (c *Call) leave() { c.reply <- Result{Kind: Disconnected, Err: context.Cause(c.ctx)} }

// began lets an attempt's stream be the call's result, unless the call has one.
func (e *Engine) began(v began) {
	c := v.call
	ok := !c.answered
	if ok {
		c.begun = v.n
		e.result(c, Result{Kind: Streaming, Answer: v.answer})
		e.handle(balancer.FirstByte{ID: c.ID, Attempt: v.n})
	}
	c.attempts[v.n].verdict <- ok
}

func (e *Engine) ended(v ended) {
	c := v.call
	c.out--
	e.out--
	a := c.attempts[v.n]
	timedOut := v.Result == balancer.Timeout
	e.stalls.correct(&v.Outcome, a.sent, time.Now())
	if v.Final {
		e.result(c, Result{Kind: Served, Answer: v.Answer})
	} else {
		c.timedOut = c.timedOut || timedOut
		if v.Err != nil {
			c.last = v.Err
		}
		if v.Answer != nil {
			c.lastAns = v.Answer
		}
		if !c.answered && c.gone() { // before the module decides to try again
			e.gone(c)
		}
	}
	e.handle(balancer.Outcome{ID: c.ID, Attempt: v.n, Result: v.Result, Elapsed: v.Elapsed, Finished: c.answered,
		Load: v.Load})
	e.forget(c)
}

// result gives a call its result, unless it has one or its client has left. All results of what the module has taken
// pass here.
func (e *Engine) result(c *Call, r Result) {
	if !c.answered {
		e.finish(c)
		r.Attempts = len(c.attempts)
		c.reply <- r
	}
}

// finish closes a call: of its attempts, those that are not written yet never will be.
func (e *Engine) finish(c *Call) {
	c.answered = true
	for _, a := range c.attempts {
		a.exchange.CancelUnsent()
	}
}

// cancel ends all attempts of a call.
func (c *Call) cancel() {
	for _, a := range c.attempts {
		a.exchange.Cancel()
	}
}

// forget lets a call go that is answered and has no attempt out.
func (e *Engine) forget(c *Call) {
	if c.answered && c.out == 0 && e.calls[c.ID] == c {
		delete(e.calls, c.ID)
		if len(e.calls) == 0 {
			e.beat.Stop()
		}
	}
}

// handle lets the module decide on v and carries its actions out in order.
func (e *Engine) handle(v balancer.Event) {
	if e.ending {
		return
	}
	e.acts = e.bal.Handle(e.clock.now(), v, e.acts[:0])
	for i := range e.acts {
		e.act(&e.acts[i])
	}
}

func (e *Engine) act(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		e.send(a)
	case balancer.Cancel:
		if c := e.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].exchange.Cancel()
		}
	case balancer.Reject:
		if c := e.calls[a.ID]; c != nil {
			e.result(c, Result{Kind: Rejected, RetryAfter: a.RetryAfter, Err: c.last})
			e.forget(c)
		}
	case balancer.Fail:
		if c := e.calls[a.ID]; c != nil {
			e.result(c, Result{Kind: Failed, TimedOut: c.timedOut || c.out > 0, Answer: c.lastAns, Err: c.last})
			e.forget(c)
		}
	case balancer.SetTimer:
		e.wakeAt(e.clock.time(a.At))
	case balancer.Subscribe:
		if e.watch == nil { // else the list was moved while the module waited, and a call is under way
			e.subscribe()
		}
	case balancer.CloseIdle:
		e.transport.CloseIdle(a.Endpoint)
	case balancer.Probe:
		e.probe(a.Endpoint)
	case balancer.Log:
		e.logAction(a)
	}
}

func (e *Engine) wakeAt(at time.Time) {
	if e.wake.IsZero() || at.Before(e.wake) {
		e.wake = at
		e.timer.Reset(time.Until(at))
	}
}

func (e *Engine) send(a *balancer.Action) {
	c := e.calls[a.ID]
	var x Exchange
	if c != nil {
		if a.NotAfter > 0 {
			c.before = e.clock.time(a.NotAfter)
		}
		x = e.transport.Attempt(a.Endpoint, c, a.Timeout)
	}
	if x == nil { // the module holds to what it was told; this is a fault
		e.log.Error("an attempt that cannot be made", "request", a.ID, "upstream", a.Endpoint)
		return
	}
	n := len(c.attempts)
	at := &attempt{exchange: x, sent: time.Now(), verdict: make(chan bool, 1)}
	c.attempts = append(c.attempts, at)
	c.out++
	e.out++
	begin := func(answer any) bool {
		e.events <- began{c, n, answer}
		return <-at.verdict
	}
	go func() { e.events <- ended{c, n, x.Run(begin)} }()
}

func (e *Engine) probe(member string) {
	x := e.transport.Probe(member, probeTimeout)
	if x == nil {
		return
	}
	e.out++
	sent := time.Now()
	go func() { e.events <- probed{member, sent, x.Run(func(any) bool { return false })} }()
}

// end answers all calls in hand and waits for every exchange. The Balancer is no longer asked.
func (e *Engine) end() {
	e.ending = true
	e.watch.end()
	e.before.end()
	for _, c := range e.calls {
		if len(c.attempts) == 0 && len(c.PriorAttempts) == 0 {
			e.result(c, Result{Kind: Rejected, Err: errClosed})
		}
		e.result(c, Result{Kind: Failed, Answer: c.lastAns, Err: errClosed})
		c.cancel()
	}
	for e.out > 0 {
		select {
		case <-e.lists:
		case event := <-e.events:
			e.event(event)
		}
	}
}

// logAction writes a log line of the Balancer.
func (e *Engine) logAction(a *balancer.Action) {
	attributes := make([]any, 0, len(a.Attributes))
	for _, x := range a.Attributes {
		attributes = append(attributes, slog.Any(x.Key, x.Value))
	}
	e.log.Info(a.Text, attributes...)
}
