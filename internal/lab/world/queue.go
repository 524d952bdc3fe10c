package world

import "time"

// queue holds what is to happen, earliest first; of the same instant, in the order of asking.
type queue struct {
	list []event
	seq  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// fan is the heap's: wider than two, since events are pushed and popped about as often and the list is large.
const fan = 4

func (q *queue) push(at time.Duration, do func()) {
	q.seq++
	q.list = append(q.list, event{at, q.seq, do})
	for i := len(q.list) - 1; i > 0; {
		up := (i - 1) / fan
		if !q.list[i].before(&q.list[up]) {
			break
		}
		q.list[i], q.list[up] = q.list[up], q.list[i]
		i = up
	}
}

func (q *queue) pop() event {
	first := q.list[0]
	last := len(q.list) - 1
	q.list[0] = q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	for i := 0; ; {
		least := i
		for c := fan*i + 1; c <= fan*i+fan && c < last; c++ {
			if q.list[c].before(&q.list[least]) {
				least = c
			}
		}
		if least == i {
			return first
		}
		q.list[i], q.list[least] = q.list[least], q.list[i]
		i = least
	}
}
