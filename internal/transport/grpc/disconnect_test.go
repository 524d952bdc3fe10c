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

// fullEndpoint is an endpoint with one slot for streams, which is in use, and a second attempt that waits for it.
type fullEndpoint struct {
	first                 *rawh2.Stream
	firstDone, secondDone chan engine.Outcome
	disconnected          atomic.Bool        // what the second call reports of its client
	cancel                context.CancelFunc // ends the context of the second call
	opened, written       atomic.Int32       // streams, and those whose message has arrived
	resets                chan bool
}

func newFullEndpoint(t *testing.T) *fullEndpoint {
	e := &fullEndpoint{resets: make(chan bool, 10)}
	first := make(chan *rawh2.Stream, 1)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		switch {
		case !s.Whole && len(s.Data) == 0:
			e.opened.Add(1)
		case s.Whole && e.written.Add(1) == 1:
			first <- s
		case s.Whole:
			s.OK(nil)
		}
	}, rawh2.MaxStreams(1), rawh2.OnReset(func(*rawh2.Stream) { e.resets <- true }))
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	e.firstDone = run(tr.Attempt("s", call(t.Context()), testutil.Patience))
	e.first = testutil.Receive(t, first, "the first attempt")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	second := call(ctx)
	e.cancel, second.Disconnected = cancel, e.disconnected.Load
	x := tr.Attempt("s", second, testutil.Patience)
	e.secondDone = run(x)
	g := x.(*exchange).gate
	testutil.Until(t, "the second stream to be let through", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.opened
	})
	return e
}

// The context of a call ends while its stream waits in grpc-go for a slot, and the engine is slow: the wait ends all
// the same, and nothing of it is written when there is a slot.
func TestContextEndsWhileWaitingForAStream(t *testing.T) {
	e := newFullEndpoint(t)
	e.cancel()
	if o := testutil.Receive(t, e.secondDone, "the second outcome"); o.Result.MayHaveRun() {
		t.Errorf("result %d (%v)", o.Result, o.Err)
	}
	e.first.OK(nil)
	if o := testutil.Receive(t, e.firstDone, "the first outcome"); o.Result != balancer.OK || e.opened.Load() != 1 {
		t.Errorf("result %d, %d streams", o.Result, e.opened.Load())
	}
}

// A slot becomes free just as the client disconnects: the stream is opened, and no message follows.
func TestNoMessageForADisconnectedClient(t *testing.T) {
	e := newFullEndpoint(t)
	e.disconnected.Store(true)
	e.first.OK(nil)
	if o := testutil.Receive(t, e.secondDone, "the second outcome"); o.Result != balancer.Cancelled {
		t.Errorf("result %d (%v), want one that says nothing of the endpoint", o.Result, o.Err)
	}
	testutil.Receive(t, e.resets, "the reset of the stream")
	if e.written.Load() != 1 {
		t.Error("its message was written")
	}
}
