package engine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// A call gets the answer of its only attempt as its result.
func TestServed(t *testing.T) {
	f := newFakeNetwork()
	e := newEngine(t, f, testSettings(), 2)
	runEngine(t, e)
	results := startCall(t.Context(), e, newTestCall("1", "book"))
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	attempt.outcome <- Outcome{Result: balancer.OK, Final: true, Answer: "seat"}
	if r := testutil.Receive(t, results, "the result"); r.Kind != Served || r.Answer != "seat" || r.Attempts != 1 {
		t.Errorf("result %+v, want Served with answer %q after 1 attempt", r, "seat")
	}
}

// A call that is not idempotent is retried if its attempt did not run, and fails if the attempt may have run.
func TestNonIdempotentRetriedOnlyIfNotRun(t *testing.T) {
	for result, wantRetry := range map[balancer.Result]bool{
		balancer.Reset:         false,
		balancer.Timeout:       false,
		balancer.ServerError:   false,
		balancer.Overloaded:    true,
		balancer.ConnectFailed: true,
		balancer.NotSent:       true,
	} {
		if result.MayHaveRun() == wantRetry {
			t.Errorf("result %d: MayHaveRun is %v, want %v", result, result.MayHaveRun(), !wantRetry)
		}
		f := newFakeNetwork()
		e := newEngine(t, f, testSettings(), 3)
		runEngine(t, e)
		results := startCall(t.Context(), e, newTestCall("1", "book"))
		cause := errors.New("cause")
		attempt := testutil.Receive(t, f.attempts, "the attempt")
		attempt.outcome <- Outcome{Result: result, Err: cause, Answer: "error answer"}
		if !wantRetry {
			r := testutil.Receive(t, results, "the result")
			isCause := r.Err == cause //nolint:errorlint // The transport's error itself is passed on, not wrapped.
			wantTimedOut := result == balancer.Timeout
			if r.Kind != Failed || !isCause || r.Answer != "error answer" ||
				len(f.attempts) > 0 || r.TimedOut != wantTimedOut {
				t.Errorf("result %d: got %+v and %d more attempts, want Failed, TimedOut %v and no retry",
					result, r, len(f.attempts), wantTimedOut)
			}
			continue
		}
		testutil.Receive(t, f.attempts, "the retry").outcome <- Outcome{Result: balancer.OK, Final: true}
		if r := testutil.Receive(t, results, "the result"); r.Kind != Served || r.Attempts != 2 {
			t.Errorf("result %d: got %+v, want Served after 2 attempts", result, r)
		}
	}
}

// A client disconnects while its attempt is outstanding. If the attempt were written later, its endpoint would do work
// whose result no client receives. Attempts of the call that have not been written must be cancelled.
func TestClientDisconnects(t *testing.T) {
	f := newFakeNetwork()
	e := newEngine(t, f, testSettings(), 2)
	runEngine(t, e)
	ctx, disconnect := context.WithCancel(t.Context())
	results := startCall(ctx, e, newTestCall("1", "book"))
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	disconnect()
	if r := testutil.Receive(t, results, "the result"); r.Kind != Disconnected || !errors.Is(r.Err, context.Canceled) {
		t.Errorf("result %+v, want Disconnected with context.Canceled", r)
	}
	testutil.Receive(t, attempt.cancelledUnsent, "the call of CancelUnsent")
	attempt.outcome <- Outcome{Result: balancer.Reset}
}

// A client sends a call with the ID of another client's call in flight, and disconnects. If the engine identified the
// disconnected call by its ID, it would end the other client's call. Only the duplicate may end.
func TestDuplicateDisconnects(t *testing.T) {
	e := newSteppedEngine(t, newFakeNetwork(), testSettings(), 1)
	first := newTestCall("1", "look")
	second := newTestCall("1", "look")
	e.handleCall(first)
	e.handleCall(second)
	callDisconnected{second}.handle(e)
	if e.calls["1"] != first || first.answered {
		t.Error("the disconnect of the duplicate ended the first call")
	}
	if r := testutil.Receive(t, second.result, "the second call's result"); r.Kind != Duplicate {
		t.Errorf("the second call's result is %+v, want Duplicate", r)
	}
	attemptEnded{first, 0, Outcome{Result: balancer.NotSent}}.handle(e)
	if len(first.attempts) != 2 {
		t.Errorf("the first call has %d attempts after its attempt failed, want 2", len(first.attempts))
	}
}

// A front admits more calls than MaxCalls. Memory use would grow without limit while endpoints are slow. Calls beyond
// the limit must be rejected.
func TestMaxCalls(t *testing.T) {
	e := newSteppedEngine(t, newFakeNetwork(), testSettings(), 1)
	for i := range 100 {
		e.handleCall(newTestCall(fmt.Sprint(i), "look"))
	}
	c := newTestCall("one more", "look")
	e.handleCall(c)
	r := testutil.Receive(t, c.result, "the result")
	if r.Kind != Rejected || !errors.Is(r.Err, errTooManyCalls) || len(e.calls) != 100 {
		t.Errorf("result %+v with %d calls in flight, want errTooManyCalls and 100 calls", r, len(e.calls))
	}
}

