package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checkedAttempt is the rule checker's record of an attempt.
type checkedAttempt struct {
	zone       string
	cell       int
	sentAt     time.Duration
	timeoutAt  time.Duration
	inFlight   bool
	mayHaveRun bool // false only if the result shows that the attempt did not run
}

// checkedRequest is the rule checker's record of a request.
type checkedRequest struct {
	class     Class
	expiresAt time.Duration
	attempts  []*checkedAttempt
	finished  bool // the request was answered, succeeded, or was abandoned by its client
}

// anyMayHaveRun reports whether an attempt of the request may have run.
func (q *checkedRequest) anyMayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(a *checkedAttempt) bool { return a.mayHaveRun })
}

// anyInFlight reports whether an attempt of the request is in flight.
func (q *checkedRequest) anyInFlight() bool {
	return slices.ContainsFunc(q.attempts, func(a *checkedAttempt) bool { return a.inFlight })
}

// ruleChecker checks four rules on a balancer's actions under random legal events: deadlines, retries, draining
// endpoints, and limits on attempts. It does not use the balancer's implementation.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	requests map[string]*checkedRequest
	openIDs  []string // IDs of requests that are unfinished or have attempts in flight, in order of arrival
	active   map[string]Endpoint
	timers   []time.Duration
	probes   []string // endpoints of probes in flight; the results arrive late, in any order, or never
}

func newRuleChecker(t *testing.T, s Settings) *ruleChecker {
	return &ruleChecker{
		t:        t,
		settings: s,
		now:      time.Hour,
		requests: map[string]*checkedRequest{},
		active:   map[string]Endpoint{},
	}
}

// checkAction fails the test if a breaks a rule.
func (c *ruleChecker) checkAction(a Action) {
	c.t.Helper()
	q := c.requests[a.ID]
	if q == nil && a.Kind <= Fail {
		c.t.Fatalf("action %+v is for an unknown request", a)
	}
	switch a.Kind {
	case Send:
		c.checkSend(a, q)
	case Cancel:
		c.checkCancel(a, q)
	case Reject, Fail:
		c.checkAnswer(a, q)
	case SetTimer:
		c.timers = append(c.timers, a.At)
	case Probe:
		c.checkProbe(a)
	}
}

func (c *ruleChecker) checkCancel(a Action, q *checkedRequest) {
	c.t.Helper()
	if !c.settings.Cancellation {
		c.t.Fatalf("request %s: attempt cancelled although Cancellation is off", a.ID)
	}
	if a.Attempt < 0 || a.Attempt >= len(q.attempts) {
		c.t.Fatalf("request %s: cancelled attempt %d, want a number below %d", a.ID, a.Attempt, len(q.attempts))
	}
}

func (c *ruleChecker) checkAnswer(a Action, q *checkedRequest) {
	c.t.Helper()
	retryable := q.class.Effect == Idempotent || q.class.Effect == Keyed && q.class.IdempotencyScope == ScopeAll
	if a.Kind == Reject && !retryable && q.anyMayHaveRun() {
		c.t.Fatalf("request %s: rejected although it may have run and a retry is not safe", a.ID)
	}
	if q.finished {
		c.t.Fatalf("request %s: second final answer, want one", a.ID)
	}
	q.finished = true
}

func (c *ruleChecker) checkProbe(a Action) {
	c.t.Helper()
	if !c.settings.Probes {
		c.t.Fatalf("%s was probed although Probes is off", a.Endpoint)
	}
	if _, listed := c.active[a.Endpoint]; !listed {
		c.t.Fatalf("%s was probed although it is draining or removed", a.Endpoint)
	}
	c.probes = append(c.probes, a.Endpoint)
}

func (c *ruleChecker) checkSend(a Action, q *checkedRequest) {
	c.t.Helper()
	endpoint, listed := c.active[a.Endpoint]
	switch {
	case q.finished:
		c.t.Fatalf("request %s: attempt after the request was finished", a.ID)
	case c.now >= q.expiresAt:
		c.t.Fatalf("request %s: attempt after the deadline", a.ID)
	case !listed:
		c.t.Fatalf("request %s: attempt on %s, which is draining or removed", a.ID, a.Endpoint)
	case len(q.attempts) >= c.settings.MaxAttempts:
		c.t.Fatalf("request %s: attempt %d, but MaxAttempts is %d", a.ID, len(q.attempts)+1, c.settings.MaxAttempts)
	}
	for _, prior := range q.attempts {
		c.checkRepeat(a, q.class, prior, endpoint)
	}
	timeoutAt := q.expiresAt
	if a.Timeout != 0 {
		timeoutAt = min(timeoutAt, c.now+a.Timeout)
	}
	q.attempts = append(q.attempts, &checkedAttempt{
		zone:       endpoint.Zone,
		cell:       endpoint.Cell,
		sentAt:     c.now,
		timeoutAt:  timeoutAt,
		inFlight:   true,
		mayHaveRun: true,
	})
}

