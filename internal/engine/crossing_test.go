package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// Where two events cross in the engine: docs/design/crossings.md has the table.

// A client that has left by what can be seen of its connection gets no further attempt, though nobody has said so yet.
func TestNoRetryForAClientThatLeft(t *testing.T) {
	f := newFake()
	e, _ := start(t, f, 3)
	var left atomic.Bool
	c := newCall("1", "look")
	c.Disconnected = left.Load
	done := do(e, t.Context(), c)
	x := testutil.Receive(t, f.sent, "the attempt")
	permit := x.call.MayStart()
	if !permit() {
		t.Error("an attempt for a client that waits may not begin")
	}
	left.Store(true)
	if permit() {
		t.Error("an attempt for a client that left may begin")
	}
	x.end <- Outcome{Result: balancer.Overloaded}
	if r := testutil.Receive(t, done, "the result"); r.Kind != Disconnected || len(f.sent) > 0 {
		t.Errorf("%+v, and %d more attempts", r, len(f.sent))
	}
}

// The same where Do's context has ended and its event still waits behind others: neither a call that comes nor one that is
// moved on is sent.
func TestLeavingThatWaitsBehindOthers(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 3)
	ctx, leave := context.WithCancel(t.Context())
	first, second := newCall("1", "look"), newCall("2", "look")
	first.ctx, second.ctx = ctx, ctx
	e.handleCall(first)
	x := testutil.Receive(t, f.sent, "the attempt")
	leave()
	attemptEnded{first, 0, Outcome{Result: balancer.Overloaded}}.handle(e) // before gone{first}
	e.handleCall(second)
	if len(f.sent) > 0 {
		t.Error("sent for a client that left")
	}
	for _, c := range []*Call{first, second} {
		if r := testutil.Receive(t, c.result, "the result"); r.Kind != Disconnected {
			t.Errorf("%s: %+v", c.ID, r)
		}
		callDisconnected{c}.handle(e) // comes later, and changes nothing
	}
	if len(e.calls) > 0 || len(first.result)+len(second.result) > 0 {
		t.Errorf("%d calls in hand, more than one result", len(e.calls))
	}
	x.end <- Outcome{}
}

// A keyed call's further attempt may begin only while those who saw the first still drop its repeat: counted to its first
// byte, however long its dial or its place takes.
func TestPermitEndsWithTheWindow(t *testing.T) {
	const window = 200 * time.Millisecond
	set := testSettings()
	set.Classes = append(set.Classes, balancer.Class{Name: "pay", LatencyObjective: testutil.WaitTimeout, Deadline: testutil.WaitTimeout,
		Effect: balancer.Keyed, IdempotencyScope: balancer.ScopeAll, IdempotencyWindow: window})
	f := newFake()
	e := idle(t, f, set, 3)
	c := newCall("1", "pay")
	begun := time.Now()
	e.handleCall(c)
	one := testutil.Receive(t, f.sent, "the attempt").call.MayStart()
	attemptEnded{c, 0, Outcome{Result: balancer.Reset}}.handle(e) // it may have run
	two := testutil.Receive(t, f.sent, "the next one").call.MayStart()
	may, asked := two(), time.Since(begun)
	if !may && asked < window/2 {
		t.Error("the next one may not begin inside the window")
	}
	time.Sleep(time.Until(begun.Add(window)))
	if two() {
		t.Error("the next one may begin after the window")
	}
	if !one() {
		t.Error("the first one, which nothing went before, is held to it")
	}
}

// Where lists are pushed, calls wait for the agent's first word: what it has counts as told from the start on.
func TestAgentsFirstWordGoesBeforeCalls(t *testing.T) {
	f := newFake()
	set := testSettings()
	set.MustSubscribe = false
	e := made(t, f, set, 2)
	const calls = 12
	for i := range calls { // they are there before anything else happens
		e.events <- callArrived{newCall(fmt.Sprint(i), "look")}
	}
	ctx, stop := context.WithCancel(t.Context())
	defer func() {
		stop()
		testutil.Receive(t, e.closed, "the engine's end")
	}()
	go e.Run(ctx)
	w := testutil.Receive(t, f.watches, "the watch")
	leaving := fleet(1)
	leaving[0].State = balancer.Draining
	w.tell(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: leaving})
	for range calls {
		x := testutil.Receive(t, f.sent, "the attempt")
		if x.member != "m1" {
			t.Errorf("sent to %s, which drains", x.member)
		}
		x.end <- Outcome{Result: balancer.OK, Final: true}
	}
}