// If the streams of two attempts of a call begin, only one is delivered to the client. A stream that has begun is never
// retried.
func TestStreamHasOneAttempt(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 3)
	c := newTestCall("1", "follow")
	e.handleCall(c)
	first := testutil.Receive(t, f.attempts, "the attempt")
	e.send(&balancer.Action{ID: "1", Endpoint: "m1", Timeout: testutil.WaitTimeout})
	hedge := testutil.Receive(t, f.attempts, "the hedged request")
	hedge.begin <- "stream"
	testutil.Until(t, "the hedged request's stream to begin", func() bool { return len(e.events) == 1 })
	first.begin <- "other"
	testutil.Until(t, "the first attempt's stream to begin", func() bool { return len(e.events) == 2 })
	(<-e.events).handle(e)
	r := testutil.Receive(t, c.result, "the result")
	if r.Kind != Streaming || r.Answer != "stream" || !<-hedge.accepted {
		t.Errorf("result %+v, want Streaming with answer %q, and the hedged request's stream accepted", r, "stream")
	}
	(<-e.events).handle(e)
	if <-first.accepted {
		t.Error("a second stream was accepted for the client")
	}
	(<-e.events).handle(e) // the Balancer cancels the other attempt
	hedge.outcome <- Outcome{Result: balancer.Reset}
	(<-e.events).handle(e)
	if len(e.calls) != 0 || len(f.attempts) > 0 {
		t.Errorf("after both attempts ended: %d calls in flight and %d more attempts, want 0 and 0",
			len(e.calls), len(f.attempts))
	}
}

// A client disconnects as its stream begins. The stream would continue with no client to receive it. The attempt must
// be cancelled.
func TestDisconnectAsStreamBegins(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 1)
	c := newTestCall("1", "follow")
	e.handleCall(c)
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	attempt.begin <- "stream"
	(<-e.events).handle(e)
	callDisconnected{c}.handle(e)
	(<-e.events).handle(e)
	if len(e.calls) != 0 {
		t.Errorf("%d calls in flight after the disconnect, want none", len(e.calls))
	}
}

// The engine stops with calls in flight. Each of them must get its result, or its front would wait forever. Run must
// not return before all exchanges have returned, or they would use a closed transport.
func TestShutdown(t *testing.T) {
	f := newFakeNetwork()
	e := newEngine(t, f, testSettings(), 2)
	stop := runEngine(t, e)
	results := startCall(t.Context(), e, newTestCall("1", "book"))
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	attempt.mayReturn = make(chan bool)
	stop()
	if r := testutil.Receive(t, results, "the result"); r.Kind != Failed || !errors.Is(r.Err, errClosed) {
		t.Errorf("a call with an attempt has result %+v, want Failed with errClosed", r)
	}
	select {
	case <-e.closed:
		t.Error("Run returned while an attempt was still running")
	case <-time.After(20 * time.Millisecond):
	}
	close(attempt.mayReturn)
	testutil.Receive(t, e.closed, "Run to return")
	if r := e.Do(t.Context(), newTestCall("2", "book")); r.Kind != Rejected {
		t.Errorf("a call after the end of Run has result %+v, want Rejected", r)
	}
	e.SetSource(f) // like Do, must not block after the end of Run
}

// A call arrives while the engine stops. It is rejected, and its client disconnects immediately afterwards. A second
// result would block the engine forever. The call must get one result only.
func TestRejectedWhileStoppingThenDisconnected(t *testing.T) {
	f := newFakeNetwork()
	e, err := New(Config{Settings: testSettings(), Transport: f, Source: f})
	if err != nil {
		t.Fatal(err)
	}
	e.stopping = true
	c := &Call{ID: "late", Class: "c", ctx: t.Context(), result: make(chan Result, 1), streamAttempt: noAttempt}
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		e.handleCall(c)
		e.handleDisconnect(c)
	}()
	select {
	case <-handled:
	case <-time.After(testutil.WaitTimeout):
		t.Fatal("the engine did not handle the call and its disconnect: a second result may block it")
	}
	if r := <-c.result; r.Kind != Rejected {
		t.Errorf("the result is %+v, want Rejected", r)
	}
}

// All log lines, including those of the Balancer, contain the component name "engine". Their message, level and other
// attributes stay the same.
func TestLogLinesHaveComponent(t *testing.T) {
	var log strings.Builder
	f := newFakeNetwork()
	e, err := New(Config{
		Settings:  testSettings(),
		Transport: f,
		Source:    f,
		Log:       slog.New(slog.NewTextHandler(&log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	e.logAction(&balancer.Action{Text: "message", Attributes: []balancer.Attribute{{Key: "endpoint", Value: "m0"}}})
	const wantSuffix = " level=INFO msg=message component=engine endpoint=m0\n"
	if line := log.String(); !strings.HasSuffix(line, wantSuffix) {
		t.Errorf("log line %q, want suffix %q", line, wantSuffix)
	}
}
