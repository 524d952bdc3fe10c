// Package simtime provides the event queue of a discrete-event simulation: a timing wheel over simulated time.
package simtime

import "time"

// Queue holds scheduled events ordered by time; events of the same time are in the order in which they were pushed.
//
// Most pending events are timeouts of clients and attempts: they lie seconds ahead and mostly have no effect. In a
// single heap they would make each push and pop traverse all levels of a heap that exceeds the CPU's caches. Therefore
// only the next events are in a heap (current). Events within one turn of the wheel wait unsorted in the slot of their
// time. When that time comes, they move to the heap current. Events further ahead are in a heap of their own
// (overflow). BenchmarkQueue compares the queue to a single heap.
//
// The zero value is an empty queue. A Queue is not safe for concurrent use.
type Queue struct {
	current     eventHeap // the events before the end of slot currentSlot
	slots       [wheelSlots][]event
	overflow    eventHeap // the events at least one turn of the wheel ahead of currentSlot
	currentSlot int64     // the slot that current holds, counted from time 0
	slotted     int       // the number of events in slots
	lastSeq     uint64    // the sequence number of the event pushed last
}

const (
	// slotDuration is the simulated time that one slot of the wheel covers.
	slotDuration = 4 * time.Millisecond
	// wheelSlots is the number of slots in one turn of the wheel.
	wheelSlots = 1024
)

// Len returns the number of pending events.
func (q *Queue) Len() int { return len(q.current) + q.slotted + len(q.overflow) }

// Push schedules action for the simulated time at, which must not be before the time of the event popped last.
func (q *Queue) Push(at time.Duration, action func()) {
	q.lastSeq++
	q.insert(event{at: at, seq: q.lastSeq, action: action})
}

// Pop removes the next event and returns its time and its action. It panics if the queue is empty.
func (q *Queue) Pop() (at time.Duration, action func()) {
	e := q.popEvent()
	return e.at, e.action
}

// insert puts an event into the part of the queue that its time belongs to.
func (q *Queue) insert(e event) {
	slot := e.slot()
	switch {
	case slot <= q.currentSlot:
		q.current.push(e)
	case slot-q.currentSlot < wheelSlots:
		q.slots[slot%wheelSlots] = append(q.slots[slot%wheelSlots], e)
		q.slotted++
	default:
		q.overflow.push(e)
	}
}

// popEvent removes and returns the next event.
func (q *Queue) popEvent() event {
	for len(q.current) == 0 {
		q.advance()
	}
	return q.current.pop()
}

// advance turns the wheel to the next slot, or to the first slot of the overflow if the wheel is empty, and moves the
// events of that slot into the current heap. It also moves events of the overflow that are now less than one turn ahead
// into the wheel.
func (q *Queue) advance() {
	q.currentSlot++
	if q.slotted == 0 {
		q.currentSlot = q.overflow[0].slot()
	}
	for len(q.overflow) > 0 && q.overflow[0].slot()-q.currentSlot < wheelSlots {
		q.insert(q.overflow.pop())
	}
	slot := &q.slots[q.currentSlot%wheelSlots]
	q.slotted -= len(*slot)
	for _, e := range *slot {
		q.current.push(e)
	}
	clear(*slot) // releases the actions, while the slot keeps its capacity
	*slot = (*slot)[:0]
}
