package engine

import (
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

const ms = time.Millisecond

// This process is stalled while attempts are outstanding. Without a correction, their outcomes would cause healthy
// endpoints to be ejected; a correction of outcomes that the stall did not affect would excuse unresponsive
// endpoints. Only outcomes that the stall affected may change.
func TestStallCorrectsOutcomes(t *testing.T) {
	at := time.Now().Add
	var s stalls
	s.start(at(0))
	for _, now := range []time.Duration{50 * ms, 100 * ms, 180 * ms} { // heartbeats; the last one is slightly late
		if got := s.detect(at(now), true); got != 0 {
			t.Errorf("heartbeat at %v: detected a stall of %v, want none", now, got)
		}
	}
	if got := s.detect(at(630*ms), true); got != 400*ms {
		t.Errorf("heartbeat at 630ms: detected a stall of %v, want 400ms", got)
	}
	for _, c := range []struct {
		name        string
		sentAt, now time.Duration
		result      balancer.Result
		elapsed     time.Duration
		wantResult  balancer.Result
		wantElapsed time.Duration
	}{
		{"served", 200 * ms, 640 * ms, balancer.OK, 440 * ms, balancer.OK, 40 * ms},
		{"timed out", 100 * ms, 640 * ms, balancer.Timeout, 540 * ms, balancer.Cancelled, 0},
		{"sent during the stall", 430 * ms, 630 * ms, balancer.Timeout, 200 * ms, balancer.Cancelled, 0},
		{"cancelled", 100 * ms, 640 * ms, balancer.Cancelled, 540 * ms, balancer.Cancelled, 0},
		{"connect failed", 200 * ms, 640 * ms, balancer.ConnectFailed, 440 * ms, balancer.NotSent, 40 * ms},
		{"refused after stall", 630 * ms, 640 * ms, balancer.ConnectFailed, 10 * ms, balancer.ConnectFailed, 10 * ms},
		{"reset", 200 * ms, 640 * ms, balancer.Reset, 440 * ms, balancer.Reset, 40 * ms},
		{"sent after stall", 630 * ms, 900 * ms, balancer.Timeout, 270 * ms, balancer.Timeout, 270 * ms},
		{"sent long after stall", 2000 * ms, 2100 * ms, balancer.Timeout, 100 * ms, balancer.Timeout, 100 * ms},
	} {
		got := Outcome{Result: c.result, Elapsed: c.elapsed}
		s.correctOutcome(&got, at(c.sentAt), at(c.now))
		if got.Result != c.wantResult || got.Elapsed != c.wantElapsed {
			t.Errorf("%s: result %d in %v, want %d in %v", c.name, got.Result, got.Elapsed, c.wantResult, c.wantElapsed)
		}
	}
	if got := s.detect(at(5000*ms), false); got != 0 {
		t.Errorf("without heartbeats: detected a stall of %v, want none", got)
	}
	for i := range 3 * maxStalls {
		s.detect(at(time.Duration(6+i)*time.Second), true)
	}
	if len(s.recent) != maxStalls {
		t.Errorf("after %d more stalls: %d are remembered, want %d", 3*maxStalls, len(s.recent), maxStalls)
	}
}

// A stall ends while answers are ready on the sockets and timers are due. If the timers were handled first, a call
// would be hedged, or would fail at its deadline, although its answer has arrived. The outcomes must be handled first.
func TestOutcomesHandledBeforeTimersAfterStall(t *testing.T) {
	f := newFakeNetwork()
	settings := testSettings()
	settings.Classes[0].LatencyObjective = time.Second
	settings.Classes[0].Deadline = time.Second
	e := newSteppedEngine(t, f, settings, 3)
	c := newTestCall("1", "look")
	e.handleCall(c)
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	testutil.Until(t, "the timer that starts a hedged request", func() bool {
		return len(e.timer.C) > 0 || time.Now().After(e.timerAt)
	})
	e.stalls.lastRunAt = time.Now().Add(-400 * ms) // simulates a stall of the process
	attempt.outcome <- Outcome{Result: balancer.OK, Final: true, Elapsed: 10 * ms}
	testutil.Until(t, "the outcome", func() bool { return len(e.events) > 0 })
	e.checkStall()
	e.stalls.timersDelayedUntil = time.Now().Add(testutil.WaitTimeout) // independent of the speed of this machine
	for len(c.result) == 0 {
		e.step(nil)
	}
	if len(f.attempts) > 0 {
		t.Errorf("%d hedged requests were sent although the answer had arrived, want none", len(f.attempts))
	}
}
