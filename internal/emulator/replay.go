package emulator

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"hazelwing/internal/load"
)

// Outcome is the result of a request for its client.
type Outcome int

// Values of Outcome.
const (
	Served Outcome = iota
	Rejected
	Failed
	Unanswered // no final response by the client's deadline plus the grace of the replay
)

// ResponseGrace is how long after the client's deadline a final response still counts. It allows for delays of sockets.
const ResponseGrace = 70 * time.Millisecond

// RequestFunc sends one request as a client and returns its outcome. number identifies the request. The context
// ends at the client's deadline.
type RequestFunc func(ctx context.Context, number int, class TrafficClass, r Request) Outcome

// Report is the result of a replay.
type Report struct {
	Sent, Served, WithinObjective, Rejected, Failed, Unanswered int

	Service        float64       // share of the total weight that was served, see count
	P50, P99, P999 time.Duration // latency of all requests, whatever their outcome

	ServedP50, ServedP99 time.Duration // latency of the requests that were served

	grace time.Duration

	mu            sync.Mutex
	totalWeight   float64
	servedWeight  float64
	latency       *load.Histogram
	servedLatency *load.Histogram
}

// maxOpen limits the number of requests that a replay has in flight. Requests beyond the limit are not sent and count
// as unanswered.
const maxOpen = 4096

// Replay sends each request of recorded traffic at its recorded time, regardless of earlier responses, and returns when
// all requests have ended. A response that arrives more than grace after the client's deadline does not count. The
// weight of a request is the weight of its class times its work, as in the accounting of booking sites.
func Replay(ctx context.Context, traffic *Traffic, grace time.Duration, do RequestFunc) *Report {
	r := &Report{grace: grace, latency: load.NewHistogram(), servedLatency: load.NewHistogram()}
	classes := map[string]TrafficClass{}
	for _, class := range traffic.Classes {
		classes[class.Name] = class
	}
	next := func(number int) (time.Duration, bool) {
		if number >= len(traffic.Requests) {
			return 0, false
		}
		return traffic.Requests[number].At(), true
	}
	send := func(number int, intended time.Time) {
		request := traffic.Requests[number]
		r.send(ctx, number, classes[request.Class], request, intended, do)
	}
	omit := func(number int, intended time.Time) {
		request := traffic.Requests[number]
		r.send(ctx, number, classes[request.Class], request, intended, unanswered)
	}
	load.Pace(ctx, next, maxOpen, send, omit)
	return r.finish()
}

// unanswered is the RequestFunc of requests that are not sent.
func unanswered(context.Context, int, TrafficClass, Request) Outcome { return Unanswered }

// send sends one request and counts its outcome. Latency counts from the intended time of the request, even if the
// request was sent late.
func (r *Report) send(
	ctx context.Context, number int, class TrafficClass, request Request, intended time.Time, do RequestFunc,
) {
	timeout := time.Duration(class.DeadlineMS * float64(time.Millisecond))
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	outcome := do(ctx, number, class, request)
	latency := time.Since(intended)
	if latency > timeout+r.grace {
		outcome = Unanswered
	}
	r.count(class, request, outcome, latency, timeout)
}

// count adds the outcome of one request. Of its weight, the whole counts as served if the response came within the
// latency objective, the share LateWeight if it came later but by the deadline, and nothing otherwise.
func (r *Report) count(class TrafficClass, request Request, outcome Outcome, latency, timeout time.Duration) {
	weight := class.Weight * request.WorkUS
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.totalWeight += weight
	r.latency.Add(latency)
	switch outcome {
	case Served:
		r.Served++
		r.servedLatency.Add(latency)
		if latency.Seconds()*1000 <= class.ObjectiveMS {
			r.WithinObjective++
			r.servedWeight += weight
		} else if latency <= timeout {
			r.servedWeight += weight * class.LateWeight
		}
	case Rejected:
		r.Rejected++
	case Failed:
		r.Failed++
	case Unanswered:
		r.Unanswered++
	}
}

// finish computes the figures that depend on all requests.
func (r *Report) finish() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Service = r.servedWeight / cmp.Or(r.totalWeight, 1)
	r.ServedP50, r.ServedP99 = r.servedLatency.Quantile(0.5), r.servedLatency.Quantile(0.99)
	r.P50, r.P99, r.P999 = r.latency.Quantile(0.5), r.latency.Quantile(0.99), r.latency.Quantile(0.999)
	return r
}

// reportPrecision is the precision of the latencies in a printed report.
const reportPrecision = 100 * time.Microsecond

// String returns the report as the demonstration prints it.
func (r *Report) String() string {
	counts := fmt.Sprintf("%d asked: %d served (%d in time), %d refused, %d failed, %d unanswered",
		r.Sent, r.Served, r.WithinObjective, r.Rejected, r.Failed, r.Unanswered)
	return fmt.Sprintf("service %.4f, %s; p50 %v, p99 %v, p99.9 %v", r.Service, counts,
		r.P50.Round(reportPrecision), r.P99.Round(reportPrecision), r.P999.Round(reportPrecision))
}
