package balancer

import (
	"fmt"
	"testing"
	"time"
)

// All endpoints return errors. If each request made all of its attempts, the load of endpoints that already fail
// would multiply. Retries and hedges must stay within their budget, which is relative to first attempts.
func TestRetryBudget(t *testing.T) {
	w := newWorkload(t, testSettings(), func(string) (Result, time.Duration) { return ServerError, 5 * ms })
	w.addEndpoints(8)
	w.run(20*time.Second, 100)
	total := w.totalAttempts()
	limit := float64(w.requests)*(1+retryRatio) + retryBurst
	if float64(total) > limit {
		t.Errorf("%d attempts for %d requests that all fail, want at most %.0f", total, w.requests, limit)
	}
}

// All endpoints refuse connections. Retries after refusals are not limited by the budget. If they could make the budget
// negative, there would be no hedge for a long time. The budget must not go below zero.
func TestFailedConnectionsDoNotOverdrawTheBudget(t *testing.T) {
	w := newWorkload(t, testSettings(), func(string) (Result, time.Duration) { return ConnectFailed, 0 })
	w.addEndpoints(4)
	w.run(5*time.Second, 100)
	if w.b.retries.tokens < 0 {
		t.Errorf("retry budget after refused connections: %v tokens, want at least 0", w.b.retries.tokens)
	}
}

// Rejected requests must not earn retries: the budget is relative to first attempts.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(4)
	h.b.retries.tokens = 0
	for i := range 10 {
		h.wantSend(h.request(fmt.Sprint(i), "c", time.Second))
	}
	if h.b.retries.tokens != 10*retryRatio {
		t.Errorf("retry budget %.2f tokens after ten first attempts, want %.2f", h.b.retries.tokens, 10*retryRatio)
	}
	h.now += 150 * ms // no answers in this time, so that all further requests are rejected
	for i := range 100 {
		h.wantAnswer(h.request(fmt.Sprint("late", i), "c", time.Second), Reject)
	}
	if h.b.retries.tokens != 10*retryRatio {
		t.Errorf("retry budget %.2f tokens after a hundred rejections, want %.2f", h.b.retries.tokens, 10*retryRatio)
	}
}

// Endpoints are nearly overloaded, so that attempts are late. Hedges would add the load that overloads them. Hedging
// must stop before first attempts are rejected.
func TestNoHedgesNearTheLimit(t *testing.T) {
	for _, c := range []struct {
		inFlight   int
		wantHedges bool
	}{ // the limit is 26 in flight: 0.65 of the objective of 200 ms at 200 answers per second
		{15, true},
		{24, false},
	} {
		h := newHarness(t, testSettings())
		h.addEndpoints(4)
		for range 400 {
			h.now += 5 * ms
			h.b.admission.meter.served.add(1, h.now)
		}
		h.b.latency.overdue.value = 0.08
		h.wantSend(h.request("r", "c", time.Second))
		h.trackInFlight(c.inFlight)
		hedges := 0
		for range 24 {
			h.b.admission.meter.served.add(1, h.now)
			hedges += len(actionsOfKind(h.advance(5*ms), Send))
		}
		if hedges > 0 != c.wantHedges {
			t.Errorf("%d hedges with %d requests in flight, pressure %.2f; want hedges: %v",
				hedges, c.inFlight, h.b.pressure(), c.wantHedges)
		}
	}
}

// Each of many sidecars keeps an idle connection to each endpoint, which would fill the connection tables of all
// endpoints. If these open connections cost more than handshakes, an idle connection must be closed after its last
// attempt has ended. Otherwise it must be kept.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		balancers       int
		open, handshake float64
		want            int
	}{
		{1000, 0.08, 0.08, 1},
		{50, 0.08, 0.08, 0},
		{1000, 0, 0.08, 0},
		{1000, 0, 0, 0},
		{2, 0.01, 0, 1},
	} {
		s := testSettings()
		s.Balancers, s.PriceOpenConnection, s.PriceHandshake = c.balancers, c.open, c.handshake
		h := newHarness(t, s)
		h.addEndpoints(1)
		h.request("a", "c", time.Second)
		h.request("b", "c", time.Second)
		if n := len(actionsOfKind(h.reportOutcome("a", 0, OK, 20*ms), CloseIdle)); n != 0 {
			t.Errorf("%+v: idle connections closed %d times with an attempt outstanding, want none", c, n)
		}
		if n := len(actionsOfKind(h.reportOutcome("b", 0, OK, 20*ms), CloseIdle)); n != c.want {
			t.Errorf("%+v: idle connections closed %d times, want %d", c, n, c.want)
		}
	}
}

// The budget holds no more tokens than its burst, which grows with the offered work, and never goes below zero.
func TestRetryTokens(t *testing.T) {
	budget := newRetryBudget()
	budget.earn(0)
	if budget.tokens != retryBurst {
		t.Errorf("retry budget of a quiet sidecar: %v tokens, want %v", budget.tokens, retryBurst)
	}
	for range 1000 {
		budget.earn(100)
	}
	if budget.tokens != 25 { // retryRatio, a quarter, of 100 requests per second
		t.Errorf("the retry budget has %v tokens after 1000 requests at 100 per second, want 25", budget.tokens)
	}
	for range 25 {
		if budget.isSpent() {
			t.Fatalf("budget with %v tokens left counts as spent, want it to count as unspent", budget.tokens)
		}
		budget.spend()
	}
	budget.spend()
	if !budget.isSpent() || budget.tokens != 0 {
		t.Errorf("all tokens spent: budget counts as spent %v, want true; %v tokens, want 0",
			budget.isSpent(), budget.tokens)
	}
}
