package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// fake is a transport and a source whose every exchange and watch is the test's.
type fake struct {
	mu      sync.Mutex
	members map[string]Endpoint
	updates int
	sent    chan *fakeExchange
	watches chan *fakeWatch
}

type fakeExchange struct {
	member            string
	call              *Call
	begin             chan any     // makes Run begin a stream
	verdict           chan bool    // what begin said
	end               chan Outcome // makes Run return
	cancelled, forbid chan bool
	hold              chan bool // Run waits for it after Cancel; nil: it does not
}

type fakeWatch struct {
	seq  int64
	tell func(EndpointUpdate)
	ctx  context.Context
}

func newFake() *fake {
	return &fake{members: map[string]Endpoint{}, sent: make(chan *fakeExchange, 1000), watches: make(chan *fakeWatch, 100)}
}

func (f *fake) Update(whole bool, entries []Endpoint, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates++
	for _, m := range entries {
		f.members[m.ID] = m
	}
}

func (f *fake) Attempt(member string, c *Call, _ time.Duration) Exchange {
	x := &fakeExchange{member: member, call: c, begin: make(chan any), verdict: make(chan bool, 1),
		end: make(chan Outcome, 1), cancelled: make(chan bool, 10), forbid: make(chan bool, 10)}
	f.sent <- x
	return x
}

func (f *fake) Probe(string, time.Duration) Exchange { return nil }
func (f *fake) CloseIdle(string)                     {}

func (x *fakeExchange) Run(begin func(any) bool) Outcome {
	for {
		select {
		case a := <-x.begin:
			x.verdict <- begin(a)
		case o := <-x.end:
			return o
		case <-x.cancelled:
			if x.hold != nil {
				<-x.hold
			}
			return Outcome{Result: balancer.Cancelled}
		}
	}
}
func (x *fakeExchange) Cancel()       { x.cancelled <- true }
func (x *fakeExchange) CancelUnsent() { x.forbid <- true }

func (f *fake) Watch(seq int64, _ time.Duration, tell func(EndpointUpdate)) context.CancelFunc {
	w := &fakeWatch{seq: seq, tell: tell}
	var stop context.CancelFunc
	w.ctx, stop = context.WithCancel(context.Background())
	f.watches <- w
	return stop
}

func testSettings() balancer.Settings {
	return balancer.Settings{MustSubscribe: true, Tick: time.Millisecond, MaxAttempts: 3, Hedging: true, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: time.Second, Classes: []balancer.Class{
			{Name: "look", LatencyObjective: testutil.WaitTimeout, Deadline: testutil.WaitTimeout},
			{Name: "book", LatencyObjective: testutil.WaitTimeout, Deadline: testutil.WaitTimeout, Effect: balancer.NonIdempotent},
			{Name: "follow", LatencyObjective: testutil.WaitTimeout, Deadline: testutil.WaitTimeout, Stream: true}}}
}

// fleet is n members.
func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("m%d", i), Zone: "a"})
	}
	return list
}

// idle is an engine that nothing runs but the test.
func idle(t *testing.T, f *fake, set balancer.Settings, members int) *Engine {
	t.Helper()
	e := made(t, f, set, members)
	e.publishCachedList() // the known list; the module asks for changes
	return e
}

