// Package load makes load on real sockets: open loop, with intended times of sending. A request's latency counts from when
// it should have been sent, whatever the answers before it did, so that a server that stands still is charged with all
// that waited (coordinated omission: Tene, "How NOT to Measure Latency", 2015).
//
// The pacer keeps its schedule against targets that stop reading, never answer or reset everything: what it cannot send,
// since too much is open, it counts and leaves out. It also measures itself: where its own sending was late, the machine
// was too slow for the figures to mean anything, and they say so.
package load

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = int64(10 * time.Minute / time.Microsecond)
	figures = 3
	// The runtime's timers are late by up to a millisecond: so near its time a request is waited for in the kernel, whose
	// are late by some tens of microseconds, and in the end without sleeping.
	sleepBelow = 1500 * time.Microsecond
	spinBelow  = 80 * time.Microsecond
)

// Histogram is one of times, in microseconds, up to ten minutes. It may be used from any goroutine.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty one.
func NewHistogram() *Histogram { return &Histogram{h: hdrhistogram.New(1, longest, figures)} }

// Add counts a time.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	h.h.RecordValue(min(max(d.Microseconds(), 1), longest))
	h.mu.Unlock()
}

// At is a quantile, from 0 to 1; 0 where nothing was counted.
func (h *Histogram) At(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Count is how many were counted.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Every calls do again and again, so long after each other, until ctx ends.
func Every(ctx context.Context, pause time.Duration, do func()) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// Paced is how a schedule went.
type Paced struct {
	Sent, Unsent int        // Unsent: too many were open
	Late         *Histogram // how much later than intended each was sent
}

// Pace calls send for each time of a schedule, in a goroutine of its own, and returns when all have returned, or have
// after ctx has ended. next gives the n-th time, from the begin on, in order; false: there is none. No more than most
// are open at a time: unsent is called for those beyond, from Pace's goroutine.
func Pace(ctx context.Context, next func(n int) (at time.Duration, ok bool), most int, send func(n int, intended time.Time), unsent func(n int, intended time.Time)) Paced {
	p := Paced{Late: NewHistogram()}
	begun := time.Now()
	places := make(chan struct{}, most)
	var all sync.WaitGroup
	defer all.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n := 0; ; n++ {
		at, ok := next(n)
		if !ok {
			return p
		}
		intended := begun.Add(at)
		if d := time.Until(intended); d > sleepBelow {
			timer.Reset(d - sleepBelow)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return p
			}
		} else if ctx.Err() != nil {
			return p
		}
		if d := time.Until(intended); d > spinBelow {
			left := syscall.NsecToTimespec(int64(d - spinBelow))
			syscall.Nanosleep(&left, nil) // one that a signal cuts short is made up for below
		}
		for time.Until(intended) > 0 {
		}
		select {
		case places <- struct{}{}:
		default:
			p.Unsent++
			unsent(n, intended)
			continue
		}
		p.Sent++
		p.Late.Add(time.Since(intended))
		all.Go(func() {
			defer func() { <-places }()
			send(n, intended)
		})
	}
}
