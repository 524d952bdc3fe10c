package balancer

import (
	"container/heap"
	"time"
)

// The timers of requests and of the subscription are kept in a heap. The sidecar provides a single timer,
// which is set for the earliest of them.

type timerKind int

const (
	timerDeadline  timerKind = iota // the request's deadline
	timerOverdue                    // the request's latest attempt is overdue
	timerAdvance                    // the request has waited for a probe or an eligible endpoint
	timerSubscribe                  // the backoff before the next subscription is over
)

type timer struct {
	at       time.Duration
	sequence int // sequence number, which orders timers with the same time
	kind     timerKind
	request  *request // nil for timerSubscribe
}

// timerHeap implements heap.Interface; the earliest timer is the first.
type timerHeap struct {
	entries  []timer
	sequence int // sequence number of the timer that was scheduled last
}

func (h *timerHeap) Len() int { return len(h.entries) }

func (h *timerHeap) Less(i, j int) bool {
	if h.entries[i].at != h.entries[j].at {
		return h.entries[i].at < h.entries[j].at
	}
	return h.entries[i].sequence < h.entries[j].sequence
}

func (h *timerHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { h.entries = append(h.entries, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

// isDue reports whether the earliest timer is due.
func (h *timerHeap) isDue(now time.Duration) bool {
	return len(h.entries) > 0 && h.entries[0].at <= now
}

// next removes the earliest timer and returns it.
func (h *timerHeap) next() timer { return heap.Pop(h).(timer) }

func (b *Balancer) schedule(at time.Duration, kind timerKind, r *request) {
	b.timers.sequence++
	heap.Push(&b.timers, timer{at, b.timers.sequence, kind, r})
}

// armTimer requests a timer at the time of the earliest entry, unless one is already set for that time or
// earlier.
func (b *Balancer) armTimer() {
	if len(b.timers.entries) == 0 {
		return
	}
	// The time is rounded up because the sidecar's timers may have a resolution of microseconds: a timer
	// that fires slightly too early would find no entry due.
	at := (b.timers.entries[0].at + time.Microsecond - 1).Truncate(time.Microsecond)
	if b.timerAt == 0 || at < b.timerAt {
		b.timerAt = max(at, 1)
		b.emit(Action{Kind: SetTimer, At: b.timerAt})
	}
}