func made(t *testing.T, f *fake, set balancer.Settings, members int) *Engine {
	t.Helper()
	e, err := New(Config{Settings: set, Seed: 1, Transport: f, Source: f, CachedList: EndpointUpdate{Version: 7, Endpoints: fleet(members)}, MaxCalls: 100})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// start runs an engine until the test ends.
func start(t *testing.T, f *fake, members int) (*Engine, context.CancelFunc) {
	t.Helper()
	e := made(t, f, testSettings(), members)
	ctx, stop := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(func() {
		stop()
		testutil.Receive(t, e.closed, "the engine's end")
	})
	return e, stop
}

func newCall(id, class string) *Call {
	return &Call{ID: id, Class: class, ExpiresAt: time.Now().Add(testutil.WaitTimeout), result: make(chan Result, 1), streamAttempt: noAttempt}
}

func do(e *Engine, ctx context.Context, c *Call) chan Result {
	done := make(chan Result, 1)
	go func() { done <- e.Do(ctx, c) }()
	return done
}

func TestServed(t *testing.T) {
	f := newFake()
	e, _ := start(t, f, 2)
	done := do(e, t.Context(), newCall("1", "book"))
	x := testutil.Receive(t, f.sent, "the attempt")
	x.end <- Outcome{Result: balancer.OK, Final: true, Answer: "seat"}
	if r := testutil.Receive(t, done, "the result"); r.Kind != Served || r.Answer != "seat" || r.Attempts != 1 {
		t.Errorf("%+v", r)
	}
}

// What may have run is not sent again where it must not run twice, and what never did is.
func TestUnsafeIsSentAgainOnlyWhereItNeverRan(t *testing.T) {
	for result, again := range map[balancer.Result]bool{balancer.Reset: false, balancer.Timeout: false, balancer.ServerError: false,
		balancer.Overloaded: true, balancer.ConnectFailed: true, balancer.NotSent: true} {
		if result.MayHaveRun() == again {
			t.Errorf("result %d may have run: %v", result, result.MayHaveRun())
		}
		f := newFake()
		e, _ := start(t, f, 3)
		done := do(e, t.Context(), newCall("1", "book"))
		cause := errors.New("cause")
		testutil.Receive(t, f.sent, "the attempt").end <- Outcome{Result: result, Err: cause, Answer: "its words"}
		if !again {
			r := testutil.Receive(t, done, "the result")
			if r.Kind != Failed || r.Err != cause || r.Answer != "its words" || len(f.sent) > 0 || r.TimedOut != (result == balancer.Timeout) {
				t.Errorf("result %d: %+v", result, r)
			}
			continue
		}
		testutil.Receive(t, f.sent, "another attempt").end <- Outcome{Result: balancer.OK, Final: true}
		if r := testutil.Receive(t, done, "the result"); r.Kind != Served || r.Attempts != 2 {
			t.Errorf("result %d: %+v", result, r)
		}
	}
}

// A client that leaves gets no answer, and what is not yet written of its call never is.
func TestClientLeaves(t *testing.T) {
	f := newFake()
	e, _ := start(t, f, 2)
	ctx, leave := context.WithCancel(t.Context())
	done := do(e, ctx, newCall("1", "book"))
	x := testutil.Receive(t, f.sent, "the attempt")
	leave()
	if r := testutil.Receive(t, done, "the result"); r.Kind != Disconnected || !errors.Is(r.Err, context.Canceled) {
		t.Errorf("%+v", r)
	}
	testutil.Receive(t, x.forbid, "word that nothing more may be written")
	x.end <- Outcome{Result: balancer.Reset}
}

// Guards against mixing up two clients: one that used the id of another's open call and left would end that one.
func TestLeavingDuplicate(t *testing.T) {
	e := idle(t, newFake(), testSettings(), 1)
	first, second := newCall("1", "look"), newCall("1", "look")
	e.handleCall(first)
	e.handleCall(second)
	callDisconnected{second}.handle(e)
	if e.calls["1"] != first || first.answered {
		t.Error("the first call was given up")
	}
	if r := testutil.Receive(t, second.result, "the second's result"); r.Kind != Duplicate {
		t.Errorf("the second got %+v", r)
	}
	attemptEnded{first, 0, Outcome{Result: balancer.NotSent}}.handle(e)
	if len(first.attempts) != 2 {
		t.Error("the module has let the first call go: it is not sent again")
	}
}

// Guards against memory that grows with what a front lets in.
func TestMaxCalls(t *testing.T) {
	e := idle(t, newFake(), testSettings(), 1)
	for i := range 100 {
		e.handleCall(newCall(fmt.Sprint(i), "look"))
	}
	c := newCall("one more", "look")
	e.handleCall(c)
	if r := testutil.Receive(t, c.result, "the result"); r.Kind != Rejected || !errors.Is(r.Err, errTooManyCalls) || len(e.calls) != 100 {
		t.Errorf("%+v with %d calls in hand", r, len(e.calls))
	}
}

// Of two copies whose streams begin only one is the client's, and a stream that has begun is never tried again.
func TestStream(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 3)
	c := newCall("1", "follow")
	e.handleCall(c)
	x := testutil.Receive(t, f.sent, "the attempt")
	e.send(&balancer.Action{ID: "1", Endpoint: "m1", Timeout: testutil.WaitTimeout})
	y := testutil.Receive(t, f.sent, "the copy")
	y.begin <- "stream"
	testutil.Until(t, "its beginning", func() bool { return len(e.events) == 1 })
	x.begin <- "other"
	testutil.Until(t, "the other's", func() bool { return len(e.events) == 2 })
	(<-e.events).handle(e)
	if r := testutil.Receive(t, c.result, "the result"); r.Kind != Streaming || r.Answer != "stream" || !<-y.verdict {
		t.Errorf("%+v", r)
	}
	(<-e.events).handle(e)
	if <-x.verdict {
		t.Error("two streams are the client's")
	}
	(<-e.events).handle(e) // the module cancels the copy
	y.end <- Outcome{Result: balancer.Reset}
	(<-e.events).handle(e)
	if len(e.calls) != 0 || len(f.sent) > 0 {
		t.Errorf("%d calls in hand, %d more attempts", len(e.calls), len(f.sent))
	}
}

