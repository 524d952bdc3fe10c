package main

import (
	"flag"
	"testing"
	"time"

	"hazelwing/internal/load"
	"hazelwing/internal/testutil"
)

var costFigures = flag.Bool("cost.figures", false, "TestProcessorTime: measure what a request costs the daemon")

// The processor time, user and system, that a request costs the daemon, which runs as a process of its own beside six
// emulated nodes. The costs of the lab's hosts are taken from it:
//
//	go test ./cmd/hazelwing -run ProcessorTime -cost.figures -v
func TestProcessorTime(t *testing.T) {
	if !*costFigures {
		t.Skip("-cost.figures is not set")
	}
	r := newDaemonProcess(t, "")
	const length = 8 * time.Second
	shot := load.ScheduledRequest{
		Class:    "look",
		Effect:   "safe",
		Deadline: testutil.WaitTimeout,
		Work:     time.Millisecond,
	}
	measure := func(rate float64) (time.Duration, load.Report) {
		r.start()
		plan, err := load.Poisson(1, []load.Point{{Rate: max(rate, 1)}}, length, shot)
		if err != nil {
			t.Fatal(err)
		}
		target := load.NewHTTP("http://" + r.addr)
		defer target.Close()
		report := load.Run(t.Context(), plan, []load.Target{target}, func(int, load.Outcome, time.Duration) {})[0]
		cmd := r.cmd
		r.kill()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(), report
	}
	idle, _ := measure(1)
	for _, rate := range []float64{100, 300, 1000, 2000} {
		processorTime, report := measure(rate)
		requests := 0
		for _, count := range report.Outcomes {
			requests += count
		}
		perRequest := ((processorTime - idle) / time.Duration(requests)).Round(time.Microsecond)
		t.Logf("%.0f a second: %v of a core's time a request, %.2f of a core; p50 %.1f ms, p99 %.1f ms; %v",
			rate, perRequest, processorTime.Seconds()/length.Seconds(), report.P50, report.P99, report.Outcomes)
		if report.Outcomes["served"] < requests*9/10 {
			t.Errorf("%.0f a second: %v", rate, report.Outcomes)
		}
	}
}
