package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// The scripts say when calls begin and how they end, and show between which times the next one begins: over many seeds, rounded
// to 10 ms.
func TestPace(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var paces []Scheduler
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var text string
			d.MaybeScanArgs(t, "at", &text)
			now, err := time.ParseDuration(text)
			if text != "" && err != nil {
				d.Fatalf(t, "at: %v", err)
			}
			least, most := time.Duration(1<<62), time.Duration(0)
			each := func(next func(*Scheduler) time.Duration) string {
				for i := range paces {
					at := next(&paces[i])
					least, most = min(least, at), max(most, at)
				}
				return fmt.Sprintf("%v to %v\n", least.Round(10*time.Millisecond), most.Round(10*time.Millisecond))
			}
			switch d.Cmd {
			case "service", "agent", "list":
				c := map[string]Config{"agent": AgentConfig(), "list": ListConfig()}[d.Cmd]
				if d.Cmd == "service" {
					var n int
					d.ScanArgs(t, "sidecars", &n)
					c = ServiceConfig(n)
				}
				paces = nil
				for seed := range uint64(4000) {
					paces = append(paces, NewScheduler(c, rand.New(rand.NewPCG(seed, 1))))
				}
			case "begin":
				for i := range paces {
					paces[i].CallStarted(now)
				}
			case "fail":
				return each(func(p *Scheduler) time.Duration { return p.CallFailed(now, d.HasArg("anew")) })
			case "wait":
				return each(func(p *Scheduler) time.Duration { return p.DelayFirstCall(now) })
			case "good":
				for i := range paces {
					paces[i].CallSucceeded()
				}
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

// A service that turns all away at once, or late, gets few calls of one sidecar in any second, and no more in the long run than
// its part of what all may make.
func TestCallsInASecond(t *testing.T) {
	for _, n := range []int{1, 300, 590} {
		for _, late := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			p := NewScheduler(ServiceConfig(n), rand.New(rand.NewPCG(uint64(n), 2)))
			var calls []time.Duration
			for now := time.Duration(0); now < time.Hour; {
				p.CallStarted(now)
				calls = append(calls, now)
				now = p.CallFailed(now+late, false)
			}
			most := 0
			for i, j := 0, 0; i < len(calls); i++ {
				for calls[i]-calls[j] >= time.Second {
					j++
				}
				most = max(most, i-j+1)
			}
			if mean := time.Hour / time.Duration(len(calls)); most > 3 || mean < min(ServiceConfig(n).SlowInterval, 2*time.Second)*97/100 {
				t.Errorf("%d sidecars, turned away after %v: %d calls in a second, one in %v", n, late, most, mean)
			}
		}
	}
}
