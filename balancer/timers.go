package balancer

import (
	"container/heap"
	"time"
)

// Timers: a heap of what is to be looked at again, behind the one Wake that the sidecar keeps for us.

type timerKind int

const (
	timerEnd timerKind = iota
	timerLate
	timerHeld
	timerAsk
)

type timer struct {
	at   time.Duration
	seq  int
	kind timerKind
	r    *request
}

type timerHeap struct {
	t   []timer
	seq int
}

func (h *timerHeap) Len() int { return len(h.t) }
func (h *timerHeap) Less(i, j int) bool {
	return h.t[i].at < h.t[j].at || h.t[i].at == h.t[j].at && h.t[i].seq < h.t[j].seq
}
func (h *timerHeap) Swap(i, j int) { h.t[i], h.t[j] = h.t[j], h.t[i] }
func (h *timerHeap) Push(x any)    { h.t = append(h.t, x.(timer)) }
func (h *timerHeap) Pop() any {
	t := h.t[len(h.t)-1]
	h.t = h.t[:len(h.t)-1]
	return t
}

func (b *Balancer) after(at time.Duration, kind timerKind, r *request) {
	b.timers.seq++
	heap.Push(&b.timers, timer{at, b.timers.seq, kind, r})
}

// arm asks for a Wake at the earliest timer, if none is out for that early.
func (b *Balancer) arm() {
	if len(b.timers.t) == 0 {
		return
	}
	// Timers outside may count microseconds: never wake a moment too early, and then wait for nothing.
	at := (b.timers.t[0].at + time.Microsecond - 1).Truncate(time.Microsecond)
	if b.armed == 0 || at < b.armed {
		b.armed = max(at, 1)
		b.act(Action{Kind: SetTimer, At: b.armed})
	}
}
