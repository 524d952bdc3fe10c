package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// newPlan returns a plan of n requests at a constant interval. Their effects are safe, keyed and unsafe in turn.
func newPlan(n int, interval, deadline time.Duration) Plan {
	effects := []string{"safe", "keyed", "unsafe"}
	var plan Plan
	for i := range n {
		plan = append(plan, ScheduledRequest{
			At:       time.Duration(i) * interval,
			Class:    "look",
			Effect:   effects[i%len(effects)],
			Deadline: deadline,
		})
	}
	return plan
}

var measure = flag.Bool("load.figures", false, "run TestFigures; it needs an idle machine")

func ignoreOutcome(int, Outcome, time.Duration) {}

// Requests arrive with the method and key of their effect, and the report counts each response as its outcome.
func TestOutcomes(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Method+" key "+fmt.Sprint(r.Header.Get("Idempotency-Key") != "")]++
		switch n := len(seen) + seen["n"]; n % 5 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		}
		seen["n"]++
		_, _ = io.WriteString(w, "x")
	}))
	defer server.Close()
	target := NewHTTP(server.URL)
	defer target.Close()
	plan := newPlan(60, time.Millisecond, testutil.WaitTimeout)
	r := Run(t.Context(), plan, []Target{target}, ignoreOutcome)[0]
	if seen["GET key false"] != 20 || seen["POST key true"] != 20 || seen["POST key false"] != 20 {
		t.Errorf("requests by method and key are %v; want 20 GET without key, 20 POST with key, 20 POST without key",
			seen)
	}
	served, rejected, failed := r.Outcomes["served"], r.Outcomes["refused"], r.Outcomes["failed"]
	if served < 30 || rejected < 5 || failed < 5 || served+rejected+failed != 60 || r.P50 <= 0 || r.Max < r.P99 {
		t.Errorf("report is %+v; want 60 outcomes, at least 30 served, 5 refused and 5 failed, P50 above 0 and "+
			"Max at least P99", r)
	}
}

// startListener starts a listener and returns its URL. It passes each accepted connection to handle in a new goroutine.
// Connections that handle does not close stay open until the test ends.
func startListener(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go handle(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// A target that never answers, never reads, resets every connection or does not exist must not make the generator hang
// or omit requests from its report: every request of the plan has an outcome.
func TestBadTargets(t *testing.T) {
	neverAnswer := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for _, test := range []struct {
		name        string
		url         string
		minTimedOut int
		minBroken   int
	}{
		{name: "never answers", url: startListener(t, neverAnswer), minTimedOut: 100},
		{name: "never reads", url: startListener(t, func(net.Conn) {}), minTimedOut: 100},
		{name: "resets", url: startListener(t, reset), minBroken: 90},
		{name: "does not exist", url: "http://" + testutil.UnusedAddr, minBroken: 90},
	} {
		target := NewHTTP(test.url)
		plan := newPlan(100, 2*time.Millisecond, 300*time.Millisecond)
		r := Run(t.Context(), plan, []Target{target}, ignoreOutcome)[0]
		target.Close()
		timedOut, broken := r.Outcomes["late"], r.Outcomes["broken"]
		if timedOut+broken != 100 || timedOut < test.minTimedOut || broken < test.minBroken {
			t.Errorf("target that %s: report is %+v; want 100 late or broken, at least %d late and %d broken",
				test.name, r, test.minTimedOut, test.minBroken)
		}
	}
}

// blockedTarget is a target that does not answer until it is released.
type blockedTarget struct{ release chan struct{} }

func (blockedTarget) Name() string { return "blocked" }

func (b blockedTarget) Send(context.Context, string, ScheduledRequest) Outcome {
	<-b.release
	return Served
}

// A target that does not answer must not delay the schedule; otherwise the load would be lower than planned. Requests
// beyond the limit of open ones are counted as unsent.
func TestUnsent(t *testing.T) {
	target := blockedTarget{make(chan struct{})}
	const excess = 100
	plan := newPlan(maxOpen+excess, 0, testutil.WaitTimeout)
	r := Run(t.Context(), plan, []Target{target}, func(_ int, o Outcome, _ time.Duration) {
		if o == Unsent {
			select {
			case <-target.release:
			default:
				close(target.release) // the first unsent request shows that the schedule did not wait
			}
		}
	})[0]
	if r.Outcomes["unsent"] < 1 || r.Outcomes["unsent"]+r.Outcomes["served"] != maxOpen+excess {
		t.Errorf("report is %+v; want %d served or unsent, at least 1 of them unsent", r, maxOpen+excess)
	}
}

// The server of TestFigures stalls for stallDuration at the start of every stallPeriod.
const (
	stallPeriod   = 10 * time.Second
	stallDuration = time.Second
)

// A server stalls for one second in every ten. A tenth of evenly spaced requests arrives during the stall, and their
// waits are spread evenly up to one second, so p95 is 0.5 s and p99 is 0.9 s. The test also logs the send delays at
// 1,000 and 10,000 requests per second:
//
//	go test ./internal/load -run Figures -load.figures -v
func TestFigures(t *testing.T) {
	if !*measure {
		t.Skip("-load.figures is not set")
	}
	start := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if at := time.Since(start) % stallPeriod; at < stallDuration {
			time.Sleep(stallDuration - at)
		}
	}))
	defer server.Close()
	target := NewHTTP(server.URL)
	defer target.Close()
	plan := newPlan(20_000, time.Millisecond, testutil.WaitTimeout)
	r := Run(t.Context(), plan, []Target{target}, ignoreOutcome)[0]
	t.Logf("stalled for one second in every ten, 1,000 requests per second: p90 %.1f ms, p99 %.1f ms, max %.1f ms; "+
		"send delay p50 %.3f, p99 %.3f ms", r.P90, r.P99, r.Max, r.SendDelayP50, r.SendDelayP99)
	if r.P99 < 850 || r.P99 > 950 || r.P90 > 50 {
		t.Errorf("p90 is %.1f ms, p99 is %.1f ms; want p90 of at most 50 ms, p99 of 850 to 950 ms", r.P90, r.P99)
	}
	const requests = 50_000
	next := func(n int) (time.Duration, bool) {
		return time.Duration(n) * 100 * time.Microsecond, n < requests
	}
	ignore := func(int, time.Time) {}
	delay := Pace(t.Context(), next, maxOpen, ignore, ignore).SendDelay
	t.Logf("10,000 requests per second: send delay p50 %v, p99 %v, p99.9 %v",
		delay.Quantile(0.5), delay.Quantile(0.99), delay.Quantile(0.999))
}
