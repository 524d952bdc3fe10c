package grpc

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// busyEndpoint is an endpoint with capacity for one stream, which the first attempt occupies. A second attempt waits
// for capacity.
type busyEndpoint struct {
	first         *rawh2.Stream
	firstOutcome  chan engine.Outcome
	secondOutcome chan engine.Outcome
	disconnected  atomic.Bool        // result of Disconnected of the second call
	cancelSecond  context.CancelFunc // ends the context of the second call
	streamsOpened atomic.Int32
	messages      atomic.Int32 // streams whose message was received
	resets        chan bool
}

func newBusyEndpoint(t *testing.T) *busyEndpoint {
	t.Helper()
	b := &busyEndpoint{resets: make(chan bool, 10)}
	first := make(chan *rawh2.Stream, 1)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		switch {
		case !s.Complete && len(s.Data) == 0:
			b.streamsOpened.Add(1)
		case s.Complete && b.messages.Add(1) == 1:
			first <- s
		case s.Complete:
			s.OK(nil)
		}
	}, rawh2.MaxStreams(1), rawh2.OnReset(func(*rawh2.Stream) { b.resets <- true }))
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	b.firstOutcome = run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout))
	b.first = testutil.Receive(t, first, "the first attempt")

	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	second := newCall(ctx)
	b.cancelSecond, second.Disconnected = cancel, b.disconnected.Load
	x := tr.Attempt("s", second, testutil.WaitTimeout)
	b.secondOutcome = run(x)
	awaitOpened(t, x)
	return b
}

// The context of a call ends while its stream waits in grpc-go for capacity, and the engine has not processed the end
// yet. As soon as there is capacity, the stream would be written and its method would run although no client waits for
// it. The wait must end without the engine, and nothing of the call may be written.
func TestContextEndsWhileWaitingForStreamCapacity(t *testing.T) {
	b := newBusyEndpoint(t)
	b.cancelSecond()
	if o := testutil.Receive(t, b.secondOutcome, "the outcome of the second attempt"); o.Result.MayHaveRun() {
		t.Errorf("the second attempt: result %d, error %v; want a result that proves that the attempt never ran",
			o.Result, o.Err)
	}
	b.first.OK(nil)
	o := testutil.Receive(t, b.firstOutcome, "the outcome of the first attempt")
	if o.Result != balancer.OK || b.streamsOpened.Load() != 1 {
		t.Errorf("the first attempt has result %d, and %d streams were opened; want result %d (OK) and 1 stream",
			o.Result, b.streamsOpened.Load(), balancer.OK)
	}
}

// Capacity becomes available just as the client disconnects, and the headers of the waiting stream are written. If the
// message were written too, the method would run although no client waits for it. No message may be written.
func TestNoMessageForADisconnectedClient(t *testing.T) {
	b := newBusyEndpoint(t)
	b.disconnected.Store(true)
	b.first.OK(nil)
	if o := testutil.Receive(t, b.secondOutcome, "the outcome of the second attempt"); o.Result != balancer.Cancelled {
		t.Errorf("the second attempt: result %d, error %v; want result %d (Cancelled)",
			o.Result, o.Err, balancer.Cancelled)
	}
	testutil.Receive(t, b.resets, "the reset of the stream")
	if b.messages.Load() != 1 {
		t.Errorf("the endpoint received %d messages, want 1, the message of the first attempt", b.messages.Load())
	}
}
