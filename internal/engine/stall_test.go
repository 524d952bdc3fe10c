package engine

import (
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

const ms = time.Millisecond

// What a stall makes of outcomes is taken back; what members did themselves is not.
func TestCorrect(t *testing.T) {
	base := time.Now()
	at := func(d time.Duration) time.Time { return base.Add(d) }
	var s stalls
	s.start(at(0))
	for _, d := range []time.Duration{50 * ms, 100 * ms, 180 * ms} { // beats, one of them a little late
		if got := s.check(at(d), true); got != 0 {
			t.Errorf("a beat at %v: a stall of %v", d, got)
		}
	}
	if got := s.check(at(630*ms), true); got != 400*ms {
		t.Errorf("a stall of %v, want 400ms", got)
	}
	for name, c := range map[string]struct {
		sent, now time.Duration
		o, want   Outcome
	}{
		"served":                   {200 * ms, 640 * ms, Outcome{Result: balancer.OK, Elapsed: 440 * ms}, Outcome{Result: balancer.OK, Elapsed: 40 * ms}},
		"timed out":                {100 * ms, 640 * ms, Outcome{Result: balancer.Timeout, Elapsed: 540 * ms}, Outcome{Result: balancer.Cancelled}},
		"sent in the middle of it": {430 * ms, 630 * ms, Outcome{Result: balancer.Timeout, Elapsed: 200 * ms}, Outcome{Result: balancer.Cancelled}},
		"cut short":                {100 * ms, 640 * ms, Outcome{Result: balancer.Cancelled, Elapsed: 540 * ms}, Outcome{Result: balancer.Cancelled}},
		"did not come up":          {200 * ms, 640 * ms, Outcome{Result: balancer.ConnectFailed, Elapsed: 440 * ms}, Outcome{Result: balancer.NotSent, Elapsed: 40 * ms}},
		"refused after it":         {630 * ms, 640 * ms, Outcome{Result: balancer.ConnectFailed, Elapsed: 10 * ms}, Outcome{Result: balancer.ConnectFailed, Elapsed: 10 * ms}},
		"broken":                   {200 * ms, 640 * ms, Outcome{Result: balancer.Reset, Elapsed: 440 * ms}, Outcome{Result: balancer.Reset, Elapsed: 40 * ms}},
		"sent after it":            {630 * ms, 900 * ms, Outcome{Result: balancer.Timeout, Elapsed: 270 * ms}, Outcome{Result: balancer.Timeout, Elapsed: 270 * ms}},
		"sent long after it":       {2000 * ms, 2100 * ms, Outcome{Result: balancer.Timeout, Elapsed: 100 * ms}, Outcome{Result: balancer.Timeout, Elapsed: 100 * ms}},
	} {
		got := c.o
		s.correct(&got, at(c.sent), at(c.now))
		if got.Result != c.want.Result || got.Elapsed != c.want.Elapsed {
			t.Errorf("%s: result %d in %v, want %d in %v", name, got.Result, got.Elapsed, c.want.Result, c.want.Elapsed)
		}
	}
	if s.check(at(5000*ms), false) != 0 {
		t.Error("a time with nothing in hand counts as a stall")
	}
	for i := range 3 * maxStalls {
		s.check(at(time.Duration(6+i)*time.Second), true)
	}
	if len(s.recent) != maxStalls {
		t.Errorf("%d stalls are remembered", len(s.recent))
	}
}

// After a stall what lies ready comes before the module's timers: it would be hedged or given up though it is here.
func TestAnswersComeBeforeTimersAfterAStall(t *testing.T) {
	f := newFake()
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Second, time.Second
	e := idle(t, f, set, 3)
	c := newCall("1", "look")
	e.handleCall(c)
	x := testutil.Receive(t, f.sent, "the attempt")
	testutil.Until(t, "the timer that starts a copy", func() bool { return len(e.timer.C) > 0 || time.Now().After(e.timerAt) })
	e.stalls.lastRunAt = time.Now().Add(-400 * ms) // it did not run since
	x.end <- Outcome{Result: balancer.OK, Final: true, Elapsed: 10 * ms}
	testutil.Until(t, "the outcome", func() bool { return len(e.events) > 0 })
	e.checkStall()
	e.stalls.settledAt = time.Now().Add(testutil.WaitTimeout) // however slow this machine is
	for len(c.result) == 0 {
		e.step(nil)
	}
	if len(f.sent) > 0 {
		t.Error("a copy was sent though the answer was here")
	}
}
