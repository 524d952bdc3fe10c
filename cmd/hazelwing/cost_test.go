package main

import (
	"flag"
	"testing"
	"time"

	"hazelwing/internal/load"
	"hazelwing/internal/testutil"
)

var costFigures = flag.Bool("cost.figures", false,
	"run TestProcessorTime, which measures the processor time of a request")

// TestProcessorTime measures the user and system time that a request takes in the daemon, which is a process with six
// emulated nodes as upstreams. The lab uses the results as the costs of its simulated hosts:
//
//	go test ./cmd/hazelwing -run ProcessorTime -cost.figures -v
func TestProcessorTime(t *testing.T) {
	if !*costFigures {
		t.Skip("-cost.figures is not set")
	}
	r := newDaemonProcess(t, "")
	const length = 8 * time.Second
	request := load.ScheduledRequest{
		Class:    "look",
		Effect:   "safe",
		Deadline: testutil.WaitTimeout,
		Work:     time.Millisecond,
	}
	measure := func(rate float64) (time.Duration, load.Report) {
		r.start()
		plan, err := load.Poisson(1, []load.Point{{Rate: max(rate, 1)}}, length, request)
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
		t.Logf("%.0f requests per second: %v of processor time per request, %.2f of a core; "+
			"p50 %.1f ms, p99 %.1f ms; %v",
			rate, perRequest, processorTime.Seconds()/length.Seconds(), report.P50, report.P99, report.Outcomes)
		if report.Outcomes["served"] < requests*9/10 {
			t.Errorf("%.0f requests per second: outcomes %v, want at least 90 %% served", rate, report.Outcomes)
		}
	}
}
