package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// schedulerScript runs a test script against many schedulers with different random seeds.
type schedulerScript struct {
	schedulers []Scheduler
}

// reset replaces the schedulers with new ones.
func (s *schedulerScript) reset(config Config) {
	const seeds = 4000
	s.schedulers = nil
	for seed := range uint64(seeds) {
		s.schedulers = append(s.schedulers, NewScheduler(config, rand.New(rand.NewPCG(seed, 1))))
	}
}

// nextCalls applies an event to all schedulers and formats the earliest and the latest start of their next calls.
func (s *schedulerScript) nextCalls(event func(*Scheduler) time.Duration) string {
	earliest, latest := time.Duration(1<<62), time.Duration(0)
	for i := range s.schedulers {
		start := event(&s.schedulers[i])
		earliest = min(earliest, start)
		latest = max(latest, start)
	}
	const precision = 10 * time.Millisecond
	return fmt.Sprintf("%v to %v\n", earliest.Round(precision), latest.Round(precision))
}

// run executes one command of a script.
func (s *schedulerScript) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var text string
	d.MaybeScanArgs(t, "at", &text)
	now, err := time.ParseDuration(text)
	if text != "" && err != nil {
		d.Fatalf(t, "argument at=%s of %s is not a duration: %v", text, d.Cmd, err)
	}
	switch d.Cmd {
	case "service":
		var sidecars int
		d.ScanArgs(t, "sidecars", &sidecars)
		s.reset(ServiceConfig(sidecars))
	case "agent":
		s.reset(AgentConfig())
	case "list":
		s.reset(ListConfig())
	case "start":
		for i := range s.schedulers {
			s.schedulers[i].CallStarted(now)
		}
	case "fail":
		newlyReached := d.HasArg("newly-reached")
		return s.nextCalls(func(s *Scheduler) time.Duration { return s.CallFailed(now, newlyReached) })
	case "delay":
		return s.nextCalls(func(s *Scheduler) time.Duration { return s.DelayFirstCall(now) })
	case "succeed":
		for i := range s.schedulers {
			s.schedulers[i].CallSucceeded()
		}
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

// The scripts specify when calls start and how they end. The expected output is the range of the start times of the
// next call over many seeds, rounded to 10 ms.
func TestSchedulerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var script schedulerScript
		datadriven.RunTest(t, path, script.run)
	})
}

// A service that rejects all calls, immediately or late, must receive at most three calls of one sidecar in any second.
// In the long term, the sidecar must not call more often than once per SlowInterval, with a tolerance of 3%.
func TestCallRateOfRejectedSidecar(t *testing.T) {
	for _, sidecars := range []int{1, 300, 590} {
		for _, callTime := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d sidecars, rejected after %v", sidecars, callTime), func(t *testing.T) {
				testCallRate(t, sidecars, callTime)
			})
		}
	}
}

func testCallRate(t *testing.T, sidecars int, callTime time.Duration) {
	t.Helper()
	scheduler := NewScheduler(ServiceConfig(sidecars), rand.New(rand.NewPCG(uint64(sidecars), 2)))
	var starts []time.Duration
	for now := time.Duration(0); now < time.Hour; {
		scheduler.CallStarted(now)
		starts = append(starts, now)
		now = scheduler.CallFailed(now+callTime, false)
	}
	maxInSecond := 0
	for i, first := 0, 0; i < len(starts); i++ {
		for starts[i]-starts[first] >= time.Second {
			first++
		}
		maxInSecond = max(maxInSecond, i-first+1)
	}
	interval := time.Hour / time.Duration(len(starts))
	minInterval := min(ServiceConfig(sidecars).SlowInterval, 2*time.Second) * 97 / 100
	if maxInSecond > 3 || interval < minInterval {
		t.Errorf("%d calls in one second and an average interval of %v, want at most 3 and at least %v",
			maxInSecond, interval, minInterval)
	}
}