// checkRepeat checks an attempt on endpoint against an earlier attempt of the same request.
func (c *ruleChecker) checkRepeat(a Action, class Class, prior *checkedAttempt, endpoint Endpoint) {
	c.t.Helper()
	if prior.inFlight && !c.settings.Hedging {
		c.t.Fatalf("request %s: two attempts in flight although Hedging is off", a.ID)
	}
	if !prior.mayHaveRun {
		return
	}
	if class.Effect == NonIdempotent {
		c.t.Fatalf("request %s: not idempotent, but sent again after an attempt that may have run", a.ID)
	}
	outsideWindow := c.now-prior.sentAt > class.IdempotencyWindow
	outsideZone := class.IdempotencyScope == ScopeZone && prior.zone != endpoint.Zone
	outsideCell := class.IdempotencyScope == ScopeCell && prior.cell != endpoint.Cell
	if class.Effect == Keyed && (outsideWindow || outsideZone || outsideCell) {
		c.t.Fatalf("request %s: keyed, but sent outside its window (%v), zone (%v) or cell (%v)",
			a.ID, outsideWindow, outsideZone, outsideCell)
	}
}

func randomSettings(g *rand.Rand) Settings {
	s := testSettings()
	s.Hedging, s.Cancellation, s.RetryAfter = g.IntN(2) == 0, g.IntN(2) == 0, g.IntN(2) == 0
	s.MustSubscribe = g.IntN(2) == 0
	s.MaxAttempts = 1 + g.IntN(5)
	s.PriceCrossZone = []float64{0, 0.01, 0.2}[g.IntN(3)]
	s.OverloadMultiple = float64(g.IntN(4))
	s.Balancers = []int{1, 3, 2000}[g.IntN(3)]
	s.Probes, s.ProbesReportLoad, s.KeyAffinity = g.IntN(3) > 0, g.IntN(3) > 0, g.IntN(2) == 0
	s.PriceProbe = []float64{0, 0.002, 0.01}[g.IntN(3)]
	s.PriceOpenConnection, s.PriceHandshake = float64(g.IntN(2)), float64(g.IntN(2))
	s.Tenants = []Tenant{{Name: "t", Fraction: 0.5}, {Name: "v", Fraction: 0.5}}[:g.IntN(3)]
	s.Classes = nil
	for effect := Idempotent; effect <= NonIdempotent; effect++ {
		for scope := ScopeAll; scope <= ScopeCell; scope++ {
			objective := time.Duration(50+g.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{
				Name:              fmt.Sprint(effect, scope),
				LatencyObjective:  objective,
				Deadline:          objective * 2,
				Effect:            effect,
				IdempotencyScope:  scope,
				IdempotencyWindow: time.Duration(20+g.IntN(800)) * ms,
				LateWeight:        float64(g.IntN(2)) / 2,
				Weight:            float64(1 + g.IntN(9)),
				ObjectiveStretch:  float64(g.IntN(2)),
				Stream:            g.IntN(4) == 0,
			})
		}
	}
	return s
}

// Random legal events in 150 random settings, with attempts that fail in each possible way and probes that are
// answered late or never. No order of events may break the rules of deadlines, retries, draining endpoints and limits
// on attempts, or leave a request that never finishes.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		g := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(g)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		c := newRuleChecker(t, s)
		handle := func(e Event) {
			for _, a := range b.Handle(c.now, e, nil) {
				c.checkAction(a)
			}
		}
		c.run(g, handle, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests retained after all have finished, want 0", seed, n)
		}
	}
}

// run sends random events for a number of ticks, and then continues until all unfinished requests have finished.
func (c *ruleChecker) run(g *rand.Rand, handle func(Event), ticks int) {
	handle(EndpointUpdate{Kind: CachedList})
	for i := range ticks + 1000 {
		c.now += c.settings.Tick + time.Duration(g.IntN(2000))*time.Microsecond
		if i < ticks {
			c.randomEndpointUpdate(g, handle)
			for range g.IntN(4) {
				c.randomRequest(g, handle, i)
			}
			c.randomProbeResults(g, handle)
			c.randomUnexpectedEvent(g, handle)
		}
		c.fireTimers(handle)
		c.randomOutcomes(g, handle)
	}
	for id, q := range c.requests {
		if !q.finished {
			c.t.Fatalf("request %s never finished", id)
		}
	}
}

func (c *ruleChecker) randomEndpointUpdate(g *rand.Rand, handle func(Event)) {
	if g.IntN(20) > 0 {
		return
	}
	if g.IntN(6) == 0 {
		handle(EndpointUpdate{Kind: WatchFailed})
		return
	}
	var endpoints []Endpoint
	kind := Delta
	if g.IntN(5) == 0 {
		kind = CompleteList
		clear(c.active)
	}
	for range g.IntN(8) {
		n := g.IntN(10)
		endpoint := Endpoint{
			ID:    fmt.Sprint("u", n),
			Zone:  []string{"a", "b"}[n%2],
			Cell:  n % 4,
			State: EndpointState(g.IntN(3)),
		}
		if g.IntN(2) == 0 {
			endpoint.State = Active
		}
		if g.IntN(3) == 0 {
			endpoint.Kind = fmt.Sprint("m", g.IntN(3))
			endpoint.StartedAt = c.now - time.Duration(g.IntN(12000))*ms
		}
		delete(c.active, endpoint.ID)
		if endpoint.State == Active {
			c.active[endpoint.ID] = endpoint // with its true zone and cell, also if they are not reported
		}
		if g.IntN(4) == 0 {
			endpoint.Zone, endpoint.Cell, endpoint.LocationUnknown = "", 0, true
		}
		endpoints = append(endpoints, endpoint)
	}
	handle(EndpointUpdate{Kind: kind, Endpoints: endpoints})
}

