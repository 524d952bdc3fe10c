package baseline

import (
	"container/heap"
	"time"

	"hazelwing/balancer"
)

// timer fires at a time. It then gives up its request or, if request is nil, subscribes to the endpoint list again.
type timer struct {
	at      time.Duration
	request *request
}

// timers is a heap of timers, the earliest first.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	if added, ok := x.(timer); ok {
		*t = append(*t, added)
	}
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// setTimer adds a timer, and sets the instance's timer to the earliest one.
func (p *policy) setTimer(t timer) {
	heap.Push(&p.timers, t)
	p.add(balancer.Action{Kind: balancer.SetTimer, At: p.timers[0].at})
}

// handleTimers handles all timers that have fired, and sets the instance's timer to the next one.
func (p *policy) handleTimers() {
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		r := p.timers[0].request
		heap.Pop(&p.timers)
		if r == nil {
			p.add(balancer.Action{Kind: balancer.Subscribe})
		} else {
			p.giveUp(r)
		}
	}
	if len(p.timers) > 0 {
		p.add(balancer.Action{Kind: balancer.SetTimer, At: p.timers[0].at})
	}
}
