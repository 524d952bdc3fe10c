package simtime

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is pushed and popped, the wheel gives the same events in the same order as one heap of all.
func TestQueueIsOneHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var plain events
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if q.Len() != len(plain) {
				t.Fatalf("%d waiting, want %d", q.Len(), len(plain))
			}
			if len(plain) > 0 && rapid.IntRange(0, 2).Draw(t, "pop") == 0 {
				got, want := q.pop(), plain.pop()
				if got.at != want.at || got.seq != want.seq {
					t.Fatalf("step %d: %v %d, want %v %d", i, got.at, got.seq, want.at, want.seq)
				}
				now = got.at
				continue
			}
			ahead := rapid.SampledFrom([]time.Duration{0, 1, time.Millisecond, slotTime, 3 * slotTime, wheel * slotTime, wheel*slotTime - 1, 5 * wheel * slotTime, time.Hour}).Draw(t, "ahead")
			at := now + ahead + time.Duration(rapid.IntRange(0, 3).Draw(t, "more"))*slotTime
			q.Push(at, nil)
			plain.push(event{at: at, seq: q.seq})
		}
	})
}

// BenchmarkQueue pushes and pops as a world does: five short events, and one that is seconds ahead, for each request.
func BenchmarkQueue(b *testing.B) {
	type pusher interface {
		Push(at time.Duration, do func())
		Pop() (at time.Duration, do func())
	}
	for name, q := range map[string]pusher{"wheel": new(Queue), "one heap": new(oneHeap)} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			now := time.Duration(0)
			step := func() {
				q.Push(now+3*time.Second+time.Duration(rng.IntN(int(time.Second))), nil)
				for range 5 {
					q.Push(now+time.Duration(rng.IntN(int(20*time.Millisecond))), nil)
				}
				for range 6 {
					now, _ = q.Pop()
				}
			}
			for range 4000 { // what lies ahead
				q.Push(time.Duration(rng.IntN(int(4*time.Second))), nil)
			}
			for b.Loop() {
				step()
			}
		})
	}
}

type oneHeap struct {
	events
	seq uint64
}

func (h *oneHeap) Push(at time.Duration, do func()) {
	h.seq++
	h.events.push(event{at, h.seq, do})
}
func (h *oneHeap) Pop() (time.Duration, func()) {
	e := h.events.pop()
	return e.at, e.do
}
