package configsim

import (
	"container/heap"
	"time"
)

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return x
}

// After does something later.
func (f *Fleet) After(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{f.Now + d, f.serial, do})
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.do()
	}
	f.Now = end
}
