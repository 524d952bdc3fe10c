package balancer

import (
	"testing"
	"time"
)

// A client waits for much less than the deadline of its class, and nobody answers. By the class's deadline the
// answer would come too late. The deadline of the request counts.
func TestAnswersBeforeTheDeadlineOfTheRequest(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWeight = 0.5
	h := newHarness(t, s)
	h.addEndpoints(2)
	h.request("1", "c", 60*ms)
	deadline := h.now + 60*ms
	var actions []Action
	for h.now < deadline && len(finalAnswers(actions)) == 0 {
		actions = h.advance(5 * ms)
	}
	if len(finalAnswers(actions)) != 1 || h.now > deadline {
		t.Fatalf("no answer by the request's deadline: %+v", actions)
	}
}

// A request arrives while there is no endpoint. It would wait beyond its client's deadline. It must wait at
// first, and be rejected before the deadline.
func TestWaitingRequestIsRejectedInTime(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 100*ms)) // no endpoint: it waits
	h.wantAnswer(h.advance(95*ms), Reject)
}

// A request waits since there is no endpoint. It is sent soon after one is listed.
func TestWaitingRequestIsSentWhenAnEndpointIsAdded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 150*ms))
	h.addEndpoints(1)
	h.wantSend(h.advance(20 * ms))
}

// An attempt times out just at the client's deadline. Nothing else would happen to the request, and its client
// would get no answer. The timeout itself must be answered; without a late weight the answer may come at the
// objective already.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	h := newHarness(t, nonIdempotentSettings())
	h.addEndpoints(2)
	h.wantSend(h.request("1", "x", 300*ms))
	h.now += 300 * ms
	h.wantAnswer(h.reportOutcome("1", 0, Timeout, 300*ms), Fail)
	h.wantNoAttemptOrAnswer(h.advance(time.Second))
}

// A client repeats a request whose latency objective has passed. An answer would be worth nothing, and work for
// it would delay others. The repeat must be rejected at once: its remaining time was cut by the deadline of all
// the client's tries, which tells when the first arrived. A repeat that is early enough must be served. First
// tries settle which remaining time is usual. A client with a shorter timeout than most looks the same: unless
// a request that arrived at that time was not served, this is its first try.
func TestStaleClientRetryIsRejected(t *testing.T) {
	h := newHarness(t, testSettings()) // objective 200 ms, deadline 1 s
	h.addEndpoints(3)
	for i := range 20 { // first tries have 600 ms
		id := time.Duration(i).String()
		h.wantSend(h.request(id, "c", 600*ms))
		h.reportOutcome(id, 0, OK, 10*ms)
		h.advance(10 * ms)
	}
	// Sends a request whose client disconnects and returns the deadline of the client's further tries.
	notServed := func(id string) time.Duration {
		h.wantSend(h.request(id, "c", 600*ms))
		h.handle(ClientDisconnected{ID: id})
		return h.now + time.Second
	}
	h.wantSend(h.request("impatient", "c", 50*ms))
	h.advance(100 * ms)
	deadline := notServed("first")
	h.advance(450 * ms)
	h.wantAnswer(h.request("stale", "c", deadline-h.now), Reject)
	h.wantAnswer(h.request("delayed by the network", "c", deadline-h.now+4*ms), Reject)
	h.wantSend(h.request("impatient too", "c", deadline-h.now-70*ms))
	h.advance(20 * ms)
	h.wantSend(h.request("served", "c", 600*ms))
	h.reportOutcome("served", 0, OK, 10*ms)
	deadline = h.now + time.Second
	h.advance(450 * ms)
	h.wantSend(h.request("of a patient client", "c", deadline-h.now)) // a served request is not repeated
	h.advance(200 * ms)
	deadline = notServed("second")
	h.advance(100 * ms)
	// The first arrived 100 ms ago, so the repeat is answered when the objective of the first ends.
	h.wantSend(h.request("early", "c", deadline-h.now))
	if answers := finalAnswers(h.advance(105 * ms)); len(answers) != 1 {
		t.Errorf("still open after its objective: %+v", answers)
	}
	h.wantSend(h.request("last", "c", 601*ms))
}

// Some clients wait for less time than most. One odd timeout must not be taken for the usual one, and a change of all
// clients must be followed. The usual time left is known after eleven requests with it, and replaced once others have
// outvoted it.
func TestUsualTimeLeftIsThatOfTheMajority(t *testing.T) {
	var u usualTimeLeft
	observe := func(n int, timeLeft time.Duration) {
		for range n {
			u.observe(timeLeft, 10*ms)
		}
	}
	observe(11, 600*ms) // the first one only replaces the unknown
	if u.isKnown() {
		t.Error("known after ten votes")
	}
	observe(1, 605*ms) // within the tolerance
	if !u.isKnown() || u.value != 600*ms {
		t.Errorf("%+v after eleven votes", u)
	}
	observe(100, 600*ms)
	observe(5, 50*ms)
	if !u.isKnown() || u.value != 600*ms {
		t.Errorf("%+v after five odd ones", u)
	}
	observe(16, 300*ms)
	if u.isKnown() || u.value != 300*ms {
		t.Errorf("%+v after all have changed", u)
	}
}

// An answer has its full weight up to the objective, and without a late weight a request is given up a tick before it.
// With one it is given up two ticks before the client's deadline.
func TestDeadlinesOfARequest(t *testing.T) {
	for lateWeight, want := range map[float64]time.Duration{0: 195 * ms, 0.5: 490 * ms} {
		s := testSettings() // objective 200 ms, tick 5 ms
		s.Classes[0].LateWeight = lateWeight
		h := newHarness(t, s)
		h.b.now = h.now
		r := h.b.newRequest(Request{ID: "1", Class: "c", ExpiresAt: h.now + 500*ms}, h.b.classes["c"])
		if r.objectiveAt != h.now+200*ms || r.deadline != h.now+want || r.lateClientRetry {
			t.Errorf("late weight %v: objective after %v, deadline after %v, late repeat %v",
				lateWeight, r.objectiveAt-h.now, r.deadline-h.now, r.lateClientRetry)
		}
	}
}
