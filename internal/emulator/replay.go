package emulator

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"hazelwing/internal/load"
)

// Outcome says how a request ended for its client.
type Outcome int

// The kinds.
const (
	Served Outcome = iota
	Rejected
	Failed
	Unanswered // no final answer in the client's time
)

// Grace is how long after the client's time a final answer still counts as one on sockets.
const Grace = 70 * time.Millisecond

// RequestFunc carries out one request as a client; n tells it from all others. The context's deadline is the end of the client's
// patience.
type RequestFunc func(ctx context.Context, n int, c TrafficClass, r Request) Outcome

// Report is what became of recorded traffic.
type Report struct {
	Sent, Served, WithinObjective, Rejected, Failed, Unanswered int

	Service        float64       // worth answered in time, or late at a share, over the worth asked for
	P50, P99, P999 time.Duration // of all requests, whatever their end

	ServedP50, ServedP99 time.Duration // of those that were served

	grace time.Duration
	mu    sync.Mutex
	worth float64
	won   float64
	took  *load.Histogram

	served *load.Histogram
}

// maxOpen bounds the requests that a replay has open; those beyond are not sent, and count as unanswered.
const maxOpen = 4096

// Replay plays traffic at its own pace, whatever the answers do, and returns when all have come. An answer that comes
// later than grace after its client's time is none. Worth counts by unit of work, as booking sites do.
func Replay(ctx context.Context, t *Traffic, grace time.Duration, do RequestFunc) *Report {
	r := &Report{grace: grace, took: load.NewHistogram(), served: load.NewHistogram()}
	classes := map[string]TrafficClass{}
	for _, c := range t.Classes {
		classes[c.Name] = c
	}
	next := func(n int) (time.Duration, bool) {
		if n >= len(t.Requests) {
			return 0, false
		}
		return t.Requests[n].At(), true
	}
	load.Pace(ctx, next, maxOpen, func(n int, intended time.Time) {
		q := t.Requests[n]
		r.one(ctx, n, classes[q.Class], q, intended, do)
	}, func(n int, intended time.Time) {
		q := t.Requests[n]
		r.one(ctx, n, classes[q.Class], q, intended, func(context.Context, int, TrafficClass, Request) Outcome { return Unanswered })
	})
	return r.close()
}

func (r *Report) one(ctx context.Context, n int, c TrafficClass, q Request, came time.Time, do RequestFunc) {
	patience := time.Duration(c.DeadlineMS * float64(time.Millisecond))
	ctx, cancel := context.WithDeadline(ctx, came.Add(patience))
	defer cancel()
	kind := do(ctx, n, c, q)
	took := time.Since(came)
	if took > patience+r.grace {
		kind = Unanswered
	}
	worth := c.Weight * q.WorkUS
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.worth += worth
	r.took.Add(took)
	switch kind {
	case Served:
		r.Served++
		r.served.Add(took)
		if took.Seconds()*1000 <= c.ObjectiveMS {
			r.WithinObjective++
			r.won += worth
		} else if took <= patience {
			r.won += worth * c.LateWeight
		}
	case Rejected:
		r.Rejected++
	case Failed:
		r.Failed++
	case Unanswered:
		r.Unanswered++
	}
}

// close works the figures out.
func (r *Report) close() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Service = r.won / cmp.Or(r.worth, 1)
	r.ServedP50, r.ServedP99 = r.served.At(0.5), r.served.At(0.99)
	r.P50, r.P99, r.P999 = r.took.At(0.5), r.took.At(0.99), r.took.At(0.999)
	return r
}

func (r *Report) String() string {
	return fmt.Sprintf("service %.4f, %d asked: %d served (%d in time), %d refused, %d failed, %d unanswered; p50 %v, p99 %v, p99.9 %v",
		r.Service, r.Sent, r.Served, r.WithinObjective, r.Rejected, r.Failed, r.Unanswered,
		r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond), r.P999.Round(100*time.Microsecond))
}
