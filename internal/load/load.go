package load

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Outcome is the result of a request.
type Outcome int

// Values of Outcome.
const (
	Served       Outcome = iota // success: an HTTP status 2xx, or OK in gRPC
	Rejected                    // status 429 or 503: a retry is harmless
	Failed                      // any other status
	Broken                      // no connection, or the connection broke before the answer was complete
	TimedOut                    // no answer before the deadline
	Unsent                      // omitted, since too many requests were open
	outcomeCount                // number of values of Outcome
)

// outcomeNames are the names of the outcomes in reports, which are part of the command's output.
var outcomeNames = [outcomeCount]string{"served", "refused", "failed", "broken", "late", "unsent"}

func (o Outcome) String() string { return outcomeNames[o] }

// Target receives the requests of a plan. Send is called from many goroutines, and must return soon after ctx is done.
type Target interface {
	Name() string
	Send(ctx context.Context, id string, r ScheduledRequest) Outcome
}

// maxOpen limits the requests that are open to one target. A higher value keeps the schedule for longer against a
// target that does not answer, and takes more memory and connections.
const maxOpen = 4096

// Report is the result of running a plan against one target.
type Report struct {
	Target   string         `json:"target"`
	Outcomes map[string]int `json:"kinds"`
	// Latencies of served requests from the intended send times, in milliseconds.
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	// Delays from the intended to the actual send times, in milliseconds.
	SendDelayP50 float64 `json:"late_p50_ms"`
	SendDelayP99 float64 `json:"late_p99_ms"`
	// Slow is set if the send delays were too long. The machine was then too slow, and the latencies contain delays of
	// the generator.
	Slow bool `json:"slow"`
}

// maxSendDelay limits the 99th percentile of the send delay of a valid report. A higher value accepts reports of slower
// machines, whose latencies contain longer delays of the generator.
const maxSendDelay = 5 * time.Millisecond

// Run runs a plan against all targets at the same time. It calls observe at the end of each request and for each
// request that is not sent, from many goroutines.
func Run(
	ctx context.Context, plan Plan, targets []Target, observe func(target int, o Outcome, latency time.Duration),
) []Report {
	reports := make([]Report, len(targets))
	var runs sync.WaitGroup
	for i, target := range targets {
		runs.Go(func() {
			reports[i] = runTarget(ctx, plan, target, func(o Outcome, latency time.Duration) { observe(i, o, latency) })
		})
	}
	runs.Wait()
	return reports
}

func runTarget(ctx context.Context, plan Plan, target Target, observe func(Outcome, time.Duration)) Report {
	latencies := NewHistogram()
	var mu sync.Mutex
	counts := map[string]int{}
	finish := func(o Outcome, latency time.Duration) {
		if o == Served {
			latencies.Add(latency)
		}
		mu.Lock()
		counts[o.String()]++
		mu.Unlock()
		observe(o, latency)
	}
	runID := strconv.FormatInt(time.Now().UnixNano(), 36)
	next := func(n int) (time.Duration, bool) {
		if n >= len(plan) {
			return 0, false
		}
		return plan[n].At, true
	}
	send := func(n int, intended time.Time) {
		request := plan[n]
		requestCtx, cancel := context.WithDeadline(ctx, intended.Add(request.Deadline))
		defer cancel()
		o := target.Send(requestCtx, fmt.Sprintf("%s-%08x", runID, n), request)
		finish(o, time.Since(intended))
	}
	result := Pace(ctx, next, maxOpen, send, func(int, time.Time) { finish(Unsent, 0) })
	return Report{
		Target:       target.Name(),
		Outcomes:     counts,
		P50:          milliseconds(latencies.Quantile(0.5)),
		P90:          milliseconds(latencies.Quantile(0.9)),
		P99:          milliseconds(latencies.Quantile(0.99)),
		P999:         milliseconds(latencies.Quantile(0.999)),
		Max:          milliseconds(latencies.Quantile(1)),
		SendDelayP50: milliseconds(result.SendDelay.Quantile(0.5)),
		SendDelayP99: milliseconds(result.SendDelay.Quantile(0.99)),
		Slow:         result.SendDelay.Quantile(0.99) > maxSendDelay,
	}
}

// millisecondsPerSecond converts seconds to the unit of reports.
const millisecondsPerSecond = 1000

func milliseconds(d time.Duration) float64 { return d.Seconds() * millisecondsPerSecond }