func (c *ruleChecker) randomRequest(g *rand.Rand, handle func(Event), tick int) {
	class := c.settings.Classes[g.IntN(len(c.settings.Classes))]
	id := fmt.Sprint(tick, "-", g.Uint32())
	q := &checkedRequest{class: class, expiresAt: c.now + time.Duration(1+g.IntN(int(class.Deadline/ms)))*ms}
	c.requests[id] = q
	c.openIDs = append(c.openIDs, id)
	handle(Request{
		ID:           id,
		Class:        class.Name,
		Tenant:       []string{"t", "v", "?"}[g.IntN(3)],
		ExpiresAt:    q.expiresAt,
		AffinityKey:  []string{"", "k", "l", id}[g.IntN(4)],
		ExpectedWork: time.Duration(g.IntN(3)*g.IntN(100)) * ms,
	})
	if g.IntN(50) == 0 && !q.finished {
		q.finished = true
		handle(ClientDisconnected{ID: id})
	}
}

// randomProbeResults reports results of probes in flight, some of them failed or with implausible loads.
func (c *ruleChecker) randomProbeResults(g *rand.Rand, handle func(Event)) {
	loads := []float64{0, 3, 90, -1, math.NaN(), math.Inf(1)}
	for range g.IntN(4) {
		n := len(c.probes)
		if n == 0 {
			continue
		}
		i := g.IntN(n)
		e := ProbeResult{Endpoint: c.probes[i], Elapsed: time.Duration(g.IntN(20)) * ms}
		e.Load = LoadReport{Reported: g.IntN(4) > 0, InFlight: loads[g.IntN(6)]}
		if g.IntN(5) == 0 {
			e.Result = Result(g.IntN(8))
		}
		c.probes = slices.Delete(c.probes, i, i+1)
		handle(e)
	}
}

// randomUnexpectedEvent sends events that must not change anything: events of unknown requests and attempts, spurious
// timers, unsolicited probe results, and messages.
func (c *ruleChecker) randomUnexpectedEvent(g *rand.Rand, handle func(Event)) {
	switch g.IntN(12) {
	case 0:
		handle(Outcome{ID: "nobody", Result: OK, Finished: true})
	case 1:
		if n := len(c.openIDs); n > 0 {
			id := c.openIDs[g.IntN(n)]
			unsent := len(c.requests[id].attempts) + g.IntN(3)
			handle(Outcome{ID: id, Attempt: unsent, Result: OK, Finished: true})
		}
	case 2:
		handle(TimerFired{})
	case 3:
		handle(ClientDisconnected{ID: "nobody"})
		handle(FirstByte{ID: "nobody"})
		handle(ProbeResult{Endpoint: "u0"})
		handle(PeerMessage{Message: "hi"})
	}
}

func (c *ruleChecker) fireTimers(handle func(Event)) {
	due := 0
	c.timers = slices.DeleteFunc(c.timers, func(at time.Duration) bool {
		if at <= c.now {
			due++
		}
		return at <= c.now
	})
	for range due {
		handle(TimerFired{})
	}
}

func (c *ruleChecker) randomOutcomes(g *rand.Rand, handle func(Event)) {
	for _, id := range c.openIDs {
		q := c.requests[id]
		for n := 0; n < len(q.attempts); n++ {
			c.randomOutcome(g, handle, id, n)
		}
		if !q.finished && c.now > q.expiresAt+20*ms {
			c.t.Fatalf("request %s: no answer %v after the deadline", id, c.now-q.expiresAt)
		}
	}
	c.openIDs = slices.DeleteFunc(c.openIDs, func(id string) bool {
		q := c.requests[id]
		return q.finished && !q.anyInFlight()
	})
}

// randomOutcome reports the outcome of an attempt, at its timeout or randomly before. One in ten outcomes is reported
// twice.
func (c *ruleChecker) randomOutcome(g *rand.Rand, handle func(Event), id string, n int) {
	q := c.requests[id]
	a := q.attempts[n]
	if !a.inFlight || c.now < a.timeoutAt && g.IntN(12) > 0 {
		return
	}
	result := Result(g.IntN(int(NotSent) + 1))
	if c.now >= a.timeoutAt {
		result = Timeout
	}
	a.inFlight = false
	a.mayHaveRun = result != Overloaded && result != ConnectFailed && result != NotSent
	if result == OK {
		q.finished = true
	}
	e := Outcome{ID: id, Attempt: n, Result: result, Elapsed: c.now - a.sentAt, Finished: q.finished}
	handle(e)
	if g.IntN(10) == 0 {
		handle(e)
	}
}