// An agent that is silent holds calls up for a moment only.
func TestSilentAgentHoldsNobodyUp(t *testing.T) {
	f := newFake()
	set := testSettings()
	set.MustSubscribe = false
	e := made(t, f, set, 2)
	ctx, stop := context.WithCancel(t.Context())
	defer func() {
		stop()
		testutil.Receive(t, e.closed, "the engine's end")
	}()
	go e.Run(ctx)
	done := do(e, t.Context(), newCall("1", "look"))
	testutil.Receive(t, f.sent, "the attempt").end <- Outcome{Result: balancer.OK, Final: true}
	if r := testutil.Receive(t, done, "the result"); r.Kind != Served {
		t.Errorf("%+v", r)
	}
}

// A drain that a watch told in the instant in which another replaced it stays told, but of the process it was told of.
func TestDrainFromAWatchThatWasReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		born   float64
		drains bool
	}{"the same process": {0, true}, "one before": {-1, false}} {
		t.Run(name, func(t *testing.T) {
			f, next := newFake(), newFake()
			e := idle(t, f, testSettings(), 2)
			old := testutil.Receive(t, f.watches, "the first watch")
			leaving := fleet(1)
			leaving[0].State, leaving[0].StartedAtMS = balancer.Draining, c.born
			old.tell(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: leaving}) // it waits behind what follows
			sourceChanged{next}.handle(e)
			testutil.Receive(t, next.watches, "the new watch").tell(EndpointUpdate{Kind: balancer.Delta, Version: 3})
			e.handleUpdate(watchUpdate{watch: e.watch, EndpointUpdate: EndpointUpdate{Kind: balancer.Delta, Version: 3}}) // the new one has answered
			for len(e.updates) > 0 {
				e.step(nil)
			}
			if got := f.members["m0"].State != balancer.Active; got != c.drains {
				t.Errorf("it drains: %v, want %v", got, c.drains)
			}
		})
	}
}

// What may have run before a restart is no refusal when the engine ends.
func TestEndPromisesNothingOfEarlierAttempts(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 0) // nobody to send to: it waits
	c := newCall("1", "look")
	c.PriorAttempts = []PriorAttempt{{Zone: "a", SentAt: time.Now()}}
	e.handleCall(c)
	e.shutDown()
	if r := testutil.Receive(t, c.result, "the result"); r.Kind != Failed {
		t.Errorf("%+v, want a failure", r)
	}
}

// After a move a list of a lower version may be an older view: a drain that was told stays told of the same process, another
// process is taken, and once the new source has had time to learn of it the list is asked for anew.
func TestOlderViewOfADrainAfterAMove(t *testing.T) {
	for name, c := range map[string]struct {
		seq    int64 // of the new source's list
		born   float64
		drains bool
	}{"older": {5, 0, true}, "newer": {9, 0, false}, "another process": {5, 1, false}} {
		t.Run(name, func(t *testing.T) {
			f, next := newFake(), newFake()
			e := idle(t, f, testSettings(), 2)
			leaving := fleet(1)
			leaving[0].State = balancer.Draining
			testutil.Receive(t, f.watches, "the first watch").tell(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: leaving})
			e.step(nil)
			sourceChanged{next}.handle(e)
			list := fleet(2)
			list[0].StartedAtMS = c.born
			testutil.Receive(t, next.watches, "the new watch").tell(EndpointUpdate{Kind: balancer.CompleteList, Version: c.seq, Endpoints: list})
			e.step(nil)
			if got := f.members["m0"].State != balancer.Active; got != c.drains {
				t.Fatalf("it drains: %v, want %v", got, c.drains)
			}
			if !c.drains {
				return
			}
			relistDue{e.watch}.handle(e) // its time has come
			e.sourceChangedAt = e.sourceChangedAt.Add(-staleListPeriod)
			w := testutil.Receive(t, next.watches, "the list asked for anew")
			if w.seq != UnknownVersion {
				t.Errorf("it goes on from %d", w.seq)
			}
			w.tell(EndpointUpdate{Kind: balancer.CompleteList, Version: 6, Endpoints: fleet(2)})
			e.step(nil)
			if f.members["m0"].State != balancer.Active {
				t.Error("it is not taken back once the new source has had its time")
			}
		})
	}
}
