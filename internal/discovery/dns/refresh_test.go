package dns

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/internal/discovery"
	"hazelwing/internal/testutil"
)

// target reads "address:port priority weight" as a target of one address; further addresses of the same port are joined by +.
func target(t *testing.T, line string) Target {
	t.Helper()
	var where string
	var x Target
	if _, err := fmt.Sscan(line, &where, &x.Priority, &x.Weight); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	host, port, _ := strings.Cut(where, ":")
	if _, err := fmt.Sscan(port, &x.Port); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	for _, a := range strings.Split(host, "+") {
		x.Addrs = append(x.Addrs, netip.MustParseAddr(a))
	}
	return x
}

// The scripts give answers and failures, and show what is told and when the name is looked up next.
func TestRefresh(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *Refresher
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			duration := func(key string) time.Duration {
				var text string
				if d.MaybeScanArgs(t, key, &text); text == "" {
					return 0
				}
				x, err := time.ParseDuration(text)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				return x
			}
			now := duration("at")
			var s Decision
			switch d.Cmd {
			case "new":
				var err error
				if r, err = NewRefresher(RefresherConfig{SourceName: "srv", StaleTTL: duration("stale"), MinRetry: duration("least"),
					MaxRetry: duration("most"), InitialJitter: duration("spread")}, 1); err != nil {
					return err.Error() + "\n"
				}
				s = r.Start(0)
			case "answer":
				a := Answer{TTL: duration("ttl"), NotFound: d.HasArg("none")}
				d.MaybeScanArgs(t, "dropped", &a.Dropped)
				for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					if line != "" {
						a.Targets = append(a.Targets, target(t, line))
					}
				}
				s = r.HandleAnswer(now, a)
			case "fail":
				s = r.HandleFailure(now, errors.New("time-out"))
			default:
				d.Fatalf(t, "no such command")
			}
			var out strings.Builder
			if s.Update != nil {
				fmt.Fprintf(&out, "view %d:", s.Update.Seq)
				for _, e := range s.Update.Endpoints {
					fmt.Fprintf(&out, " %s/%d/%g", e.Addr, e.Priority, e.TrafficShare)
				}
				out.WriteString("\n")
			}
			if s.Failed {
				out.WriteString("lost\n")
			}
			if s.LogMessage != "" {
				out.WriteString("say: " + s.LogMessage + "\n")
			}
			fmt.Fprintf(&out, "ask in %v\n", (s.NextLookup - now).Round(10*time.Millisecond))
			return out.String()
		})
	})
}

// A source tells each view once, says once that it is lost, goes on looking up, and ends with its context.
func TestSource(t *testing.T) {
	one := Answer{TTL: time.Millisecond, Targets: []Target{{Port: 80, Addrs: []netip.Addr{netip.MustParseAddr("10.0.0.1")}}}}
	two := Answer{TTL: time.Millisecond, Targets: []Target{{Port: 80, Addrs: []netip.Addr{netip.MustParseAddr("10.0.0.2")}}}}
	failed := errors.New("time-out")
	answers := make(chan any)
	r, err := NewRefresher(RefresherConfig{SourceName: "srv", StaleTTL: time.Nanosecond, MinRetry: time.Millisecond, MaxRetry: time.Millisecond}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &Source{Name: "_booking._tcp.example.org.", Refresher: r, Log: slog.New(slog.DiscardHandler),
		Lookup: func(ctx context.Context, name string) (Answer, error) {
			select {
			case x := <-answers:
				if a, ok := x.(Answer); ok {
					return a, nil
				}
				return Answer{}, x.(error)
			case <-ctx.Done():
				return Answer{}, ctx.Err()
			}
		}}
	news := make(chan string, 10)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		s.Run(ctx, func(v discovery.Update) { news <- v.Endpoints[0].Addr }, func(err error) { news <- err.Error() })
		close(ended)
	}()
	for _, x := range []any{one, one, failed, failed, failed, two} {
		answers <- x
	}
	for _, want := range []string{"10.0.0.1:80", "time-out", "10.0.0.2:80"} {
		if got := testutil.Receive(t, news, want); got != want {
			t.Errorf("told %s, want %s", got, want)
		}
	}
	stop()
	testutil.Receive(t, ended, "its end")
	if len(news) > 0 {
		t.Errorf("and then %s", <-news)
	}
}
