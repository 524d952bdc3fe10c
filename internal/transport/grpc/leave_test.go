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

// crowd is a member with room for one stream, which is taken, and a second attempt that waits for it.
type crowd struct {
	first           *rawh2.Stream
	one, other      chan engine.Outcome
	left            atomic.Bool        // what the second's call says of its client
	leave           context.CancelFunc // ends its context
	opened, written atomic.Int32       // streams, and those whose message has come
	resets          chan bool
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{resets: make(chan bool, 10)}
	first := make(chan *rawh2.Stream, 1)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		switch {
		case !s.Whole && len(s.Data) == 0:
			c.opened.Add(1)
		case s.Whole && c.written.Add(1) == 1:
			first <- s
		case s.Whole:
			s.OK(nil)
		}
	}, rawh2.MaxStreams(1), rawh2.OnReset(func(*rawh2.Stream) { c.resets <- true }))
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	c.one = run(tr.Attempt("s", call(t.Context()), testutil.Patience))
	c.first = testutil.Receive(t, first, "the first attempt")
	ctx, leave := context.WithCancel(t.Context())
	t.Cleanup(leave)
	second := call(ctx)
	c.leave, second.Disconnected = leave, c.left.Load
	other := tr.Attempt("s", second, testutil.Patience)
	c.other = run(other)
	g := other.(*exchange).gate
	testutil.Until(t, "the second to be let through", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.passed
	})
	return c
}

// The context of a call ends while its stream waits in grpc-go for room, and the engine is behind: the wait ends all the same, and
// nothing of it is written when room comes.
func TestContextEndsWhileWaitingForRoom(t *testing.T) {
	c := newCrowd(t)
	c.leave()
	if o := testutil.Receive(t, c.other, "the second's end"); o.Result.MayHaveRun() {
		t.Errorf("result %d (%v)", o.Result, o.Err)
	}
	c.first.OK(nil)
	if o := testutil.Receive(t, c.one, "the first's answer"); o.Result != balancer.OK || c.opened.Load() != 1 {
		t.Errorf("result %d, %d streams", o.Result, c.opened.Load())
	}
}

// Room comes in the instant in which the client leaves: the stream is opened, and no message follows.
func TestNoMessageForAClientThatLeft(t *testing.T) {
	c := newCrowd(t)
	c.left.Store(true)
	c.first.OK(nil)
	if o := testutil.Receive(t, c.other, "the second's end"); o.Result != balancer.Cancelled {
		t.Errorf("result %d (%v), which says something of the member", o.Result, o.Err)
	}
	testutil.Receive(t, c.resets, "the stream's end")
	if c.written.Load() != 1 {
		t.Error("its message was written")
	}
}
