package simtime

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Any sequence of pushes and pops must return the same events in the same order as a single heap does.
func TestQueueMatchesSingleHeap(t *testing.T) {
	distances := []time.Duration{
		0,
		1,
		time.Millisecond,
		slotDuration,
		3 * slotDuration,
		wheelSlots * slotDuration,
		wheelSlots*slotDuration - 1,
		5 * wheelSlots * slotDuration,
		time.Hour,
	}
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue
		var heap eventHeap
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if queue.Len() != len(heap) {
				t.Fatalf("step %d: %d events pending, want %d", i, queue.Len(), len(heap))
			}
			if len(heap) > 0 && rapid.IntRange(0, 2).Draw(t, "pop") == 0 {
				got, want := queue.popEvent(), heap.pop()
				if got.at != want.at || got.seq != want.seq {
					t.Fatalf("step %d: popped event %d at %v, want %d at %v", i, got.seq, got.at, want.seq, want.at)
				}
				now = got.at
				continue
			}
			distance := rapid.SampledFrom(distances).Draw(t, "distance")
			extraSlots := rapid.IntRange(0, 3).Draw(t, "extra slots")
			at := now + distance + time.Duration(extraSlots)*slotDuration
			queue.Push(at, nil)
			heap.push(event{at: at, seq: queue.lastSeq})
		}
	})
}

// BenchmarkQueue pushes and pops events as a simulation does: for each request, five events within 20 ms and one that
// is seconds ahead.
func BenchmarkQueue(b *testing.B) {
	type pushPopper interface {
		Push(at time.Duration, action func())
		Pop() (at time.Duration, action func())
	}
	for name, queue := range map[string]pushPopper{"wheel": new(Queue), "one heap": new(singleHeap)} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			now := time.Duration(0)
			simulateRequest := func() {
				queue.Push(now+3*time.Second+time.Duration(rng.IntN(int(time.Second))), nil)
				for range 5 {
					queue.Push(now+time.Duration(rng.IntN(int(20*time.Millisecond))), nil)
				}
				for range 6 {
					now, _ = queue.Pop()
				}
			}
			for range 4000 { // the timeouts that are pending at the start
				queue.Push(time.Duration(rng.IntN(int(4*time.Second))), nil)
			}
			for b.Loop() {
				simulateRequest()
			}
		})
	}
}

// singleHeap is a queue without a wheel.
type singleHeap struct {
	events  eventHeap
	lastSeq uint64
}

func (h *singleHeap) Push(at time.Duration, action func()) {
	h.lastSeq++
	h.events.push(event{at: at, seq: h.lastSeq, action: action})
}

func (h *singleHeap) Pop() (at time.Duration, action func()) {
	e := h.events.pop()
	return e.at, e.action
}
