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

var measure = flag.Bool("load.figures", false, "TestFigures: compare with the closed form, on a quiet machine")

func shots(n int, every, deadline time.Duration) (plan Plan) {
	for i := range n {
		plan = append(plan, Shot{At: time.Duration(i) * every, Class: "look", Effect: []string{"safe", "keyed", "unsafe"}[i%3], Deadline: deadline})
	}
	return plan
}

func quiet(int, Kind, time.Duration) {}

// Requests come as the platform's applications send them, and each end has its kind.
func TestKinds(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Method+" key "+fmt.Sprint(r.Header.Get("Idempotency-Key") != "")]++
		switch n := len(seen) + seen["n"]; n % 5 {
		case 0:
			w.WriteHeader(503)
		case 1:
			w.WriteHeader(500)
		}
		seen["n"]++
		io.WriteString(w, "x")
	}))
	defer s.Close()
	target := NewHTTP(s.URL)
	defer target.Close()
	r := Run(t.Context(), shots(60, time.Millisecond, testutil.WaitTimeout), []Target{target}, quiet)[0]
	if seen["GET key false"] != 20 || seen["POST key true"] != 20 || seen["POST key false"] != 20 {
		t.Errorf("%v", seen)
	}
	if r.Kinds["served"] < 30 || r.Kinds["refused"] < 5 || r.Kinds["failed"] < 5 || r.Kinds["served"]+r.Kinds["refused"]+r.Kinds["failed"] != 60 || r.P50 <= 0 || r.Max < r.P99 {
		t.Errorf("%+v", r)
	}
}

// Targets that accept and never answer, stop reading, reset everything or are not there: every request of the schedule
// has an end all the same.
func TestBadTargets(t *testing.T) {
	accept := func(do func(net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				go do(c)
			}
		}()
		return "http://" + l.Addr().String()
	}
	targets := map[string]string{
		"late":   accept(func(c net.Conn) { io.Copy(io.Discard, c) }),
		"late ":  accept(func(net.Conn) {}),
		"broken": accept(func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }),
	}
	targets["broken "] = "http://" + testutil.UnusedAddr
	for want, url := range targets {
		target := NewHTTP(url)
		r := Run(t.Context(), shots(100, 2*time.Millisecond, 300*time.Millisecond), []Target{target}, quiet)[0]
		target.Close()
		if got := r.Kinds["late"] + r.Kinds["broken"]; got != 100 || want[:4] == "late" && r.Kinds["late"] != 100 || want[:4] == "brok" && r.Kinds["broken"] < 90 {
			t.Errorf("%s: %+v", want, r)
		}
	}
}

// stuck is a target that answers nothing before it is let go.
type stuck struct{ release chan struct{} }

func (stuck) Name() string { return "stuck" }
func (s stuck) Send(context.Context, string, Shot) Kind {
	<-s.release
	return Served
}

// The schedule goes on while nothing comes back: what is beyond the bound is counted, not waited for.
func TestUnsent(t *testing.T) {
	s := stuck{make(chan struct{})}
	const beyond = 100
	r := Run(t.Context(), shots(maxOpen+beyond, 0, testutil.WaitTimeout), []Target{s}, func(_ int, k Kind, _ time.Duration) {
		if k == Unsent {
			select {
			case <-s.release:
			default:
				close(s.release) // the first of those beyond: had the schedule waited, there would be none
			}
		}
	})[0]
	if r.Kinds["unsent"] < 1 || r.Kinds["unsent"]+r.Kinds["served"] != maxOpen+beyond {
		t.Errorf("%+v", r)
	}
}

// A plan follows its curve, and is the same for the same seed.
func TestPoisson(t *testing.T) {
	plan, err := Poisson(1, []Point{{0, 100}, {10 * time.Second, 300}}, 20*time.Second, Shot{})
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Poisson(1, []Point{{0, 100}, {10 * time.Second, 300}}, 20*time.Second, Shot{})
	first, second := 0, 0
	for i, s := range plan {
		if again[i] != s || i > 0 && s.At < plan[i-1].At {
			t.Fatalf("request %d", i)
		}
		if s.At < 10*time.Second {
			first++
		} else {
			second++
		}
	}
	if first < 1850 || first > 2150 || second < 2800 || second > 3200 { // 2,000 and 3,000, within three deviations and a bit
		t.Errorf("%d and %d", first, second)
	}
	for _, curve := range [][]Point{nil, {{0, 0}}, {{0, -1}}, {{time.Second, 1}, {0, 1}}} {
		if _, err := Poisson(1, curve, time.Second, Shot{}); err == nil {
			t.Errorf("%v was taken", curve)
		}
	}
}

// A server that stands still for one second every ten: of the requests that come evenly, a tenth meets it, and waits evenly
// up to a second. So p95 is 0.5 s and p99 0.9 s. And the times of sending at 1,000 and 10,000 a second:
//
//	go test ./internal/load -run Figures -load.figures -v
func TestFigures(t *testing.T) {
	if !*measure {
		t.Skip("-load.figures is not set")
	}
	begun := time.Now()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if at := time.Since(begun) % (10 * time.Second); at < time.Second {
			time.Sleep(time.Second - at)
		}
	}))
	defer s.Close()
	target := NewHTTP(s.URL)
	defer target.Close()
	r := Run(t.Context(), shots(20_000, time.Millisecond, testutil.WaitTimeout), []Target{target}, quiet)[0]
	t.Logf("stands still for one second every ten, 1,000 a second: p90 %.1f ms, p99 %.1f ms, max %.1f ms; sent late by p50 %.3f, p99 %.3f ms", r.P90, r.P99, r.Max, r.LateP50, r.LateP99)
	if r.P99 < 850 || r.P99 > 950 || r.P90 > 50 {
		t.Errorf("p90 %.1f ms, p99 %.1f ms; want below 50, and 900", r.P90, r.P99)
	}
	plan := shots(50_000, 100*time.Microsecond, testutil.WaitTimeout)
	p := Pace(t.Context(), func(n int) (time.Duration, bool) { return time.Duration(n) * 100 * time.Microsecond, n < len(plan) }, maxOpen,
		func(int, time.Time) {}, func(int, time.Time) {})
	t.Logf("10,000 a second: sent late by p50 %v, p99 %v, p99.9 %v", p.Late.At(0.5), p.Late.At(0.99), p.Late.At(0.999))
}
