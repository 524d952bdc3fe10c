package balancer

import (
	"testing"
	"time"
)

// The deadline of a request is much earlier than the deadline of its class, and no endpoint answers. An answer at the
// class's deadline would be too late; the deadline of the request must be met.
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
		t.Fatalf("want one final answer by the request's deadline, got %+v", actions)
	}
}

// A request arrives while there is no endpoint. It must wait at first, but be rejected before its client's deadline.
func TestWaitingRequestIsRejectedInTime(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 100*ms)) // the request waits, since there is no endpoint
	h.wantAnswer(h.advance(95*ms), Reject)
}

// A request that waits because there is no endpoint is sent soon after one is listed.
func TestWaitingRequestIsSentWhenAnEndpointIsAdded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 150*ms))
	h.addEndpoints(1)
	h.wantSend(h.advance(20 * ms))
}

// An attempt times out exactly at the client's deadline. If nothing else happened, the client would get no answer. The
// sidecar must answer at the timeout. The class has a late weight, because otherwise the sidecar would already answer
// at the objective.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	h := newHarness(t, nonIdempotentSettings())
	h.addEndpoints(2)
	h.wantSend(h.request("1", "x", 300*ms))
	h.now += 300 * ms
	h.wantAnswer(h.reportOutcome("1", 0, Timeout, 300*ms), Fail)
	h.wantNoAttemptOrAnswer(h.advance(time.Second))
}

// A client retries a request after its latency objective. An answer would be worth nothing, and working on it would
// delay other requests, so the retry must be rejected at once. It is recognized because it has less time left than
// first attempts: the deadline of all of the client's attempts limits its time, and this deadline shows when the first
// attempt arrived. A retry that is early enough must be served. So must a first attempt with an unusually short
// timeout, which is distinguished from a retry because no unserved request arrived one Deadline before its expiry.
func TestStaleClientRetryIsRejected(t *testing.T) {
	h := newHarness(t, testSettings()) // objective 200 ms, deadline 1 s
	h.addEndpoints(3)
	for i := range 20 { // first attempts have 600 ms left
		id := time.Duration(i).String()
		h.wantSend(h.request(id, "c", 600*ms))
		h.reportOutcome(id, 0, OK, 10*ms)
		h.advance(10 * ms)
	}
	// notServed sends a request whose client disconnects, and returns the deadline of all of the client's attempts.
	notServed := func(id string) time.Duration {
		h.wantSend(h.request(id, "c", 600*ms))
		h.handle(ClientDisconnected{ID: id})
		return h.now + time.Second
	}
	h.wantSend(h.request("short timeout", "c", 50*ms))
	h.advance(100 * ms)
	deadline := notServed("first")
	h.advance(450 * ms)
	h.wantAnswer(h.request("stale", "c", deadline-h.now), Reject)
	h.wantAnswer(h.request("delayed by the network", "c", deadline-h.now+4*ms), Reject)
	h.wantSend(h.request("short timeout again", "c", deadline-h.now-70*ms))
	h.advance(20 * ms)
	h.wantSend(h.request("served", "c", 600*ms))
	h.reportOutcome("served", 0, OK, 10*ms)
	deadline = h.now + time.Second
	h.advance(450 * ms)
	h.wantSend(h.request("long timeout", "c", deadline-h.now)) // a first attempt, since the earlier request was served
	h.advance(200 * ms)
	deadline = notServed("second")
	h.advance(100 * ms)
	// The first attempt arrived 100 ms ago, so the retry is answered when the objective of the first attempt ends.
	h.wantSend(h.request("early", "c", deadline-h.now))
	if answers := finalAnswers(h.advance(105 * ms)); len(answers) != 1 {
		t.Errorf("want one final answer to the retry by the objective of the first attempt, got %+v", answers)
	}
	h.wantSend(h.request("last", "c", 601*ms))
}

// Some clients have a shorter timeout than most. A single unusual timeout must not count as the usual one, but a
// change of all clients must be followed. The usual time left is known once it has more than ten votes, and is
// replaced when other values have outvoted it.
func TestUsualTimeLeftIsThatOfTheMajority(t *testing.T) {
	var u usualTimeLeft
	observe := func(n int, timeLeft time.Duration) {
		for range n {
			u.observe(timeLeft, 10*ms)
		}
	}
	observe(11, 600*ms) // the first request only sets the value and is no vote
	if u.isKnown() {
		t.Error("usual time left is known after ten votes, want it known only after eleven")
	}
	observe(1, 605*ms) // within the tolerance
	if !u.isKnown() || u.value != 600*ms {
		t.Errorf("after eleven votes: usual time left %v, want 600ms; known %v, want true", u.value, u.isKnown())
	}
	observe(100, 600*ms)
	observe(5, 50*ms)
	if !u.isKnown() || u.value != 600*ms {
		t.Errorf("after five unusual values: usual time left %v, want 600ms; known %v, want true", u.value, u.isKnown())
	}
	observe(16, 300*ms)
	if u.isKnown() || u.value != 300*ms {
		t.Errorf("after a change of all clients: usual time left %v, want 300ms; known %v, want false",
			u.value, u.isKnown())
	}
}

// An answer has its full weight up to the objective. Without a late weight, a request is given up one tick before the
// objective; with a late weight, two ticks before the client's deadline.
func TestDeadlinesOfARequest(t *testing.T) {
	for lateWeight, want := range map[float64]time.Duration{0: 195 * ms, 0.5: 490 * ms} {
		s := testSettings() // objective 200 ms, tick 5 ms
		s.Classes[0].LateWeight = lateWeight
		h := newHarness(t, s)
		h.b.now = h.now
		r := h.b.newRequest(Request{ID: "1", Class: "c", ExpiresAt: h.now + 500*ms}, h.b.classes["c"])
		if r.objectiveAt != h.now+200*ms || r.deadline != h.now+want || r.lateClientRetry {
			t.Errorf("late weight %v: objective after %v, want 200ms; deadline after %v, want %v; "+
				"late client retry %v, want false",
				lateWeight, r.objectiveAt-h.now, r.deadline-h.now, want, r.lateClientRetry)
		}
	}
}