// A client that leaves as its stream begins would leave it running for nobody.
func TestLeavesAsStreamBegins(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 1)
	c := newCall("1", "follow")
	e.handleCall(c)
	x := testutil.Receive(t, f.sent, "the attempt")
	x.begin <- "stream"
	(<-e.events).handle(e)
	callDisconnected{c}.handle(e)
	if (<-e.events).handle(e); len(e.calls) != 0 {
		t.Error("the stream goes on")
	}
}

// At the end every call gets its result, and the engine returns only when all exchanges have.
func TestEnd(t *testing.T) {
	f := newFake()
	e, stop := start(t, f, 2)
	sent := do(e, t.Context(), newCall("1", "book"))
	x := testutil.Receive(t, f.sent, "the attempt")
	x.hold = make(chan bool)
	stop()
	if r := testutil.Receive(t, sent, "the result"); r.Kind != Failed || !errors.Is(r.Err, errClosed) {
		t.Errorf("what may run got %+v", r)
	}
	select {
	case <-e.closed:
		t.Error("it has ended with an attempt out")
	case <-time.After(20 * time.Millisecond):
	}
	close(x.hold)
	testutil.Receive(t, e.closed, "the end")
	if r := e.Do(t.Context(), newCall("2", "book")); r.Kind != Rejected {
		t.Errorf("a call after the end got %+v", r)
	}
	e.SetSource(f) // neither blocks
}

// Guards against news of a watch that was replaced: its end would be taken for the end of the new one.
func TestNewsOfAnOldWatch(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 1)
	old := testutil.Receive(t, f.watches, "the first watch")
	if old.seq != 7 {
		t.Errorf("it goes on from %d", old.seq)
	}
	e.startWatch(0)
	testutil.Receive(t, f.watches, "the second watch")
	current, updates := e.watch, f.updates
	old.tell(EndpointUpdate{Kind: balancer.WatchFailed})
	old.tell(EndpointUpdate{Kind: balancer.CompleteList, Version: 9})
	e.step(nil)
	e.step(nil)
	if e.watch != current || e.version == 9 || f.updates != updates || old.ctx.Err() == nil {
		t.Error("an old watch was heard")
	}
}

// A list that is pushed is watched without the module's asking. Guards against losing the one that is known: the watch
// brings what has changed since, and a sidecar without members refuses everything.
func TestKnownListIsHeld(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		f, set := newFake(), testSettings()
		set.MustSubscribe = !pushed
		e := idle(t, f, set, 2)
		w := testutil.Receive(t, f.watches, "the watch")
		w.tell(EndpointUpdate{Kind: balancer.Delta, Version: 7})
		e.step(nil)
		e.handleCall(newCall("1", "look"))
		if w.seq != 7 || len(f.members) != 2 || len(f.sent) != 1 {
			t.Errorf("pushed %v: %d members, %d calls sent on, watched from %d", pushed, len(f.members), len(f.sent), w.seq)
		}
		if e = made(t, f, set, 0); e.cachedList.Version != NoVersion {
			t.Errorf("pushed %v: without members it watches from %d", pushed, e.cachedList.Version)
		}
	}
}

