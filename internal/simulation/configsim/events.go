package configsim

import (
	"container/heap"
	"time"
)

// event is a function that is called at a simulated time. Events of the same time are handled in order of their
// numbers.
type event struct {
	at     time.Duration
	number int
	handle func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// After schedules an event after a delay.
func (c *Cluster) After(delay time.Duration, handle func()) {
	c.lastEvent++
	heap.Push(&c.events, event{c.Now + delay, c.lastEvent, handle})
}

// Run advances the simulated time by d and handles the events that are due.
func (c *Cluster) Run(d time.Duration) {
	end := c.Now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		next := c.events[0]
		heap.Pop(&c.events)
		c.Now = next.at
		next.handle()
	}
	c.Now = end
}
