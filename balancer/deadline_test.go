package balancer

import (
	"testing"
	"time"
)

// The deadline of the request counts, often much earlier than that of its class.
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

func TestWaitingRequestIsRejectedInTime(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 100*ms)) // no endpoint: it waits
	h.wantAnswer(h.advance(95*ms), Reject)
}

func TestWaitingRequestIsSentWhenAnEndpointIsAdded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantNoAttemptOrAnswer(h.request("1", "c", 150*ms))
	h.addEndpoints(1)
	h.wantSend(h.advance(20 * ms))
}

// A timeout at the deadline still needs an answer; without a late weight it may come at the objective already.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	h := newHarness(t, nonIdempotentSettings())
	h.addEndpoints(2)
	h.wantSend(h.request("1", "x", 300*ms))
	h.now += 300 * ms
	h.wantAnswer(h.reportOutcome("1", 0, Timeout, 300*ms), Fail)
	h.wantNoAttemptOrAnswer(h.advance(time.Second))
}

// A client's repeat whose latency objective has passed is rejected at once: its remaining time was cut by the deadline
// of all the client's tries, which tells when the first arrived. A repeat that is early enough is served, and first
// tries settle which remaining time is usual. A client with a shorter timeout than most looks the same: unless a
// request that arrived at that time was not served, this is its first try.
func TestStaleRepeatIsRejected(t *testing.T) {
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
