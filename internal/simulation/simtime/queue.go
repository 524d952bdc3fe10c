// Package simtime is what simulated time is made of: a queue of what is to happen.
package simtime

import "time"

// Queue holds what is to happen, earliest first; of the same instant, in the order of asking.
//
// Most of what waits is what may be needed and mostly is not: the ends of clients' patience and of attempts' time-outs,
// seconds ahead. In one heap they make each push and pop go through all levels of a list that no cache holds. So only
// what comes next is in a heap (near); what comes within the wheel's turn lies unsorted in the slot of its time, and is
// put in order when its time comes; what is further ahead waits in a heap of its own (far). Beside one heap of all:
// BenchmarkQueue. The zero value is empty; it is for one goroutine.
type Queue struct {
	near  events // all that is before the end of the slot at
	slots [wheel][]event
	far   events // all that is a turn or more ahead of the slot at
	at    int64  // the slot that near holds, counted from the beginning
	ahead int    // how many are in the slots
	seq   uint64
}

const (
	slotTime = 4 * time.Millisecond
	wheel    = 1024
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (e *event) slot() int64 { return int64(e.at / slotTime) }

// Len is how much is in it.
func (q *Queue) Len() int { return len(q.near) + q.ahead + len(q.far) }

// Push has something done at a time, which is not before the last that was popped.
func (q *Queue) Push(at time.Duration, do func()) {
	q.seq++
	q.place(event{at, q.seq, do})
}

func (q *Queue) place(e event) {
	switch s := e.slot(); {
	case s <= q.at:
		q.near.push(e)
	case s-q.at < wheel:
		q.slots[s%wheel] = append(q.slots[s%wheel], e)
		q.ahead++
	default:
		q.far.push(e)
	}
}

// Pop takes what is next, and when it is to be done; there has to be something.
func (q *Queue) Pop() (at time.Duration, do func()) {
	e := q.pop()
	return e.at, e.do
}

func (q *Queue) pop() event {
	for len(q.near) == 0 {
		if q.at++; q.ahead == 0 {
			q.at = q.far[0].slot()
		}
		for len(q.far) > 0 && q.far[0].slot()-q.at < wheel {
			q.place(q.far.pop())
		}
		slot := &q.slots[q.at%wheel]
		q.ahead -= len(*slot)
		for _, e := range *slot {
			q.near.push(e)
		}
		clear(*slot)
		*slot = (*slot)[:0]
	}
	return q.near.pop()
}

// events are a heap, wider than two: they are pushed and popped about as often.
type events []event

const fan = 4

func (h *events) push(e event) {
	list := append(*h, e)
	*h = list
	for i := len(list) - 1; i > 0; {
		up := (i - 1) / fan
		if !list[i].before(&list[up]) {
			break
		}
		list[i], list[up] = list[up], list[i]
		i = up
	}
}

func (h *events) pop() event {
	list := *h
	first := list[0]
	last := len(list) - 1
	list[0] = list[last]
	list[last] = event{}
	list = list[:last]
	*h = list
	for i := 0; ; {
		least := i
		for c := fan*i + 1; c <= fan*i+fan && c < last; c++ {
			if list[c].before(&list[least]) {
				least = c
			}
		}
		if least == i {
			return first
		}
		list[i], list[least] = list[least], list[i]
		i = least
	}
}
