package origin

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleSecond measures one simulated second of five idle origins.
func BenchmarkIdleSecond(b *testing.B) {
	w := newRunningSimulation(b, 5, 1)
	b.ReportAllocs()
	for b.Loop() {
		w.run(time.Second)
	}
}

// BenchmarkPush measures a push of 8 KiB to five origins whose stores are in memory.
func BenchmarkPush(b *testing.B) {
	w := newRunningSimulation(b, 5, 1)
	text := make([]byte, 8<<10)
	for i := range text {
		text[i] = '#'
	}
	b.ReportAllocs()
	v := uint64(0)
	for b.Loop() {
		id := fmt.Sprint("p", v)
		if a := w.push(0, id, v, append(text[:len(text):len(text)], id...)); a.Outcome != OutcomeAccepted {
			b.Fatalf("push %s: outcome %q, error %q; want outcome %q", id, a.Outcome, a.Error, OutcomeAccepted)
		}
		v++
	}
}

// BenchmarkStart measures the start of an origin from a store with 15 changes of 8 KiB in its log.
func BenchmarkStart(b *testing.B) {
	w := newRunningSimulation(b, 1, 1)
	for v := range uint64(15) {
		w.push(0, fmt.Sprint("p", v), v, append(make([]byte, 0, 8<<10), fmt.Sprintf("#%8192d", v)...))
	}
	disk := w.machines[0].disk
	b.ReportAllocs()
	for b.Loop() {
		s := &State{Records: disk}
		if err := s.validate(); err != nil {
			b.Fatal(err)
		}
		if _, _, err := NewNode(Config{Self: "o1"}, s, 0); err != nil {
			b.Fatal(err)
		}
	}
}
