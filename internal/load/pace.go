// Package load generates load on real sockets. It is an open-loop generator: each request has an intended send time,
// and its latency counts from that time, regardless of earlier requests. The latencies therefore include the waits of
// all requests during a stall of the server. A closed-loop generator would omit these waits (coordinated omission:
// Tene, "How NOT to Measure Latency", 2015).
//
// The pacer keeps its schedule against targets that stop reading, never answer or reset every connection. If too many
// requests are open, it does not send further requests but counts them as unsent. It also measures its own send delay.
// If the send delay was too long, the machine was too slow for the figures to be meaningful, and the report states so.
package load

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// The runtime's timers fire up to a millisecond late, the kernel's timers only some tens of microseconds. For the last
// sleepBelow before a send time, the pacer therefore sleeps in the kernel, and for the last spinBelow it spins.
const (
	sleepBelow = 1500 * time.Microsecond
	spinBelow  = 80 * time.Microsecond
)

// Every calls do at each tick of the interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// PaceResult is the result of a paced schedule.
type PaceResult struct {
	Sent      int
	Unsent    int        // omitted, since too many requests were open
	SendDelay *Histogram // time from the intended to the actual send time
}

// Pace calls send for each time of a schedule, each in a goroutine of its own, and returns once all calls have
// returned. It stops early when ctx is done. next returns the n-th time relative to the start, in ascending order, or
// false at the end of the schedule. At most limit calls are open at a time. If limit calls are open at a time of the
// schedule, Pace calls unsent instead of send, from its own goroutine.
func Pace(
	ctx context.Context,
	next func(n int) (at time.Duration, ok bool),
	limit int,
	send func(n int, intended time.Time),
	unsent func(n int, intended time.Time),
) PaceResult {
	result := PaceResult{SendDelay: NewHistogram()}
	start := time.Now()
	slots := make(chan struct{}, limit)
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n := 0; ; n++ {
		at, ok := next(n)
		if !ok {
			return result
		}
		intended := start.Add(at)
		if !waitUntil(ctx, timer, intended) {
			return result
		}
		select {
		case slots <- struct{}{}:
		default:
			result.Unsent++
			unsent(n, intended)
			continue
		}
		result.Sent++
		result.SendDelay.Add(time.Since(intended))
		calls.Go(func() {
			defer func() { <-slots }()
			send(n, intended)
		})
	}
}

// waitUntil waits for a time and reports whether it was reached before ctx was done.
func waitUntil(ctx context.Context, timer *time.Timer, intended time.Time) bool {
	if d := time.Until(intended); d > sleepBelow {
		timer.Reset(d - sleepBelow)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	} else if ctx.Err() != nil {
		return false
	}
	if d := time.Until(intended); d > spinBelow {
		remaining := syscall.NsecToTimespec(int64(d - spinBelow))
		// If a signal interrupts the sleep, the following loop waits for the rest of the time.
		_ = syscall.Nanosleep(&remaining, nil)
	}
	for time.Until(intended) > 0 {
	}
	return true
}