// Guards against the module's wait after failures, which belongs to the old source.
func TestMoveDuringBackOff(t *testing.T) {
	f, next := newFake(), newFake()
	e := idle(t, f, testSettings(), 1)
	for range 10 {
		e.handleUpdate(watchUpdate{e.watch, EndpointUpdate{Kind: balancer.WatchFailed}})
		e.startWatch(0)
	}
	sourceChanged{next}.handle(e)
	if w := testutil.Receive(t, next.watches, "the new watch"); w.seq != UnknownVersion {
		t.Errorf("it goes on from %d, a version of the other", w.seq)
	}
}

// Until the source that the list was moved to has answered, the old one is still heard, but only of what leaves. Guards
// against a new source that turns everybody away, and drains that nobody tells meanwhile.
func TestOldSourceIsHeardUntilTheNewOneAnswers(t *testing.T) {
	f, next := newFake(), newFake()
	e := idle(t, f, testSettings(), 3)
	old := testutil.Receive(t, f.watches, "the first watch")
	sourceChanged{next}.handle(e)
	sourceChanged{next}.handle(e) // again, before it has answered
	testutil.Receive(t, next.watches, "the new watch")
	w := testutil.Receive(t, next.watches, "the newer watch")
	// m0 drains, m1 stays, and m2 is gone without a word.
	leaving := fleet(1)
	leaving[0].State = balancer.Draining
	old.tell(EndpointUpdate{Kind: balancer.CompleteList, Version: 8, Endpoints: append(leaving, fleet(2)[1], Endpoint{ID: "new", Zone: "a"})})
	e.step(nil)
	e.handleCall(newCall("1", "look"))
	if old.ctx.Err() != nil || f.members["m0"].State == balancer.Active || f.members["m2"].State == balancer.Active || f.members["new"].ID != "" || e.version != UnknownVersion {
		t.Errorf("members %v, version %d, the old watch: %v", f.members, e.version, old.ctx.Err())
	}
	x := testutil.Receive(t, f.sent, "the attempt")
	if x.member != "m1" {
		t.Errorf("sent to %s", x.member)
	}
	x.end <- Outcome{Result: balancer.OK, Final: true}
	// That is no sign that the list is followed again: the module asks on.
	w.tell(EndpointUpdate{Kind: balancer.WatchFailed, Version: UnknownVersion})
	e.step(nil)
	old.tell(EndpointUpdate{Kind: balancer.Delta, Version: 9, Endpoints: leaving})
	e.step(nil)
	for len(next.watches) == 0 {
		e.step(nil)
	}
	w = testutil.Receive(t, next.watches, "the next one")
	w.tell(EndpointUpdate{Kind: balancer.Delta, Version: 3})
	e.step(nil)
	if old.ctx.Err() == nil || e.version != 3 {
		t.Errorf("the new one has answered: version %d, the old watch: %v", e.version, old.ctx.Err())
	}
	updates := f.updates
	old.tell(EndpointUpdate{Kind: balancer.Delta, Version: 9, Endpoints: fleet(1)})
	e.step(nil)
	if f.updates != updates {
		t.Error("the old source is heard after the new one has answered")
	}
}

// What a source tells aside is taken while its watch is lost, too, and says nothing of it.
func TestNewsAsideOfALostWatch(t *testing.T) {
	f := newFake()
	e := idle(t, f, testSettings(), 1)
	w := testutil.Receive(t, f.watches, "the watch")
	w.tell(EndpointUpdate{Kind: balancer.WatchFailed, Version: 7})
	e.step(nil)
	w.tell(EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: []Endpoint{{ID: "beside", Zone: "a"}}})
	e.step(nil)
	if f.members["beside"].ID == "" || e.version != 7 {
		t.Errorf("members %v, version %d", f.members, e.version)
	}
	for len(f.watches) == 0 { // the module asks again all the same
		e.step(nil)
	}
}

// A drain has to be heard before whatever else waits: what is sent after it may come too late.
func TestListGoesFirst(t *testing.T) {
	for range 10 { // without the order, each has an even chance
		f := newFake()
		e := idle(t, f, testSettings(), 1)
		e.events <- callArrived{newCall("1", "look")}
		leaving := fleet(1)
		leaving[0].State = balancer.Draining
		e.updates <- watchUpdate{e.watch, EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: leaving}}
		e.step(nil)
		e.step(nil)
		if len(f.sent) > 0 {
			t.Fatal("a call went before the drain")
		}
	}
}
